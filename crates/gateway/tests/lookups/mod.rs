//! Lookups while engines are dark, silent or full: each is offered to an engine that
//! listens or rejected at once, and what did not run is told so.

use crate::scene::Scene;
use peatgrade_forward::CallId;
use peatgrade_ports::{EngineLoad, Instance, RouteKind};
use peatgrade_types::http::HttpStep;
use peatgrade_types::Duration;
use rstest::rstest;

const BOTH: [RouteKind; 2] = [RouteKind::Safe, RouteKind::Unsafe];

/// The connection never comes up: its second of waiting was most of the caller's time.
#[test]
fn an_engine_that_does_not_connect_is_left_for_the_next() {
    for kind in BOTH {
        let mut scene = Scene::new(kind, 2);
        scene.connects = false;
        scene.call();
        scene.connects = true;
        scene.wait_for_connection();
        assert_eq!(scene.sent.len(), 2, "{kind:?}");
        assert_eq!(scene.cancelled, [scene.sent[0].id], "it never runs");
        assert_ne!(scene.sent[0].engine, scene.sent[1].engine);
        scene.answer(1, 200, &["id", "signed"], "body");
        assert_eq!(scene.status(), Some(200));
    }
}

/// The gateway was held up, and hears in its next turn that the connection is up.
#[test]
fn a_connection_that_came_up_while_nobody_looked_is_kept() {
    let mut scene = Scene::new(RouteKind::Safe, 2);
    scene.connects = false;
    scene.call();
    scene.wait(100);
    scene.gateway.on_engine_connected(scene.sent[0].id, None);
    scene.wait(0);
    assert!(scene.cancelled.is_empty());
    scene.answer(0, 200, &["id", "signed"], "body");
    assert_eq!(scene.status(), Some(200));
}

/// Each look at a silent engine would take one more copy out of the budget.
#[test]
fn nothing_is_taken_out_of_the_budget_where_nobody_is_left() {
    let mut scene = Scene::new(RouteKind::Safe, 1);
    scene.call();
    for _ in 0..20 {
        scene.wait(30);
    }
    let counts = scene.gateway.forward_counts();
    assert_eq!(
        (counts.extra_attempts, counts.extra_attempts_denied),
        (0, 0)
    );
}

/// One that was never sent does not count against the engines that may run it.
#[test]
fn engines_that_do_not_connect_leave_all_attempts_to_the_others() {
    let mut scene = Scene::new(RouteKind::Safe, 5);
    scene.connects = false;
    scene.call();
    scene.wait_for_connection();
    scene.wait_for_connection();
    scene.connects = true;
    scene.wait_for_connection();
    assert_eq!(scene.sent.len(), 4);
    scene.fail(3, HttpStep::Head);
    assert_eq!(scene.sent.len(), 5, "its second attempt");
    scene.answer(4, 200, &["id", "signed"], "body");
    assert_eq!(scene.status(), Some(200));
}

#[rstest]
#[case::never_up(false)]
#[case::refused(true)]
fn a_request_that_reached_no_engine_is_told_that_it_has_not_run(#[case] is_refused: bool) {
    for kind in BOTH {
        let mut scene = Scene::new(kind, 3);
        scene.connects = false;
        scene.call();
        for index in 0..3 {
            match is_refused {
                true => scene.fail(index, HttpStep::Refused),
                false => scene.wait_for_connection(),
            }
        }
        assert_eq!(scene.status(), Some(503), "{kind:?}");
        let retry = scene.heads[0].header("retry-ms").unwrap();
        assert!(
            (1..=500).contains(&retry.parse::<u64>().unwrap()),
            "{retry}"
        );
    }
}

/// The deadline came while the only attempt still waited for its connection.
#[test]
fn a_deadline_without_a_connection_is_no_time_out() {
    let mut scene = Scene::new(RouteKind::Unsafe, 1);
    scene.connects = false;
    scene.call_within(45);
    scene.wait(16);
    assert_eq!(scene.status(), Some(503));
    assert_eq!(scene.cancelled, [scene.sent[0].id], "it never runs");
}

#[test]
fn a_deadline_at_a_silent_engine_is_one() {
    let mut scene = Scene::new(RouteKind::Unsafe, 3);
    scene.call();
    scene.wait(990);
    assert_eq!(scene.sent.len(), 1);
    assert_eq!(scene.status(), Some(504));
}

/// With the first at a silent engine, and no connection to the second, a third is asked.
#[test]
fn a_hedge_that_does_not_connect_is_made_good() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    scene.connects = false;
    scene.wait(80);
    assert_eq!(scene.sent.len(), 2);
    scene.connects = true;
    scene.wait_for_connection();
    assert_eq!(scene.sent.len(), 3);
    scene.answer(2, 200, &["id", "signed"], "third");
    assert_eq!(scene.status(), Some(200));
}

#[test]
fn an_engine_that_another_overtook_is_avoided_for_a_while() {
    let mut scene = Scene::new(RouteKind::Safe, 2);
    scene.call();
    let silent = Instance(scene.sent[0].engine.clone());
    scene.wait(80);
    scene.answer(1, 200, &["id", "signed"], "second");
    let avoided = |scene: &Scene| {
        scene
            .gateway
            .directory
            .get(&silent)
            .unwrap()
            .snapshot(scene.now)
    };
    assert!(avoided(&scene).is_avoided);
    scene.wait(500);
    assert!(!avoided(&scene).is_avoided);
}

/// An answer that came while the hedge was still connecting ends that.
#[test]
fn a_copy_without_a_connection_ends_with_the_answer() {
    let mut scene = Scene::new(RouteKind::Safe, 2);
    scene.call();
    scene.connects = false;
    scene.wait(80);
    scene.answer(0, 200, &["id", "signed"], "first");
    assert_eq!(scene.cancelled, [scene.sent[1].id]);
}

/// All engines were dark a moment ago: nothing is sent, and the caller hears it at once.
#[test]
fn a_request_is_rejected_at_once_while_no_engine_listens() {
    let mut scene = Scene::new(RouteKind::Safe, 2);
    scene.connects = false;
    scene.call();
    scene.wait_for_connection();
    scene.wait_for_connection();
    assert_eq!(scene.status(), Some(503));
    scene.next_call();
    assert_eq!(scene.sent.len(), 2, "nothing is sent");
    assert_eq!(scene.status(), Some(503));
    let retry = scene.heads[0].header("retry-ms").unwrap();
    assert!(
        (50..=500).contains(&retry.parse::<u64>().unwrap()),
        "{retry}"
    );
    // The belief runs out by itself.
    scene.connects = true;
    scene.wait(500);
    scene.next_call();
    assert_eq!(scene.sent.len(), 3);
}

/// Kept connections lead to two dark engines: a second attempt shows who is there.
#[test]
fn a_second_attempt_goes_over_a_new_connection() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    scene.connects = false;
    scene.wait(80);
    let fresh: Vec<bool> = scene.sent.iter().map(|sent| sent.fresh).collect();
    assert_eq!(fresh, [false, true]);
}

/// Half of the engines are dark, and a few of the others have just answered.
#[test]
fn after_a_dark_engine_one_is_tried_that_has_shown_that_it_is_there() {
    for seed in 0..16 {
        let mut scene = Scene::seeded(RouteKind::Safe, 20, seed);
        for number in [3, 11] {
            let engine = Instance(format!("e{number}"));
            let state = scene.gateway.directory.get_mut(&engine).unwrap();
            state
                .stats
                .record_response(scene.now, Duration::from_millis(90));
        }
        scene.connects = false;
        scene.call();
        scene.wait_for_connection();
        let second = scene.sent[1].engine.as_str();
        assert!(["e3", "e11"].contains(&second), "{second}");
    }
}

/// A gateway sees few requests: it must not send them all to engines that it knows
/// nothing of.
#[test]
fn an_engine_that_was_not_tried_counts_as_one_of_the_others() {
    let mut untried = 0;
    for seed in 0..40 {
        let mut scene = Scene::seeded(RouteKind::Safe, 20, seed);
        for (number, millis) in [(3, 20), (11, 40)] {
            let engine = Instance(format!("e{number}"));
            let state = scene.gateway.directory.get_mut(&engine).unwrap();
            state
                .stats
                .record_response(scene.now, Duration::from_millis(millis));
        }
        scene.call();
        untried += u32::from(scene.sent[0].engine != "e3");
    }
    assert_eq!(untried, 0);
}

/// Each engine has said that what waits there takes longer than the caller does.
#[test]
fn a_request_is_rejected_at_once_while_all_engines_would_be_late() {
    let mut scene = Scene::new(RouteKind::Safe, 2);
    for number in 0..2 {
        let engine = Instance(format!("e{number}"));
        let state = scene.gateway.directory.get_mut(&engine).unwrap();
        state
            .stats
            .record_response(scene.now, Duration::from_millis(200));
        let load = EngineLoad {
            running: 6,
            waiting: 60,
            slots: 6,
            slowdown_percent: None,
        };
        state.stats.load = Some((scene.now, load));
    }
    scene.call();
    assert!(scene.sent.is_empty());
    assert_eq!(scene.status(), Some(503));
    scene.wait(1_100);
    scene.next_call();
    assert_eq!(scene.sent.len(), 1, "the news is too old");
}

/// A failure says nothing about whether the engine listens.
#[test]
fn the_only_engine_is_asked_again_after_a_failure() {
    let mut scene = Scene::new(RouteKind::Safe, 1);
    scene.call();
    scene.answer(0, 500, &["id", "signed"], "failed");
    assert_eq!(scene.status(), Some(502));
    scene.next_call();
    assert_eq!(scene.sent.len(), 2);
}

/// Every engine is silent, and each request would be sent once more.
#[test]
fn copies_are_bounded_when_all_engines_are_silent() {
    let mut scene = Scene::new(RouteKind::Safe, 40);
    let calls = 100;
    for call in 1..=calls {
        scene.call_as(CallId(call));
    }
    scene.wait(80);
    let copies = scene.sent.len() - calls as usize;
    assert!((3..=12).contains(&copies), "{copies}");
}

#[test]
fn without_admission_a_request_goes_out_whatever_is_believed() {
    let mut scene = Scene::without_admission(RouteKind::Safe, 1);
    scene.connects = false;
    scene.call();
    scene.wait_for_connection();
    scene.next_call();
    assert_eq!(scene.sent.len(), 2);
}
