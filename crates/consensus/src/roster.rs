//! The numbered list of replicas and where keys live on it.

use peatgrade_schema::peer::{Roster as RosterMessage, RosterMember};
use peatgrade_types::{hash_bytes, rendezvous_order, Identity, NodeId};
use std::collections::BTreeSet;

/// Number of shards into which the keys of a region are divided.
pub const SHARDS: u32 = 64;

/// One replica of a roster.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Member {
    /// Node and the life of it that holds the state.
    pub identity: Identity,
    /// Failure domain.
    pub zone: String,
    /// IP and port of the peer socket.
    pub peer_address: String,
}

/// A numbered list of replicas of one region.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Roster {
    /// Rises by one with each change; 0 means "none known".
    pub number: u64,
    /// The region whose keys these replicas hold.
    pub region: String,
    /// Replicas per shard.
    pub replication: u32,
    /// Replicas under this number.
    pub members: Vec<Member>,
    /// Replicas under the number before, from which state is copied.
    pub previous: Vec<Member>,
    /// Replicas per shard under the number before.
    pub previous_replication: u32,
}

/// Shard of a key.
pub fn shard_of(key: &str) -> u32 {
    (hash_bytes(key.as_bytes()) % u64::from(SHARDS)) as u32
}

/// Smallest number of replicas that intersects every other such set.
pub fn majority(replicas: usize) -> usize {
    replicas / 2 + 1
}

/// Replicas per shard for a roster of `members`: 5 from five on, else 3 or 1.
pub fn replication_for(members: usize) -> u32 {
    match members {
        0..=2 => 1,
        3 | 4 => 3,
        _ => 5,
    }
}

impl Roster {
    /// Replicas of a shard under this roster.
    pub fn replicas(&self, shard: u32) -> Vec<&Member> {
        place(shard, &self.members, self.replication)
    }

    /// Replicas of a shard under the roster before.
    pub fn previous_replicas(&self, shard: u32) -> Vec<&Member> {
        place(shard, &self.previous, self.previous_replication)
    }

    /// Whether a shard has the same replicas as under the roster before.
    pub fn unchanged(&self, shard: u32) -> bool {
        let now: BTreeSet<Identity> = identities(&self.replicas(shard));
        let before: BTreeSet<Identity> = identities(&self.previous_replicas(shard));
        now == before
    }

    /// Whether this life of a node is a member.
    pub fn contains(&self, identity: Identity) -> bool {
        self.members.iter().any(|m| m.identity == identity)
    }

    /// The member with this node, whichever its life.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.members.iter().find(|m| m.identity.node == node)
    }

    /// The roster that follows this one with other members.
    pub fn successor(&self, mut members: Vec<Member>) -> Roster {
        members.sort();
        Roster {
            number: self.number + 1,
            region: self.region.clone(),
            replication: replication_for(members.len()),
            members,
            previous: self.members.clone(),
            previous_replication: self.replication,
        }
    }
}

fn identities(members: &[&Member]) -> BTreeSet<Identity> {
    members.iter().map(|member| member.identity).collect()
}

/// Picks replicas by rendezvous order, taking a zone again only once every
/// zone has been taken equally often.
fn place(shard: u32, members: &[Member], replication: u32) -> Vec<&Member> {
    let ordered = rendezvous_order(u64::from(shard), members.iter(), |member| {
        u64::from(member.identity.node.0)
    });
    let zones: BTreeSet<&str> = ordered.iter().map(|m| m.zone.as_str()).collect();
    if zones.is_empty() {
        return Vec::new();
    }
    let wanted = (replication as usize).min(ordered.len());
    let mut chosen: Vec<&Member> = Vec::with_capacity(wanted);
    let mut per_zone = 1;
    while chosen.len() < wanted {
        for member in &ordered {
            let in_zone = chosen.iter().filter(|m| m.zone == member.zone).count();
            let taken = chosen.iter().any(|m| m.identity == member.identity);
            if chosen.len() < wanted && in_zone < per_zone && !taken {
                chosen.push(member);
            }
        }
        per_zone += 1;
    }
    chosen
}

impl From<&Member> for RosterMember {
    fn from(member: &Member) -> Self {
        RosterMember {
            node: member.identity.node.0,
            generation: member.identity.generation,
            zone: member.zone.clone(),
            peer_address: member.peer_address.clone(),
        }
    }
}

impl From<&RosterMember> for Member {
    fn from(member: &RosterMember) -> Self {
        Member {
            identity: Identity {
                node: NodeId(member.node),
                generation: member.generation,
            },
            zone: member.zone.clone(),
            peer_address: member.peer_address.clone(),
        }
    }
}

impl From<&Roster> for RosterMessage {
    fn from(roster: &Roster) -> Self {
        RosterMessage {
            number: roster.number,
            region: roster.region.clone(),
            replication: roster.replication,
            members: roster.members.iter().map(RosterMember::from).collect(),
            previous: roster.previous.iter().map(RosterMember::from).collect(),
            previous_replication: roster.previous_replication,
        }
    }
}

impl From<&RosterMessage> for Roster {
    fn from(message: &RosterMessage) -> Self {
        Roster {
            number: message.number,
            region: message.region.clone(),
            replication: message.replication,
            members: message.members.iter().map(Member::from).collect(),
            previous: message.previous.iter().map(Member::from).collect(),
            previous_replication: message.previous_replication,
        }
    }
}
