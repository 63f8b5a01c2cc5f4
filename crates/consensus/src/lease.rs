//! Leases kept in registers.
//!
//! No clock is compared between nodes. The holder counts its lease from the
//! moment it *began* the write that renewed it, and stops acting a margin
//! before the term ends; a challenger takes the lease over only after it has
//! seen the same record unchanged for more than the term by its own clock.
//! Each take-over raises the epoch, and every order given under a lease
//! carries the epoch, so that a holder that was paused past its term is
//! refused wherever a later epoch was seen.

use crate::proposer::{Change, Decision, RegisterError};
use peatgrade_schema::peer::LeaseRecord;
use peatgrade_schema::{decode, encode};
use peatgrade_types::{Duration, Identity, NodeId, Time};

/// Time for which a renewal counts, seen by the holder.
pub const HELD: Duration = Duration::from_millis(5_000);
/// Time a record must stay unchanged before another may take it over.
pub const TAKEOVER: Duration = Duration::from_millis(6_500);
/// Time between two renewals.
pub const RENEWAL: Duration = Duration::from_millis(2_000);

/// How a node stands to a lease.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LeaseState {
    /// Not the holder, as far as is known.
    Other,
    /// The holder, under this epoch.
    Held {
        /// Fencing number of this tenure.
        epoch: u64,
    },
}

/// One node's view of one lease.
#[derive(Debug)]
pub struct Lease {
    key: String,
    me: Identity,
    record: LeaseRecord,
    /// When `record` was first seen as it is.
    seen: Option<Time>,
    held_until: Time,
    next_attempt: Time,
    in_flight: Option<Time>,
}

impl Lease {
    /// The view of a node that has not yet read the register `key`.
    pub fn new(key: &str, me: Identity) -> Self {
        Self {
            key: key.to_string(),
            me,
            record: LeaseRecord::default(),
            seen: None,
            held_until: Time::default(),
            next_attempt: Time::default(),
            in_flight: None,
        }
    }

    /// Register in which the lease lives.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Whether this node may act under the lease at `now`.
    pub fn state(&self, now: Time) -> LeaseState {
        if self.is_mine() && !self.record.released && now < self.held_until {
            LeaseState::Held {
                epoch: self.record.epoch,
            }
        } else {
            LeaseState::Other
        }
    }

    /// The epoch, if held at `now`.
    pub fn epoch(&self, now: Time) -> Option<u64> {
        match self.state(now) {
            LeaseState::Held { epoch } => Some(epoch),
            LeaseState::Other => None,
        }
    }

    /// Node that held the lease when the record was last read.
    pub fn last_holder(&self) -> Option<NodeId> {
        let known = self.seen.is_some() && self.record.epoch > 0 && !self.record.released;
        known.then_some(NodeId(self.record.holder))
    }

    /// The next write to start, if one is due. `wanted` says whether this node
    /// should hold the lease; a holder that is no longer wanted releases it.
    pub fn poll(&mut self, now: Time, wanted: bool) -> Option<Change> {
        let held = self.is_mine() && !self.record.released;
        if self.in_flight.is_some() || now < self.next_attempt || !(wanted || held) {
            return None;
        }
        self.in_flight = Some(now);
        let lapsed = self.seen.is_some_and(|seen| now.since(seen) > TAKEOVER);
        let observed = self.record.clone();
        let me = self.me;
        let may_keep_epoch = now < self.held_until;
        Some(Box::new(move |current: &[u8]| {
            let record: LeaseRecord = decode(current).unwrap_or_default();
            next_record(&record, &observed, me, lapsed, wanted, may_keep_epoch)
                .map_or(Decision::Keep, |next| Decision::write(encode(&next)))
        }))
    }

    /// Takes in the end of the write that [`Lease::poll`] started.
    pub fn on_outcome(&mut self, now: Time, result: &Result<Vec<u8>, RegisterError>) {
        let Some(started) = self.in_flight.take() else {
            return;
        };
        self.next_attempt = started + RENEWAL;
        let Ok(value) = result else {
            self.next_attempt = now + Duration::from_millis(200);
            return;
        };
        let record: LeaseRecord = decode(value).unwrap_or_default();
        if record != self.record || self.seen.is_none() {
            self.seen = Some(now);
        }
        self.record = record;
        if self.is_mine() && !self.record.released {
            self.held_until = started + HELD;
        }
    }

    fn is_mine(&self) -> bool {
        NodeId(self.record.holder) == self.me.node && self.record.generation == self.me.generation
    }
}

/// The record to write over `current`, or none to leave it.
fn next_record(
    current: &LeaseRecord,
    observed: &LeaseRecord,
    me: Identity,
    lapsed: bool,
    wanted: bool,
    may_keep_epoch: bool,
) -> Option<LeaseRecord> {
    let mine = NodeId(current.holder) == me.node && current.generation == me.generation;
    let free = current.epoch == 0 || current.released || (lapsed && current == observed);
    let mut next = current.clone();
    next.renewal += 1;
    if mine && !current.released && !wanted {
        next.released = true;
        return Some(next);
    }
    if mine && !current.released && may_keep_epoch {
        return Some(next);
    }
    if !wanted || !(mine || free) {
        return None;
    }
    Some(LeaseRecord {
        holder: me.node.0,
        generation: me.generation,
        epoch: current.epoch + 1,
        renewal: 1,
        released: false,
    })
}
