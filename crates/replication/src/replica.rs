//! The replica state machine: its state, inputs and outputs.

use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{
    HardState, LogBase, LogEntry, Member, Members, ReplicaMessage,
};
use peatgrade_types::{hash_pair, Duration, Time};
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::lease;
use crate::log_store::LogStore;
use crate::message::{Outgoing, ReplicaId};
use crate::progress::{Progress, MAX_IN_FLIGHT_BYTES};

/// Timing of the protocol. The lease must be shorter than `min_election_timeout`, during
/// which a voter that has heard from a leader grants no votes.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    pub heartbeat_interval: Duration,
    /// Lower bound of the randomized election timeout.
    pub min_election_timeout: Duration,
    /// Upper bound of the randomized election timeout.
    pub max_election_timeout: Duration,
    /// Validity of the leader lease from the time that a quorum has acknowledged.
    pub lease_duration: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(45),
            min_election_timeout: Duration::from_millis(220),
            max_election_timeout: Duration::from_millis(360),
            lease_duration: Duration::from_millis(180),
        }
    }
}

/// Entries that a member lacks stay in memory if it has responded within this time.
const FOLLOWER_ACTIVE_WINDOW: Duration = Duration::from_secs(2);

/// Bounds on the entries, and on the bytes of their commands, that one [`Ready`] returns to apply,
/// so that heartbeats are sent while a long log is applied. Applying that many takes some 20 ms on
/// 0.3 of a core.
const MAX_COMMITTED_ENTRIES_PER_READY: usize = 256;
const MAX_COMMITTED_BYTES_PER_READY: usize = 256 * 1024;

/// Bytes of applied commands that a leader keeps in memory for lagging members.
const MAX_RESIDENT_BYTES: usize = 4 * MAX_IN_FLIGHT_BYTES;

/// Settings of a replica, fixed at its start.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Incarnation of the replica's disk.
    pub id: ReplicaId,
    /// IP address and port of the replica's peer socket.
    pub address: String,
    /// Seed of the randomized election timeouts.
    pub seed: u64,
    pub timing: Timing,
}

/// Raft role of a replica.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    /// Accepts entries from a leader, or waits for one.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Appends and replicates entries.
    Leader,
}

/// Work for the driver, in this order: send `immediate_messages`, persist `base`, `state`
/// and `entries`, send `persisted_messages`, apply `committed`.
#[derive(Debug, Default)]
pub struct Ready {
    /// New base to persist. It discards all entries in the log.
    pub base: Option<LogBase>,
    /// Entries to persist. An entry replaces the one with its index and all after it.
    pub entries: Vec<Rc<LogEntry>>,
    /// Term and vote to persist.
    pub state: Option<HardState>,
    /// Messages that may be sent before the sync.
    pub immediate_messages: Vec<Outgoing>,
    /// Messages that must be sent after the sync.
    pub persisted_messages: Vec<Outgoing>,
    /// Whether to clear the state machine before `committed` is applied.
    pub reset_state_machine: bool,
    /// Entries to apply.
    pub committed: Vec<Rc<LogEntry>>,
}

/// A replica of the log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) settings: ReplicaSettings,
    pub(crate) now: Time,
    pub(crate) term: u64,
    pub(crate) vote: ReplicaId,
    pub(crate) log: LogStore,
    pub(crate) role: Role,
    pub(crate) leader: Option<(ReplicaId, String)>,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(crate) persisted_index: u64,
    pub(crate) last_leader_contact: Time,
    pub(crate) election_deadline: Time,
    pub(crate) next_heartbeat_at: Time,
    pub(crate) votes: BTreeMap<ReplicaId, bool>,
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// When a leadership transfer under way is given up.
    pub(crate) transfer_deadline: Option<Time>,
    /// Replica that is asked to start an election once its log has caught up.
    pub(crate) transferee: Option<ReplicaId>,
    pub(crate) became_leader_at: Time,
    pub(crate) store_staleness: Duration,
    pub(crate) spare_memory: Option<u64>,
    pub(crate) pending: Ready,
    /// Whether entries were appended since entries were last sent.
    pub(crate) has_unsent_entries: bool,
    timeout_draws: u64,
}

impl Replica {
    /// Restores a replica from its persisted state.
    pub fn new(now: Time, settings: ReplicaSettings, state: &HardState, log: LogStore) -> Self {
        let commit_index = log.base().index;
        let persisted_index = log.last_index();
        let mut replica = Self {
            settings,
            now,
            term: state.term,
            vote: ReplicaId(state.vote),
            log,
            role: Role::Follower,
            leader: None,
            commit_index,
            applied_index: commit_index,
            persisted_index,
            // A leader may still hold a lease that this voter supported before its restart.
            last_leader_contact: now,
            election_deadline: now,
            next_heartbeat_at: now,
            votes: BTreeMap::new(),
            progress: BTreeMap::new(),
            transfer_deadline: None,
            transferee: None,
            became_leader_at: now,
            store_staleness: Duration(0),
            spare_memory: None,
            pending: Ready::default(),
            has_unsent_entries: false,
            timeout_draws: 0,
        };
        replica.reset_election_timer();
        replica
    }

    /// Bootstraps a group. Every initial member passes the same list.
    pub fn bootstrap(&mut self, members: Vec<Member>) {
        if !self.log.members().is_empty() || self.log.last_index() > 0 {
            return;
        }
        let base = LogBase {
            index: 0,
            term: 0,
            members: Some(Members { members }),
        };
        self.log.reset(base.clone());
        self.pending.base = Some(base);
        self.reset_election_timer();
    }

    /// Handles a message addressed to this incarnation.
    pub fn step(&mut self, now: Time, message: ReplicaMessage) {
        self.now = now;
        let from = ReplicaId(message.from);
        if message.term > self.term && !has_tentative_term(&message.body) {
            self.become_follower(message.term);
        }
        let stale = message.term < self.term;
        match message.body {
            OneOfbody::vote_request(request) => {
                self.on_vote_request(from, message.term, message.from_address, &request);
            }
            OneOfbody::vote_response(response) if !stale => {
                self.on_vote_response(from, message.term, &response);
            }
            OneOfbody::append_request(request) => {
                self.on_append(from, message.term, message.from_address, request);
            }
            OneOfbody::append_response(response) if !stale => {
                self.on_append_response(from, &response);
            }
            OneOfbody::handover(_) if !stale && self.is_voter(self.settings.id) => {
                self.start_election(true);
            }
            _ => {}
        }
    }

    /// Advances the clock, which may start an election or send heartbeats.
    pub fn tick(&mut self, now: Time) {
        self.now = now;
        if self.role == Role::Leader {
            return self.tick_as_leader();
        }
        if now >= self.election_deadline {
            self.reset_election_timer();
            if self.is_voter(self.settings.id) {
                self.start_pre_vote();
            }
        }
    }

    /// When [`Replica::tick`] has to be called next.
    pub fn next_tick(&self) -> Time {
        match self.role {
            Role::Leader => self.next_heartbeat_at,
            _ => self.election_deadline,
        }
    }

    /// Appends a command. Returns its index, or none if proposals are not accepted here.
    pub fn propose(&mut self, now: Time, command: Vec<u8>) -> Option<u64> {
        self.now = now;
        if self.role != Role::Leader || self.transfer_deadline.is_some() {
            return None;
        }
        Some(self.append_as_leader(command, None))
    }

    /// Proposes a membership with at most one voter changed. Returns false unless this is a
    /// leader that has committed in its term and no other change is uncommitted.
    pub fn change_members(&mut self, now: Time, members: Vec<Member>) -> bool {
        self.now = now;
        let change_pending = self.log.members_index() > self.commit_index;
        if self.role != Role::Leader || change_pending || !self.has_committed_in_term() {
            return false;
        }
        self.append_as_leader(Vec::new(), Some(Members { members }));
        true
    }

    /// Must be called once the contents of all earlier [`Ready`]s are persisted.
    pub fn on_persisted(&mut self) {
        self.persisted_index = self.log.last_index();
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Takes the pending work.
    pub fn ready(&mut self) -> Ready {
        self.send_unsent_entries();
        self.take_committed();
        std::mem::take(&mut self.pending)
    }

    /// Adds the next committed entries to the pending work, up to the bounds of a `Ready`.
    fn take_committed(&mut self) {
        let mut bytes = 0;
        let mut entries = 0;
        while self.applied_index < self.commit_index
            && entries < MAX_COMMITTED_ENTRIES_PER_READY
            && bytes < MAX_COMMITTED_BYTES_PER_READY
        {
            self.applied_index += 1;
            entries += 1;
            if let Some(entry) = self.log.get(self.applied_index) {
                bytes += entry.command.len();
                self.pending.committed.push(entry.clone());
            }
        }
    }

    /// Whether there is pending work.
    pub fn has_ready(&self) -> bool {
        let pending = &self.pending;
        self.applied_index < self.commit_index
            || self.has_unsent_entries
            || pending.base.is_some()
            || pending.state.is_some()
            || !pending.entries.is_empty()
            || !pending.immediate_messages.is_empty()
            || !pending.persisted_messages.is_empty()
    }

    /// Discards applied entries up to and including `index`.
    pub fn trim(&mut self, index: u64) -> bool {
        index <= self.applied_index && index > self.log.base().index && self.log.trim(index)
    }

    /// Evicts applied entries from memory, on a leader those that no active member lacks.
    pub fn evict_entries(&mut self, now: Time) {
        let mut index = self.applied_index;
        if self.role == Role::Leader {
            let active = self
                .progress
                .values()
                .filter(|p| p.is_active(now, FOLLOWER_ACTIVE_WINDOW));
            let min_match = active.map(|progress| progress.match_index).min();
            index = index.min(min_match.unwrap_or(index));
            // A lagging member must not keep an unbounded part of the log in memory.
            let surplus = self
                .log
                .eviction_index(self.applied_index, MAX_RESIDENT_BYTES);
            index = index.max(surplus);
        }
        self.log.evict_up_to(index);
    }

    /// Whether this leader may serve requests from its state machine: an entry of its
    /// term was returned to apply, and its lease is valid. A committed entry is not
    /// enough: until it is applied, the state may lack acknowledged commands.
    pub fn can_serve(&self, now: Time) -> bool {
        self.role == Role::Leader
            && self.transfer_deadline.is_none()
            && self.log.term(self.applied_index) == Some(self.term)
            && lease::is_valid(
                now,
                self.lease_start(now),
                self.settings.timing.lease_duration,
            )
    }

    /// State that must survive a restart.
    pub fn hard_state(&self) -> HardState {
        HardState {
            term: self.term,
            vote: self.vote.0,
            replica: self.settings.id.0,
        }
    }

    pub(crate) fn is_voter(&self, id: ReplicaId) -> bool {
        let members = self.log.members();
        members.iter().any(|m| m.voter && m.replica == id.0)
    }

    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.log.term(self.commit_index) == Some(self.term)
    }

    pub(crate) fn queue_hard_state(&mut self) {
        self.pending.state = Some(self.hard_state());
    }

    pub(crate) fn reset_election_timer(&mut self) {
        self.timeout_draws += 1;
        let timing = self.settings.timing;
        let span = timing.max_election_timeout.0 - timing.min_election_timeout.0;
        let draw = hash_pair(self.settings.seed ^ self.settings.id.0, self.timeout_draws);
        let jitter = Duration(draw % span.max(1));
        self.election_deadline = self.now + timing.min_election_timeout + jitter;
    }

    pub(crate) fn become_follower(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
            self.vote = ReplicaId(0);
            self.leader = None;
            self.queue_hard_state();
        }
        if self.role == Role::Leader {
            self.leader = None;
        }
        if self.role != Role::Follower {
            self.reset_election_timer();
        }
        self.role = Role::Follower;
        self.transfer_deadline = None;
        self.transferee = None;
    }

    pub(crate) fn outgoing(&self, to: ReplicaId, address: &str, body: OneOfbody) -> Outgoing {
        Outgoing {
            to,
            address: address.to_string(),
            term: self.term,
            body,
        }
    }

    pub(crate) fn send(&mut self, to: ReplicaId, address: &str, body: OneOfbody) {
        let message = self.outgoing(to, address, body);
        self.pending.persisted_messages.push(message);
    }
}

/// Whether the term is only proposed: a receiver adopts it when it handles the message, if at all.
fn has_tentative_term(body: &OneOfbody) -> bool {
    match body {
        OneOfbody::vote_request(request) => request.pre_vote || !request.handover,
        OneOfbody::vote_response(response) => response.pre_vote && response.granted,
        _ => false,
    }
}
