//! Messages between nodes, sent as protobuf envelopes over a [`LinkSocket`].
//!
//! Delivery is best-effort.

use futures_channel::mpsc::{unbounded, UnboundedReceiver, UnboundedSender};
use futures_util::StreamExt;
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::Envelope;
use peatgrade_schema::{decode, encode};
use peatgrade_types::{Identity, NodeId};

use crate::link_socket::{Delivery, LinkSocket};
use crate::receive_budget::ReceivedMessage;

/// A message from another node.
pub type PeerMessage = (Identity, OneOfbody);

/// The peer sockets of one node.
pub struct PeerSocket {
    identity: Identity,
    link: LinkSocket,
}

impl PeerSocket {
    /// Binds UDP and TCP on `address` and forwards incoming messages to `received`.
    pub fn open(
        address: &str,
        identity: Identity,
        received: UnboundedSender<PeerMessage>,
    ) -> std::io::Result<Self> {
        let (encoded, incoming) = unbounded();
        let link = LinkSocket::open(address, encoded)?;
        monoio::spawn(forward_messages(incoming, received));
        Ok(Self { identity, link })
    }

    /// Sends a message without a delivery guarantee. Returns its encoded size.
    pub fn send(&mut self, address: &str, body: OneOfbody) -> usize {
        let envelope = Envelope {
            from: self.identity.node.0,
            generation: self.identity.generation,
            body,
        };
        let bytes = encode(&envelope);
        let size = bytes.len();
        self.link.send(address, bytes, Delivery::Datagram);
        size
    }
}

async fn forward_messages(
    mut incoming: UnboundedReceiver<ReceivedMessage>,
    received: UnboundedSender<PeerMessage>,
) {
    while let Some(bytes) = incoming.next().await {
        let Ok(envelope) = decode::<Envelope>(&bytes) else {
            log::warn!("step=decode-peer-message bytes={}", bytes.len());
            continue;
        };
        let from = Identity {
            node: NodeId(envelope.from),
            generation: envelope.generation,
        };
        if received.unbounded_send((from, envelope.body)).is_err() {
            return;
        }
    }
}
