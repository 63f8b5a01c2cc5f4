//! Reports about machines that may become members.

use peatgrade_schema::replication::Member;
use peatgrade_types::Time;

use crate::membership_planner::MembershipPlanner;

/// The latest report about a machine that may become a member.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineReport {
    /// The machine as a member; its `voter` flag is ignored.
    pub member: Member,
    /// When the incarnation was first reported.
    pub first_seen: Time,
    /// When the report was received from the machine or read from its registration.
    pub last_seen: Time,
}

impl MembershipPlanner {
    /// Records a report that a machine sent about itself. All other incarnations under its
    /// name or address are superseded. Returns whether the incarnation is new.
    pub fn record_self_report(&mut self, now: Time, member: Member, members: &[Member]) -> bool {
        let former = members
            .iter()
            .filter(|other| other.name == member.name || other.address == member.address)
            .map(|other| other.replica);
        let known = self.machines.get(&member.name).map(|m| m.member.replica);
        let earlier = former.chain(known).filter(|id| *id != member.replica);
        self.superseded.extend(earlier);
        self.superseded.remove(&member.replica);
        self.failed_learners.remove(&member.replica);
        self.record(now, member)
    }

    /// Records a registration read from the object store. A registration of a superseded
    /// incarnation is ignored. Returns whether the incarnation is new.
    pub fn record_registration(&mut self, now: Time, member: Member) -> bool {
        !self.superseded.contains(&member.replica) && self.record(now, member)
    }

    fn record(&mut self, now: Time, member: Member) -> bool {
        if let Some(known) = self.machines.get_mut(&member.name) {
            let is_new = known.member.replica != member.replica;
            if is_new {
                known.first_seen = now;
            }
            known.member = member;
            known.last_seen = now;
            return is_new;
        }
        let report = MachineReport {
            member: member.clone(),
            first_seen: now,
            last_seen: now,
        };
        self.machines.insert(member.name, report);
        true
    }
}
