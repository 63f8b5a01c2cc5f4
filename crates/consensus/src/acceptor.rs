//! The replica side of the registers.
//!
//! # Why a roster change loses nothing
//!
//! A replica answers a proposal only under its own current roster number, so
//! once it has moved to roster N+1 it takes no part in choosing anything under
//! N. A replica whose shard has other replicas under N+1 than under N answers
//! for that shard only after copying it from a majority of the replicas of N,
//! each of which must itself have moved to N+1 and have held the shard whole
//! under N. Whatever was chosen under N was accepted by a majority of N, which
//! shares a replica with the majority copied from; and since that majority has
//! moved on, nothing more can be chosen under N. The roster keeper moves to
//! N+2 only when the live members of N+1 have reported their copies complete,
//! so the majority of N+1 that N+2 copies from exists.
//!
//! A restarted replica has another [`Identity`], is in no roster until the
//! keeper adds it, and answers nothing until then.

use crate::ballot::BallotNumber;
use crate::roster::{majority, shard_of, Roster, SHARDS};
use crate::Outgoing;
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::{
    Accept, Accepted, Prepare, Promise, RegisterEntry, ShardSyncReply, ShardSyncRequest,
};
use peatgrade_types::{Duration, Identity, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Time between two requests for a copy of the same shard.
const SYNC_RETRY: Duration = Duration::from_millis(500);

#[derive(Clone, Debug, Default)]
struct Slot {
    promised: BallotNumber,
    accepted: BallotNumber,
    value: Vec<u8>,
    /// When the value may be forgotten; `None` keeps it for good.
    expires: Option<Time>,
}

#[derive(Debug, Default)]
struct Shard {
    slots: BTreeMap<String, Slot>,
    /// Whether the shard is whole under the current roster.
    synced: bool,
    /// Whether it was whole under the roster before.
    was_synced: bool,
    copied_from: BTreeSet<Identity>,
    asked: Option<Time>,
}

/// The replica state of one life of a node.
#[derive(Debug)]
pub struct Acceptor {
    identity: Identity,
    roster: Roster,
    shards: BTreeMap<u32, Shard>,
}

impl Acceptor {
    /// A replica that belongs to no roster yet.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            roster: Roster::default(),
            shards: BTreeMap::new(),
        }
    }

    /// The roster in force here.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Number of register values held.
    pub fn len(&self) -> usize {
        self.shards.values().map(|shard| shard.slots.len()).sum()
    }

    /// Whether no value is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of keys and values held, for capacity planning.
    pub fn state_bytes(&self) -> usize {
        let slots = self.shards.values().flat_map(|shard| shard.slots.iter());
        slots
            .map(|(key, slot)| key.len() + slot.value.len() + std::mem::size_of::<Slot>())
            .sum()
    }

    /// Moves to a higher roster; a lower or equal one is ignored.
    pub fn install(&mut self, roster: Roster) {
        if roster.number <= self.roster.number {
            return;
        }
        let direct = roster.number == self.roster.number + 1;
        let bootstrap = roster.previous.is_empty();
        for number in 0..SHARDS {
            let member = is_replica(&roster.replicas(number), self.identity);
            let was_member = is_replica(&roster.previous_replicas(number), self.identity);
            if !member && !was_member {
                self.shards.remove(&number);
                continue;
            }
            let shard = self.shards.entry(number).or_default();
            shard.was_synced = direct && was_member && shard.synced;
            let carried_on = shard.was_synced && roster.unchanged(number);
            shard.synced = member && (bootstrap || carried_on);
            shard.copied_from.clear();
            shard.asked = None;
            if shard.was_synced {
                shard.copied_from.insert(self.identity);
            }
        }
        self.roster = roster;
        self.finish_copies();
    }

    /// Whether every shard this replica holds is whole under the roster.
    pub fn complete(&self) -> bool {
        (0..SHARDS).all(|number| {
            let member = is_replica(&self.roster.replicas(number), self.identity);
            !member || self.shards.get(&number).is_some_and(|shard| shard.synced)
        })
    }

    /// Asks for copies that are still missing and forgets expired values.
    pub fn tick(&mut self, now: Time) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        let roster = &self.roster;
        for (&number, shard) in &mut self.shards {
            shard
                .slots
                .retain(|_, slot| slot.expires.is_none_or(|expires| expires > now));
            let member = is_replica(&roster.replicas(number), self.identity);
            let due = shard
                .asked
                .is_none_or(|asked| now.since(asked) >= SYNC_RETRY);
            if shard.synced || !member || !due {
                continue;
            }
            shard.asked = Some(now);
            for source in roster.previous_replicas(number) {
                if !shard.copied_from.contains(&source.identity) {
                    let request = ShardSyncRequest {
                        shard: number,
                        roster: roster.number,
                    };
                    outgoing.push(Outgoing::new(
                        source.identity.node,
                        OneOfbody::shard_sync_request(request),
                    ));
                }
            }
        }
        outgoing.sort_by_key(|message| message.to);
        outgoing
    }

    /// Answers a request for a copy of a shard.
    pub fn on_sync_request(&self, now: Time, request: &ShardSyncRequest) -> ShardSyncReply {
        let mut reply = ShardSyncReply {
            shard: request.shard,
            roster: self.roster.number,
            ..Default::default()
        };
        let Some(shard) = self.shards.get(&request.shard) else {
            return reply;
        };
        reply.valid = request.roster == self.roster.number && shard.was_synced;
        if reply.valid {
            reply.entries = shard
                .slots
                .iter()
                .map(|(key, slot)| to_entry(now, key, slot))
                .collect();
        }
        reply
    }

    /// Takes in a copy of a shard.
    pub fn on_sync_reply(&mut self, now: Time, from: Identity, reply: &ShardSyncReply) {
        if reply.roster != self.roster.number || !reply.valid {
            return;
        }
        let source = is_replica(&self.roster.previous_replicas(reply.shard), from);
        let Some(shard) = self.shards.get_mut(&reply.shard).filter(|_| source) else {
            return;
        };
        for entry in &reply.entries {
            let slot = shard.slots.entry(entry.key.clone()).or_default();
            slot.promised = slot.promised.max(BallotNumber::from(&entry.promised));
            let accepted = BallotNumber::from(&entry.accepted);
            if accepted > slot.accepted {
                slot.accepted = accepted;
                slot.value = entry.value.clone();
                slot.expires = expiry(now, entry.lifetime_ms);
            }
        }
        shard.copied_from.insert(from);
        self.finish_copies();
    }

    /// First phase: promises to ignore lower ballots.
    pub fn on_prepare(&mut self, now: Time, prepare: &Prepare) -> Promise {
        let ballot = BallotNumber::from(&prepare.ballot);
        let roster = self.roster.number;
        let mut promise = Promise {
            request: prepare.request,
            roster,
            ..Default::default()
        };
        let Some(slot) = self.slot(&prepare.key, ballot) else {
            return promise;
        };
        promise.granted = ballot > slot.promised;
        if promise.granted {
            slot.promised = ballot;
        }
        promise.highest = Some(slot.promised.into());
        promise.accepted = Some(slot.accepted.into());
        promise.value = slot.value.clone();
        promise.lifetime_ms = remaining_ms(now, slot);
        promise
    }

    /// Second phase: accepts unless a higher ballot was promised.
    pub fn on_accept(&mut self, now: Time, accept: &Accept) -> Accepted {
        let ballot = BallotNumber::from(&accept.ballot);
        let roster = self.roster.number;
        let mut accepted = Accepted {
            request: accept.request,
            roster,
            ..Default::default()
        };
        let Some(slot) = self.slot(&accept.key, ballot) else {
            return accepted;
        };
        accepted.granted = ballot >= slot.promised;
        if accepted.granted {
            slot.promised = ballot;
            slot.accepted = ballot;
            slot.value = accept.value.clone();
            slot.expires = expiry(now, accept.lifetime_ms);
        }
        accepted.highest = Some(slot.promised.into());
        accepted
    }

    /// The slot of a key, if this replica may answer for it under the ballot.
    fn slot(&mut self, key: &str, ballot: BallotNumber) -> Option<&mut Slot> {
        if ballot.roster != self.roster.number {
            return None;
        }
        let number = shard_of(key);
        if !is_replica(&self.roster.replicas(number), self.identity) {
            return None;
        }
        let shard = self.shards.get_mut(&number).filter(|shard| shard.synced)?;
        Some(shard.slots.entry(key.to_string()).or_default())
    }

    fn finish_copies(&mut self) {
        for (&number, shard) in &mut self.shards {
            let member = is_replica(&self.roster.replicas(number), self.identity);
            let needed = majority(self.roster.previous_replicas(number).len());
            if member && !shard.synced && shard.copied_from.len() >= needed {
                shard.synced = true;
            }
        }
    }
}

fn is_replica(replicas: &[&crate::roster::Member], identity: Identity) -> bool {
    replicas.iter().any(|member| member.identity == identity)
}

fn expiry(now: Time, lifetime_ms: u64) -> Option<Time> {
    (lifetime_ms > 0).then(|| now + Duration::from_millis(lifetime_ms))
}

fn to_entry(now: Time, key: &str, slot: &Slot) -> RegisterEntry {
    RegisterEntry {
        key: key.to_string(),
        promised: Some(slot.promised.into()),
        accepted: Some(slot.accepted.into()),
        value: slot.value.clone(),
        lifetime_ms: remaining_ms(now, slot),
    }
}

/// Milliseconds until the value expires, at least 1; 0 if it never does.
fn remaining_ms(now: Time, slot: &Slot) -> u64 {
    let remaining = slot.expires.map(|at| at.since(now).as_millis().max(1));
    remaining.unwrap_or(0)
}
