//! Group membership of a region (SWIM) and the tree that pushes updates in a zone.
//!
//! ```text
//!  Swim: ping -> ack, ping-request through other members -> suspect -> dead
//!        updates are piggybacked on pings and acks, each sent O(log n) times
//!  Tree: members of a zone in rendezvous order; the root pushes, fan-out 2
//! ```
//!
//! One group spans a region. Three of four probes go to members of the local
//! zone, so that a slow link between zones causes few false suspicions. The
//! fourth goes to another zone and keeps the zones connected.

mod gossip;
mod member;
mod swim;
mod tree;

pub use member::{Member, MemberChange, State};
pub use swim::{Swim, SwimSettings};
pub use tree::ZoneTree;
