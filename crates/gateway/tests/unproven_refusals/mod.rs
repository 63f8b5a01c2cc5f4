//! Guards against a status that promises "not run" reaching the caller of a request that an
//! engine has run (review case 9): only an engine that asserts it has not run a request is
//! believed.

use peatgrade_ports::{Instance, RouteKind};
use peatgrade_types::http::HttpStep;
use rstest::rstest;

use crate::harness::Harness;

/// The last attempt of a request that may be repeated is no exception.
#[rstest]
fn the_last_attempt_is_no_promise_either(#[values(408, 421, 429, 503)] status: u16) {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.set_max_attempts(1);
    harness.call();
    harness.respond(0, status, &["id", "signed"], "busy");
    assert_eq!(harness.requests.len(), 1);
    assert_eq!(harness.status(), Some(502));
}

/// Engines answer without the assertion. The caller learns that the outcome is unknown.
#[rstest]
fn a_refusal_without_the_assertion_is_no_promise(
    #[values(408, 421, 429, 503)] status: u16,
    #[values(RouteKind::Safe, RouteKind::Unsafe, RouteKind::Streaming)] kind: RouteKind,
    #[values(&["id", "signed"], &["id"])] headers: &[&str],
) {
    let mut harness = Harness::new(kind, 1);
    harness.call();
    harness.respond(0, status, headers, "busy");
    assert_eq!(harness.requests.len(), 1);
    assert_eq!(harness.status(), Some(502));
    assert_eq!(harness.response_heads[0].header("signed"), None);
    assert!(harness.response_heads[0].header("retry-ms").is_none());
    assert!(harness.is_finished);
}

#[rstest]
fn a_repeatable_request_is_repeated_after_it(#[values(408, 421, 429, 503)] status: u16) {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    harness.respond(0, status, &["id", "signed"], "busy");
    assert_eq!(harness.requests.len(), 2);
    harness.respond(1, 200, &["id", "signed"], "body");
    assert_eq!(harness.status(), Some(200));
}

#[rstest]
fn a_request_that_may_run_once_is_not_repeated_after_it(#[values(408, 421, 429, 503)] status: u16) {
    let mut harness = Harness::new(RouteKind::Unsafe, 3);
    harness.call();
    harness.respond(0, status, &["id", "signed"], "busy");
    assert_eq!(harness.requests.len(), 1);
    assert_eq!(harness.status(), Some(502));
}

/// An engine that ran a request and says that it was meant for another one stays in use.
#[rstest]
fn an_engine_is_not_absent_without_the_assertion(
    #[values(RouteKind::Safe, RouteKind::Unsafe)] kind: RouteKind,
) {
    let mut harness = Harness::new(kind, 1);
    harness.call();
    harness.respond(0, 421, &["id", "signed"], "");
    let engine = Instance(harness.requests[0].engine.clone());
    let state = harness.gateway.directory.get(&engine).unwrap();
    assert!(!state.is_absent(harness.now));
}

/// An earlier attempt may have run, so a later engine's assertion does not cover the request.
#[test]
fn an_assertion_covers_only_the_engine_that_makes_it() {
    let mut harness = Harness::new(RouteKind::Safe, 2);
    harness.call();
    harness.fail(0, HttpStep::Head);
    harness.respond(1, 503, &["id", "not-run"], "");
    assert_eq!(harness.status(), Some(502));
}

/// The request was sent before over a connection that broke, so the engine's assertion does not
/// cover its first copy.
#[test]
fn an_assertion_does_not_cover_an_earlier_copy_of_the_attempt() {
    let mut harness = Harness::new(RouteKind::Safe, 1);
    harness.call();
    harness.gateway.on_engine_resent(harness.requests[0].id);
    harness.respond(0, 503, &["id", "not-run"], "");
    assert_eq!(harness.status(), Some(502));
}

/// A request is at two engines: what one of them asserts does not cover the run at the other,
/// whichever answers first.
#[rstest]
fn an_assertion_does_not_cover_the_other_copy_of_a_hedged_request(
    #[values(408, 421, 429, 503)] status: u16,
    #[values((0, 1), (1, 0))] (unproven, refusing): (usize, usize),
    #[values(false, true)] refuses_first: bool,
) {
    let mut harness = Harness::new(RouteKind::Safe, 2);
    harness.call();
    harness.advance(80);
    assert_eq!(harness.requests.len(), 2, "it is hedged");
    if refuses_first {
        harness.respond(refusing, 503, &["id", "not-run"], "");
        assert_eq!(harness.status(), None);
        harness.respond(unproven, status, &["id", "signed"], "busy");
    } else {
        harness.respond(unproven, status, &["id", "signed"], "busy");
        assert_eq!(harness.status(), None);
        harness.respond(refusing, 503, &["id", "not-run"], "");
    }
    assert_eq!(harness.status(), Some(502));
}

/// A success or an interim status with the assertion contradicts itself.
#[test]
fn a_success_that_asserts_it_has_not_run_is_no_promise() {
    let mut harness = Harness::new(RouteKind::Unsafe, 1);
    harness.call();
    harness.respond(0, 200, &["id", "not-run"], "body");
    assert_eq!(harness.status(), Some(502));
}

/// The same, once the deadline has passed.
#[test]
fn an_unproven_refusal_at_the_deadline_times_out() {
    let mut harness = Harness::new(RouteKind::Unsafe, 1);
    harness.call();
    harness.now += peatgrade_types::Duration::from_millis(5_000);
    harness.respond(0, 503, &["id", "signed"], "busy");
    assert_eq!(harness.status(), Some(504));
}

/// An engine's own failure promises nothing and is returned unchanged.
#[rstest]
fn other_failures_are_returned_unchanged(#[values(400, 404, 422, 500, 502, 504)] status: u16) {
    let mut harness = Harness::new(RouteKind::Unsafe, 1);
    harness.call();
    harness.respond(0, status, &["id", "signed"], "body");
    assert_eq!(harness.status(), Some(status));
    assert_eq!(harness.response_heads[0].header("signed"), Some("1"));
    assert_eq!(harness.response_body, b"body");
}
