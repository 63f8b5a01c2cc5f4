//! Minimal HTTP/1.1: a server with a thread per connection, and a client connection.

use std::io::{BufRead, BufReader, Write};
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
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
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

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn read_head(reader: &mut impl BufRead) -> std::io::Result<(String, Vec<(String, String)>)> {
    let closed = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(closed());
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(closed());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((first.trim_end().to_string(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> std::io::Result<Vec<u8>> {
    if find(headers, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = find(headers, "content-length").and_then(|value| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Serves `listener` until the process ends.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(Request, &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream);
                while let Ok((first, headers)) = read_head(&mut reader) {
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or("").to_string();
                    let path = words.next().unwrap_or("").to_string();
                    let Ok(body) = read_body(&mut reader, &headers) else {
                        return;
                    };
                    let request = Request {
                        method,
                        path,
                        headers,
                        body,
                    };
                    if handle(request, reader.get_mut()).is_err() {
                        return;
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
) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A client's connection, which may be kept for several requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        patience: Duration,
    ) -> std::io::Result<Answer> {
        self.reader.get_ref().set_read_timeout(Some(patience))?;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)?;
        let (first, headers) = read_head(&mut self.reader)?;
        let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
        let body = read_body(&mut self.reader, &headers)?;
        Ok(Answer {
            status: status.unwrap_or(0),
            headers,
            body,
        })
    }
}

/// One request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> std::io::Result<Answer> {
    Connection::open(address)?.call(method, path, headers, body, patience)
}
