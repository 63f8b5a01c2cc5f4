//! Sending, taking and committing entries.

use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{AppendRequest, AppendResponse, LogEntry, Member, Members};
use peatgrade_types::{Duration, Time};

use crate::lease;
use crate::message::ReplicaId;
use crate::progress::{Progress, LOW_IN_FLIGHT_BYTES, MAX_MESSAGE_BYTES};
use crate::replica::{Replica, Role};

impl Replica {
    pub(crate) fn append_own(&mut self, command: Vec<u8>, members: Option<Members>) -> u64 {
        let entry = LogEntry {
            index: self.log.last_index() + 1,
            term: self.term,
            command,
            members,
        };
        let index = entry.index;
        let changes = entry.members.is_some();
        self.log.push(entry);
        if let Some(entry) = self.log.get(index) {
            self.pending.entries.push(entry.clone());
        }
        if changes {
            self.sync_progress_with_members();
        }
        self.has_unsent_entries = true;
        index
    }

    fn sync_progress_with_members(&mut self) {
        let members = self.log.members();
        let next = self.log.last_index() + 1;
        self.progress
            .retain(|id, _| members.iter().any(|member| member.replica == id.0));
        for member in &members {
            if member.replica != self.settings.id.0 {
                let fresh = Progress::new(next, self.now);
                self.progress
                    .entry(ReplicaId(member.replica))
                    .or_insert(fresh);
            }
        }
    }

    fn peers(&self) -> Vec<Member> {
        let members = self.log.members().into_iter();
        members
            .filter(|member| member.replica != self.settings.id.0)
            .collect()
    }

    /// Sends all that was added since the last time, together.
    pub(crate) fn send_unsent_entries(&mut self) {
        if !std::mem::take(&mut self.has_unsent_entries) || self.role != Role::Leader {
            return;
        }
        for member in self.peers() {
            self.send_entries(&member);
        }
    }

    /// Sends what a replica lacks, as far as more may be on its way.
    fn send_entries(&mut self, member: &Member) {
        let id = ReplicaId(member.replica);
        let Some(progress) = self.progress.get(&id) else {
            return;
        };
        if !progress.has_capacity() {
            return;
        }
        let next = self.first_sendable(progress.next_index);
        let entries = self.log.slice(next, MAX_MESSAGE_BYTES);
        if entries.is_empty() {
            return;
        }
        let bytes: usize = entries.iter().map(|e| e.command.len() + 32).sum();
        let entries: Vec<LogEntry> = entries.iter().map(|entry| (**entry).clone()).collect();
        let last = next - 1 + entries.len() as u64;
        if let Some(progress) = self.progress.get_mut(&id) {
            progress.record_send(self.now, last, bytes);
        }
        self.send_append(member, next, entries);
    }

    /// Asks a replica for a sign of life. Entries may take long on a slow path,
    /// and the lease must not wait for them, so this message never has any. While
    /// much is on its way it goes on from what the replica is known to have: it
    /// overtakes the rest, and would be refused for what is missing.
    fn send_heartbeat(&mut self, member: &Member) {
        let Some(progress) = self.progress.get(&ReplicaId(member.replica)) else {
            return;
        };
        let next = match progress.in_flight_bytes() {
            0..=LOW_IN_FLIGHT_BYTES => progress.next_index,
            _ => progress.match_index + 1,
        };
        self.send_append(member, self.first_sendable(next), Vec::new());
    }

    /// The first entry from `next` on that this log still has.
    fn first_sendable(&self, next: u64) -> u64 {
        next.max(self.log.base().index + 1)
    }

    fn send_append(&mut self, member: &Member, next: u64, entries: Vec<LogEntry>) {
        let base = self.log.base();
        let request = AppendRequest {
            previous_index: next - 1,
            previous_term: self.log.term(next - 1).unwrap_or(0),
            entries,
            commit: self.commit_index,
            sent_at: self.now.0,
            // The first members stand in the base, even of an untrimmed log.
            base: (next == base.index + 1).then(|| base.clone()),
            store_age: self.store_staleness.0,
        };
        let body = OneOfbody::append_request(request);
        let message = self.outgoing(ReplicaId(member.replica), &member.address, body);
        self.pending.immediate_messages.push(message);
    }

    pub(crate) fn broadcast_heartbeat(&mut self) {
        self.heartbeat_at = self.now + self.settings.timing.heartbeat_interval;
        for member in self.peers() {
            let id = ReplicaId(member.replica);
            if let Some(progress) = self.progress.get_mut(&id) {
                if progress.is_send_timed_out(self.now) {
                    progress.on_send_timeout(self.now);
                }
            }
            self.send_entries(&member);
            self.send_heartbeat(&member);
        }
    }

    pub(crate) fn tick_leader(&mut self) {
        let vouched = self
            .quorum_acked_at(self.now)
            .unwrap_or(self.became_leader_at);
        let silence = self.now.since(vouched.max(self.became_leader_at));
        if silence >= self.settings.timing.max_election_timeout {
            // Nobody can be sure any more that this is the leader.
            return self.become_follower(self.term);
        }
        if self
            .transfer_deadline
            .is_some_and(|until| self.now >= until)
        {
            self.transfer_deadline = None;
            self.transferee = None;
        }
        if self.now >= self.heartbeat_at {
            self.broadcast_heartbeat();
        }
    }

    /// The time that a quorum of voters has vouched for.
    pub(crate) fn quorum_acked_at(&self, now: Time) -> Option<Time> {
        let members = self.log.members();
        let others = members
            .iter()
            .filter(|member| member.voter && member.replica != self.settings.id.0);
        let acknowledged: Vec<Option<Time>> = others
            .map(|member| {
                let progress = self.progress.get(&ReplicaId(member.replica));
                progress.and_then(|progress| progress.last_acked_send)
            })
            .collect();
        lease::quorum_ack_time(now, &acknowledged)
    }

    pub(crate) fn on_append(
        &mut self,
        from: ReplicaId,
        term: u64,
        address: String,
        request: AppendRequest,
    ) {
        let mut response = AppendResponse {
            success: false,
            match_index: self.log.last_index(),
            sent_at: request.sent_at,
            store_age: self.store_staleness.0,
            ..AppendResponse::default()
        };
        if term < self.term {
            // The answer's term tells the sender that it leads no more.
            response.match_index = 0;
            return self.send(from, &address, OneOfbody::append_response(response));
        }
        if self.role != Role::Follower {
            self.become_follower(term);
        }
        self.last_leader_contact = self.now;
        self.leader = Some((from, address.clone()));
        self.reset_election();
        if let Some(base) = request.base {
            let unfounded = self.log.last_index() == 0 && self.log.members().is_empty();
            let ahead = base.index > self.log.last_index();
            let trimmed = base.index < self.log.base().index;
            let differs = !trimmed && self.log.term(base.index) != Some(base.term);
            if unfounded || ahead || differs {
                self.log.reset(base.clone());
                self.commit_index = base.index;
                self.applied_index = base.index;
                self.pending.entries.clear();
                self.pending.committed.clear();
                self.pending.base = Some(base);
                self.pending.reset_state_machine = true;
            }
        }
        let previous = self.log.term(request.previous_index);
        let trimmed = request.previous_index < self.log.base().index;
        if previous != Some(request.previous_term) && !trimmed {
            // What is committed here is the same everywhere.
            response.match_index = self.commit_index;
            let tried = self.last_candidate_match(request.previous_index, request.previous_term);
            response.tried_index = tried;
            response.tried_term = self.log.term(tried).unwrap_or(0);
            return self.send(from, &address, OneOfbody::append_response(response));
        }
        let last_new = request.previous_index + request.entries.len() as u64;
        for entry in request.entries {
            self.append_entry(entry);
        }
        let known = last_new.max(self.log.base().index);
        self.commit_index = self.commit_index.max(request.commit.min(known));
        response.success = true;
        response.match_index = known;
        self.send(from, &address, OneOfbody::append_response(response));
    }

    /// The last entry here that a leader may have too whose entry at an index is of another
    /// term: it has none of a later term before that one. What is committed would not do:
    /// after a loss of all power nobody knows how much that is, and all of the log would be
    /// sent again.
    fn last_candidate_match(&self, index: u64, term: u64) -> u64 {
        let least = self.commit_index.max(self.log.base().index);
        let mut tried = self.log.last_index().min(index.saturating_sub(1));
        while tried > least && self.log.term(tried) > Some(term) {
            tried -= 1;
        }
        tried.max(least)
    }

    /// The last own entry that a replica may have whose entry at an index is of a term.
    fn last_local_candidate_for_term(&self, index: u64, term: u64) -> u64 {
        let mut tried = index;
        while tried > self.log.base().index && self.log.term(tried) > Some(term) {
            tried -= 1;
        }
        tried
    }

    fn append_entry(&mut self, entry: LogEntry) {
        if entry.index <= self.commit_index {
            return;
        }
        match self.log.term(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                self.log.truncate_from(entry.index);
                self.pending.entries.retain(|kept| kept.index < entry.index);
            }
            None => {}
        }
        let index = entry.index;
        self.log.push(entry);
        if let Some(entry) = self.log.get(index) {
            self.pending.entries.push(entry.clone());
        }
    }

    pub(crate) fn on_append_response(&mut self, from: ReplicaId, response: &AppendResponse) {
        if self.role != Role::Leader {
            return;
        }
        let now = self.now;
        let last = self.log.last_index();
        let tried = self.last_local_candidate_for_term(response.tried_index, response.tried_term);
        // A build before names what is committed alone.
        let hint = tried.max(response.match_index).min(last);
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_response = Some(now);
        progress.store_staleness = Duration(response.store_age);
        let sent = Time(response.sent_at);
        progress.last_acked_send = progress.last_acked_send.max(Some(sent));
        if response.success {
            progress.record_match(response.match_index.min(last));
        } else if progress.is_current_rejection(sent) && hint + 1 < progress.next_index {
            progress.rewind(now, hint);
        }
        self.advance_commit();
        self.maybe_send_handover();
        let member = self.log.members().into_iter().find(|m| m.replica == from.0);
        if let Some(member) = member {
            self.send_entries(&member);
        }
    }

    pub(crate) fn advance_commit(&mut self) {
        let members = self.log.members();
        let voters = members.iter().filter(|member| member.voter);
        let mut matched: Vec<u64> = voters
            .map(|member| {
                if member.replica == self.settings.id.0 {
                    return self.persisted_index;
                }
                let progress = self.progress.get(&ReplicaId(member.replica));
                progress.map_or(0, |progress| progress.match_index)
            })
            .collect();
        matched.sort_unstable();
        let Some(&index) = matched.get(matched.len().saturating_sub(1) / 2) else {
            return;
        };
        if index > self.commit_index && self.log.term(index) == Some(self.term) {
            self.commit_index = index;
            self.after_commit();
        }
    }

    fn after_commit(&mut self) {
        if self.members_committed() && !self.is_voter(self.settings.id) {
            // Removed from the group: somebody else leads on.
            self.transfer_leadership(self.now, None);
        }
    }
}
