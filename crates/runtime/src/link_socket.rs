//! Message transport between processes: UDP datagrams for small messages, framed TCP for
//! large ones and for those that need more reliable delivery.
//!
//! Delivery is best-effort on both. A connection to a peer that has not replied for a while
//! is replaced, as it may be half-open.

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
use crate::frames::{FrameCodec, FrameHeader, HEADER_BYTES};
use crate::receive_budget::{ReceiveBudget, ReceivedMessage};

/// Largest datagram payload, below the usual MTU to avoid IP fragmentation.
const MAX_DATAGRAM_BYTES: usize = 1_200;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time to write one frame to the socket.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest time to receive a frame after its header. Its sender gives up sooner.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Most bytes queued for one connection; messages beyond are dropped. A larger message is
/// accepted if the queue is empty.
const MAX_QUEUED_BYTES: usize = 2 * 1024 * 1024;
/// A connection is replaced if the peer has sent nothing for this long.
const RECONNECT_AFTER: Duration = Duration::from_millis(1_000);

/// `TCP_USER_TIMEOUT`: a connection is closed if sent bytes stay unacknowledged for this long.
/// Tolerates network interruptions that are shorter than an election.
const USER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How a message is delivered.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Delivery {
    /// As a UDP datagram if it fits, otherwise over TCP.
    Datagram,
    /// Over TCP.
    Stream,
}

struct OutgoingConnection {
    queue: UnboundedSender<Vec<u8>>,
    queued_bytes: Rc<Cell<usize>>,
    opened_at: BootInstant,
}

/// UDP and TCP transport for messages between processes.
pub struct LinkSocket {
    udp: Rc<UdpSocket>,
    frames: Rc<FrameCodec>,
    connections: HashMap<SocketAddr, OutgoingConnection>,
    last_received: HashMap<SocketAddr, BootInstant>,
    receive_budget: ReceiveBudget,
    dropped: u64,
}

impl LinkSocket {
    /// Binds UDP and TCP on `address` and forwards incoming messages to `received`.
    pub fn open(
        address: &str,
        received: UnboundedSender<ReceivedMessage>,
    ) -> std::io::Result<Self> {
        let udp = Rc::new(UdpSocket::bind(address)?);
        let listener = TcpListener::bind(address)?;
        monoio::spawn(receive_datagrams(udp.clone(), received.clone()));
        let frames = Rc::new(FrameCodec::new()?);
        let receive_budget = ReceiveBudget::default();
        let receiver = FrameReceiver {
            frames: frames.clone(),
            budget: receive_budget.clone(),
            received,
        };
        monoio::spawn(accept_frames(listener, receiver));
        Ok(Self {
            udp,
            frames,
            connections: HashMap::new(),
            last_received: HashMap::new(),
            receive_budget,
            dropped: 0,
        })
    }

    /// Limits the memory of messages over TCP that are received and not processed yet. Large
    /// messages beyond it wait at their senders.
    pub fn limit_received(&self, bytes: usize) {
        self.receive_budget.set_limit(bytes);
    }

    /// Bytes of large messages that are being received or are not processed yet.
    pub fn received_bytes(&self) -> usize {
        self.receive_budget.held()
    }

    /// Records that a message from `address` was received. Peers without such a record are
    /// not reconnected to when silent.
    pub fn record_received(&mut self, address: &str) {
        if let Ok(address) = address.parse() {
            self.last_received.insert(address, BootInstant::now());
        }
    }

    /// Sends a message without a delivery guarantee.
    pub fn send(&mut self, address: &str, bytes: Vec<u8>, delivery: Delivery) {
        let Ok(address) = address.parse::<SocketAddr>() else {
            return;
        };
        if delivery == Delivery::Datagram && bytes.len() <= MAX_DATAGRAM_BYTES {
            let udp = self.udp.clone();
            monoio::spawn(async move {
                let _ = udp.send_to(bytes, address).await;
            });
            return;
        }
        self.remove_stale_connection(address);
        let connection = self.connections.entry(address).or_insert_with(|| {
            let (queue, receiver) = unbounded();
            let queued_bytes = Rc::new(Cell::new(0));
            let frames = self.frames.clone();
            monoio::spawn(send_frames(address, frames, receiver, queued_bytes.clone()));
            OutgoingConnection {
                queue,
                queued_bytes,
                opened_at: BootInstant::now(),
            }
        });
        let queued = connection.queued_bytes.get();
        if queued == 0 || queued + bytes.len() <= MAX_QUEUED_BYTES {
            connection.queued_bytes.set(queued + bytes.len());
            let _ = connection.queue.unbounded_send(bytes);
        } else {
            self.dropped += 1;
        }
    }

    /// Replaces the connection to `address` before the next message is sent over it.
    pub fn reconnect(&mut self, address: &str) {
        if let Ok(address) = address.parse::<SocketAddr>() {
            self.connections.remove(&address);
        }
    }

    /// Total bytes of messages sent over TCP, and of their frames after compression.
    pub fn sent_bytes(&self) -> (u64, u64) {
        self.frames.sent_bytes()
    }

    /// Bytes queued for all connections.
    pub fn queued_bytes(&self) -> usize {
        let connections = self.connections.values();
        connections
            .map(|connection| connection.queued_bytes.get())
            .sum()
    }

    /// Messages dropped since the start because a queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn remove_stale_connection(&mut self, address: SocketAddr) {
        let Some(connection) = self.connections.get(&address) else {
            return;
        };
        // Without `record_received` for this peer, silence is not tracked.
        let received = self.last_received.get(&address);
        let last = received.map(|received| (*received).max(connection.opened_at));
        let silent = last.is_some_and(|last| last.elapsed() > RECONNECT_AFTER);
        if connection.queue.is_closed() || silent {
            self.connections.remove(&address);
        }
    }
}

async fn receive_datagrams(udp: Rc<UdpSocket>, received: UnboundedSender<ReceivedMessage>) {
    let mut buffer = vec![0_u8; 4 * 1024];
    loop {
        let (result, returned) = udp.recv_from(buffer).await;
        buffer = returned;
        match result {
            Ok((count, _)) => {
                if received
                    .unbounded_send(ReceivedMessage::datagram(buffer[..count].to_vec()))
                    .is_err()
                {
                    return;
                }
            }
            Err(error) => log::debug!("step=receive-datagram error={error}"),
        }
    }
}

/// Receives frames from the connections of peers.
#[derive(Clone)]
struct FrameReceiver {
    frames: Rc<FrameCodec>,
    budget: ReceiveBudget,
    received: UnboundedSender<ReceivedMessage>,
}

async fn accept_frames(listener: TcpListener, receiver: FrameReceiver) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(receive_frames(stream, receiver.clone()));
            }
            Err(error) => {
                log::warn!("step=accept-link error={error}");
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn receive_frames(mut stream: TcpStream, receiver: FrameReceiver) {
    loop {
        let (result, header) = stream.read_exact(Box::new([0_u8; HEADER_BYTES])).await;
        if result.is_err() {
            return;
        }
        let header = match FrameHeader::parse(&header) {
            Ok(header) => header,
            Err(error) => return log::warn!("step=receive-frame error={error}"),
        };
        let held = receiver.budget.reserve(header.length).await;
        let reading = stream.read_exact(vec![0_u8; header.length]);
        let Ok((result, body)) = monoio::time::timeout(RECEIVE_TIMEOUT, reading).await else {
            return log::warn!("step=receive-frame bytes={} error=timeout", header.length);
        };
        if result.is_err() {
            return;
        }
        let message = match receiver.frames.decode(header, body) {
            Ok(message) => ReceivedMessage::frame(message, held),
            Err(error) => return log::warn!("step=receive-frame error={error}"),
        };
        if receiver.received.unbounded_send(message).is_err() {
            return;
        }
    }
}

/// Sets `TCP_USER_TIMEOUT` to [`USER_TIMEOUT`]. Otherwise a half-open connection would accept
/// frames for minutes, while datagrams from the peer suggest that it receives them.
pub fn set_user_timeout(stream: &impl AsRawFd) -> std::io::Result<()> {
    // SAFETY: `stream` owns the descriptor and outlives the borrow.
    let descriptor = unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) };
    SockRef::from(&descriptor).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

async fn send_frames(
    address: SocketAddr,
    frames: Rc<FrameCodec>,
    mut queue: UnboundedReceiver<Vec<u8>>,
    queued_bytes: Rc<Cell<usize>>,
) {
    let connecting = monoio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect_addr(address));
    let Ok(Ok(mut stream)) = connecting.await else {
        return log::debug!("step=connect-link peer={address}");
    };
    let _ = stream.set_nodelay(true);
    if let Err(error) = set_user_timeout(&stream) {
        log::warn!("step=bound-silence peer={address} error={error}");
    }
    while let Ok(Some(bytes)) = monoio::time::timeout(IDLE_TIMEOUT, queue.next()).await {
        queued_bytes.set(queued_bytes.get() - bytes.len());
        let frame = frames.encode(&bytes);
        let writing = monoio::time::timeout(WRITE_TIMEOUT, stream.write_all(frame));
        match writing.await {
            Ok((Ok(_), _)) => {}
            _ => return,
        }
    }
}
