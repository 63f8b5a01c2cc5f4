//! Plans membership changes: decides which machines should be members of the group and
//! which change to propose next.
//!
//! Voters change one at a time. A voter that is down, or whose disk was lost, is removed
//! before its replacement is promoted: it cannot contribute to a quorum, and a larger
//! group would need a larger quorum. A healthy voter that is being retired is removed
//! after its replacement has been promoted.

use peatgrade_schema::replication::Member;
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, BTreeSet};

use crate::message::ReplicaId;
use crate::replica::{Replica, Role};

const DEFAULT_VOTERS: usize = 3;
/// Time without a response after which a voter is replaced if a learner has caught up.
const VOTER_LOST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A replica that has responded within this time counts as active.
const ACTIVE_WINDOW: Duration = Duration::from_millis(500);
/// Time without a response after which a learner is removed.
const LEARNER_LOST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long other machines are preferred to a learner that was lost.
const FAILED_LEARNER_COOLDOWN: Duration = Duration::from_secs(20);
/// Entries that a learner may lack when it is promoted. This does not affect safety, since
/// the change itself commits only on a majority that has all earlier entries; it bounds how
/// long commits may have to wait for the new voter.
const MAX_CAUGHT_UP_LAG_ENTRIES: u64 = 1_024;

/// The latest report about a machine that may become a member.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineReport {
    /// The machine as a member; its `voter` flag is ignored.
    pub member: Member,
    /// When the report was received from the machine or read from its registration.
    pub last_seen: Time,
    /// Whether the machine is being decommissioned.
    pub retiring: bool,
}

/// Known machines and the number of voters to maintain.
#[derive(Clone, Debug)]
pub struct MembershipPlanner {
    target_voters: usize,
    /// Known machines by name.
    machines: BTreeMap<String, MachineReport>,
    /// Incarnations replaced by a newer incarnation of the same machine.
    superseded: BTreeSet<u64>,
    /// Incarnations of lost learners, and when each was last found lost.
    failed_learners: BTreeMap<u64, Time>,
}

impl Default for MembershipPlanner {
    fn default() -> Self {
        Self::new(DEFAULT_VOTERS)
    }
}

/// Number of voters in a group that stays available while `losses` of them are lost. The
/// group always tolerates at least one loss.
pub fn voters_to_tolerate(losses: usize) -> usize {
    2 * losses.max(1) + 1
}

impl MembershipPlanner {
    /// Maintains `target_voters` voters.
    pub fn new(target_voters: usize) -> Self {
        Self {
            target_voters,
            machines: BTreeMap::new(),
            superseded: BTreeSet::new(),
            failed_learners: BTreeMap::new(),
        }
    }

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
            known.member = member;
            known.last_seen = now;
            return is_new;
        }
        let report = MachineReport {
            member: member.clone(),
            last_seen: now,
            retiring: false,
        };
        self.machines.insert(member.name, report);
        true
    }

    /// Sets the machines being decommissioned.
    pub fn set_retiring(&mut self, names: &[String]) {
        for (name, report) in &mut self.machines {
            report.retiring = names.contains(name);
        }
    }

    pub fn machines(&self) -> impl Iterator<Item = &MachineReport> {
        self.machines.values()
    }

    /// Whether the committed membership does not include the machine.
    pub fn is_removed(&self, replica: &Replica, name: &str) -> bool {
        replica.members_committed() && !replica.members().iter().any(|m| m.name == name)
    }

    /// The next membership to propose, if the current one should change.
    pub fn next_members(&mut self, now: Time, replica: &Replica) -> Option<Vec<Member>> {
        if replica.role() != Role::Leader || !replica.members_committed() {
            return None;
        }
        let members = replica.members();
        self.update_failed_learners(now, replica, &members);
        self.remove_lost_voter(now, replica, &members)
            .or_else(|| self.promote(now, replica, &members))
            .or_else(|| self.remove_surplus_voter(replica, &members))
            .or_else(|| self.remove_unneeded_learner(now, replica, &members))
            .or_else(|| self.add_learner(now, replica, &members))
    }

    fn update_failed_learners(&mut self, now: Time, replica: &Replica, members: &[Member]) {
        for member in members.iter().filter(|member| !member.voter) {
            if is_learner_lost(now, replica, member) {
                self.failed_learners.insert(member.replica, now);
            }
        }
        self.failed_learners
            .retain(|_, at| now.since(*at) < FAILED_LEARNER_COOLDOWN);
    }

    fn is_retiring(&self, name: &str) -> bool {
        self.machines.get(name).is_some_and(|m| m.retiring)
    }

    /// Whether the machine is known to have a newer incarnation than this member.
    fn is_replaced(&self, member: &Member) -> bool {
        let machine = self.machines.get(&member.name);
        machine.is_some_and(|m| m.member.replica != member.replica)
    }

    fn is_lost(&self, now: Time, replica: &Replica, member: &Member) -> bool {
        if member.replica == replica.id().0 {
            return false;
        }
        let grace_period_over = now.since(replica.leader_since()) >= VOTER_LOST_TIMEOUT;
        let progress = replica.progress(ReplicaId(member.replica));
        let timed_out =
            grace_period_over && !progress.is_some_and(|p| p.is_active(now, VOTER_LOST_TIMEOUT));
        self.is_replaced(member) || timed_out
    }

    fn is_caught_up(now: Time, replica: &Replica, member: &Member) -> bool {
        let progress = replica.progress(ReplicaId(member.replica));
        progress.is_some_and(|p| {
            p.is_active(now, ACTIVE_WINDOW)
                && p.match_index + MAX_CAUGHT_UP_LAG_ENTRIES >= replica.commit_index()
        })
    }

    /// Whether a majority of `voters` is active.
    fn has_active_majority(now: Time, replica: &Replica, voters: &[&Member]) -> bool {
        let active = voters.iter().filter(|member| {
            let progress = replica.progress(ReplicaId(member.replica));
            member.replica == replica.id().0
                || progress.is_some_and(|p| p.is_active(now, ACTIVE_WINDOW))
        });
        active.count() * 2 > voters.len()
    }

    fn remove_lost_voter(
        &self,
        now: Time,
        replica: &Replica,
        members: &[Member],
    ) -> Option<Vec<Member>> {
        let has_replacement = members
            .iter()
            .any(|m| !m.voter && Self::is_caught_up(now, replica, m));
        let voters = members.iter().filter(|member| member.voter);
        let lost = voters
            .clone()
            .find(|member| has_replacement && self.is_lost(now, replica, member))?;
        let remaining: Vec<&Member> = voters.filter(|m| m.replica != lost.replica).collect();
        Self::has_active_majority(now, replica, &remaining).then(|| without(members, lost))
    }

    fn promote(&self, now: Time, replica: &Replica, members: &[Member]) -> Option<Vec<Member>> {
        let voters = members.iter().filter(|member| member.voter);
        let staying = voters.filter(|member| !self.is_retiring(&member.name));
        if staying.count() >= self.target_voters {
            return None;
        }
        let promoted = members
            .iter()
            .find(|m| !m.voter && Self::is_caught_up(now, replica, m))?;
        let mut next = members.to_vec();
        for member in &mut next {
            if member.replica == promoted.replica {
                member.voter = true;
            }
        }
        Some(next)
    }

    fn remove_surplus_voter(&self, replica: &Replica, members: &[Member]) -> Option<Vec<Member>> {
        let voters: Vec<&Member> = members.iter().filter(|member| member.voter).collect();
        if voters.len() <= self.target_voters {
            return None;
        }
        let removed = voters
            .iter()
            .filter(|member| self.is_retiring(&member.name))
            .min_by_key(|member| member.replica == replica.id().0)?;
        Some(without(members, removed))
    }

    /// Removes a learner that is lost, replaced, retiring or surplus.
    fn remove_unneeded_learner(
        &self,
        now: Time,
        replica: &Replica,
        members: &[Member],
    ) -> Option<Vec<Member>> {
        let missing = self.missing_voters(now, replica, members);
        let learners: Vec<&Member> = members.iter().filter(|m| !m.voter).collect();
        let unusable = learners.iter().find(|member| {
            self.is_replaced(member)
                || self.is_retiring(&member.name)
                || is_learner_lost(now, replica, member)
        });
        let surplus = learners.iter().skip(missing).next_back();
        let removed = unusable.or(surplus)?;
        Some(without(members, removed))
    }

    /// Number of voters to add: the target less the voters that are neither lost nor retiring.
    fn missing_voters(&self, now: Time, replica: &Replica, members: &[Member]) -> usize {
        let voters = members.iter().filter(|member| member.voter);
        let staying = voters.filter(|member| {
            !self.is_retiring(&member.name) && !self.is_lost(now, replica, member)
        });
        self.target_voters.saturating_sub(staying.count())
    }

    fn add_learner(&self, now: Time, replica: &Replica, members: &[Member]) -> Option<Vec<Member>> {
        let missing = self.missing_voters(now, replica, members);
        let learners = members.iter().filter(|member| !member.voter).count();
        if learners >= missing {
            return None;
        }
        let zones: Vec<&str> = members
            .iter()
            .filter(|m| m.voter && !self.is_lost(now, replica, m) && !self.is_retiring(&m.name))
            .map(|member| member.zone.as_str())
            .collect();
        let voters_in = |zone: &str| zones.iter().filter(|other| **other == zone).count();
        let candidates = self.machines.values().filter(|report| {
            let id = report.member.replica;
            !report.retiring && !members.iter().any(|member| member.replica == id)
        });
        // Prefers machines without a recent failure, then zones with the fewest voters, then
        // the machine seen last.
        let best = candidates.max_by_key(|report| {
            let voters_in_zone = voters_in(&report.member.zone);
            let failed = self.failed_learners.contains_key(&report.member.replica);
            (!failed, std::cmp::Reverse(voters_in_zone), report.last_seen)
        })?;
        let mut next = members.to_vec();
        let mut member = best.member.clone();
        member.voter = false;
        next.push(member);
        Some(next)
    }
}

fn is_learner_lost(now: Time, replica: &Replica, member: &Member) -> bool {
    let Some(progress) = replica.progress(ReplicaId(member.replica)) else {
        return false;
    };
    let since = progress.last_response.unwrap_or(progress.created_at);
    now.since(since) > LEARNER_LOST_TIMEOUT
}

fn without(members: &[Member], removed: &Member) -> Vec<Member> {
    let remaining = members.iter().filter(|m| m.replica != removed.replica);
    remaining.cloned().collect()
}
