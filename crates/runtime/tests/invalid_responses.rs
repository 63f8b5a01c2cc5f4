//! Guards against bytes that violate the protocol and are taken for a response.

use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use peatgrade_runtime::{block_on, HttpClient, SendOptions};
use peatgrade_types::http::{HttpRequest, HttpStep, ResponsePart};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Starts a server that answers each connection with `response` and closes it.
fn start_server(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 1024]);
            let _ = stream.write_all(response.as_bytes());
        }
    });
    address
}

/// Returns the parts of the response.
fn exchange(response: &str) -> Vec<ResponsePart> {
    let address = start_server(response.to_string());
    let received = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    let parts_of = received.clone();
    block_on(async move {
        let (parts, mut arriving) = unbounded();
        let client = HttpClient::new(parts);
        let options = SendOptions::with_read_timeout(Duration::from_secs(5));
        let request = HttpRequest::new("GET", "/", "");
        let _running = client.send(1_u32, &address.to_string(), request, options);
        while let Some((_, part)) = arriving.next().await {
            let is_last = matches!(part, ResponsePart::End | ResponsePart::Failed(_));
            parts_of.borrow_mut().push(part);
            if is_last {
                return;
            }
        }
    })
    .unwrap();
    received.take()
}

/// The step of a response that has failed before its head was accepted.
fn failed_step(response: &str) -> Option<HttpStep> {
    match exchange(response).as_slice() {
        [ResponsePart::Failed(failure)] => Some(failure.step),
        _ => None,
    }
}

#[rstest]
fn a_status_outside_of_the_protocol_is_no_response(
    #[values("000", "001", "099", "101", "600", "999")] status: &str,
    #[values("content-length: 2", "transfer-encoding: chunked", "x-other: 1")] framing: &str,
) {
    let body = match framing {
        "transfer-encoding: chunked" => "2\r\nok\r\n0\r\n\r\n",
        _ => "ok",
    };
    let response = format!("HTTP/1.1 {status} X\r\nx-signature: s\r\n{framing}\r\n\r\n{body}");
    assert_eq!(failed_step(&response), Some(HttpStep::Head));
}

#[rstest]
#[case::signed_length("content-length: +2\r\n")]
#[case::negative_length("content-length: -2\r\n")]
#[case::two_lengths("content-length: 2\r\ncontent-length: 3\r\n")]
#[case::unknown_coding("transfer-encoding: gzip\r\n")]
#[case::two_codings("transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n")]
fn a_body_whose_length_is_not_clear_is_no_response(#[case] framing: &str) {
    let response = format!("HTTP/1.1 200 OK\r\n{framing}\r\nok");
    assert_eq!(failed_step(&response), Some(HttpStep::Head));
}

#[rstest]
#[case::sign("+2\r\nok\r\n0\r\n\r\n")]
#[case::no_size("\r\nok\r\n0\r\n\r\n")]
#[case::too_long("3\r\nok\r\n0\r\n\r\n")]
fn a_body_with_invalid_chunks_has_no_end(#[case] body: &str) {
    let response = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{body}");
    let parts = exchange(&response);
    assert!(
        matches!(parts.last(), Some(ResponsePart::Failed(_))),
        "{parts:?}"
    );
}

/// All statuses of the protocol are passed on, known or not.
#[rstest]
fn a_valid_status_is_a_response(
    #[values(200, 299, 302, 404, 418, 499, 500, 503, 599)] status: u16,
) {
    let response = format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nok");
    let parts = exchange(&response);
    let Some(ResponsePart::Head(head)) = parts.first() else {
        panic!("{parts:?}");
    };
    assert_eq!(head.status, status);
    assert_eq!(parts.last(), Some(&ResponsePart::End));
}

#[test]
fn interim_responses_are_skipped() {
    let response = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n\
                    HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let parts = exchange(response);
    let head = parts.first().cloned();
    assert!(matches!(head, Some(ResponsePart::Head(head)) if head.status == 200));
}
