//! Callers that do not read their responses, or send more than the memory budget allows.

use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use peatgrade_runtime::{block_on, serve_with_control, MemoryBudget, Responder, ServerControl};
use peatgrade_types::http::{ResponseHead, ResponsePart};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

const BUDGET: usize = 3 * 1024 * 1024;
const PART_BYTES: usize = 64 * 1024;
/// Parts of a response that exceeds the socket buffers and the backlog limit.
const PARTS: usize = 200;

/// Bytes of a small event, whose memory is many times as large.
const EVENT_BYTES: usize = 8;
const EVENTS: usize = 300_000;
/// Most small events that a backlog of 1 MiB may hold, with the overhead of each.
const MAX_QUEUED_EVENTS: usize = 10_000;

/// State of the server after a request.
#[derive(Debug)]
struct Report {
    reserved: usize,
    disconnected: u64,
    /// Parts of the response that were accepted.
    accepted: usize,
}

/// Starts a server that answers `/long` with many parts at once, and other paths with the
/// length of the body.
fn start_server() -> (SocketAddr, mpsc::Receiver<Report>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let (report, reports) = mpsc::channel();
    std::thread::spawn(move || {
        block_on(async move {
            let control = ServerControl {
                budget: MemoryBudget::new(BUDGET),
                ..ServerControl::default()
            };
            let (requests, mut received) = unbounded();
            let listener = monoio::net::TcpListener::from_std(listener).unwrap();
            monoio::spawn(serve_with_control(listener, requests, control.clone()));
            let mut open = Vec::new();
            while let Some(incoming) = received.next().await {
                let accepted = match incoming.request.path.as_str() {
                    "/long" => send_parts(&incoming.responder, PART_BYTES, PARTS),
                    "/events" => send_parts(&incoming.responder, EVENT_BYTES, EVENTS),
                    _ => send_length(&incoming.responder, incoming.request.body.len()),
                };
                open.push(incoming.responder);
                let stats = control.budget.stats();
                let _ = report.send(Report {
                    reserved: stats.reserved,
                    disconnected: stats.disconnected,
                    accepted,
                });
            }
        })
        .unwrap();
    });
    (address, reports)
}

/// Returns how many of the parts were accepted.
fn send_parts(responder: &Responder, bytes: usize, count: usize) -> usize {
    let head = ResponseHead::new(200, "text/event-stream");
    let _ = responder.send(ResponsePart::Head(head));
    let data = vec![b'x'; bytes];
    let parts = (0..count).map(|_| ResponsePart::Data(data.clone().into()));
    parts
        .take_while(|part| responder.send(part.clone()).is_ok())
        .count()
}

fn send_length(responder: &Responder, length: usize) -> usize {
    let head = ResponseHead::new(200, "text/plain");
    let parts = [
        ResponsePart::Head(head),
        ResponsePart::Data(length.to_string().into()),
        ResponsePart::End,
    ];
    parts
        .into_iter()
        .filter(|part| responder.send(part.clone()).is_ok())
        .count()
}

fn send_request(address: SocketAddr, path: &str, body: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let head = format!("POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {body}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    // Fails if the server rejects the body and stops reading.
    let _ = stream.write_all(&vec![b'b'; body]);
    stream
}

fn read_status(stream: &mut TcpStream) -> String {
    let mut answer = vec![0; 12];
    let _ = stream.read_exact(&mut answer);
    String::from_utf8_lossy(&answer[9..]).into_owned()
}

#[test]
fn unread_response_is_disconnected_and_its_bytes_are_released() {
    let (address, reports) = start_server();
    let mut stalled = send_request(address, "/long", 0);
    let first = reports.recv().unwrap();
    // One part being written and a backlog of 1 MiB, though the budget allows for more.
    let limit = 1 + 1024 * 1024 / PART_BYTES;
    assert!(
        first.accepted <= limit,
        "{} parts were accepted",
        first.accepted
    );
    assert!(first.reserved <= BUDGET);
    // The connection is closed, so that the caller detects the truncated response.
    let started = Instant::now();
    let mut rest = Vec::new();
    let _ = stalled.read_to_end(&mut rest);
    assert!(rest.len() < PARTS * PART_BYTES);
    assert!(started.elapsed() < Duration::from_secs(5));
    let mut other = send_request(address, "/", 1_000);
    assert_eq!(read_status(&mut other), "200");
    let second = reports.recv().unwrap();
    assert_eq!(second.disconnected, 1);
    assert!(
        second.reserved < PART_BYTES,
        "{} bytes are still reserved",
        second.reserved
    );
}

#[test]
fn body_over_budget_is_rejected_and_others_are_served() {
    let (address, _reports) = start_server();
    let mut large = send_request(address, "/", BUDGET + 1024 * 1024);
    assert_eq!(read_status(&mut large), "503");
    let mut other = send_request(address, "/", 1_000);
    assert_eq!(read_status(&mut other), "200");
}

/// Guards against a backlog that counts the bytes of small events but not the memory of the parts
/// that hold them.
#[test]
fn unread_small_events_count_as_they_are_held() {
    let (address, reports) = start_server();
    let _stalled = send_request(address, "/events", 0);
    let report = reports.recv().unwrap();
    assert!(report.accepted <= MAX_QUEUED_EVENTS, "{}", report.accepted);
    let mut other = send_request(address, "/", 1_000);
    assert_eq!(read_status(&mut other), "200");
}
