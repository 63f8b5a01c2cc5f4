//! Leadership goes to another replica at this one's wish.

use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::Handover;
use peatgrade_types::Time;

use crate::message::ReplicaId;
use crate::replica::{Replica, Role};

impl Replica {
    /// Asks the best follower to take over leadership.
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
        // No lease and no proposal after this: the other may lead at once.
        self.transfer_deadline = Some(now + self.settings.timing.max_election_timeout);
        self.transferee = Some(ReplicaId(best.replica));
        self.maybe_send_handover();
        true
    }

    /// Asks the transferee to take over, if it has the whole log: without its
    /// last entries nobody would vote for it.
    pub(crate) fn maybe_send_handover(&mut self) {
        let Some(transferee) = self.transferee else {
            return;
        };
        let last_index = self.log.last_index();
        let whole = self
            .progress
            .get(&transferee)
            .is_some_and(|progress| progress.match_index >= last_index);
        let members = self.log.members();
        let member = members.iter().find(|m| m.replica == transferee.0);
        if let Some(member) = member.filter(|_| whole) {
            self.transferee = None;
            let body = OneOfbody::handover(Handover { last_index });
            self.send(transferee, &member.address, body);
        }
    }
}
