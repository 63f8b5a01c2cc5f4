//! Connections of the HTTP client against a server that counts them.

use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use peatgrade_runtime::{block_on, HttpClient, SendOptions};
use peatgrade_types::http::{HttpRequest, ResponsePart};
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
                fresh,
                ..SendOptions::reusing(Duration::from_secs(5))
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
