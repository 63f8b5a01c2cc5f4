//! Streams reach the caller whole, are resumed after their last complete event, or are marked as
//! truncated.

use bytes::Bytes;
use peatgrade_ports::RouteKind;
use peatgrade_types::http::{HttpStep, ResponseHead, ResponsePart};

use crate::harness::Harness;

fn begin_stream(harness: &mut Harness, index: usize) {
    let mut head = ResponseHead::new(200, "text/event-stream");
    head.headers.push(("id".into(), "r1".into()));
    head.headers.push(("signed".into(), "1".into()));
    harness.respond_part(index, ResponsePart::Head(head));
}

fn data(harness: &mut Harness, index: usize, text: &str) {
    harness.respond_part(index, ResponsePart::Data(Bytes::from(text.to_string())));
}

#[test]
fn a_broken_stream_resumes_at_another_engine_after_its_last_complete_event() {
    let mut harness = Harness::new(RouteKind::Streaming, 3);
    harness.call();
    begin_stream(&mut harness, 0);
    data(&mut harness, 0, "id: 1\ndata: one\n\nid: 2\nda");
    assert_eq!(
        harness.response_body, b"id: 1\ndata: one\n\n",
        "events are passed on as they arrive"
    );
    harness.fail(0, HttpStep::Body);
    assert_eq!(harness.requests[1].last_event, "Some(1)");
    assert_ne!(harness.requests[1].engine, harness.requests[0].engine);
    begin_stream(&mut harness, 1);
    data(&mut harness, 1, "id: 2\ndata: two\n\n");
    harness.respond_part(1, ResponsePart::End);
    assert_eq!(harness.response_heads.len(), 1);
    assert_eq!(
        harness.response_body,
        b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
    );
    assert!(harness.is_finished && !harness.is_truncated);
}

#[test]
fn an_incomplete_stream_is_marked_as_truncated() {
    let mut harness = Harness::new(RouteKind::Streaming, 2);
    harness.call();
    for index in 0..2 {
        begin_stream(&mut harness, index);
        data(&mut harness, index, "id: 1\ndata: one\n\n");
        harness.fail(index, HttpStep::Body);
    }
    assert!(harness.is_truncated);
    assert_eq!(harness.response_heads.len(), 1);
}

#[test]
fn an_error_of_the_next_engine_is_not_appended_to_a_stream() {
    let mut harness = Harness::new(RouteKind::Streaming, 2);
    harness.call();
    begin_stream(&mut harness, 0);
    data(&mut harness, 0, "id: 1\ndata: one\n\n");
    harness.fail(0, HttpStep::Body);
    harness.respond(1, 500, &["id", "signed"], "broken");
    assert!(harness.is_truncated);
    assert_eq!(harness.response_body, b"id: 1\ndata: one\n\n");
    assert_eq!(harness.response_heads.len(), 1);
}

#[test]
fn a_stream_is_truncated_at_its_deadline() {
    let mut harness = Harness::new(RouteKind::Streaming, 2);
    harness.call();
    begin_stream(&mut harness, 0);
    harness.advance(1_000);
    assert!(harness.is_truncated);
    assert_eq!(harness.cancelled.len(), 1);
}
