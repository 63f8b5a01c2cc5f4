//! Rules that each change of the members must keep.

use super::Cluster;
use peatgrade_replication::Role;
use peatgrade_schema::replication::{LogEntry, Member};
use std::collections::{BTreeMap, BTreeSet};

/// What the rules are checked against.
#[derive(Default)]
pub struct MemberChecks {
    /// Voters of the last committed membership that any replica has applied.
    voters: Option<BTreeSet<u64>>,
    applied_index: u64,
    /// Commit index at which each incarnation was added as a learner.
    added_at: BTreeMap<u64, u64>,
}

impl MemberChecks {
    /// Two majorities of successive memberships have a voter in common if at most one differs.
    pub fn record_committed(&mut self, entry: &LogEntry) {
        if entry.index <= self.applied_index {
            return;
        }
        self.applied_index = entry.index;
        let Some(members) = &entry.members else {
            return;
        };
        let voters: BTreeSet<u64> = voters_of(&members.members).collect();
        if let Some(before) = &self.voters {
            let changed = before.symmetric_difference(&voters).count();
            assert!(changed <= 1, "{changed} voters change at {}", entry.index);
        }
        self.voters = Some(voters);
    }
}

fn voters_of(members: &[Member]) -> impl Iterator<Item = u64> + '_ {
    members.iter().filter(|m| m.voter).map(|m| m.replica)
}

impl Cluster {
    /// Checks a change that a leader has just proposed.
    pub(super) fn check_change(
        &mut self,
        leader: usize,
        commit_index: u64,
        before: &[Member],
        after: &[Member],
    ) {
        let voters: BTreeSet<u64> = voters_of(before).collect();
        let next_voters: BTreeSet<u64> = voters_of(after).collect();
        for member in after {
            let is_new = !before.iter().any(|m| m.replica == member.replica);
            if is_new {
                assert!(!member.voter, "{} skips the learner stage", member.name);
                self.checks.added_at.insert(member.replica, commit_index);
            }
        }
        for promoted in next_voters.difference(&voters) {
            let required = self.checks.added_at.get(promoted).copied().unwrap_or(0);
            let mut disks = self.machines.iter().map(|machine| &machine.disk);
            let Some(disk) = disks.find(|disk| disk.state.replica == *promoted) else {
                // The disk was lost a moment ago.
                continue;
            };
            let last = disk.base.index + disk.entries.len() as u64;
            assert!(
                last >= required,
                "promoted with {last} entries of {required} that were committed when it was added"
            );
        }
        for removed in voters.difference(&next_voters) {
            let remains = next_voters.len() >= self.target_voters;
            assert!(
                remains || !self.is_well(leader, *removed),
                "machine {removed:x} is removed before its replacement is a voter"
            );
        }
    }

    /// Whether a replica surely answers its leader: nothing has disturbed the cluster lately.
    fn is_well(&self, leader: usize, id: u64) -> bool {
        let is_up = self.machines.iter().enumerate().any(|(index, machine)| {
            let replica = machine.replica.as_ref();
            replica.is_some_and(|replica| replica.id().0 == id)
                && machine.paused_until <= self.now
                && index != leader
        });
        is_up && self.now >= self.calm_since
    }

    /// Asserts that no two replicas lead in the same term.
    pub(super) fn check_terms(&self) {
        let replicas = self.machines.iter().filter_map(|m| m.replica.as_ref());
        let leading = replicas.filter(|replica| replica.role() == Role::Leader);
        let mut terms = BTreeSet::new();
        for replica in leading {
            let term = replica.term();
            assert!(terms.insert(term), "two leaders in term {term}");
        }
    }

    /// Asserts that the group tolerates the loss of any one disk, and has enough living voters
    /// if there are enough machines.
    pub fn assert_tolerates_a_loss(&self) {
        let leader = self.serving_leader.expect("a leader serves");
        let replica = self.machines[leader].replica.as_ref().unwrap();
        let members = replica.members();
        let voters: Vec<&Member> = members.iter().filter(|member| member.voter).collect();
        let is_living = |member: &Member| {
            let mut replicas = self.machines.iter().filter_map(|m| m.replica.as_ref());
            replicas.any(|replica| replica.id().0 == member.replica)
        };
        let living = voters.iter().filter(|member| is_living(member)).count();
        assert!(
            living > voters.len() / 2 + 1,
            "{living} of {} voters live: {members:?}; retiring {:?}",
            voters.len(),
            self.retiring
        );
        assert!(living >= self.target_voters, "{living} voters: {members:?}");
    }
}
