//! Items that wait for an engine are counted by reason.

use peatgrade_jobs::WaitReason;
use peatgrade_ports::{Instance, RouteKind, StoreEvent};
use peatgrade_types::{Duration, Time};
use rstest::rstest;

use crate::dispatch::{engine, Harness};

const ITEM: &str = "waits";

fn state(harness: &mut Harness) -> &mut peatgrade_fleet::EngineState {
    let instance = Instance("a".into());
    harness.directory.get_mut(&instance).unwrap()
}

fn remove_engine(harness: &mut Harness) {
    let event = StoreEvent {
        name: "a".into(),
        object: None,
    };
    harness.directory.apply(harness.now, event);
}

/// Replaces the batch route, which also gives the item up at the next poll.
fn remove_route(harness: &mut Harness) {
    harness.change_routes(|routes| routes[0].kind = RouteKind::Safe);
}

#[rstest]
#[case::no_engine(remove_engine, WaitReason::NoEngine)]
#[case::no_version(|h: &mut Harness| h.submit("other", 9, &["newer"]), WaitReason::NoVersion)]
#[case::loading(|h: &mut Harness| state(h).loading_models = vec!["m".into()], WaitReason::Loading)]
#[case::backing_off(
    |h: &mut Harness| state(h).stats.backoff_until = Time(u64::MAX),
    WaitReason::EngineBackoff
)]
#[case::busy(|h: &mut Harness| state(h).stats.in_flight = 4, WaitReason::Busy)]
fn an_item_that_waits_for_a_second_is_counted(
    #[case] obstacle: fn(&mut Harness),
    #[case] reason: WaitReason,
) {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    obstacle(&mut harness);
    if reason != WaitReason::NoVersion {
        harness.submit_bodies("j", &[ITEM]);
    }
    harness.wait(900);
    assert_eq!(harness.dispatcher.waiting_items().count(reason), 0);
    harness.wait(700);
    assert_eq!(harness.dispatcher.waiting_items().count(reason), 1);
    assert!(harness.started.is_empty());
}

#[test]
fn an_item_that_runs_again_is_not_counted() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    state(&mut harness).stats.backoff_until = harness.now + Duration::from_millis(1_800);
    harness.submit_bodies("j", &[ITEM]);
    harness.wait(1_600);
    let count = |harness: &Harness| {
        harness
            .dispatcher
            .waiting_items()
            .count(WaitReason::EngineBackoff)
    };
    assert_eq!(count(&harness), 1);
    harness.wait(800);
    assert_eq!(harness.started.len(), 1);
    assert_eq!(count(&harness), 0);
}

#[test]
fn an_item_without_a_route_does_not_wait() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    remove_engine(&mut harness);
    harness.submit_bodies("j", &[ITEM]);
    remove_route(&mut harness);
    harness.wait(1_600);
    let waiting = harness.dispatcher.waiting_items();
    assert_eq!(waiting.count(WaitReason::NoRoute), 0);
    assert_eq!(waiting.count(WaitReason::NoEngine), 0);
    let results = harness.results("j");
    assert!(results.iter().all(|(_, completed, ..)| !completed));
}

/// Items that wait for an engine with an allowed version, as the coordinator sees them.
#[test]
fn backlog_counts_items_that_wait_beside_idle_outdated_engines() {
    let mut harness = Harness::new(vec![engine("a", 5), engine("old", 3)]);
    state(&mut harness).stats.in_flight = 4;
    harness.submit("j", 5, &["one", "two"]);
    harness.wait(900);
    assert!(harness.dispatcher.version_backlog().is_empty());
    harness.wait(700);
    assert_eq!(harness.dispatcher.version_backlog()["m"], 2);
    harness.set_running("old", 4);
    harness.wait(700);
    assert!(
        harness.dispatcher.version_backlog().is_empty(),
        "no engine is idle"
    );
}
