//! Crowds of callers: what they make the server hold is accounted as it is held, small requests
//! are served beside large ones, and a pending response is never given up for a new connection.

use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use peatgrade_runtime::{
    block_on, serve_with_control, BudgetStats, ConnectionLimit, ConnectionStats, MemoryBudget,
    ServerControl, ServerLimits,
};
use peatgrade_types::http::{ResponseHead, ResponsePart};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

const BUDGET: usize = 2 * 1024 * 1024;
const MAX_BODY: usize = 1024 * 1024;
const MAX_CONNECTIONS: usize = 8;
/// A body that fits beside its answer. In chunks of one byte it is larger than the limit of a
/// body on the wire.
const HELD_BODY: usize = MAX_BODY * 3 / 4;
/// Path of requests that are never answered.
const PENDING: &str = "/pending";

type Stats = (BudgetStats, ConnectionStats);

struct Server {
    address: SocketAddr,
    stats: mpsc::Receiver<Stats>,
}

impl Server {
    /// Starts a server that answers each request with its body.
    fn start(connections: ConnectionLimitSetting) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (report, stats) = mpsc::channel();
        std::thread::spawn(move || {
            block_on(async move {
                let control = ServerControl {
                    budget: MemoryBudget::new(BUDGET),
                    connections: match connections {
                        ConnectionLimitSetting::None => ConnectionLimit::default(),
                        ConnectionLimitSetting::Few => ConnectionLimit::new(MAX_CONNECTIONS),
                    },
                    ..ServerControl::default()
                };
                control.limits.set(ServerLimits {
                    max_body_bytes: MAX_BODY,
                    ..ServerLimits::default()
                });
                let (requests, mut received) = unbounded();
                let listener = monoio::net::TcpListener::from_std(listener).unwrap();
                monoio::spawn(serve_with_control(listener, requests, control.clone()));
                let mut pending = Vec::new();
                while let Some(incoming) = received.next().await {
                    let _ = report.send((control.budget.stats(), control.connections.stats()));
                    if incoming.request.path == PENDING {
                        pending.push(incoming.responder);
                        continue;
                    }
                    for part in [
                        ResponsePart::Head(ResponseHead::new(200, "text/plain")),
                        ResponsePart::Data(incoming.request.body),
                        ResponsePart::End,
                    ] {
                        let _ = incoming.responder.send(part);
                    }
                }
            })
            .unwrap();
        });
        Self { address, stats }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        let timeout = Some(Duration::from_secs(10));
        stream.set_read_timeout(timeout).unwrap();
        stream.set_write_timeout(timeout).unwrap();
        stream
    }

    /// Sends a request and returns its status and body.
    fn call(&self, framing: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let mut stream = self.connect();
        send(&mut stream, "/x", framing, body);
        read_response(&mut stream)
    }

    fn latest_stats(&self) -> Stats {
        let mut latest = self.stats.recv_timeout(Duration::from_secs(10)).unwrap();
        while let Ok(stats) = self.stats.try_recv() {
            latest = stats;
        }
        latest
    }
}

#[derive(Clone, Copy)]
enum ConnectionLimitSetting {
    None,
    Few,
}

fn send(stream: &mut TcpStream, path: &str, framing: &str, body: &[u8]) {
    let head = format!("POST {path} HTTP/1.1\r\nhost: h\r\n{framing}\r\n\r\n");
    // A server that has no room may close the connection meanwhile.
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
}

/// Reads until a whole response with a length has arrived; status 0 if it does not.
fn read_response(stream: &mut TcpStream) -> (u16, Vec<u8>) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        let count = stream.read(&mut buffer).unwrap_or(0);
        bytes.extend_from_slice(&buffer[..count]);
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        let head = String::from_utf8_lossy(&bytes[..end.unwrap_or(0)]).to_ascii_lowercase();
        let mut lines = head.lines();
        let length = lines.find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|text| text.parse::<usize>().ok());
        let body = end.map_or(&[][..], |end| &bytes[end + 4..]);
        if count == 0 || length == Some(body.len()) {
            let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
            return (status.unwrap_or(0), body.to_vec());
        }
    }
}

fn chunked(chunk: usize, bytes: usize) -> Vec<u8> {
    format!("{chunk:x}\r\n{}\r\n", "b".repeat(chunk))
        .repeat(bytes / chunk)
        .into_bytes()
}

const CHUNKED: &str = "transfer-encoding: chunked";

/// Guards against a small request that is refused because unfinished large ones fill the budget.
#[rstest]
#[case::small_chunks(CHUNKED, chunked(1, MAX_BODY / 2))]
#[case::large_chunks(CHUNKED, chunked(64 * 1024, MAX_BODY / 2))]
#[case::length("content-length: 600000", vec![b'b'; 590_000])]
fn a_small_request_is_served_beside_unfinished_large_ones(
    #[case] framing: &str,
    #[case] body: Vec<u8>,
) {
    let server = Server::start(ConnectionLimitSetting::None);
    let mut crowd: Vec<TcpStream> = (0..12).map(|_| server.connect()).collect();
    for stream in &mut crowd {
        send(stream, "/x", framing, &body);
    }
    for _ in 0..4 {
        let (status, answer) = server.call("content-length: 5000", &[b'a'; 5_000]);
        assert_eq!((status, answer.len()), (200, 5_000));
    }
    let (budget, _) = server.latest_stats();
    assert!(budget.reserved <= BUDGET, "{budget:?}");
    // The requests that gave way learn that they have not run.
    let timeout = Some(Duration::from_millis(300));
    let statuses = crowd.iter_mut().map(|stream| {
        stream.set_read_timeout(timeout).unwrap();
        read_response(stream).0
    });
    let refused = statuses.filter(|status| *status == 503);
    assert!(refused.count() >= 8);
}

/// Guards against bodies that are accounted by their bytes on the wire, or limited by them.
#[rstest]
#[case::one_byte(1)]
#[case::many_bytes(4_096)]
fn a_body_counts_as_it_is_held(#[case] chunk: usize) {
    let server = Server::start(ConnectionLimitSetting::None);
    let mut body = chunked(chunk, HELD_BODY);
    body.extend_from_slice(b"0\r\n\r\n");
    let (status, answer) = server.call(CHUNKED, &body);
    assert_eq!((status, answer.len()), (200, HELD_BODY));
    let (budget, _) = server.latest_stats();
    assert!(budget.reserved >= HELD_BODY, "{budget:?}");
    assert!(budget.reserved <= HELD_BODY * 3 / 2, "{budget:?}");
}

/// Memory is released with the request, whether it was answered, refused or given up.
#[test]
fn nothing_stays_reserved() {
    let server = Server::start(ConnectionLimitSetting::None);
    let calm = {
        assert_eq!(server.call("content-length: 1", b"a").0, 200);
        server.latest_stats().0.reserved
    };
    let unfinished = chunked(1, MAX_BODY / 4);
    for _ in 0..12 {
        send(&mut server.connect(), "/x", CHUNKED, &unfinished);
        server.call("content-length: 9000000", b"");
    }
    let begin = Instant::now();
    loop {
        assert_eq!(server.call("content-length: 1", b"a").0, 200);
        let reserved = server.latest_stats().0.reserved;
        if reserved <= calm {
            break;
        }
        assert!(begin.elapsed() < Duration::from_secs(10), "{reserved}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[rstest]
#[case::extension("1;name=value\r\na\r\n0\r\n\r\n", 200)]
#[case::trailer("1\r\na\r\n0\r\nt: v\r\n\r\n", 200)]
#[case::too_large_chunk("fffff0\r\n", 413)]
#[case::no_size("\r\na\r\n", 400)]
#[case::sign("+1\r\na\r\n", 400)]
#[case::endless_size("00000000000000000000\r\n", 400)]
#[case::no_line_ending("1\r\nab\r\n", 400)]
fn chunks_are_checked(#[case] body: &str, #[case] status: u16) {
    let server = Server::start(ConnectionLimitSetting::None);
    assert_eq!(server.call(CHUNKED, body.as_bytes()).0, status);
}

/// Guards against connections without requests that keep others out.
#[test]
fn a_new_connection_takes_the_place_of_the_quietest() {
    let server = Server::start(ConnectionLimitSetting::Few);
    let mut pending = server.connect();
    send(&mut pending, PENDING, "content-length: 0", b"");
    server.latest_stats();
    let _silent: Vec<TcpStream> = (0..3 * MAX_CONNECTIONS).map(|_| server.connect()).collect();
    assert_eq!(server.call("content-length: 1", b"a").0, 200);
    let (_, connections) = server.latest_stats();
    assert!(connections.open <= MAX_CONNECTIONS, "{connections:?}");
    assert!(
        connections.closed >= 2 * MAX_CONNECTIONS as u64,
        "{connections:?}"
    );
    // The connection that waits for its response stays open.
    pending
        .set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    let error = pending.read(&mut [0; 16]).unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
}

/// A connection is refused if all others wait for their responses.
#[test]
fn pending_responses_are_not_given_up_for_a_new_connection() {
    let server = Server::start(ConnectionLimitSetting::Few);
    let mut pending: Vec<TcpStream> = (0..MAX_CONNECTIONS).map(|_| server.connect()).collect();
    for stream in &mut pending {
        send(stream, PENDING, "content-length: 0", b"");
        server.latest_stats();
    }
    assert_eq!(server.call("content-length: 1", b"a").0, 0);
    drop(pending.pop());
    let begin = Instant::now();
    while server.call("content-length: 1", b"a").0 != 200 {
        assert!(begin.elapsed() < Duration::from_secs(10));
        std::thread::sleep(Duration::from_millis(20));
    }
}
