//! Limits that change while connections are open: a request is judged by those in force when its
//! head arrives.

use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use peatgrade_runtime::{block_on, serve_with_control, Incoming, ServerControl, ServerLimits};
use peatgrade_types::http::{ResponseHead, ResponsePart};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::time::{Duration, Instant};

const LIMITS: ServerLimits = ServerLimits {
    max_head_bytes: 4_000,
    max_body_bytes: 4_000,
    head_timeout: Duration::from_secs(20),
    idle_timeout: Duration::from_secs(20),
};

/// A server that answers after the time in ms that the path of the request names.
struct Server {
    address: SocketAddr,
    changes: Sender<ServerLimits>,
}

impl Server {
    fn start(limits: ServerLimits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (changes, changed) = channel();
        std::thread::spawn(move || {
            block_on(async move {
                let control = ServerControl::default();
                control.limits.set(limits);
                let in_force = control.limits.clone();
                let (requests, mut received) = unbounded();
                let listener = monoio::net::TcpListener::from_std(listener).unwrap();
                monoio::spawn(serve_with_control(listener, requests, control));
                monoio::spawn(async move {
                    while let Some(incoming) = received.next().await {
                        monoio::spawn(respond(incoming));
                    }
                });
                loop {
                    if let Ok(limits) = changed.try_recv() {
                        in_force.set(limits);
                    }
                    monoio::time::sleep(Duration::from_millis(1)).await;
                }
            })
            .unwrap();
        });
        Self { address, changes }
    }

    fn change(&self, limits: ServerLimits) {
        self.changes.send(limits).unwrap();
        std::thread::sleep(Duration::from_millis(30));
    }

    /// A connection on which a request was answered.
    fn kept_connection(&self) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).unwrap();
        let timeout = Some(Duration::from_secs(5));
        stream.set_read_timeout(timeout).unwrap();
        stream.write_all(&request(0, 10, 10)).unwrap();
        assert_eq!(read_status(&mut stream), 200);
        stream
    }
}

async fn respond(incoming: Incoming) {
    let delay = incoming.request.path.trim_start_matches('/').parse();
    monoio::time::sleep(Duration::from_millis(delay.unwrap())).await;
    let parts = [
        ResponsePart::Head(ResponseHead::new(200, "text/plain")),
        ResponsePart::Data("ok".into()),
        ResponsePart::End,
    ];
    for part in parts {
        let _ = incoming.responder.send(part);
    }
}

fn request(delay_ms: u64, padding: usize, body: usize) -> Vec<u8> {
    let padding = "p".repeat(padding);
    let head = format!(
        "POST /{delay_ms} HTTP/1.1\r\nhost: h\r\npadding: {padding}\r\ncontent-length: {body}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + body, b'b');
    bytes
}

/// Status of the next response; 0 if the connection was closed.
fn read_status(stream: &mut TcpStream) -> u16 {
    let mut answer = Vec::new();
    let mut buffer = [0; 1];
    while !answer.ends_with(b"\r\n\r\nok") && !answer.ends_with(b"}") {
        match stream.read(&mut buffer) {
            Ok(1) => answer.push(buffer[0]),
            Ok(_) => break,
            Err(error) => panic!("{error}"),
        }
    }
    let text = String::from_utf8_lossy(&answer);
    let status = text.split(' ').nth(1).and_then(|code| code.parse().ok());
    status.unwrap_or(0)
}

fn larger(limits: ServerLimits) -> ServerLimits {
    ServerLimits {
        max_head_bytes: 16_000,
        max_body_bytes: 200_000,
        ..limits
    }
}

#[rstest]
#[case::head_raised(LIMITS, larger(LIMITS), 8_000, 10, 200)]
#[case::body_raised(LIMITS, larger(LIMITS), 10, 100_000, 200)]
#[case::head_lowered(larger(LIMITS), LIMITS, 8_000, 10, 431)]
#[case::body_lowered(larger(LIMITS), LIMITS, 10, 100_000, 413)]
fn changed_sizes_apply_to_the_next_request_of_a_kept_connection(
    #[case] before: ServerLimits,
    #[case] after: ServerLimits,
    #[case] padding: usize,
    #[case] body: usize,
    #[case] status: u16,
) {
    let server = Server::start(before);
    let mut kept = server.kept_connection();
    server.change(after);
    // A server that rejects a request may close before it has read everything.
    let _ = kept.write_all(&request(0, padding, body));
    assert_eq!(read_status(&mut kept), status);
}

/// The body is judged by the configuration of its head, also if it takes longer.
#[rstest]
#[case::lowered(larger(LIMITS), LIMITS, 200)]
#[case::raised(LIMITS, larger(LIMITS), 413)]
fn a_body_is_judged_by_the_limits_of_its_head(
    #[case] before: ServerLimits,
    #[case] after: ServerLimits,
    #[case] status: u16,
) {
    let server = Server::start(before);
    let mut kept = server.kept_connection();
    let bytes = request(0, 10, 100_000);
    let (first, rest) = bytes.split_at(1_000);
    kept.write_all(first).unwrap();
    std::thread::sleep(Duration::from_millis(30));
    server.change(after);
    let _ = kept.write_all(rest);
    assert_eq!(read_status(&mut kept), status);
}

#[test]
fn a_lowered_head_time_applies_to_the_next_head_of_a_kept_connection() {
    let server = Server::start(LIMITS);
    let mut kept = server.kept_connection();
    server.change(ServerLimits {
        head_timeout: Duration::from_millis(200),
        ..LIMITS
    });
    let started = Instant::now();
    kept.write_all(b"POST /0 HTTP/1.1\r\n").unwrap();
    assert_eq!(read_status(&mut kept), 0);
    assert!(started.elapsed() < Duration::from_secs(2));
}

const SHORT: ServerLimits = ServerLimits {
    head_timeout: Duration::from_millis(300),
    idle_timeout: Duration::from_millis(300),
    ..LIMITS
};

#[test]
fn raised_times_apply_to_connections_that_are_kept() {
    let server = Server::start(SHORT);
    let mut resting = server.kept_connection();
    let mut sending = server.kept_connection();
    sending.write_all(b"POST /0 HTTP/1.1\r\n").unwrap();
    server.change(LIMITS);
    std::thread::sleep(Duration::from_millis(1_200));
    resting.write_all(&request(0, 10, 10)).unwrap();
    assert_eq!(read_status(&mut resting), 200);
    sending
        .write_all(b"host: h\r\ncontent-length: 0\r\n\r\n")
        .unwrap();
    assert_eq!(read_status(&mut sending), 200);
}

/// A caller that rests may count on the time that was in force when it began to.
#[test]
fn a_lowered_idle_time_closes_no_connection_that_already_rests() {
    let server = Server::start(LIMITS);
    let mut resting = server.kept_connection();
    server.change(SHORT);
    std::thread::sleep(Duration::from_millis(2_500));
    resting.write_all(&request(0, 10, 10)).unwrap();
    assert_eq!(read_status(&mut resting), 200);
    // From then on the lowered time is in force.
    assert_eq!(resting.read(&mut [0; 16]).unwrap(), 0);
}

/// A caller that waits for its response is neither idle nor sending.
#[rstest]
#[case::nothing_more(b"")]
#[case::part_of_the_next_head(b"POST /0 HTTP/1.1\r\n")]
fn no_time_limit_runs_while_a_response_is_pending(#[case] next: &[u8]) {
    let server = Server::start(SHORT);
    let mut kept = server.kept_connection();
    kept.write_all(&request(1_500, 10, 10)).unwrap();
    kept.write_all(next).unwrap();
    assert_eq!(read_status(&mut kept), 200);
    std::thread::sleep(Duration::from_millis(100));
    let rest = match next.is_empty() {
        true => &b"POST /0 HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n"[..],
        false => &b"host: h\r\ncontent-length: 0\r\n\r\n"[..],
    };
    kept.write_all(rest).unwrap();
    assert_eq!(read_status(&mut kept), 200);
}
