//! Leadership goes to another replica at this one's wish.

use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::Handover;
use peatgrade_types::Time;

use crate::message::ReplicaId;
use crate::replica::{Replica, Role};

impl Replica {
    /// Asks the best follower to take over leadership.
    pub fn hand_over(&mut self, now: Time, prefer: Option<ReplicaId>) -> bool {
        self.now = now;
        if self.role != Role::Leader || self.handing_over.is_some() {
            return false;
        }
        let members = self.log.members();
        let candidates = members.iter().filter(|member| {
            let progress = self.progress.get(&ReplicaId(member.replica));
            member.voter
                && progress.is_some_and(|p| p.alive(now, self.settings.timing.election_min))
        });
        let best = candidates.max_by_key(|member| {
            let id = ReplicaId(member.replica);
            (prefer == Some(id), self.progress[&id].match_index)
        });
        let Some(best) = best.cloned() else {
            return false;
        };
        // No lease and no proposal after this: the other may lead at once.
        self.handing_over = Some(now + self.settings.timing.election_max);
        self.successor = Some(ReplicaId(best.replica));
        self.ask_successor();
        true
    }

    /// Asks the successor to take over, if it has the whole log: without its
    /// last entries nobody would vote for it.
    pub(crate) fn ask_successor(&mut self) {
        let Some(successor) = self.successor else {
            return;
        };
        let last_index = self.log.last_index();
        let whole = self
            .progress
            .get(&successor)
            .is_some_and(|progress| progress.match_index >= last_index);
        let members = self.log.members();
        let member = members.iter().find(|m| m.replica == successor.0);
        if let Some(member) = member.filter(|_| whole) {
            self.successor = None;
            let body = OneOfbody::handover(Handover { last_index });
            self.send(successor, &member.address, body);
        }
    }
}
