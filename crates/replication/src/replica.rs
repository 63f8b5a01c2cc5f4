//! One replica: state, input and output.

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

/// Spans of the protocol. The lease must be shorter than `election_min`, for
/// which every voter keeps faith with a leader it has heard.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two messages of a leader.
    pub heartbeat: Duration,
    /// Shortest silence after which an election starts.
    pub election_min: Duration,
    /// Longest such silence.
    pub election_max: Duration,
    /// How long a leader may rely on what a quorum has vouched for.
    pub lease: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(45),
            election_min: Duration::from_millis(220),
            election_max: Duration::from_millis(360),
            lease: Duration::from_millis(180),
        }
    }
}

/// A member that has answered within this span is waited for before entries
/// leave memory.
const ANSWERS: Duration = Duration::from_secs(2);

/// Entries, and bytes of their commands, that one `Ready` gives out to apply: after a
/// loss of power the whole log is to be applied, and whoever does so must be heard
/// meanwhile. On 0.3 of a core this is some 20 ms.
const MAX_APPLIED_ENTRIES: usize = 256;
const MAX_APPLIED_BYTES: usize = 256 * 1024;

/// Bytes of applied commands that a leader holds for members that lack them; what they
/// lack beyond it is read from the file. Four times what is on the way to one.
const MAX_HELD_BYTES: usize = 4 * MAX_IN_FLIGHT_BYTES;

/// What a replica is told at its start.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Incarnation of its disk.
    pub id: ReplicaId,
    /// IP and port of its peer socket.
    pub address: String,
    /// Seed of its random choices.
    pub seed: u64,
    /// Spans.
    pub timing: Timing,
}

/// What a replica is at present.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    /// Follows, or waits for, a leader.
    Follower,
    /// Asks whether an election would have a chance.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Orders the log.
    Leader,
}

/// What is to be done, in this order: send `early`, persist, send `messages`,
/// apply `committed`.
#[derive(Debug, Default)]
pub struct Ready {
    /// A new front of the log; all earlier entries are void.
    pub base: Option<LogBase>,
    /// Entries to persist; one with an index that exists replaces it and all
    /// after it.
    pub entries: Vec<Rc<LogEntry>>,
    /// Term and vote to persist.
    pub state: Option<HardState>,
    /// Messages that may go before the sync.
    pub early: Vec<Outgoing>,
    /// Messages that must not go before the sync.
    pub messages: Vec<Outgoing>,
    /// The state machine starts anew before `committed`.
    pub reset: bool,
    /// Entries to apply.
    pub committed: Vec<Rc<LogEntry>>,
}

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) settings: ReplicaSettings,
    pub(crate) now: Time,
    pub(crate) term: u64,
    pub(crate) vote: ReplicaId,
    pub(crate) log: LogStore,
    pub(crate) role: Role,
    pub(crate) leader: Option<(ReplicaId, String)>,
    pub(crate) commit: u64,
    pub(crate) applied: u64,
    pub(crate) persisted: u64,
    pub(crate) leader_heard: Time,
    pub(crate) election_at: Time,
    pub(crate) heartbeat_at: Time,
    pub(crate) votes: BTreeMap<ReplicaId, bool>,
    pub(crate) progress: BTreeMap<ReplicaId, Progress>,
    /// Set while leadership is being handed over; until when.
    pub(crate) handing_over: Option<Time>,
    /// Who is to be asked to take over once it has the whole log.
    pub(crate) successor: Option<ReplicaId>,
    pub(crate) became_leader: Time,
    pub(crate) store_age: Duration,
    pub(crate) out: Ready,
    /// Entries were added that were not sent yet.
    pub(crate) unsent: bool,
    draws: u64,
}

impl Replica {
    /// A replica as its disk left it.
    pub fn new(now: Time, settings: ReplicaSettings, state: &HardState, log: LogStore) -> Self {
        let commit = log.base().index;
        let persisted = log.last_index();
        let mut replica = Self {
            settings,
            now,
            term: state.term,
            vote: ReplicaId(state.vote),
            log,
            role: Role::Follower,
            leader: None,
            commit,
            applied: commit,
            persisted,
            // A voter that has just started may have promised its faith to a
            // leader before it went down.
            leader_heard: now,
            election_at: now,
            heartbeat_at: now,
            votes: BTreeMap::new(),
            progress: BTreeMap::new(),
            handing_over: None,
            successor: None,
            became_leader: now,
            store_age: Duration(0),
            out: Ready::default(),
            unsent: false,
            draws: 0,
        };
        replica.reset_election();
        replica
    }

    /// Begins a group whose first members are these. Every first member calls
    /// it with the same list, on an empty log.
    pub fn found(&mut self, members: Vec<Member>) {
        if !self.log.members().is_empty() || self.log.last_index() > 0 {
            return;
        }
        let base = LogBase {
            index: 0,
            term: 0,
            members: Some(Members { members }),
        };
        self.log.reset(base.clone());
        self.out.base = Some(base);
        self.reset_election();
    }

    /// Takes a message that is meant for this incarnation.
    pub fn step(&mut self, now: Time, message: ReplicaMessage) {
        self.now = now;
        let from = ReplicaId(message.from);
        if message.term > self.term && !keeps_term(&message.body) {
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

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        self.now = now;
        if self.role == Role::Leader {
            return self.tick_leader();
        }
        if now >= self.election_at {
            self.reset_election();
            if self.is_voter(self.settings.id) {
                self.start_pre_vote();
            }
        }
    }

    /// When [`Replica::tick`] has next something to do.
    pub fn next_tick(&self) -> Time {
        match self.role {
            Role::Leader => self.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Adds a command; its index, or none if this is no leader.
    pub fn propose(&mut self, now: Time, command: Vec<u8>) -> Option<u64> {
        self.now = now;
        if self.role != Role::Leader || self.handing_over.is_some() {
            return None;
        }
        Some(self.append_own(command, None))
    }

    /// Changes the members, one voter at a time; false while another change is
    /// not committed or this is no leader that has committed in its term.
    pub fn change_members(&mut self, now: Time, members: Vec<Member>) -> bool {
        self.now = now;
        let open = self.log.members_index() > self.commit;
        if self.role != Role::Leader || open || !self.committed_in_term() {
            return false;
        }
        self.append_own(Vec::new(), Some(Members { members }));
        true
    }

    /// The driver has persisted all that earlier `Ready`s held.
    pub fn persisted(&mut self) {
        self.persisted = self.log.last_index();
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// What is to be done now.
    pub fn ready(&mut self) -> Ready {
        self.send_unsent();
        self.give_out_committed();
        std::mem::take(&mut self.out)
    }

    /// Adds committed entries to what is to be applied, a bounded part at a time.
    fn give_out_committed(&mut self) {
        let mut bytes = 0;
        let mut entries = 0;
        while self.applied < self.commit
            && entries < MAX_APPLIED_ENTRIES
            && bytes < MAX_APPLIED_BYTES
        {
            self.applied += 1;
            entries += 1;
            if let Some(entry) = self.log.get(self.applied) {
                bytes += entry.command.len();
                self.out.committed.push(entry.clone());
            }
        }
    }

    /// Whether `ready` would return anything.
    pub fn has_ready(&self) -> bool {
        let out = &self.out;
        self.applied < self.commit
            || self.unsent
            || out.base.is_some()
            || out.state.is_some()
            || !out.entries.is_empty()
            || !out.early.is_empty()
            || !out.messages.is_empty()
    }

    /// Drops applied entries up to and with `index`.
    pub fn trim(&mut self, index: u64) -> bool {
        index <= self.applied && index > self.log.base().index && self.log.trim(index)
    }

    /// Leaves to the file what is applied and, on a leader, what no member that
    /// answers lacks.
    pub fn release(&mut self, now: Time) {
        let mut index = self.applied;
        if self.role == Role::Leader {
            let answering = self.progress.values().filter(|p| p.alive(now, ANSWERS));
            let least = answering.map(|progress| progress.match_index).min();
            index = index.min(least.unwrap_or(index));
            // A member that answers and lacks much would keep all of that in memory.
            let surplus = self.log.surplus_index(self.applied, MAX_HELD_BYTES);
            index = index.max(surplus);
        }
        self.log.release(index);
    }

    /// Whether this leader may answer from its state: an entry of its term has
    /// been given out to apply, and with it all earlier ones, and no other
    /// leader can exist yet. That it is committed is not enough: between commit
    /// and `ready` the state lacks what earlier leaders have promised.
    pub fn may_answer(&self, now: Time) -> bool {
        self.role == Role::Leader
            && self.handing_over.is_none()
            && self.log.term(self.applied) == Some(self.term)
            && lease::holds(now, self.vouched(now), self.settings.timing.lease)
    }

    /// Term and vote as they should stand on disk.
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

    pub(crate) fn committed_in_term(&self) -> bool {
        self.log.term(self.commit) == Some(self.term)
    }

    pub(crate) fn save_state(&mut self) {
        self.out.state = Some(self.hard_state());
    }

    pub(crate) fn reset_election(&mut self) {
        self.draws += 1;
        let timing = self.settings.timing;
        let span = timing.election_max.0 - timing.election_min.0;
        let draw = hash_pair(self.settings.seed ^ self.settings.id.0, self.draws);
        let jitter = Duration(draw % span.max(1));
        self.election_at = self.now + timing.election_min + jitter;
    }

    pub(crate) fn become_follower(&mut self, term: u64) {
        if term > self.term {
            self.term = term;
            self.vote = ReplicaId(0);
            self.leader = None;
            self.save_state();
        }
        if self.role == Role::Leader {
            self.leader = None;
        }
        if self.role != Role::Follower {
            self.reset_election();
        }
        self.role = Role::Follower;
        self.handing_over = None;
        self.successor = None;
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
        self.out.messages.push(message);
    }
}

/// Messages whose term is only a proposal and must not be taken over.
fn keeps_term(body: &OneOfbody) -> bool {
    match body {
        OneOfbody::vote_request(request) => request.pre_vote || !request.handover,
        OneOfbody::vote_response(response) => response.pre_vote && response.granted,
        _ => false,
    }
}
