//! Elections: pre-votes, votes, and becoming leader.

use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{VoteRequest, VoteResponse};
use std::collections::BTreeMap;

use crate::message::ReplicaId;
use crate::progress::Progress;
use crate::replica::{Replica, Role};

impl Replica {
    /// Asks whether an election would succeed, without raising the term: a
    /// replica that was cut off must not depose a healthy leader on return.
    pub(crate) fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = BTreeMap::from([(self.settings.id, true)]);
        if self.votes_won() {
            return self.start_election(false);
        }
        self.request_votes(true, false);
    }

    pub(crate) fn start_election(&mut self, handover: bool) {
        self.role = Role::Candidate;
        self.term += 1;
        self.vote = self.settings.id;
        self.leader = None;
        self.save_state();
        self.reset_election();
        self.votes = BTreeMap::from([(self.settings.id, true)]);
        if self.votes_won() {
            return self.become_leader();
        }
        self.request_votes(false, handover);
    }

    fn request_votes(&mut self, pre_vote: bool, handover: bool) {
        let request = VoteRequest {
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            handover,
        };
        let proposed = if pre_vote { self.term + 1 } else { self.term };
        for member in self.log.members() {
            if member.voter && member.replica != self.settings.id.0 {
                let body = OneOfbody::vote_request(request.clone());
                let mut message = self.outgoing(ReplicaId(member.replica), &member.address, body);
                message.term = proposed;
                self.pending.persisted_messages.push(message);
            }
        }
    }

    pub(crate) fn on_vote_request(
        &mut self,
        from: ReplicaId,
        term: u64,
        address: String,
        request: &VoteRequest,
    ) {
        // While a leader may still rely on its lease, nobody else is helped
        // into office, unless that leader asked for it.
        let leading = self.role == Role::Leader && self.transfer_deadline.is_none();
        let faithful =
            self.now.since(self.last_leader_contact) < self.settings.timing.min_election_timeout;
        if (leading || faithful) && !request.handover {
            return;
        }
        let whole = request.last_term > self.log.last_term()
            || (request.last_term == self.log.last_term()
                && request.last_index >= self.log.last_index());
        if request.pre_vote {
            let granted = whole && term > self.term;
            let body = OneOfbody::vote_response(VoteResponse {
                pre_vote: true,
                granted,
            });
            let mut message = self.outgoing(from, &address, body);
            if granted {
                message.term = term;
            }
            self.pending.persisted_messages.push(message);
            return;
        }
        if term > self.term {
            self.become_follower(term);
        }
        let free = self.vote == ReplicaId(0) || self.vote == from;
        let granted = term == self.term && free && whole && self.role == Role::Follower;
        if granted {
            self.vote = from;
            self.save_state();
            self.reset_election();
        }
        let body = OneOfbody::vote_response(VoteResponse {
            pre_vote: false,
            granted,
        });
        self.send(from, &address, body);
    }

    pub(crate) fn on_vote_response(&mut self, from: ReplicaId, term: u64, response: &VoteResponse) {
        let wanted = match self.role {
            Role::PreCandidate => response.pre_vote && term == self.term + 1,
            Role::Candidate => !response.pre_vote && term == self.term,
            _ => false,
        };
        if !wanted {
            return;
        }
        self.votes.insert(from, response.granted);
        if !self.votes_won() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(false),
            _ => self.become_leader(),
        }
    }

    fn votes_won(&self) -> bool {
        let members = self.log.members();
        let voters: Vec<_> = members.iter().filter(|member| member.voter).collect();
        let granted = voters
            .iter()
            .filter(|member| self.votes.get(&ReplicaId(member.replica)) == Some(&true));
        granted.count() * 2 > voters.len()
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = None;
        self.transfer_deadline = None;
        self.became_leader_at = self.now;
        self.progress.clear();
        let next = self.log.last_index() + 1;
        for member in self.log.members() {
            if member.replica != self.settings.id.0 {
                let progress = Progress::new(next, self.now);
                self.progress.insert(ReplicaId(member.replica), progress);
            }
        }
        // Entries of earlier terms commit with this one.
        self.append_own(Vec::new(), None);
        self.broadcast_heartbeat();
    }
}
