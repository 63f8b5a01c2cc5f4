//! Requests at engines that restart under the same name, or are replaced at their address.

use peatgrade_ports::{Instance, RouteKind};
use peatgrade_quarantine::{Fingerprint, RequestParts};
use peatgrade_types::http::{HttpStep, ResponseHead, ResponsePart};
use rstest::rstest;

use crate::harness::Harness;

/// A gateway with a request in flight at an engine that then restarts.
fn with_restarted_engine(kind: RouteKind) -> Harness {
    let mut harness = Harness::new(kind, 3);
    for engine in ["e0", "e1", "e2"] {
        harness.set_engine_start(engine, 5);
    }
    harness.call();
    let engine = harness.requests[0].engine.clone();
    harness.set_engine_start(&engine, 6);
    harness.advance(1);
    harness
}

#[test]
fn a_safe_request_is_retried_at_another_engine_at_once() {
    let mut harness = with_restarted_engine(RouteKind::Safe);
    assert_eq!(harness.requests.len(), 2);
    assert_ne!(harness.requests[0].engine, harness.requests[1].engine);
    harness.respond(1, 200, &["id", "signed"], "body");
    assert_eq!(harness.status(), Some(200));
}

/// Guards against cancelling a request that was sent after the restart, of which the gateway
/// learned later.
#[test]
fn a_response_of_the_restarted_engine_is_still_accepted() {
    let mut harness = with_restarted_engine(RouteKind::Safe);
    assert!(harness.cancelled.is_empty());
    harness.respond(0, 200, &["id", "signed"], "body");
    assert_eq!(harness.status(), Some(200));
}

#[test]
fn an_unsafe_request_is_not_retried() {
    let mut harness = with_restarted_engine(RouteKind::Unsafe);
    assert_eq!(harness.requests.len(), 1);
    harness.respond(0, 200, &["id", "signed"], "body");
    assert_eq!(harness.status(), Some(200));
}

#[test]
fn a_stream_resumes_at_another_engine_after_its_last_event() {
    let mut harness = Harness::new(RouteKind::Streaming, 2);
    harness.set_engine_start("e0", 5);
    harness.set_engine_start("e1", 5);
    harness.call();
    let mut head = ResponseHead::new(200, "text/event-stream");
    head.headers.push(("id".into(), "r1".into()));
    head.headers.push(("signed".into(), "1".into()));
    harness.respond_part(0, ResponsePart::Head(head));
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    harness.respond_part(0, ResponsePart::Data(events.into()));
    let engine = harness.requests[0].engine.clone();
    harness.set_engine_start(&engine, 6);
    harness.advance(1);
    assert_eq!(harness.cancelled, [harness.requests[0].id]);
    assert_eq!(harness.requests[1].last_event, "Some(2)");
    assert!(!harness.is_truncated);
}

#[test]
fn a_restarted_engine_starts_without_requests_and_failures() {
    let mut harness = with_restarted_engine(RouteKind::Safe);
    let engine = Instance(harness.requests[0].engine.clone());
    harness.fail(0, HttpStep::Head);
    let state = harness.gateway.directory.get(&engine).unwrap();
    assert_eq!(state.stats.in_flight, 0);
    assert_eq!(state.stats.consecutive_failures, 0);
}

fn respond_misdirected(harness: &mut Harness, index: usize, instance: Option<&str>) {
    let mut head = ResponseHead::new(421, "text/plain");
    head.headers.push(("not-run".into(), "1".into()));
    let instance = instance.map(|id| ("instance".to_string(), id.to_string()));
    head.headers.extend(instance);
    harness.respond_part(index, ResponsePart::Head(head));
    harness.respond_part(index, ResponsePart::End);
}

#[rstest]
#[case::without_instance(None)]
#[case::other_instance(Some("other"))]
fn a_misdirected_engine_receives_no_requests_for_a_while(#[case] instance: Option<&str>) {
    let mut harness = Harness::new(RouteKind::Unsafe, 1);
    harness.call();
    respond_misdirected(&mut harness, 0, instance);
    assert_eq!(harness.status(), Some(503), "refused as not run");
    harness.response_heads.clear();
    harness.is_finished = false;
    harness.advance(100);
    harness.call();
    assert_eq!(harness.requests.len(), 1);
    assert_eq!(harness.status(), Some(503));
    harness.response_heads.clear();
    harness.is_finished = false;
    // After the backoff a single request probes the engine.
    harness.advance(400);
    harness.call();
    assert_eq!(harness.requests.len(), 2);
}

fn crash_count(harness: &Harness) -> usize {
    let fingerprint = Fingerprint::of(&RequestParts {
        method: "POST",
        host: "h",
        path: "/p/x",
        headers: &[],
        body: b"",
        tenant: "",
    });
    harness
        .gateway
        .directory
        .quarantine
        .crash_count(fingerprint)
}

/// Guards against missing a crash because the restarted engine answers the probe.
#[rstest]
#[case::restarted("6", 1)]
#[case::not_restarted("5", 0)]
#[case::no_start_time("", 0)]
fn a_probe_compares_start_times(#[case] started: &str, #[case] expected: usize) {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    for engine in ["e0", "e1", "e2"] {
        harness.set_engine_start(engine, 5);
    }
    harness.call();
    harness.fail(0, HttpStep::Head);
    harness.advance(1);
    let id = harness.probes[0].0;
    let head = ResponseHead::new(200, "application/json");
    let body = started.to_string();
    for part in [
        ResponsePart::Head(head),
        ResponsePart::Data(body.into()),
        ResponsePart::End,
    ] {
        let actions = harness.gateway.on_response_part(harness.now, id, part);
        harness.execute(actions);
    }
    assert_eq!(crash_count(&harness), expected);
    assert_eq!(
        harness.gateway.directory.ended_incarnations(),
        u64::from(expected == 1)
    );
}

#[test]
fn an_oversized_report_is_cancelled() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    harness.fail(0, HttpStep::Head);
    harness.advance(1);
    let id = harness.probes[0].0;
    let head = ResponseHead::new(200, "application/json");
    let actions = harness
        .gateway
        .on_response_part(harness.now, id, ResponsePart::Head(head));
    harness.execute(actions);
    for _ in 0..5 {
        let data = vec![b'1'; 64 * 1024];
        let part = ResponsePart::Data(data.into());
        let actions = harness.gateway.on_response_part(harness.now, id, part);
        harness.execute(actions);
    }
    assert!(harness.cancelled.contains(&id));
    assert_eq!(crash_count(&harness), 0);
}
