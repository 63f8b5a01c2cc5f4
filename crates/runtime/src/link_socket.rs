//! Messages between processes as bytes: datagrams for small ones, frames on a
//! connection for large ones and for those that should not get lost.
//!
//! Both may lose messages; who sends expects that. A connection on which nothing came back
//! for a while may be dead without a sign, so it is made anew.

use futures_channel::mpsc::{unbounded, UnboundedReceiver, UnboundedSender};
use futures_util::StreamExt;
use monoio::io::{AsyncReadRentExt, AsyncWriteRentExt};
use monoio::net::udp::UdpSocket;
use monoio::net::{TcpListener, TcpStream};
use socket2::SockRef;
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::rc::Rc;
use std::time::Duration;

use crate::boot_clock::BootInstant;
use crate::frames::{FrameCodec, FrameHeader, HEADER};

/// Largest message sent in one datagram; larger ones could be fragmented.
const MAX_DATAGRAM: usize = 1_200;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that one frame may take to be handed to the system.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which an idle connection is closed.
const IDLE: Duration = Duration::from_secs(20);
/// Bytes waiting for one connection; more are lost. A single larger message
/// goes through when nothing waits.
const MAX_WAITING_BYTES: usize = 2 * 1024 * 1024;
/// A connection to a silent peer is made anew this often.
const SILENT_RENEWAL: Duration = Duration::from_millis(1_000);

/// Time after which sent bytes that the peer's system has not acknowledged end their
/// connection. Longer than a cut that heals by itself within an election.
const SILENCE_BOUND: Duration = Duration::from_millis(1_000);

/// How much a message matters.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Delivery {
    /// By datagram if it fits.
    Datagram,
    /// By connection.
    Stream,
}

struct Sending {
    queue: UnboundedSender<Vec<u8>>,
    /// Bytes in the queue.
    waiting: Rc<Cell<usize>>,
    opened: BootInstant,
}

/// The sockets of one process.
pub struct LinkSocket {
    udp: Rc<UdpSocket>,
    frames: Rc<FrameCodec>,
    connections: HashMap<SocketAddr, Sending>,
    heard: HashMap<SocketAddr, BootInstant>,
    dropped: u64,
}

impl LinkSocket {
    /// Opens UDP and TCP on `address` and starts to hand on what arrives.
    pub fn open(address: &str, received: UnboundedSender<Vec<u8>>) -> std::io::Result<Self> {
        let udp = Rc::new(UdpSocket::bind(address)?);
        let listener = TcpListener::bind(address)?;
        monoio::spawn(receive_datagrams(udp.clone(), received.clone()));
        let frames = Rc::new(FrameCodec::new()?);
        monoio::spawn(accept_frames(listener, frames.clone(), received));
        Ok(Self {
            udp,
            frames,
            connections: HashMap::new(),
            heard: HashMap::new(),
            dropped: 0,
        })
    }

    /// Takes note that a message came from `address`.
    pub fn record_received(&mut self, address: &str) {
        if let Ok(address) = address.parse() {
            self.heard.insert(address, BootInstant::now());
        }
    }

    /// Sends a message; it may get lost.
    pub fn send(&mut self, address: &str, bytes: Vec<u8>, delivery: Delivery) {
        let Ok(address) = address.parse::<SocketAddr>() else {
            return;
        };
        if delivery == Delivery::Datagram && bytes.len() <= MAX_DATAGRAM {
            let udp = self.udp.clone();
            monoio::spawn(async move {
                let _ = udp.send_to(bytes, address).await;
            });
            return;
        }
        self.drop_dead(address);
        let sending = self.connections.entry(address).or_insert_with(|| {
            let (queue, receiver) = unbounded();
            let waiting = Rc::new(Cell::new(0));
            let frames = self.frames.clone();
            monoio::spawn(send_frames(address, frames, receiver, waiting.clone()));
            Sending {
                queue,
                waiting,
                opened: BootInstant::now(),
            }
        });
        let waiting = sending.waiting.get();
        if waiting == 0 || waiting + bytes.len() <= MAX_WAITING_BYTES {
            sending.waiting.set(waiting + bytes.len());
            let _ = sending.queue.unbounded_send(bytes);
        } else {
            self.dropped += 1;
        }
    }

    /// Makes the connection to `address` anew before anything else is sent there.
    pub fn reconnect(&mut self, address: &str) {
        if let Ok(address) = address.parse::<SocketAddr>() {
            self.connections.remove(&address);
        }
    }

    /// Bytes sent over connections so far, and what they were compressed to.
    pub fn sent_bytes(&self) -> (u64, u64) {
        self.frames.sent()
    }

    /// Bytes that wait for connections.
    pub fn queued_bytes(&self) -> usize {
        let connections = self.connections.values();
        connections.map(|sending| sending.waiting.get()).sum()
    }

    /// Messages lost since the start because too much waited already.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn drop_dead(&mut self, address: SocketAddr) {
        let Some(sending) = self.connections.get(&address) else {
            return;
        };
        // Who never says what it hears does not want connections made anew.
        let heard = self.heard.get(&address);
        let last = heard.map(|heard| (*heard).max(sending.opened));
        let silent = last.is_some_and(|last| last.elapsed() > SILENT_RENEWAL);
        if sending.queue.is_closed() || silent {
            self.connections.remove(&address);
        }
    }
}

async fn receive_datagrams(udp: Rc<UdpSocket>, received: UnboundedSender<Vec<u8>>) {
    let mut buffer = vec![0_u8; 4 * 1024];
    loop {
        let (result, returned) = udp.recv_from(buffer).await;
        buffer = returned;
        match result {
            Ok((count, _)) => {
                if received.unbounded_send(buffer[..count].to_vec()).is_err() {
                    return;
                }
            }
            Err(error) => log::debug!("step=receive-datagram error={error}"),
        }
    }
}

async fn accept_frames(
    listener: TcpListener,
    frames: Rc<FrameCodec>,
    received: UnboundedSender<Vec<u8>>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(receive_frames(stream, frames.clone(), received.clone()));
            }
            Err(error) => {
                log::warn!("step=accept-link error={error}");
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn receive_frames(
    mut stream: TcpStream,
    frames: Rc<FrameCodec>,
    received: UnboundedSender<Vec<u8>>,
) {
    loop {
        let (result, header) = stream.read_exact(Box::new([0_u8; HEADER])).await;
        if result.is_err() {
            return;
        }
        let header = match FrameHeader::parse(&header) {
            Ok(header) => header,
            Err(error) => return log::warn!("step=receive-frame error={error}"),
        };
        let (result, body) = stream.read_exact(vec![0_u8; header.length]).await;
        if result.is_err() {
            return;
        }
        let message = match frames.message(header, body) {
            Ok(message) => message,
            Err(error) => return log::warn!("step=receive-frame error={error}"),
        };
        if received.unbounded_send(message).is_err() {
            return;
        }
    }
}

/// Ends a connection on which bytes are not acknowledged for [`SILENCE_BOUND`]: one that
/// went silent without a reset would otherwise take frames for minutes, while what comes
/// back by datagram looks as if the peer heard them.
pub fn set_user_timeout(stream: &impl AsRawFd) -> std::io::Result<()> {
    // SAFETY: the descriptor belongs to `stream`, which outlives this borrow of it.
    let descriptor = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    SockRef::from(&descriptor).set_tcp_user_timeout(Some(SILENCE_BOUND))
}

async fn send_frames(
    address: SocketAddr,
    frames: Rc<FrameCodec>,
    mut queue: UnboundedReceiver<Vec<u8>>,
    waiting: Rc<Cell<usize>>,
) {
    let connecting = monoio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect_addr(address));
    let Ok(Ok(mut stream)) = connecting.await else {
        return log::debug!("step=connect-link peer={address}");
    };
    let _ = stream.set_nodelay(true);
    if let Err(error) = set_user_timeout(&stream) {
        log::warn!("step=bound-silence peer={address} error={error}");
    }
    while let Ok(Some(bytes)) = monoio::time::timeout(IDLE, queue.next()).await {
        waiting.set(waiting.get() - bytes.len());
        let frame = frames.frame(&bytes);
        let writing = monoio::time::timeout(WRITE_TIMEOUT, stream.write_all(frame));
        match writing.await {
            Ok((Ok(_), _)) => {}
            _ => return,
        }
    }
}
