//! Leader election: pre-vote, vote and the start of a leader's term.

use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{VoteRequest, VoteResponse};
use std::collections::BTreeMap;

use crate::message::ReplicaId;
use crate::progress::Progress;
use crate::replica::{Replica, Role};

impl Replica {
    /// Asks the voters whether an election would succeed, without incrementing the term, so
    /// that a replica that was partitioned does not disrupt a healthy leader on its return.
    pub(crate) fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = BTreeMap::from([(self.settings.id, true)]);
        if self.has_won_votes() {
            return self.start_election(false);
        }
        self.request_votes(true, false);
    }

    pub(crate) fn start_election(&mut self, handover: bool) {
        self.role = Role::Candidate;
        self.term += 1;
        self.vote = self.settings.id;
        self.leader = None;
        self.queue_hard_state();
        self.reset_election_timer();
        self.votes = BTreeMap::from([(self.settings.id, true)]);
        if self.has_won_votes() {
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
        let election_term = if pre_vote { self.term + 1 } else { self.term };
        for member in self.log.members() {
            if member.voter && member.replica != self.settings.id.0 {
                let body = OneOfbody::vote_request(request.clone());
                let mut message = self.outgoing(ReplicaId(member.replica), &member.address, body);
                message.term = election_term;
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
        // While a leader may hold a valid lease, vote requests are ignored unless that
        // leader has started a leadership transfer.
        let leading = self.role == Role::Leader && self.transfer_deadline.is_none();
        let supports_leader =
            self.now.since(self.last_leader_contact) < self.settings.timing.min_election_timeout;
        if (leading || supports_leader) && !request.handover {
            return;
        }
        let up_to_date = request.last_term > self.log.last_term()
            || (request.last_term == self.log.last_term()
                && request.last_index >= self.log.last_index());
        if request.pre_vote {
            let granted = up_to_date && term > self.term;
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
        let can_vote = self.vote == ReplicaId(0) || self.vote == from;
        let granted = term == self.term && can_vote && up_to_date && self.role == Role::Follower;
        if granted {
            self.vote = from;
            self.queue_hard_state();
            self.reset_election_timer();
        }
        let body = OneOfbody::vote_response(VoteResponse {
            pre_vote: false,
            granted,
        });
        self.send(from, &address, body);
    }

    pub(crate) fn on_vote_response(&mut self, from: ReplicaId, term: u64, response: &VoteResponse) {
        let is_expected = match self.role {
            Role::PreCandidate => response.pre_vote && term == self.term + 1,
            Role::Candidate => !response.pre_vote && term == self.term,
            _ => false,
        };
        if !is_expected {
            return;
        }
        self.votes.insert(from, response.granted);
        if !self.has_won_votes() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(false),
            _ => self.become_leader(),
        }
    }

    fn has_won_votes(&self) -> bool {
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
        // Entries of earlier terms are committed together with this empty entry.
        self.append_as_leader(Vec::new(), None);
        self.broadcast_heartbeat();
    }
}
