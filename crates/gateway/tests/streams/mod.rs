//! Streams reach the caller whole, are resumed after their last complete event, or are marked as
//! truncated.

use bytes::Bytes;
use peatgrade_ports::RouteKind;
use peatgrade_types::http::{HttpStep, ResponseHead, ResponsePart};
use rstest::rstest;

use crate::harness::Harness;

const EVENT_STREAM: &str = "text/event-stream";
const FIRST_EVENT: &str = "id: 1\ndata: one\n\n";

fn begin_response(harness: &mut Harness, index: usize, content_type: &str) {
    let mut head = ResponseHead::new(200, content_type);
    head.headers.push(("id".into(), "r1".into()));
    head.headers.push(("signed".into(), "1".into()));
    harness.respond_part(index, ResponsePart::Head(head));
}

fn begin_stream(harness: &mut Harness, index: usize) {
    begin_response(harness, index, EVENT_STREAM);
}

fn data(harness: &mut Harness, index: usize, text: &str) {
    harness.respond_part(index, ResponsePart::Data(Bytes::from(text.to_string())));
}

fn end(harness: &mut Harness, index: usize) {
    harness.respond_part(index, ResponsePart::End);
}

/// A gateway whose streaming route may not be resumed.
fn without_resumption() -> Harness {
    let mut harness = Harness::new(RouteKind::Streaming, 2);
    harness.change_routes(|route| route.resumable = false);
    harness
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

/// Guards against a stream that looks complete after its engine ended within an event: the end of
/// the connection also completes a body without a length.
#[rstest]
#[case::event_stream(EVENT_STREAM)]
#[case::with_parameter("Text/Event-Stream; charset=utf-8")]
#[case::numbered_events("application/octet-stream")]
fn a_stream_that_ends_within_an_event_is_marked_as_truncated(#[case] content_type: &str) {
    let mut harness = without_resumption();
    harness.call();
    begin_response(&mut harness, 0, content_type);
    data(&mut harness, 0, FIRST_EVENT);
    data(&mut harness, 0, "id: 2\ndata: tw");
    end(&mut harness, 0);
    assert!(harness.is_truncated);
    assert_eq!(harness.response_body, FIRST_EVENT.as_bytes());
    assert_eq!(harness.requests.len(), 1, "the route is not resumable");
}

/// The same without any complete event.
#[test]
fn a_stream_that_ends_within_its_first_event_is_marked_as_truncated() {
    let mut harness = without_resumption();
    harness.call();
    begin_stream(&mut harness, 0);
    data(&mut harness, 0, "id: 1\nda");
    end(&mut harness, 0);
    assert!(harness.is_truncated);
    assert!(harness.response_body.is_empty());
}

#[test]
fn a_stream_that_ends_within_an_event_is_resumed_on_a_resumable_route() {
    let mut harness = Harness::new(RouteKind::Streaming, 2);
    harness.call();
    begin_stream(&mut harness, 0);
    data(&mut harness, 0, "id: 1\ndata: one\n\nid: 2\ndata: tw");
    end(&mut harness, 0);
    assert_eq!(harness.requests[1].last_event, "Some(1)");
    begin_stream(&mut harness, 1);
    data(&mut harness, 1, "id: 2\ndata: two\n\n");
    end(&mut harness, 1);
    assert!(harness.is_finished && !harness.is_truncated);
}

/// Guards against whole answers that are taken for truncated ones.
#[rstest]
#[case::complete_events(EVENT_STREAM, "")]
#[case::blank_lines(EVENT_STREAM, "\r\n\n")]
#[case::comment(EVENT_STREAM, ": done\n")]
#[case::no_event_stream("application/json", "{\"done\": true}")]
fn a_whole_stream_is_passed_on_with_its_rest(#[case] content_type: &str, #[case] rest: &str) {
    let mut harness = without_resumption();
    let begin = match content_type {
        EVENT_STREAM => FIRST_EVENT,
        _ => "{\"part\": 1}\n\n",
    };
    harness.call();
    begin_response(&mut harness, 0, content_type);
    data(&mut harness, 0, begin);
    data(&mut harness, 0, rest);
    end(&mut harness, 0);
    assert!(harness.is_finished && !harness.is_truncated);
    assert_eq!(harness.response_body, format!("{begin}{rest}").as_bytes());
}

/// Guards against events in the answer to a lookup that are cut off and look complete.
#[test]
fn a_lookup_answered_with_a_truncated_event_stream_is_sent_to_another_engine() {
    let mut harness = Harness::new(RouteKind::Safe, 2);
    harness.call();
    begin_stream(&mut harness, 0);
    data(&mut harness, 0, "id: 1\ndata: one\n\nid: 2\ndata: tw");
    end(&mut harness, 0);
    assert_eq!(harness.status(), None, "the answer is not complete");
    assert_ne!(harness.requests[1].engine, harness.requests[0].engine);
    begin_stream(&mut harness, 1);
    data(&mut harness, 1, FIRST_EVENT);
    end(&mut harness, 1);
    assert_eq!(harness.status(), Some(200));
    assert_eq!(harness.response_body, FIRST_EVENT.as_bytes());
}

/// A request that may have run is neither repeated nor refused as not run.
#[test]
fn a_truncated_answer_to_an_unsafe_request_promises_nothing() {
    let mut harness = Harness::new(RouteKind::Unsafe, 2);
    harness.call();
    begin_stream(&mut harness, 0);
    data(&mut harness, 0, "id: 1\ndata: o");
    end(&mut harness, 0);
    assert_eq!(harness.status(), Some(502));
    assert_eq!(harness.requests.len(), 1);
}
