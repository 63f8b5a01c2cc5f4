//! Sending, taking and committing entries.

use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{AppendRequest, AppendResponse, LogEntry, Member, Members};
use peatgrade_types::{Duration, Time};

use crate::lease;
use crate::message::ReplicaId;
use crate::progress::{Progress, MAX_MESSAGE_BYTES};
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
            self.out.entries.push(entry.clone());
        }
        if changes {
            self.follow_members();
        }
        self.unsent = true;
        index
    }

    fn follow_members(&mut self) {
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

    fn others(&self) -> Vec<Member> {
        let members = self.log.members().into_iter();
        members
            .filter(|member| member.replica != self.settings.id.0)
            .collect()
    }

    /// Sends all that was added since the last time, together.
    pub(crate) fn send_unsent(&mut self) {
        if !std::mem::take(&mut self.unsent) || self.role != Role::Leader {
            return;
        }
        for member in self.others() {
            self.send_entries(&member, false);
        }
    }

    /// Sends what the replica lacks; with `always`, an empty message if nothing.
    fn send_entries(&mut self, member: &Member, always: bool) {
        let id = ReplicaId(member.replica);
        let Some(progress) = self.progress.get(&id) else {
            return;
        };
        let mut next = progress.next_index;
        let mut base = None;
        if next <= self.log.base().index + 1 {
            // The first members stand in the base, even of an untrimmed log.
            base = Some(self.log.base().clone());
            next = self.log.base().index + 1;
        }
        let entries = if progress.has_room() {
            self.log.slice(next, MAX_MESSAGE_BYTES)
        } else {
            Vec::new()
        };
        if entries.is_empty() && !always {
            return;
        }
        let bytes: usize = entries.iter().map(|e| e.command.len() + 32).sum();
        let request = AppendRequest {
            previous_index: next - 1,
            previous_term: self.log.term(next - 1).unwrap_or(0),
            entries: entries.iter().map(|entry| (**entry).clone()).collect(),
            commit: self.commit,
            sent_at: self.now.0,
            base,
            store_age: self.store_age.0,
        };
        if let Some(progress) = self.progress.get_mut(&id) {
            if !entries.is_empty() {
                progress.sending(self.now, next - 1 + entries.len() as u64, bytes);
            }
        }
        let body = OneOfbody::append_request(request);
        let message = self.outgoing(id, &member.address, body);
        self.out.early.push(message);
    }

    pub(crate) fn heartbeat(&mut self) {
        self.heartbeat_at = self.now + self.settings.timing.heartbeat;
        for member in self.others() {
            let id = ReplicaId(member.replica);
            if let Some(progress) = self.progress.get_mut(&id) {
                if progress.stalled(self.now) {
                    progress.give_up_sent();
                }
            }
            self.send_entries(&member, true);
        }
    }

    pub(crate) fn tick_leader(&mut self) {
        let vouched = self.vouched(self.now).unwrap_or(self.became_leader);
        let silence = self.now.since(vouched.max(self.became_leader));
        if silence >= self.settings.timing.election_max {
            // Nobody can be sure any more that this is the leader.
            return self.become_follower(self.term);
        }
        if self.handing_over.is_some_and(|until| self.now >= until) {
            self.handing_over = None;
            self.successor = None;
        }
        if self.now >= self.heartbeat_at {
            self.heartbeat();
        }
    }

    /// The time that a quorum of voters has vouched for.
    pub(crate) fn vouched(&self, now: Time) -> Option<Time> {
        let members = self.log.members();
        let others = members
            .iter()
            .filter(|member| member.voter && member.replica != self.settings.id.0);
        let acknowledged: Vec<Option<Time>> = others
            .map(|member| {
                let progress = self.progress.get(&ReplicaId(member.replica));
                progress.and_then(|progress| progress.acknowledged_send)
            })
            .collect();
        lease::quorum_time(now, &acknowledged)
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
            store_age: self.store_age.0,
        };
        if term < self.term {
            // The answer's term tells the sender that it leads no more.
            response.match_index = 0;
            return self.send(from, &address, OneOfbody::append_response(response));
        }
        if self.role != Role::Follower {
            self.become_follower(term);
        }
        self.leader_heard = self.now;
        self.leader = Some((from, address.clone()));
        self.reset_election();
        if let Some(base) = request.base {
            let unfounded = self.log.last_index() == 0 && self.log.members().is_empty();
            let ahead = base.index > self.log.last_index();
            let trimmed = base.index < self.log.base().index;
            let differs = !trimmed && self.log.term(base.index) != Some(base.term);
            if unfounded || ahead || differs {
                self.log.reset(base.clone());
                self.commit = base.index;
                self.applied = base.index;
                self.out.entries.clear();
                self.out.committed.clear();
                self.out.base = Some(base);
                self.out.reset = true;
            }
        }
        let previous = self.log.term(request.previous_index);
        let trimmed = request.previous_index < self.log.base().index;
        if previous != Some(request.previous_term) && !trimmed {
            let below = request.previous_index.saturating_sub(1);
            response.match_index = below.min(self.log.last_index());
            return self.send(from, &address, OneOfbody::append_response(response));
        }
        let last_new = request.previous_index + request.entries.len() as u64;
        for entry in request.entries {
            self.take_entry(entry);
        }
        let known = last_new.max(self.log.base().index);
        self.commit = self.commit.max(request.commit.min(known));
        response.success = true;
        response.match_index = known;
        self.send(from, &address, OneOfbody::append_response(response));
    }

    fn take_entry(&mut self, entry: LogEntry) {
        if entry.index <= self.commit {
            return;
        }
        match self.log.term(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                self.log.truncate_from(entry.index);
                self.out.entries.retain(|kept| kept.index < entry.index);
            }
            None => {}
        }
        let index = entry.index;
        self.log.push(entry);
        if let Some(entry) = self.log.get(index) {
            self.out.entries.push(entry.clone());
        }
    }

    pub(crate) fn on_append_response(&mut self, from: ReplicaId, response: &AppendResponse) {
        if self.role != Role::Leader {
            return;
        }
        let now = self.now;
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.heard = Some(now);
        progress.store_age = Duration(response.store_age);
        let sent = Time(response.sent_at);
        progress.acknowledged_send = progress.acknowledged_send.max(Some(sent));
        if response.success {
            progress.matched(response.match_index.min(last));
        } else if response.match_index + 1 < progress.next_index {
            progress.rewind(response.match_index.min(last));
        }
        self.advance_commit();
        self.ask_successor();
        let member = self.log.members().into_iter().find(|m| m.replica == from.0);
        if let Some(member) = member {
            self.send_entries(&member, false);
        }
    }

    pub(crate) fn advance_commit(&mut self) {
        let members = self.log.members();
        let voters = members.iter().filter(|member| member.voter);
        let mut matched: Vec<u64> = voters
            .map(|member| {
                if member.replica == self.settings.id.0 {
                    return self.persisted;
                }
                let progress = self.progress.get(&ReplicaId(member.replica));
                progress.map_or(0, |progress| progress.match_index)
            })
            .collect();
        matched.sort_unstable();
        let Some(&index) = matched.get(matched.len().saturating_sub(1) / 2) else {
            return;
        };
        if index > self.commit && self.log.term(index) == Some(self.term) {
            self.commit = index;
            self.after_commit();
        }
    }

    fn after_commit(&mut self) {
        if self.members_committed() && !self.is_voter(self.settings.id) {
            // Removed from the group: somebody else leads on.
            self.hand_over(self.now, None);
        }
    }
}
