//! The HTTP server's bounds on what a caller may send.

use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use peatgrade_runtime::{block_on, serve_with_control, Incoming, ServerControl, ServerLimits};
use peatgrade_types::http::{ResponseHead, ResponsePart};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const HEAD_BYTES: usize = 8 * 1024;
const BODY_BYTES: usize = 1024 * 1024;

/// Starts a server that answers each request with the length of its body.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        block_on(async move {
            let control = ServerControl::default();
            control.limits.set(ServerLimits {
                max_head_bytes: HEAD_BYTES,
                max_body_bytes: BODY_BYTES,
                ..ServerLimits::default()
            });
            let (requests, mut received) = unbounded();
            let listener = monoio::net::TcpListener::from_std(listener).unwrap();
            monoio::spawn(serve_with_control(listener, requests, control));
            while let Some(incoming) = received.next().await {
                let length = incoming.request.body.len().to_string();
                let parts = [
                    ResponsePart::Head(ResponseHead::new(200, "text/plain")),
                    ResponsePart::Data(length.into()),
                    ResponsePart::End,
                ];
                for part in parts {
                    let _ = incoming.responder.send(part);
                }
            }
        })
        .unwrap();
    });
    address
}

/// A request with this much of head and body, as one piece of bytes.
fn request(padding: usize, body: usize) -> Vec<u8> {
    let padding = "p".repeat(padding);
    let head = format!(
        "POST /x HTTP/1.1\r\nhost: h\r\npadding: {padding}\r\ncontent-length: {body}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + body, b'b');
    bytes
}

fn exchange(stream: &mut TcpStream, request: &[u8]) -> (u16, String) {
    stream.write_all(request).unwrap();
    // Whoever refuses closes, and may do so before it has read everything.
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => answer.extend_from_slice(&buffer[..count]),
        }
        let text = String::from_utf8_lossy(&answer);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let lines = head.to_ascii_lowercase();
        let length = lines
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        if length.and_then(|text| text.parse().ok()) == Some(body.len()) {
            break;
        }
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split(' ').nth(1).and_then(|code| code.parse().ok());
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status.unwrap_or(0), body.to_string())
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    stream
}

/// The buffer that a long body has left behind takes the next head and much of
/// its body in one read.
#[test]
fn long_bodies_on_one_connection_are_no_long_heads() {
    let address = start_server();
    let mut stream = connect(address);
    for length in [600_000, 300_000, 100_000, 60_000, 20_000] {
        let answer = exchange(&mut stream, &request(10, length));
        assert_eq!(answer, (200, length.to_string()));
    }
}

#[rstest]
#[case::head(HEAD_BYTES + 100, 10, 431)]
#[case::head_of_many_reads(HEAD_BYTES * 20, 10, 431)]
#[case::body(10, BODY_BYTES + 1, 413)]
#[case::both_allowed(HEAD_BYTES - 200, BODY_BYTES, 200)]
fn what_is_longer_than_allowed_is_refused(
    #[case] padding: usize,
    #[case] body: usize,
    #[case] status: u16,
) {
    let address = start_server();
    let bytes = request(padding, body);
    let head_only = bytes.len() - body;
    let sent = if status == 413 {
        &bytes[..head_only]
    } else {
        &bytes[..]
    };
    assert_eq!(exchange(&mut connect(address), sent).0, status);
}

/// A server that closes when it has taken one request; it answers that one later.
fn start_closing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        block_on(async move {
            let control = ServerControl::default();
            let (requests, mut received) = unbounded();
            let listener = monoio::net::TcpListener::from_std(listener).unwrap();
            monoio::spawn(serve_with_control(listener, requests, control.clone()));
            let first: Option<Incoming> = received.next().await;
            control.shutdown.begin();
            monoio::time::sleep(LATE_ANSWER).await;
            let mut next = first;
            while let Some(incoming) = next.take() {
                let parts = [
                    ResponsePart::Head(ResponseHead::new(200, "text/plain")),
                    ResponsePart::Data(incoming.request.body),
                    ResponsePart::End,
                ];
                for part in parts {
                    let _ = incoming.responder.send(part);
                }
                let pause = monoio::time::sleep(LATE_ANSWER);
                futures_util::pin_mut!(pause);
                next = match futures_util::future::select(received.next(), pause).await {
                    futures_util::future::Either::Left((incoming, _)) => incoming,
                    futures_util::future::Either::Right(_) => None,
                };
            }
            while control.shutdown.open_connections() > 0 {
                monoio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .unwrap();
    });
    address
}

/// Time that the closing server takes to answer.
const LATE_ANSWER: Duration = Duration::from_millis(100);

/// Everything that comes until the connection ends.
fn read_to_end(stream: &mut TcpStream) -> String {
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer).into_owned();
    ended.unwrap_or_else(|error| panic!("{error} after {text:?}"));
    text
}

/// What was read is answered, also if only a part of it had come; a connection that
/// rests is closed at once.
#[test]
fn a_server_that_closes_answers_what_it_has_read() {
    let address = start_closing_server();
    let mut resting = TcpStream::connect(address).unwrap();
    let mut begun = TcpStream::connect(address).unwrap();
    let whole = request(10, 4);
    let (first_half, second_half) = whole.split_at(whole.len() - 2);
    begun.write_all(first_half).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let mut asking = TcpStream::connect(address).unwrap();
    asking.write_all(&whole).unwrap();
    assert_eq!(read_to_end(&mut resting), "");
    begun.write_all(second_half).unwrap();
    for stream in [&mut asking, &mut begun] {
        let answer = read_to_end(stream);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        assert!(answer.ends_with("bbbb"), "{answer:?}");
    }
    let late = TcpStream::connect(address);
    assert!(late.is_err(), "nothing is accepted any more");
}

/// It may accept one more connection, and read from it, until it has learnt of the closing.
#[test]
fn a_server_is_not_closed_while_it_may_still_accept() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    block_on(async move {
        let control = ServerControl::default();
        let (requests, _received) = unbounded();
        let listener = monoio::net::TcpListener::from_std(listener).unwrap();
        monoio::spawn(serve_with_control(listener, requests, control.clone()));
        monoio::time::sleep(Duration::from_millis(5)).await;
        control.shutdown.begin();
        assert_eq!(control.shutdown.open_connections(), 1);
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(control.shutdown.open_connections(), 0);
    })
    .unwrap();
    assert!(TcpStream::connect(address).is_err());
}
