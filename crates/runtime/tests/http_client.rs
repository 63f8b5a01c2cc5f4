//! Connections of the HTTP client against a server that counts them.

use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use peatgrade_runtime::{block_on, HttpClient, SendOptions};
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponsePart};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Connections that a server has open, and the most it ever had.
#[derive(Default)]
struct Connections {
    open: AtomicUsize,
    made: AtomicUsize,
}

fn start_server() -> (SocketAddr, Arc<Connections>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(Connections::default());
    let counted = connections.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counted = counted.clone();
            counted.open.fetch_add(1, Ordering::SeqCst);
            counted.made.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                answer_all(stream);
                counted.open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, connections)
}

/// Answers requests without a body until the connection ends.
fn answer_all(mut stream: TcpStream) {
    let mut seen = Vec::new();
    let mut buffer = [0; 1024];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        seen.extend_from_slice(&buffer[..count]);
        while let Some(end) = seen.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            seen.drain(..end + 4);
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            if stream.write_all(answer).is_err() {
                return;
            }
        }
    }
}

fn send_ten(fresh: bool) -> Arc<Connections> {
    let (address, connections) = start_server();
    block_on(async move {
        let (parts, mut received) = unbounded();
        let client = HttpClient::new(parts);
        for id in 0..10_u32 {
            let options = SendOptions {
                new_connection: fresh,
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
        // The server notices a close a moment later.
        monoio::time::sleep(Duration::from_millis(200)).await;
        std::mem::forget(client);
    })
    .unwrap();
    connections
}

#[test]
fn requests_that_take_no_kept_connection_leave_none_behind() {
    // Each would take one of the few that a server allows all its clients.
    let connections = send_ten(true);
    assert_eq!(connections.made.load(Ordering::SeqCst), 10);
    assert_eq!(connections.open.load(Ordering::SeqCst), 0);
}

#[test]
fn other_requests_share_a_kept_connection() {
    let connections = send_ten(false);
    assert_eq!(connections.made.load(Ordering::SeqCst), 1);
}

/// Answers one request; under the second it ends, and its address with it.
fn start_mortal_server() -> SocketAddr {
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
        assert!(read > 0, "the kept connection is used");
        drop(listener);
        std::thread::sleep(Duration::from_millis(30));
    });
    address
}

async fn outcome(
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

/// A server that ends under a request was taken for one that could not be reached: the
/// new connection was refused, and that failure only was reported. Callers were told
/// that the request had not run.
#[test]
fn a_server_that_ends_under_a_request_may_have_run_it() {
    let address = start_mortal_server().to_string();
    let failure = block_on(async move {
        let (parts, mut received) = unbounded();
        let client = HttpClient::new(parts);
        let options = SendOptions::with_read_timeout(Duration::from_secs(5));
        let request = || HttpRequest::new("GET", "/", "");
        let _first = client.send(1, &address, request(), options);
        assert_eq!(outcome(&mut received).await, None);
        let _second = client.send(2, &address, request(), options);
        outcome(&mut received).await
    })
    .unwrap();
    assert_eq!(failure.map(|failure| failure.step), Some(HttpStep::Head));
}

#[test]
fn requests_with_a_connection_are_told_of_once_each() {
    let (address, _) = start_server();
    let opened = block_on(async move {
        let (parts, mut received) = unbounded();
        let client = HttpClient::tracking_connections(parts);
        let options = SendOptions::with_read_timeout(Duration::from_secs(5));
        for id in 1..=2 {
            let request = HttpRequest::new("GET", "/", "");
            let _running = client.send(id, &address.to_string(), request, options);
            assert_eq!(outcome(&mut received).await, None);
        }
        let opened = client.take_connected();
        assert!(client.take_connected().is_empty());
        opened
    })
    .unwrap();
    let ids: Vec<u32> = opened.iter().map(|opened| opened.id).collect();
    assert_eq!(ids, [1, 2]);
    assert!(opened[0].connect_time.is_some());
    assert_eq!(opened[1].connect_time, None, "a kept connection");
}

/// Its owner promises that it has not run, though its connection came up in between.
#[test]
fn a_request_that_is_dropped_before_it_was_told_of_never_leaves() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let read = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read(&mut [0; 16]).unwrap_or(0)
    });
    block_on(async move {
        let (parts, _received) = unbounded();
        let client = HttpClient::tracking_connections(parts);
        let options = SendOptions::with_read_timeout(Duration::from_secs(5));
        let running = client.send(1_u32, &address, HttpRequest::new("GET", "/", ""), options);
        // Runs in the turn in which the other task begins to connect: the kernel ends that
        // meanwhile, and the other task hears of it and of the drop together.
        let drops = monoio::spawn(async move {
            std::thread::sleep(Duration::from_millis(50));
            drop(running);
        });
        drops.await;
        assert!(
            client.take_connected().is_empty(),
            "nothing to be seen here"
        );
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert!(client.take_connected().is_empty());
    })
    .unwrap();
    assert_eq!(read.join().unwrap(), 0);
}
