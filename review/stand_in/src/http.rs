//! Minimal HTTP/1.1: a server with a thread per connection, and a client with a connection
//! per request.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn path_only(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }
}

/// An answer as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub whole: bool,
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_string(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

/// What becomes of a connection after a request.
pub enum Next {
    Keep,
    Close,
}

/// Serves `listener` until the process ends.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Request, &mut TcpStream) -> std::io::Result<Next> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream);
                while let Some((first, headers)) = read_head(&mut reader) {
                    let mut words = first.split(' ');
                    let (method, path) = (words.next(), words.next());
                    let length = find(&headers, "content-length");
                    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
                    let mut body = vec![0; length];
                    if reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    let request = Request {
                        method: method.unwrap_or("").to_string(),
                        path: path.unwrap_or("").to_string(),
                        headers,
                        body,
                    };
                    match handle(&request, reader.get_mut()) {
                        Ok(Next::Keep) => {}
                        _ => return,
                    }
                }
            });
        }
    });
}

pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<Next> {
    let mut head = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(Next::Keep)
}

/// Sends one request over a new connection and reads the answer; `None` without an answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    read_answer(&mut BufReader::new(stream))
}

/// Reads an answer; none if no head arrives.
pub fn read_answer(mut reader: &mut BufReader<TcpStream>) -> Option<Answer> {
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut answer = Answer {
        status,
        headers,
        ..Answer::default()
    };
    let chunked = find(&answer.headers, "transfer-encoding").is_some();
    let length = find(&answer.headers, "content-length").and_then(|text| text.parse().ok());
    answer.whole = match (chunked, length) {
        (true, _) => read_chunks(&mut reader, &mut answer.body).is_some(),
        (false, Some(length)) => {
            answer.body = vec![0; length];
            reader.read_exact(&mut answer.body).is_ok()
        }
        (false, None) => reader.read_to_end(&mut answer.body).is_ok(),
    };
    Some(answer)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
