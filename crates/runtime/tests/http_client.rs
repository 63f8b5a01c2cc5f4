//! Connection reuse and failure reporting of the HTTP client.

use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use peatgrade_runtime::{block_on, HttpClient, SendOptions};
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponsePart};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// ConnectionCounts that are open at a server, and those it has accepted in total.
#[derive(Default)]
struct ConnectionCounts {
    open: AtomicUsize,
    accepted: AtomicUsize,
}

fn start_server() -> (SocketAddr, Arc<ConnectionCounts>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(ConnectionCounts::default());
    let counts = connections.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counts = counts.clone();
            counts.open.fetch_add(1, Ordering::SeqCst);
            counts.accepted.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                answer_all(stream);
                counts.open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, connections)
}

/// Answers bodyless requests until the connection is closed.
fn answer_all(mut stream: TcpStream) {
    let mut received = Vec::new();
    let mut buffer = [0; 1024];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..count]);
        while let Some(end) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            received.drain(..end + 4);
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            if stream.write_all(answer).is_err() {
                return;
            }
        }
    }
}

fn send_ten_requests(new_connection: bool) -> Arc<ConnectionCounts> {
    let (address, connections) = start_server();
    block_on(async move {
        let (parts, mut received) = unbounded();
        let client = HttpClient::new(parts);
        for id in 0..10_u32 {
            let options = SendOptions {
                new_connection,
                ..SendOptions::with_read_timeout(Duration::from_secs(5))
            };
            let request = HttpRequest::new("GET", "/", "");
            let _running = client.send(id, &address.to_string(), request, options);
            loop {
                match received.next().await {
                    Some((_, ResponsePart::End)) => break,
                    Some((_, ResponsePart::Failed(failure))) => panic!("{failure}"),
                    _ => {}
                }
            }
        }
        // Gives the server time to notice closed connections.
        monoio::time::sleep(Duration::from_millis(200)).await;
        std::mem::forget(client);
    })
    .unwrap();
    connections
}

#[test]
fn new_connections_are_not_returned_to_the_pool() {
    let connections = send_ten_requests(true);
    assert_eq!(connections.accepted.load(Ordering::SeqCst), 10);
    assert_eq!(connections.open.load(Ordering::SeqCst), 0);
}

#[test]
fn sequential_requests_reuse_a_pooled_connection() {
    let connections = send_ten_requests(false);
    assert_eq!(connections.accepted.load(Ordering::SeqCst), 1);
}

/// Starts a server that answers one request, and closes its connection and its listener
/// during the second.
fn start_failing_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buffer = [0; 1024];
        let read = stream.read(&mut buffer).unwrap();
        assert!(read > 0);
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(answer).unwrap();
        let read = stream.read(&mut buffer).unwrap();
        assert!(
            read > 0,
            "the second request did not use the pooled connection"
        );
        drop(listener);
        std::thread::sleep(Duration::from_millis(30));
    });
    address
}

async fn wait_for_end(
    received: &mut futures_channel::mpsc::UnboundedReceiver<(u32, ResponsePart)>,
) -> Option<HttpFailure> {
    loop {
        match received.next().await {
            Some((_, ResponsePart::End)) => return None,
            Some((_, ResponsePart::Failed(failure))) => return Some(failure),
            _ => {}
        }
    }
}

/// Guards against reporting only the refused reconnect when a server exits during a request,
/// which would tell callers that the request was not processed.
#[test]
fn server_exit_during_request_is_not_reported_as_connect_failure() {
    let address = start_failing_server().to_string();
    let failure = block_on(async move {
        let (parts, mut received) = unbounded();
        let client = HttpClient::new(parts);
        let options = SendOptions::with_read_timeout(Duration::from_secs(5));
        let request = || HttpRequest::new("GET", "/", "");
        let _first = client.send(1, &address, request(), options);
        assert_eq!(wait_for_end(&mut received).await, None);
        let _second = client.send(2, &address, request(), options);
        wait_for_end(&mut received).await
    })
    .unwrap();
    assert_eq!(failure.map(|failure| failure.step), Some(HttpStep::Head));
}

#[test]
fn connected_requests_are_returned_once() {
    let (address, _) = start_server();
    let opened = block_on(async move {
        let (parts, mut received) = unbounded();
        let client = HttpClient::tracking_connections(parts, None);
        let options = SendOptions::with_read_timeout(Duration::from_secs(5));
        for id in 1..=2 {
            let request = HttpRequest::new("GET", "/", "");
            let _running = client.send(id, &address.to_string(), request, options);
            assert_eq!(wait_for_end(&mut received).await, None);
        }
        let opened = client.take_connected();
        assert!(client.take_connected().is_empty());
        opened
    })
    .unwrap();
    let ids: Vec<u32> = opened.iter().map(|opened| opened.id).collect();
    assert_eq!(ids, [1, 2]);
    assert!(opened[0].connect_time.is_some());
    assert_eq!(
        opened[1].connect_time, None,
        "the pooled connection was not used"
    );
}

/// Guards against a refusal over a second connection being taken for the only answer, although the
/// first one may have delivered the request.
#[test]
fn a_request_that_is_sent_again_is_reported_again() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let read_request = |stream: &mut TcpStream| {
        let read = stream.read(&mut [0; 1024]).unwrap();
        assert!(read > 0, "no request came");
    };
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&mut stream);
        stream.write_all(response).unwrap();
        // The second request is read and not answered.
        read_request(&mut stream);
        drop(stream);
        let (mut stream, _) = listener.accept().unwrap();
        read_request(&mut stream);
        stream.write_all(response).unwrap();
    });
    let opened = block_on(async move {
        let (parts, mut received) = unbounded();
        let client = HttpClient::tracking_connections(parts, None);
        let options = SendOptions::with_read_timeout(Duration::from_secs(5));
        for id in 1..=2 {
            let request = HttpRequest::new("GET", "/", "");
            let _running = client.send(id, &address, request, options);
            assert_eq!(wait_for_end(&mut received).await, None);
        }
        client.take_connected()
    })
    .unwrap();
    let reported: Vec<(u32, bool)> = opened.iter().map(|r| (r.id, r.is_resent)).collect();
    assert_eq!(reported, [(1, false), (2, false), (2, true)]);
}

/// Guards against sending a request that is cancelled while its connection is established.
#[test]
fn request_cancelled_before_it_is_reported_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let read = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read(&mut [0; 16]).unwrap_or(0)
    });
    block_on(async move {
        let (parts, _received) = unbounded();
        let client = HttpClient::tracking_connections(parts, None);
        let options = SendOptions::with_read_timeout(Duration::from_secs(5));
        let running = client.send(1_u32, &address, HttpRequest::new("GET", "/", ""), options);
        // Blocks the event loop after the request task has begun to connect, so that the task
        // observes the established connection and the cancellation in the same poll.
        let cancelling = monoio::spawn(async move {
            std::thread::sleep(Duration::from_millis(50));
            drop(running);
        });
        cancelling.await;
        assert!(
            client.take_connected().is_empty(),
            "the request was reported before the connection was polled"
        );
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert!(client.take_connected().is_empty());
    })
    .unwrap();
    assert_eq!(read.join().unwrap(), 0);
}

/// Starts a server that answers one request with a chunked body in chunks of one byte. The
/// response ends with `end`.
fn start_chunking_server(chunks: usize, end: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let read = stream.read(&mut [0; 1024]).unwrap();
        assert!(read > 0);
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let answer = format!("{head}{}{end}", "1\r\na\r\n".repeat(chunks));
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

/// Returns the data parts of a response, and its failure, if it fails.
fn receive_parts(address: SocketAddr) -> (Vec<usize>, Option<HttpFailure>) {
    block_on(async move {
        let (parts, mut received) = unbounded();
        let client = HttpClient::new(parts);
        let options = SendOptions::with_read_timeout(Duration::from_secs(5));
        let request = HttpRequest::new("GET", "/", "");
        let _running = client.send(1_u32, &address.to_string(), request, options);
        let mut sizes = Vec::new();
        loop {
            match received.next().await {
                Some((_, ResponsePart::Data(data))) => {
                    assert!(data.iter().all(|byte| *byte == b'a'));
                    sizes.push(data.len());
                }
                Some((_, ResponsePart::End)) | None => return (sizes, None),
                Some((_, ResponsePart::Failed(failure))) => return (sizes, Some(failure)),
                Some((_, ResponsePart::Head(_))) => {}
            }
        }
    })
    .unwrap()
}

/// Guards against a part for each chunk: a server that sends chunks of a few bytes would occupy
/// the event loop of its client.
#[test]
fn small_chunks_are_received_as_few_parts() {
    const CHUNKS: usize = 100_000;
    let (sizes, failure) = receive_parts(start_chunking_server(CHUNKS, "0\r\n\r\n"));
    assert_eq!(failure, None);
    assert_eq!(sizes.iter().sum::<usize>(), CHUNKS);
    assert!(sizes.len() <= CHUNKS / 100, "{} parts", sizes.len());
}

/// Guards against data that is lost, or a body that looks complete, if chunks are followed by
/// something else.
#[test]
fn malformed_chunk_fails_after_the_data_before_it() {
    let (sizes, failure) = receive_parts(start_chunking_server(10, "no size\r\n"));
    assert_eq!(failure.map(|failure| failure.step), Some(HttpStep::Body));
    assert_eq!(sizes.iter().sum::<usize>(), 10);
}
