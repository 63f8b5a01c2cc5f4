//! Requests that have crashed engines, and how they are quarantined.

use peatgrade_ports::{Instance, RouteKind};
use peatgrade_quarantine::{Fingerprint, RequestParts, RetryScope};
use peatgrade_types::http::{HttpFailure, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::Duration;
use rstest::rstest;

use crate::harness::Harness;

/// Fingerprint of the request that the harness sends.
fn fingerprint() -> Fingerprint {
    Fingerprint::of(&RequestParts {
        method: "POST",
        host: "h",
        path: "/p/x",
        headers: &[],
        body: b"",
        tenant: "",
    })
}

/// Merges crash records of the request as received from another gateway.
fn merge_crashes(harness: &mut Harness, crashes: usize) {
    let mut remote_quarantine = peatgrade_quarantine::Quarantine::default();
    for number in 0..crashes {
        let engine = Instance(format!("gone-{number}"));
        remote_quarantine.record_interrupted_run(
            harness.now,
            &engine,
            fingerprint(),
            RetryScope::AnyNode,
        );
        remote_quarantine.record_engine_crash(harness.now, &engine, None);
    }
    let records = remote_quarantine.records(harness.now);
    let quarantine = &mut harness.gateway.directory.quarantine;
    quarantine.merge(harness.now, &records, "elsewhere");
}

fn respond_to_probe(harness: &mut Harness, index: usize, part: ResponsePart) {
    let id = harness.probes[index].0;
    let actions = harness.gateway.on_response_part(harness.now, id, part);
    harness.execute(actions);
}

fn connection_refused() -> ResponsePart {
    ResponsePart::Failed(HttpFailure {
        peer: "e".into(),
        step: HttpStep::Refused,
        reason: "refused".into(),
    })
}

/// Guards against retries of a request that crashes one engine after another.
#[rstest]
#[case::safe(RouteKind::Safe)]
#[case::unsafe_route(RouteKind::Unsafe)]
#[case::stream(RouteKind::Streaming)]
fn a_request_that_crashed_three_engines_is_refused_without_a_retry_hint(#[case] kind: RouteKind) {
    let mut harness = Harness::new(kind, 3);
    merge_crashes(&mut harness, 3);
    harness.call();
    assert!(harness.requests.is_empty());
    assert_eq!(harness.status(), Some(502), "the outcome is unknown");
    assert!(harness.response_heads[0].header("retry-ms").is_none());
    assert!(harness.is_finished);
}

#[test]
fn a_request_in_flight_is_cancelled_when_it_is_quarantined() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    merge_crashes(&mut harness, 3);
    harness.advance(5);
    assert_eq!(harness.cancelled, [harness.requests[0].id]);
    assert_eq!(harness.status(), Some(502));
}

#[test]
fn a_broken_run_triggers_a_probe() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    harness.fail(0, HttpStep::Head);
    harness.advance(1);
    assert_eq!(harness.probes[0].1, harness.requests[0].engine);
    respond_to_probe(&mut harness, 0, connection_refused());
    assert_eq!(
        harness
            .gateway
            .directory
            .quarantine
            .crash_count(fingerprint()),
        1
    );
}

#[rstest]
#[case::ok(200, false, 0)]
#[case::not_found(404, false, 0)]
#[case::misdirected(421, true, 1)]
#[case::misdirected_without_proof(421, false, 0)]
fn an_engine_that_answers_did_not_crash(
    #[case] status: u16,
    #[case] not_run: bool,
    #[case] crashes: usize,
) {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    harness.fail(0, HttpStep::Body);
    harness.advance(1);
    let mut head = ResponseHead::new(status, "text/plain");
    let assertion = not_run.then(|| ("not-run".to_string(), "1".to_string()));
    head.headers.extend(assertion);
    respond_to_probe(&mut harness, 0, ResponsePart::Head(head));
    let quarantine = &harness.gateway.directory.quarantine;
    assert_eq!(quarantine.crash_count(fingerprint()), crashes);
}

/// Guards against blaming a request for the shutdown of a draining engine.
#[test]
fn the_shutdown_of_a_draining_engine_is_not_a_crash() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    let engine = Instance(harness.requests[0].engine.clone());
    let state = harness.gateway.directory.get_mut(&engine).unwrap();
    state.record.draining = true;
    harness.fail(0, HttpStep::Head);
    harness.advance(1);
    assert!(harness.probes.is_empty());
}

#[test]
fn a_broken_run_waits_for_its_hedge_before_a_third_engine_is_tried() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.set_max_attempts(3);
    harness.call();
    harness.advance(80);
    assert_eq!(harness.requests.len(), 2);
    harness.fail(0, HttpStep::Head);
    harness.advance(80);
    assert_eq!(harness.requests.len(), 2);
    harness.respond(1, 200, &["id", "signed"], "body");
    assert_eq!(harness.status(), Some(200));
}

#[test]
fn a_second_broken_run_is_retried_at_a_third_engine() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.set_max_attempts(3);
    harness.call();
    harness.fail(0, HttpStep::Head);
    harness.fail(1, HttpStep::Head);
    assert_eq!(harness.requests.len(), 3);
    harness.respond(2, 200, &["id", "signed"], "body");
    assert_eq!(harness.status(), Some(200));
}

#[test]
fn a_request_that_crashed_an_engine_is_not_hedged() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    merge_crashes(&mut harness, 1);
    harness.call();
    harness.advance(80);
    assert_eq!(harness.requests.len(), 1);
}

#[rstest]
#[case::other_engines(3, 0, true)]
#[case::one_other_engine(3, 1, true)]
#[case::last_engine(3, 2, false)]
#[case::single_engine_service(1, 0, true)]
fn a_suspect_request_does_not_use_the_last_engine_of_a_service(
    #[case] engines: usize,
    #[case] unreachable: usize,
    #[case] is_sent: bool,
) {
    let mut harness = Harness::new(RouteKind::Safe, engines);
    merge_crashes(&mut harness, 2);
    for number in 0..unreachable {
        let engine = Instance(format!("e{number}"));
        let state = harness.gateway.directory.get_mut(&engine).unwrap();
        state.stats.is_unreachable = true;
        state.stats.backoff_until = harness.now + Duration::from_millis(400);
    }
    harness.call();
    assert_eq!(harness.requests.len(), usize::from(is_sent));
    if !is_sent {
        // Not run, so the caller may retry once more engines are available.
        assert_eq!(harness.status(), Some(503));
        assert_eq!(harness.response_heads[0].header("retry-ms"), Some("1000"));
    }
}

#[test]
fn a_suspect_request_is_cleared_by_a_response() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    merge_crashes(&mut harness, 2);
    harness.call();
    harness.respond(0, 200, &["id", "signed"], "body");
    assert_eq!(harness.status(), Some(200));
    assert_eq!(
        harness
            .gateway
            .directory
            .quarantine
            .crash_count(fingerprint()),
        0
    );
}
