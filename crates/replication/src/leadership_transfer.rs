//! Leadership transfer, initiated by the current leader.

use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::Handover;
use peatgrade_types::Time;

use crate::message::ReplicaId;
use crate::replica::{Replica, Role};

impl Replica {
    /// Starts a transfer of leadership to `prefer`, if it is an active voter, or else to
    /// the active voter whose log matches furthest. Returns false if none was started.
    pub fn transfer_leadership(&mut self, now: Time, prefer: Option<ReplicaId>) -> bool {
        self.now = now;
        if self.role != Role::Leader || self.transfer_deadline.is_some() {
            return false;
        }
        let members = self.log.members();
        let candidates = members.iter().filter(|member| {
            let progress = self.progress.get(&ReplicaId(member.replica));
            member.voter
                && progress
                    .is_some_and(|p| p.is_active(now, self.settings.timing.min_election_timeout))
        });
        let best = candidates.max_by_key(|member| {
            let id = ReplicaId(member.replica);
            (prefer == Some(id), self.progress[&id].match_index)
        });
        let Some(best) = best.cloned() else {
            return false;
        };
        // From here on the lease is void and proposals are refused, since the transferee
        // may become leader at any time.
        self.transfer_deadline = Some(now + self.settings.timing.max_election_timeout);
        self.transferee = Some(ReplicaId(best.replica));
        self.maybe_send_handover();
        true
    }

    /// Asks the transferee to start an election once its log has caught up; with a shorter
    /// log it would not get any votes.
    pub(crate) fn maybe_send_handover(&mut self) {
        let Some(transferee) = self.transferee else {
            return;
        };
        let last_index = self.log.last_index();
        let caught_up = self
            .progress
            .get(&transferee)
            .is_some_and(|progress| progress.match_index >= last_index);
        let members = self.log.members();
        let member = members.iter().find(|m| m.replica == transferee.0);
        if let Some(member) = member.filter(|_| caught_up) {
            self.transferee = None;
            let body = OneOfbody::handover(Handover { last_index });
            self.send(transferee, &member.address, body);
        }
    }
}
