//! Log replication: sending, receiving and committing entries.

use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{AppendRequest, AppendResponse, LogEntry, Member, Members};
use peatgrade_types::{Duration, Time};

use crate::lease;
use crate::message::ReplicaId;
use crate::progress::{Progress, LOW_IN_FLIGHT_BYTES, MAX_MESSAGE_BYTES};
use crate::replica::{Replica, Role};

impl Replica {
    pub(crate) fn append_as_leader(&mut self, command: Vec<u8>, members: Option<Members>) -> u64 {
        let entry = LogEntry {
            index: self.log.last_index() + 1,
            term: self.term,
            command,
            members,
        };
        let index = entry.index;
        let changes_members = entry.members.is_some();
        self.log.push(entry);
        if let Some(entry) = self.log.get(index) {
            self.pending.entries.push(entry.clone());
        }
        if changes_members {
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
                let progress = Progress::new(next, self.now);
                self.progress
                    .entry(ReplicaId(member.replica))
                    .or_insert(progress);
            }
        }
    }

    fn peers(&self) -> Vec<Member> {
        let members = self.log.members().into_iter();
        members
            .filter(|member| member.replica != self.settings.id.0)
            .collect()
    }

    /// Sends the entries appended since the last call, batched.
    pub(crate) fn send_unsent_entries(&mut self) {
        if !std::mem::take(&mut self.has_unsent_entries) || self.role != Role::Leader {
            return;
        }
        for member in self.peers() {
            self.send_entries(&member);
        }
    }

    /// Sends the next entries to a replica unless too many bytes are in flight.
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

    /// Sends a heartbeat. It carries no entries, so that lease renewal does not wait for
    /// them on a slow network. While many bytes are in flight it may overtake them, so it
    /// refers to the known match; the replica would reject a later index.
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

    /// The first index at or after `next` that has not been trimmed.
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
            // The base holds the initial members, even in a log that was never trimmed.
            base: (next == base.index + 1).then(|| base.clone()),
            store_age: self.store_staleness.0,
        };
        let body = OneOfbody::append_request(request);
        let message = self.outgoing(ReplicaId(member.replica), &member.address, body);
        self.pending.immediate_messages.push(message);
    }

    pub(crate) fn broadcast_heartbeat(&mut self) {
        self.next_heartbeat_at = self.now + self.settings.timing.heartbeat_interval;
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

    pub(crate) fn tick_as_leader(&mut self) {
        let lease_start = self.lease_start(self.now).unwrap_or(self.became_leader_at);
        let since_quorum = self.now.since(lease_start.max(self.became_leader_at));
        if since_quorum >= self.settings.timing.max_election_timeout {
            // The quorum is lost and another leader may have been elected.
            return self.become_follower(self.term);
        }
        if self
            .transfer_deadline
            .is_some_and(|until| self.now >= until)
        {
            self.transfer_deadline = None;
            self.transferee = None;
        }
        if self.now >= self.next_heartbeat_at {
            self.broadcast_heartbeat();
        }
    }

    /// Start of the leader lease, as of `now`.
    pub(crate) fn lease_start(&self, now: Time) -> Option<Time> {
        let members = self.log.members();
        let other_voters = members
            .iter()
            .filter(|member| member.voter && member.replica != self.settings.id.0);
        let acknowledged: Vec<Option<Time>> = other_voters
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
            spare_memory: self.spare_memory.map_or(0, |bytes| bytes + 1),
            ..AppendResponse::default()
        };
        if term < self.term {
            // The term of the response makes the sender step down.
            response.match_index = 0;
            return self.send(from, &address, OneOfbody::append_response(response));
        }
        if self.role != Role::Follower {
            self.become_follower(term);
        }
        self.last_leader_contact = self.now;
        self.leader = Some((from, address.clone()));
        self.reset_election_timer();
        if let Some(base) = request.base {
            let uninitialized = self.log.last_index() == 0 && self.log.members().is_empty();
            let ahead = base.index > self.log.last_index();
            let trimmed = base.index < self.log.base().index;
            let differs = !trimmed && self.log.term(base.index) != Some(base.term);
            if uninitialized || ahead || differs {
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
            // Committed entries match on all replicas.
            response.match_index = self.commit_index;
            let tried = self.match_hint_for_leader(request.previous_index, request.previous_term);
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

    /// Follower side of the log conflict search: the last index at which this log may match
    /// a leader whose entry at `index` has `term`. Entries of a later term cannot match. The
    /// commit index alone is not enough: it is not persisted, and after a restart of all
    /// replicas the whole log would be sent again.
    fn match_hint_for_leader(&self, index: u64, term: u64) -> u64 {
        let min_index = self.commit_index.max(self.log.base().index);
        let mut tried = self.log.last_index().min(index.saturating_sub(1));
        while tried > min_index && self.log.term(tried) > Some(term) {
            tried -= 1;
        }
        tried.max(min_index)
    }

    /// Leader side of the log conflict search: the last index at which a follower whose entry
    /// at `index` has `term` may match this log.
    fn match_hint_for_follower(&self, index: u64, term: u64) -> u64 {
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
        let tried = self.match_hint_for_follower(response.tried_index, response.tried_term);
        // Older versions report only their commit index, as `match_index`.
        let hint = tried.max(response.match_index).min(last);
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_response = Some(now);
        progress.store_staleness = Duration(response.store_age);
        progress.spare_memory = response.spare_memory.checked_sub(1);
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
            self.on_commit_advanced();
        }
    }

    fn on_commit_advanced(&mut self) {
        if self.members_committed() && !self.is_voter(self.settings.id) {
            // A leader that was removed from the group hands its leadership over.
            self.transfer_leadership(self.now, None);
        }
    }
}
