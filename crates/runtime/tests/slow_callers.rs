//! Callers who do not read their answers, or send more than this machine can hold.

use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use peatgrade_runtime::{block_on, serve_with_control, MemoryBudget, Responder, ServerControl};
use peatgrade_types::http::{ResponseHead, ResponsePart};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

const BUDGET: usize = 3 * 1024 * 1024;
/// A piece of an answer, and how many make more than sockets and one answer may hold.
const PIECE: usize = 64 * 1024;
const PIECES: usize = 200;

/// What the server tells of itself after each request.
#[derive(Debug)]
struct Told {
    held: usize,
    disconnected: u64,
    /// Pieces of the answer that were taken.
    taken: usize,
}

/// Starts a server that answers `/long` with many pieces at once, and everything else
/// with the length of the body.
fn start_server() -> (SocketAddr, mpsc::Receiver<Told>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, told) = mpsc::channel();
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
                let taken = match incoming.request.path.as_str() {
                    "/long" => send_long(&incoming.responder),
                    _ => send_length(&incoming.responder, incoming.request.body.len()),
                };
                open.push(incoming.responder);
                let figures = control.budget.stats();
                let _ = tell.send(Told {
                    held: figures.held,
                    disconnected: figures.disconnected,
                    taken,
                });
            }
        })
        .unwrap();
    });
    (address, told)
}

fn send_long(responder: &Responder) -> usize {
    let head = ResponseHead::new(200, "text/event-stream");
    let _ = responder.send(ResponsePart::Head(head));
    let piece = vec![b'x'; PIECE];
    let pieces = (0..PIECES).map(|_| ResponsePart::Data(piece.clone().into()));
    pieces
        .take_while(|piece| responder.send(piece.clone()).is_ok())
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
    // Whoever refuses a body stops reading it.
    let _ = stream.write_all(&vec![b'b'; body]);
    stream
}

fn status_of(stream: &mut TcpStream) -> String {
    let mut answer = vec![0; 12];
    let _ = stream.read_exact(&mut answer);
    String::from_utf8_lossy(&answer[9..]).into_owned()
}

#[test]
fn an_answer_that_nobody_reads_is_cut_off_and_its_bytes_are_free() {
    let (address, told) = start_server();
    let mut stalled = send_request(address, "/long", 0);
    let first = told.recv().unwrap();
    // One part and a mebibyte beyond it, though the budget has room for three.
    let most = 1 + 1024 * 1024 / PIECE;
    assert!(first.taken <= most, "{} pieces were held", first.taken);
    assert!(first.held <= BUDGET);
    // Its connection ends, so that its caller does not take half an answer for a whole one.
    let began = Instant::now();
    let mut rest = Vec::new();
    let _ = stalled.read_to_end(&mut rest);
    assert!(rest.len() < PIECES * PIECE);
    assert!(began.elapsed() < Duration::from_secs(5));
    let mut other = send_request(address, "/", 1_000);
    assert_eq!(status_of(&mut other), "200");
    let second = told.recv().unwrap();
    assert_eq!(second.disconnected, 1);
    assert!(second.held < PIECE, "{} bytes are still held", second.held);
}

#[test]
fn a_body_beyond_the_budget_is_refused_and_others_are_served() {
    let (address, _told) = start_server();
    let mut large = send_request(address, "/", BUDGET + 1024 * 1024);
    assert_eq!(status_of(&mut large), "503");
    let mut other = send_request(address, "/", 1_000);
    assert_eq!(status_of(&mut other), "200");
}
