//! Requests while engines are unreachable, silent or full: each is sent to an available
//! engine or rejected at once, and refused as not run if it has not run.

use crate::harness::Harness;
use peatgrade_forward::CallId;
use peatgrade_ports::{EngineLoad, Instance, RouteKind};
use peatgrade_types::http::HttpStep;
use peatgrade_types::Duration;
use rstest::rstest;

const ROUTE_KINDS: [RouteKind; 2] = [RouteKind::Safe, RouteKind::Unsafe];

/// Guards against waiting for a connection until most of the caller's deadline has passed.
#[test]
fn a_connect_timeout_moves_a_request_to_the_next_engine() {
    for kind in ROUTE_KINDS {
        let mut harness = Harness::new(kind, 2);
        harness.accepts_connections = false;
        harness.call();
        harness.accepts_connections = true;
        harness.wait_for_connect_timeout();
        assert_eq!(harness.requests.len(), 2, "{kind:?}");
        assert_eq!(harness.cancelled, [harness.requests[0].id], "it never runs");
        assert_ne!(harness.requests[0].engine, harness.requests[1].engine);
        harness.respond(1, 200, &["id", "signed"], "body");
        assert_eq!(harness.status(), Some(200));
    }
}

/// Guards against dropping a connection whose event was delayed by the gateway itself.
#[test]
fn a_connection_made_while_the_gateway_stalled_is_kept() {
    let mut harness = Harness::new(RouteKind::Safe, 2);
    harness.accepts_connections = false;
    harness.call();
    harness.advance(100);
    harness
        .gateway
        .on_engine_connected(harness.requests[0].id, None);
    harness.advance(0);
    assert!(harness.cancelled.is_empty());
    harness.respond(0, 200, &["id", "signed"], "body");
    assert_eq!(harness.status(), Some(200));
}

/// Guards against every tick at a silent engine using up the retry budget.
#[test]
fn no_retry_budget_is_used_without_another_engine() {
    let mut harness = Harness::new(RouteKind::Safe, 1);
    harness.call();
    for _ in 0..20 {
        harness.advance(30);
    }
    let counts = harness.gateway.forward_counts();
    assert_eq!(
        (counts.extra_attempts, counts.extra_attempts_denied),
        (0, 0)
    );
}

/// Guards against unreachable engines using up the attempts of a request.
#[test]
fn failed_connects_do_not_count_as_attempts() {
    let mut harness = Harness::new(RouteKind::Safe, 5);
    harness.accepts_connections = false;
    harness.call();
    harness.wait_for_connect_timeout();
    harness.wait_for_connect_timeout();
    harness.accepts_connections = true;
    harness.wait_for_connect_timeout();
    assert_eq!(harness.requests.len(), 4);
    harness.fail(3, HttpStep::Head);
    assert_eq!(harness.requests.len(), 5, "its second attempt");
    harness.respond(4, 200, &["id", "signed"], "body");
    assert_eq!(harness.status(), Some(200));
}

#[rstest]
#[case::connect_timeout(false)]
#[case::connection_refused(true)]
fn a_request_that_reached_no_engine_is_refused_as_not_run(#[case] is_refused: bool) {
    for kind in ROUTE_KINDS {
        let mut harness = Harness::new(kind, 3);
        harness.accepts_connections = false;
        harness.call();
        for index in 0..3 {
            match is_refused {
                true => harness.fail(index, HttpStep::Refused),
                false => harness.wait_for_connect_timeout(),
            }
        }
        assert_eq!(harness.status(), Some(503), "{kind:?}");
        let retry = harness.response_heads[0].header("retry-ms").unwrap();
        assert!(
            (1..=500).contains(&retry.parse::<u64>().unwrap()),
            "{retry}"
        );
    }
}

/// Guards against an unknown outcome when the deadline passes before the request was sent.
#[test]
fn a_deadline_while_connecting_is_refused_as_not_run() {
    let mut harness = Harness::new(RouteKind::Unsafe, 1);
    harness.accepts_connections = false;
    harness.call_with_deadline(45);
    harness.advance(16);
    assert_eq!(harness.status(), Some(503));
    assert_eq!(harness.cancelled, [harness.requests[0].id], "it never runs");
}

#[test]
fn a_deadline_at_a_silent_engine_is_a_timeout() {
    let mut harness = Harness::new(RouteKind::Unsafe, 3);
    harness.call();
    harness.advance(990);
    assert_eq!(harness.requests.len(), 1);
    assert_eq!(harness.status(), Some(504));
}

/// Guards against a failed hedge that leaves a request waiting for a silent engine.
#[test]
fn a_hedge_that_does_not_connect_is_replaced() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    harness.accepts_connections = false;
    harness.advance(80);
    assert_eq!(harness.requests.len(), 2);
    harness.accepts_connections = true;
    harness.wait_for_connect_timeout();
    assert_eq!(harness.requests.len(), 3);
    harness.respond(2, 200, &["id", "signed"], "third");
    assert_eq!(harness.status(), Some(200));
}

#[test]
fn an_engine_overtaken_by_a_hedge_is_avoided_for_a_while() {
    let mut harness = Harness::new(RouteKind::Safe, 2);
    harness.call();
    let silent = Instance(harness.requests[0].engine.clone());
    harness.advance(80);
    harness.respond(1, 200, &["id", "signed"], "second");
    let snapshot = |harness: &Harness| {
        harness
            .gateway
            .directory
            .get(&silent)
            .unwrap()
            .snapshot(harness.now)
    };
    assert!(snapshot(&harness).is_avoided);
    harness.advance(500);
    assert!(!snapshot(&harness).is_avoided);
}

/// Guards against a hedge that runs after the request has been answered.
#[test]
fn a_connecting_hedge_is_cancelled_by_the_response() {
    let mut harness = Harness::new(RouteKind::Safe, 2);
    harness.call();
    harness.accepts_connections = false;
    harness.advance(80);
    harness.respond(0, 200, &["id", "signed"], "first");
    assert_eq!(harness.cancelled, [harness.requests[1].id]);
}

/// Guards against callers waiting for engines that were all unreachable a moment ago.
#[test]
fn a_request_is_rejected_while_no_engine_accepts_connections() {
    let mut harness = Harness::new(RouteKind::Safe, 2);
    harness.accepts_connections = false;
    harness.call();
    harness.wait_for_connect_timeout();
    harness.wait_for_connect_timeout();
    assert_eq!(harness.status(), Some(503));
    harness.next_call();
    assert_eq!(harness.requests.len(), 2, "nothing is sent");
    assert_eq!(harness.status(), Some(503));
    let retry = harness.response_heads[0].header("retry-ms").unwrap();
    assert!(
        (50..=500).contains(&retry.parse::<u64>().unwrap()),
        "{retry}"
    );
    // The unreachable state expires without further requests.
    harness.accepts_connections = true;
    harness.advance(500);
    harness.next_call();
    assert_eq!(harness.requests.len(), 3);
}

/// Guards against reusing open connections to engines that have become unreachable.
#[test]
fn a_second_attempt_uses_a_new_connection() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    harness.accepts_connections = false;
    harness.advance(80);
    let new_connections: Vec<bool> = harness
        .requests
        .iter()
        .map(|request| request.new_connection)
        .collect();
    assert_eq!(new_connections, [false, true]);
}

/// Guards against retrying at another unreachable engine while some have just answered.
#[test]
fn a_retry_prefers_an_engine_that_answered_recently() {
    for seed in 0..16 {
        let mut harness = Harness::with_seed(RouteKind::Safe, 20, seed);
        for number in [3, 11] {
            let engine = Instance(format!("e{number}"));
            let state = harness.gateway.directory.get_mut(&engine).unwrap();
            state
                .stats
                .record_response(harness.now, Duration::from_millis(90));
        }
        harness.accepts_connections = false;
        harness.call();
        harness.wait_for_connect_timeout();
        let second = harness.requests[1].engine.as_str();
        assert!(["e3", "e11"].contains(&second), "{second}");
    }
}

/// Guards against a gateway with few requests sending them all to untried engines.
#[test]
fn an_untried_engine_is_not_preferred() {
    let mut untried = 0;
    for seed in 0..40 {
        let mut harness = Harness::with_seed(RouteKind::Safe, 20, seed);
        for (number, millis) in [(3, 20), (11, 40)] {
            let engine = Instance(format!("e{number}"));
            let state = harness.gateway.directory.get_mut(&engine).unwrap();
            state
                .stats
                .record_response(harness.now, Duration::from_millis(millis));
        }
        harness.call();
        untried += u32::from(harness.requests[0].engine != "e3");
    }
    assert_eq!(untried, 0);
}

/// Guards against queueing a request at engines whose reported queues exceed its deadline.
#[test]
fn a_request_is_rejected_while_all_queues_exceed_its_deadline() {
    let mut harness = Harness::new(RouteKind::Safe, 2);
    for number in 0..2 {
        let engine = Instance(format!("e{number}"));
        let state = harness.gateway.directory.get_mut(&engine).unwrap();
        state
            .stats
            .record_response(harness.now, Duration::from_millis(200));
        let load = EngineLoad {
            running: 6,
            waiting: 60,
            slots: 6,
            slowdown_percent: None,
        };
        state.stats.load = Some((harness.now, load));
    }
    harness.call();
    assert!(harness.requests.is_empty());
    assert_eq!(harness.status(), Some(503));
    harness.advance(1_100);
    harness.next_call();
    assert_eq!(harness.requests.len(), 1, "the reported load is too old");
}

/// Guards against treating an engine that failed a request as unreachable.
#[test]
fn the_only_engine_is_used_again_after_a_failure() {
    let mut harness = Harness::new(RouteKind::Safe, 1);
    harness.call();
    harness.respond(0, 500, &["id", "signed"], "failed");
    assert_eq!(harness.status(), Some(502));
    harness.next_call();
    assert_eq!(harness.requests.len(), 2);
}

/// Guards against doubling the load when all engines are silent.
#[test]
fn hedges_are_bounded_when_all_engines_are_silent() {
    let mut harness = Harness::new(RouteKind::Safe, 40);
    let calls = 100;
    for call in 1..=calls {
        harness.call_as(CallId(call));
    }
    harness.advance(80);
    let copies = harness.requests.len() - calls as usize;
    assert!((3..=12).contains(&copies), "{copies}");
}

#[test]
fn without_admission_control_a_request_is_always_sent() {
    let mut harness = Harness::without_admission_control(RouteKind::Safe, 1);
    harness.accepts_connections = false;
    harness.call();
    harness.wait_for_connect_timeout();
    harness.next_call();
    assert_eq!(harness.requests.len(), 2);
}
