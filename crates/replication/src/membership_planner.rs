//! Which machines should be members of the group, and the next step there.
//!
//! Voters change one at a time. A voter whose disk is gone, or that is gone
//! itself, is removed before its successor gets a vote: it cannot help a
//! majority any more, and a larger group would need more of the others. A
//! healthy voter that is to leave is removed after its successor has a vote.

use peatgrade_schema::replication::Member;
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, BTreeSet};

use crate::message::ReplicaId;
use crate::replica::{Replica, Role};

/// Voters of a full group where nothing else is said.
const DEFAULT_VOTERS: usize = 3;
/// Silence after which a voter is replaced if another machine can take over.
const VOTER_LOST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A replica that has answered within this span counts as alive.
const ACTIVE_WINDOW: Duration = Duration::from_millis(500);
/// Silence after which a learner is given up.
const LEARNER_LOST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a learner that was given up comes last.
const FAILED_LEARNER_COOLDOWN: Duration = Duration::from_secs(20);
/// Entries that a learner may lack when it gets its vote. A change of members
/// commits only on a majority that has all entries before it, so that this is no
/// question of safety; it bounds how long commits may have to wait for it.
const MAX_CAUGHT_UP_LAG_ENTRIES: u64 = 1_024;

/// A machine that could be a member, as it was last heard of.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineReport {
    /// Its member record; the vote flag means nothing.
    pub member: Member,
    /// When it said so, or was read of.
    pub last_seen: Time,
    /// Whether it is to be emptied.
    pub retiring: bool,
}

/// Machines known, by name.
#[derive(Clone, Debug)]
pub struct MembershipPlanner {
    /// Voters of a full group.
    target_voters: usize,
    machines: BTreeMap<String, MachineReport>,
    /// Incarnations that a newer one of the same machine has replaced.
    superseded: BTreeSet<u64>,
    /// Learners that went away, and when.
    failed_learners: BTreeMap<u64, Time>,
}

impl Default for MembershipPlanner {
    fn default() -> Self {
        Self::new(DEFAULT_VOTERS)
    }
}

/// Voters of a group that goes on while `lost` of them are lost at once; never
/// fewer than one loss takes, since any disk may go.
pub fn voters_to_tolerate(losses: usize) -> usize {
    2 * losses.max(1) + 1
}

impl MembershipPlanner {
    /// A group that is full with so many voters.
    pub fn new(target_voters: usize) -> Self {
        Self {
            target_voters,
            machines: BTreeMap::new(),
            superseded: BTreeSet::new(),
            failed_learners: BTreeMap::new(),
        }
    }

    /// Takes note of what a machine said of itself; true if its incarnation is
    /// new. Whatever else it was called in `members`, it is that no more.
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

    /// Takes note of a registration; true if its incarnation is new. The list
    /// may be older than what a machine said of itself, and then means nothing.
    pub fn record_registration(&mut self, now: Time, member: Member) -> bool {
        !self.superseded.contains(&member.replica) && self.record(now, member)
    }

    fn record(&mut self, now: Time, member: Member) -> bool {
        if let Some(known) = self.machines.get_mut(&member.name) {
            let fresh = known.member.replica != member.replica;
            known.member = member;
            known.last_seen = now;
            return fresh;
        }
        let report = MachineReport {
            member: member.clone(),
            last_seen: now,
            retiring: false,
        };
        self.machines.insert(member.name, report);
        true
    }

    /// Takes note of which machines are to be emptied.
    pub fn set_retiring(&mut self, names: &[String]) {
        for (name, report) in &mut self.machines {
            report.retiring = names.contains(name);
        }
    }

    /// Machines known.
    pub fn machines(&self) -> impl Iterator<Item = &MachineReport> {
        self.machines.values()
    }

    /// Whether a machine is no member any more.
    pub fn is_removed(&self, replica: &Replica, name: &str) -> bool {
        replica.members_committed() && !replica.members().iter().any(|m| m.name == name)
    }

    /// The members that the group should have next, if that is not what it has.
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

    /// Whether a member's disk is known to be gone.
    fn is_replaced(&self, member: &Member) -> bool {
        let machine = self.machines.get(&member.name);
        machine.is_some_and(|m| m.member.replica != member.replica)
    }

    fn is_lost(&self, now: Time, replica: &Replica, member: &Member) -> bool {
        if member.replica == replica.id().0 {
            return false;
        }
        let settled = now.since(replica.leader_since()) >= VOTER_LOST_TIMEOUT;
        let progress = replica.progress(ReplicaId(member.replica));
        let silent = settled && !progress.is_some_and(|p| p.is_active(now, VOTER_LOST_TIMEOUT));
        self.is_replaced(member) || silent
    }

    fn is_caught_up(now: Time, replica: &Replica, member: &Member) -> bool {
        let progress = replica.progress(ReplicaId(member.replica));
        progress.is_some_and(|p| {
            p.is_active(now, ACTIVE_WINDOW)
                && p.match_index + MAX_CAUGHT_UP_LAG_ENTRIES >= replica.commit_index()
        })
    }

    /// Whether a majority of `voters` has answered lately.
    fn has_active_majority(now: Time, replica: &Replica, voters: &[&Member]) -> bool {
        let alive = voters.iter().filter(|member| {
            let progress = replica.progress(ReplicaId(member.replica));
            member.replica == replica.id().0
                || progress.is_some_and(|p| p.is_active(now, ACTIVE_WINDOW))
        });
        alive.count() * 2 > voters.len()
    }

    fn remove_lost_voter(
        &self,
        now: Time,
        replica: &Replica,
        members: &[Member],
    ) -> Option<Vec<Member>> {
        let successor = members
            .iter()
            .any(|m| !m.voter && Self::is_caught_up(now, replica, m));
        let voters = members.iter().filter(|member| member.voter);
        let lost = voters
            .clone()
            .find(|member| successor && self.is_lost(now, replica, member))?;
        let rest: Vec<&Member> = voters.filter(|m| m.replica != lost.replica).collect();
        Self::has_active_majority(now, replica, &rest).then(|| without(members, lost))
    }

    fn promote(&self, now: Time, replica: &Replica, members: &[Member]) -> Option<Vec<Member>> {
        let voters = members.iter().filter(|member| member.voter);
        let staying = voters.filter(|member| !self.is_retiring(&member.name));
        if staying.count() >= self.target_voters {
            return None;
        }
        let ready = members
            .iter()
            .find(|m| !m.voter && Self::is_caught_up(now, replica, m))?;
        let mut next = members.to_vec();
        for member in &mut next {
            if member.replica == ready.replica {
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
        let leaving = voters
            .iter()
            .filter(|member| self.is_retiring(&member.name))
            .min_by_key(|member| member.replica == replica.id().0)?;
        Some(without(members, leaving))
    }

    /// A learner that went away, lost its disk or is not needed.
    fn remove_unneeded_learner(
        &self,
        now: Time,
        replica: &Replica,
        members: &[Member],
    ) -> Option<Vec<Member>> {
        let missing = self.missing_voters(now, replica, members);
        let learners: Vec<&Member> = members.iter().filter(|m| !m.voter).collect();
        let gone = learners.iter().find(|member| {
            self.is_replaced(member)
                || self.is_retiring(&member.name)
                || is_learner_lost(now, replica, member)
        });
        let surplus = learners.iter().skip(missing).next_back();
        let dropped = gone.or(surplus)?;
        Some(without(members, dropped))
    }

    /// Voters that are lost, leave or were never there.
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
        let free = self.machines.values().filter(|report| {
            let id = report.member.replica;
            !report.retiring && !members.iter().any(|member| member.replica == id)
        });
        // A machine that speaks now, in a zone with the fewest voters, goes first.
        let best = free.max_by_key(|report| {
            let beside = voters_in(&report.member.zone);
            let failed = self.failed_learners.contains_key(&report.member.replica);
            (!failed, std::cmp::Reverse(beside), report.last_seen)
        })?;
        let mut next = members.to_vec();
        let mut member = best.member.clone();
        member.voter = false;
        next.push(member);
        Some(next)
    }
}

/// Whether a learner has been silent for too long to wait for it.
fn is_learner_lost(now: Time, replica: &Replica, member: &Member) -> bool {
    let Some(progress) = replica.progress(ReplicaId(member.replica)) else {
        return false;
    };
    let since = progress.last_response.unwrap_or(progress.created_at);
    now.since(since) > LEARNER_LOST_TIMEOUT
}

fn without(members: &[Member], gone: &Member) -> Vec<Member> {
    let rest = members.iter().filter(|m| m.replica != gone.replica);
    rest.cloned().collect()
}
