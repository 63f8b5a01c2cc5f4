//! Request limits and graceful shutdown of the HTTP server.

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

/// Builds a request with `padding` bytes in a header and `body` bytes of body.
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
    // A server that rejects a request may close before it has read everything.
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

/// Guards against counting body bytes against the head limit: the read buffer, grown by an
/// earlier body, receives the next head and much of its body in one read.
#[test]
fn body_bytes_do_not_count_against_the_head_limit() {
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
fn oversized_requests_are_rejected(
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

/// Starts a server that begins to shut down after its first request, which it answers after
/// [`RESPONSE_DELAY`].
fn start_server_with_shutdown() -> SocketAddr {
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
            monoio::time::sleep(RESPONSE_DELAY).await;
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
                let pause = monoio::time::sleep(RESPONSE_DELAY);
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

const RESPONSE_DELAY: Duration = Duration::from_millis(100);

/// Reads until the connection is closed.
fn read_to_end(stream: &mut TcpStream) -> String {
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut answer = Vec::new();
    let result = stream.read_to_end(&mut answer);
    let text = String::from_utf8_lossy(&answer).into_owned();
    result.unwrap_or_else(|error| panic!("{error} after {text:?}"));
    text
}

/// Requests that were at least partly received are answered; idle connections are closed at
/// once.
#[test]
fn shutdown_answers_received_requests_and_closes_idle_connections() {
    let address = start_server_with_shutdown();
    let mut idle = TcpStream::connect(address).unwrap();
    let mut partial = TcpStream::connect(address).unwrap();
    let whole = request(10, 4);
    let (first_half, second_half) = whole.split_at(whole.len() - 2);
    partial.write_all(first_half).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    let mut complete = TcpStream::connect(address).unwrap();
    complete.write_all(&whole).unwrap();
    assert_eq!(read_to_end(&mut idle), "");
    partial.write_all(second_half).unwrap();
    for stream in [&mut complete, &mut partial] {
        let answer = read_to_end(stream);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        assert!(answer.ends_with("bbbb"), "{answer:?}");
    }
    let late = TcpStream::connect(address);
    assert!(late.is_err(), "the server still accepts connections");
}

/// Guards against a process exiting while its accept loop can still take a connection.
#[test]
fn accept_loop_counts_as_open_until_it_observes_shutdown() {
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
