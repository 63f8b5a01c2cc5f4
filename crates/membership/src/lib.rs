//! Who is alive in the region, and the tree along which a zone is told news.
//!
//! ```text
//!  Swim: ping -> ack, ping-request through others -> suspect -> dead
//!        updates ride on the pings, each sent O(log n) times
//!  Tree: members of a zone in rendezvous order; root pushes, fan-out 2
//! ```
//!
//! One group spans a region. Three probes of four go to the own zone, so that
//! a slow link between zones costs few false suspicions, and the fourth keeps
//! the zones joined.

mod gossip;
mod member;
mod swim;
mod tree;

pub use member::{Member, MemberChange, State};
pub use swim::{Swim, SwimSettings};
pub use tree::ZoneTree;
