//! Messages between nodes: UDP for small ones, TCP frames for large ones.
//!
//! Both may lose messages; the core expects that. A frame is a length of four
//! bytes, big-endian, and the encoded envelope.

use bytes::{BufMut, BytesMut};
use futures_channel::mpsc::{unbounded, UnboundedReceiver, UnboundedSender};
use futures_util::StreamExt;
use monoio::io::{AsyncReadRentExt, AsyncWriteRentExt};
use monoio::net::udp::UdpSocket;
use monoio::net::{TcpListener, TcpStream};
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::Envelope;
use peatgrade_schema::{decode, encode};
use peatgrade_types::{Identity, NodeId};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Largest message sent in one datagram; larger ones could be fragmented.
const MAX_DATAGRAM: usize = 1_200;
/// Largest frame accepted.
const MAX_FRAME: usize = 32 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection to a node is closed.
const IDLE: Duration = Duration::from_secs(20);
/// Messages waiting for one node's connection; more are lost.
const MAX_WAITING: usize = 4_096;

/// A message from another node.
pub type PeerMessage = (Identity, OneOfbody);

/// The peer sockets of one node.
pub struct PeerSocket {
    identity: Identity,
    udp: Rc<UdpSocket>,
    connections: HashMap<SocketAddr, UnboundedSender<Vec<u8>>>,
}

impl PeerSocket {
    /// Opens UDP and TCP on `address` and starts to hand on what arrives.
    pub fn open(
        address: &str,
        identity: Identity,
        received: UnboundedSender<PeerMessage>,
    ) -> std::io::Result<Self> {
        let udp = Rc::new(UdpSocket::bind(address)?);
        let listener = TcpListener::bind(address)?;
        monoio::spawn(receive_datagrams(udp.clone(), received.clone()));
        monoio::spawn(accept_frames(listener, received));
        Ok(Self {
            identity,
            udp,
            connections: HashMap::new(),
        })
    }

    /// Sends a message; it may get lost. Returns its encoded size.
    pub fn send(&mut self, address: &str, body: OneOfbody) -> usize {
        let Ok(address) = address.parse::<SocketAddr>() else {
            return 0;
        };
        let envelope = Envelope {
            from: self.identity.node.0,
            generation: self.identity.generation,
            body,
        };
        let bytes = encode(&envelope);
        let size = bytes.len();
        if size <= MAX_DATAGRAM {
            let udp = self.udp.clone();
            monoio::spawn(async move {
                let _ = udp.send_to(bytes, address).await;
            });
            return size;
        }
        self.connections.retain(|_, queue| !queue.is_closed());
        let queue = self.connections.entry(address).or_insert_with(|| {
            let (sender, receiver) = unbounded();
            monoio::spawn(send_frames(address, receiver));
            sender
        });
        if queue.len() < MAX_WAITING {
            let _ = queue.unbounded_send(bytes);
        }
        size
    }
}

fn hand_on(bytes: &[u8], received: &UnboundedSender<PeerMessage>) -> bool {
    let Ok(envelope) = decode::<Envelope>(bytes) else {
        log::warn!("step=decode-peer-message bytes={}", bytes.len());
        return true;
    };
    let from = Identity {
        node: NodeId(envelope.from),
        generation: envelope.generation,
    };
    received.unbounded_send((from, envelope.body)).is_ok()
}

async fn receive_datagrams(udp: Rc<UdpSocket>, received: UnboundedSender<PeerMessage>) {
    let mut buffer = vec![0_u8; 64 * 1024];
    loop {
        let (result, returned) = udp.recv_from(buffer).await;
        buffer = returned;
        match result {
            Ok((count, _)) => {
                if !hand_on(&buffer[..count], &received) {
                    return;
                }
            }
            Err(error) => log::debug!("step=receive-datagram error={error}"),
        }
    }
}

async fn accept_frames(listener: TcpListener, received: UnboundedSender<PeerMessage>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                monoio::spawn(receive_frames(stream, received.clone()));
            }
            Err(error) => {
                log::warn!("step=accept-peer error={error}");
                monoio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn receive_frames(mut stream: TcpStream, received: UnboundedSender<PeerMessage>) {
    loop {
        let (result, length) = stream.read_exact(vec![0_u8; 4]).await;
        if result.is_err() {
            return;
        }
        let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
        if length > MAX_FRAME {
            return log::warn!("step=receive-frame reason=too-large bytes={length}");
        }
        let (result, frame) = stream.read_exact(vec![0_u8; length]).await;
        if result.is_err() || !hand_on(&frame, &received) {
            return;
        }
    }
}

async fn send_frames(address: SocketAddr, mut queue: UnboundedReceiver<Vec<u8>>) {
    let connecting = monoio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect_addr(address));
    let Ok(Ok(mut stream)) = connecting.await else {
        return log::debug!("step=connect-peer peer={address}");
    };
    let _ = stream.set_nodelay(true);
    while let Ok(Some(bytes)) = monoio::time::timeout(IDLE, queue.next()).await {
        let mut frame = BytesMut::with_capacity(4 + bytes.len());
        frame.put_u32(bytes.len() as u32);
        frame.put_slice(&bytes);
        if stream.write_all(frame.freeze()).await.0.is_err() {
            return;
        }
    }
}
