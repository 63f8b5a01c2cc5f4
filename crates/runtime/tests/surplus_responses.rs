//! Servers that send a second response after a whole one, or that do not name the request that
//! they respond to.

use futures_channel::mpsc::unbounded;
use futures_util::StreamExt;
use peatgrade_runtime::{block_on, HttpClient, SendOptions};
use peatgrade_types::http::{HttpRequest, ResponsePart};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

const ID: &str = "x-id";

/// What a server does with the ids of requests.
#[derive(Clone, Copy, PartialEq)]
enum Habit {
    Echo,
    Omit,
    /// Some responses are followed by a second one, without an id, once the next request is sent.
    Surplus,
}

struct Server {
    address: SocketAddr,
    accepted: Arc<AtomicUsize>,
}

impl Server {
    fn start(habit: Habit) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let accepted = Arc::new(AtomicUsize::new(0));
        let counted = accepted.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                counted.fetch_add(1, Ordering::SeqCst);
                std::thread::spawn(move || serve(stream, habit));
            }
        });
        Self { address, accepted }
    }
}

/// Responds with the path of each request.
fn serve(mut stream: TcpStream, habit: Habit) {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    let mut former: Option<String> = None;
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..count]);
        let Some(end) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8(received.drain(..end + 4).collect()).unwrap();
        let path = head.split(' ').nth(1).unwrap().to_string();
        let id = head.lines().find_map(|line| line.strip_prefix("x-id: "));
        let id = id.filter(|_| habit != Habit::Omit);
        let id_line = id.map_or(String::new(), |id| format!("x-id: {id}\r\n"));
        let mut answer = String::new();
        if let Some(former) = former.take().filter(|_| habit == Habit::Surplus) {
            answer += &response(&former, "");
        }
        answer += &response(&path, &id_line);
        former = Some(path);
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn response(path: &str, id_line: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{id_line}content-length: {}\r\n\r\n{path}",
        path.len()
    )
}

/// Sends `count` requests one after the other and returns the bodies of their responses.
fn bodies(server: &Server, count: u32, has_id: bool) -> Vec<String> {
    let address = server.address.to_string();
    block_on(async move {
        let (parts, mut received) = unbounded();
        let client = HttpClient::tracking_connections(parts, Some(ID));
        let mut bodies = Vec::new();
        for number in 0..count {
            let options = SendOptions::with_read_timeout(Duration::from_secs(5));
            let mut request = HttpRequest::new("GET", format!("/{number}").as_str(), "");
            if has_id {
                request = request.with_header(ID, format!("r{number}"));
            }
            let _running = client.send(number, &address, request, options);
            let mut body = Vec::new();
            loop {
                match received.next().await.unwrap() {
                    (id, ResponsePart::Data(data)) if id == number => body.extend_from_slice(&data),
                    (id, ResponsePart::End) if id == number => break,
                    (_, ResponsePart::Failed(failure)) => panic!("{failure}"),
                    _ => {}
                }
            }
            bodies.push(String::from_utf8(body).unwrap());
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        std::mem::forget(client);
        bodies
    })
    .unwrap()
}

fn paths(count: u32) -> Vec<String> {
    (0..count).map(|number| format!("/{number}")).collect()
}

#[test]
fn a_surplus_response_without_an_id_is_no_response() {
    let server = Server::start(Habit::Surplus);
    assert_eq!(bodies(&server, 12, true), paths(12));
}

#[rstest]
#[case::named(Habit::Echo, true, 1)]
#[case::not_named_by_the_request_either(Habit::Omit, false, 1)]
// Served, but no connection on which surplus responses can't be told is used twice.
#[case::never_named(Habit::Omit, true, 12)]
fn connections_are_shared_as_far_as_responses_can_be_told_apart(
    #[case] habit: Habit,
    #[case] has_id: bool,
    #[case] connections: usize,
) {
    let server = Server::start(habit);
    assert_eq!(bodies(&server, 12, has_id), paths(12));
    assert_eq!(server.accepted.load(Ordering::SeqCst), connections);
}
