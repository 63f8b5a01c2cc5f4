//! Guards against memory that is held for callers and not accounted: submissions are decoded only
//! if they fit, and incomplete responses are counted.

use peatgrade_ports::RouteKind;
use peatgrade_types::http::{HttpStep, ResponseHead, ResponsePart};

use crate::harness::Harness;

#[test]
fn a_submission_that_does_not_fit_is_refused_at_once() {
    let mut harness = Harness::new(RouteKind::Batch, 0);
    harness.gateway.set_replicas(vec!["10.0.0.1:1".into()]);
    harness.gateway.limit_submissions(|needed| Some(needed - 1));
    harness.call_with_body(&[b'x'; 1_000]);
    assert_eq!(harness.status(), Some(503));
    assert!(harness.response_heads[0].header("retry-ms").is_some());
    assert!(harness.job_calls.is_empty());
    assert_eq!(harness.gateway.submissions_refused, 1);
}

#[test]
fn a_submission_that_fits_is_relayed() {
    let mut harness = Harness::new(RouteKind::Batch, 0);
    harness.gateway.set_replicas(vec!["10.0.0.1:1".into()]);
    harness.gateway.limit_submissions(Some);
    harness.call_with_body(&[b'x'; 1_000]);
    assert_eq!(harness.status(), None);
    assert_eq!(harness.job_calls.len(), 1);
}

/// Requests on other routes are not decoded.
#[test]
fn other_requests_need_no_such_memory() {
    let mut harness = Harness::new(RouteKind::Safe, 1);
    harness.gateway.limit_submissions(|_| Some(0));
    harness.call_with_body(&[b'x'; 1_000]);
    assert_eq!(harness.requests.len(), 1);
}

/// Bytes of incomplete responses are released however an attempt ends.
#[test]
fn incomplete_responses_are_counted() {
    let mut harness = Harness::new(RouteKind::Unsafe, 1);
    harness.call();
    let head = ResponseHead::new(200, "text/plain");
    harness.respond_part(0, ResponsePart::Head(head));
    harness.respond_part(0, ResponsePart::Data(vec![b'x'; 700].into()));
    assert_eq!(harness.gateway.response_bytes(), 700);
    harness.fail(0, HttpStep::Body);
    assert_eq!(harness.gateway.response_bytes(), 0);
}

/// The caller of a dropped response learns that the outcome is unknown, and others go on.
#[test]
fn the_largest_incomplete_response_is_dropped() {
    let mut harness = Harness::new(RouteKind::Safe, 3);
    harness.call();
    let head = ResponseHead::new(200, "text/plain");
    harness.respond_part(0, ResponsePart::Head(head));
    harness.respond_part(0, ResponsePart::Data(vec![b'x'; 700].into()));
    let actions = harness.gateway.drop_largest_response(harness.now);
    harness.execute(actions);
    assert_eq!(harness.gateway.response_bytes(), 0);
    assert_eq!(harness.cancelled, [harness.requests[0].id]);
    assert_eq!(harness.status(), Some(502));
    assert_eq!(harness.requests.len(), 1);
    assert!(harness
        .gateway
        .drop_largest_response(harness.now)
        .is_empty());
}
