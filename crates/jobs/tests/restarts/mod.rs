//! Items on engines that restart under the same name or are absent from their address.

use peatgrade_jobs::{RunId, RunPart};
use peatgrade_ports::{EngineRecord, EngineResponseHead, Instance, StartedAt};
use rstest::rstest;

use crate::dispatch::{engine, Harness};

fn started(name: &str, started: u64) -> EngineRecord {
    EngineRecord {
        started: Some(StartedAt(started)),
        ..engine(name, 5)
    }
}

/// An item runs on an engine and has produced two events.
fn running_harness() -> Harness {
    let mut harness = Harness::new(vec![started("a", 5), started("b", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let run = harness.last_started().run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n2|0|two\n");
    harness
}

#[test]
fn run_is_resumed_elsewhere_after_an_engine_restart() {
    let mut harness = running_harness();
    let first = harness.last_started();
    harness.wait(320);
    assert_eq!(harness.started.len(), 1, "the silence may be a pause");
    harness.add_engine(started(&first.engine, 6));
    harness.wait(60);
    assert_eq!(harness.cancelled, [first.run]);
    let second = harness.last_started();
    assert_eq!((harness.started.len(), second.after), (2, Some(2)));
    let state = harness
        .directory
        .get(&Instance(first.engine.clone()))
        .unwrap();
    assert_eq!(
        state.stats.consecutive_failures, 0,
        "the new incarnation has no failures"
    );
    let runs = state.stats.in_flight;
    assert_eq!(runs, u32::from(second.engine == first.engine));
}

/// The run may have started after the restart, if the leader learned of the restart later.
#[test]
fn run_with_recent_events_is_kept_after_an_engine_restart() {
    let mut harness = running_harness();
    let first = harness.last_started();
    harness.wait(100);
    harness.add_engine(started(&first.engine, 6));
    harness.wait(60);
    assert!(harness.cancelled.is_empty());
    let name = Instance(first.engine.clone());
    assert_eq!(harness.directory.get(&name).unwrap().stats.in_flight, 1);
    harness.data(first.run, "3|0|three\n");
    harness.part(first.run, RunPart::End);
    harness.poll();
    assert_eq!(harness.results("j")[0].2, "one\ntwo\nthree");
    assert_eq!(harness.directory.get(&name).unwrap().stats.in_flight, 0);
}

#[test]
fn run_of_an_earlier_incarnation_does_not_update_the_next() {
    let mut harness = running_harness();
    let first = harness.last_started();
    let name = Instance(first.engine.clone());
    harness.add_engine(EngineRecord {
        models: [("m".to_string(), 3)].into(),
        ..started(&first.engine, 6)
    });
    harness.head(first.run, 200, 9);
    assert_eq!(harness.directory.get(&name).unwrap().version("m"), 3);
    harness.part(first.run, RunPart::Failed("reset".into()));
    let state = harness.directory.get(&name).unwrap();
    assert_eq!(state.stats.consecutive_failures, 0);
    assert_eq!(state.stats.in_flight, 0);
}

fn reject_last(harness: &mut Harness, instance: Option<&str>) {
    let run = harness.last_started().run;
    reject_run(harness, run, instance);
}

fn reject_run(harness: &mut Harness, run: RunId, instance: Option<&str>) {
    let head = EngineResponseHead {
        status: 421,
        not_run: true,
        reads_as_misdirected: true,
        instance: instance.map(|name| Instance(name.into())),
        ..EngineResponseHead::default()
    };
    harness.part(run, RunPart::Head(head));
    harness.part(run, RunPart::End);
}

/// Guards against sending further items to an engine that rejects each as misdirected.
#[rstest]
#[case::without_a_name(None)]
#[case::by_another_engine(Some("other"))]
fn no_items_are_sent_to_an_absent_engine(#[case] instance: Option<&str>) {
    let mut harness = Harness::new(vec![started("a", 5)]);
    harness.submit("j", 5, &["i", "k", "l"]);
    harness.poll();
    let sent = harness.started.len();
    for run in harness.started.clone() {
        reject_run(&mut harness, run.run, instance);
    }
    harness.wait(450);
    assert_eq!(harness.started.len(), sent);
    // A single item probes whether the engine is back.
    harness.wait(100);
    assert_eq!(harness.started.len(), sent + 1);
    harness.wait(300);
    assert_eq!(harness.started.len(), sent + 1);
}

#[test]
fn item_is_resent_at_once_after_a_misdirected_response() {
    let mut harness = Harness::new(vec![started("a", 5), started("b", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let first = harness.last_started().engine;
    reject_last(&mut harness, None);
    harness.wait(15);
    assert_ne!(harness.last_started().engine, first);
}

#[test]
fn weights_mismatch_does_not_mark_an_engine_absent() {
    let mut harness = Harness::new(vec![started("a", 5), started("b", 5)]);
    harness.change_routes(|routes| routes[0].single_version = true);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let first = harness.last_started();
    harness.head(first.run, 200, 5);
    harness.data(first.run, "1|0|one\n");
    harness.part(first.run, RunPart::Failed("reset".into()));
    harness.wait(60);
    let second = harness.last_started();
    reject_last(&mut harness, None);
    let state = harness.directory.get(&Instance(second.engine)).unwrap();
    assert!(!state.is_absent(harness.now));
}

#[test]
fn failed_engine_is_eligible_again_after_a_restart() {
    let mut harness = Harness::new(vec![started("a", 5), started("b", 5)]);
    harness.submit("j", 5, &["i"]);
    harness.poll();
    let first = harness.last_started();
    let other = if first.engine == "a" { "b" } else { "a" };
    harness.set_running(other, 3);
    harness.part(first.run, RunPart::Failed("reset".into()));
    harness.add_engine(started(&first.engine, 6));
    harness.wait(60);
    assert_eq!(harness.last_started().engine, first.engine);
    assert_eq!(harness.started.len(), 2);
}
