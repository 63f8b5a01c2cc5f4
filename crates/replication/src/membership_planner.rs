//! Plans membership changes: decides which machines should be members of the group and
//! which change to propose next.
//!
//! Voters change one at a time. A voter that is down, or whose disk was lost, is removed
//! before its replacement is promoted: it cannot contribute to a quorum, and a larger
//! group would need a larger quorum. A healthy voter that is being retired is removed
//! after its replacement has been promoted, and only while the remaining voters alone
//! tolerate the loss of a disk. See `docs/design/group-that-heals.md`.

use peatgrade_schema::replication::Member;
use peatgrade_types::{Duration, Time};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::machine_report::MachineReport;
use crate::member_activity::{is_active, is_learner_lost, may_still_respond, ACTIVE_WINDOW};
use crate::message::ReplicaId;
use crate::replica::{Replica, Role};

const DEFAULT_VOTERS: usize = 3;
/// Time without a response after which a voter is replaced if a learner has caught up.
const VOTER_LOST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long other machines are preferred to a learner that was lost.
const FAILED_LEARNER_COOLDOWN: Duration = Duration::from_secs(20);
/// Entries that a learner may lack when it is promoted, besides those that were committed
/// when it was added, of which it may lack none. This does not affect safety, since the
/// change itself commits only on a majority that has all earlier entries; it bounds how long
/// commits may have to wait for the new voter.
const MAX_CAUGHT_UP_LAG_ENTRIES: u64 = 1_024;
/// Default of the time for which a new or emptied machine counts as lost after its start.
const DEFAULT_CATCH_UP_TIME: Duration = Duration::from_secs(5);

/// Known machines and the number of voters to maintain.
#[derive(Clone, Debug)]
pub struct MembershipPlanner {
    pub(crate) target_voters: usize,
    /// Time for which a machine counts as lost after its first report.
    pub(crate) catch_up_time: Duration,
    /// Known machines by name.
    pub(crate) machines: BTreeMap<String, MachineReport>,
    /// Names of the machines being retired.
    retiring: BTreeSet<String>,
    /// Names of retiring machines that may be gone at any time, as they were reported as drained.
    released: BTreeSet<String>,
    /// Incarnations replaced by a newer incarnation of the same machine.
    pub(crate) superseded: BTreeSet<u64>,
    /// Incarnations of lost learners, and when each was last found lost.
    pub(crate) failed_learners: BTreeMap<u64, Time>,
    /// For each member that was a learner, the commit index when it was first seen as one.
    required_index: BTreeMap<u64, u64>,
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
            catch_up_time: DEFAULT_CATCH_UP_TIME,
            machines: BTreeMap::new(),
            retiring: BTreeSet::new(),
            released: BTreeSet::new(),
            superseded: BTreeSet::new(),
            failed_learners: BTreeMap::new(),
            required_index: BTreeMap::new(),
        }
    }

    /// Sets the time for which a machine counts as lost after its first report.
    pub fn with_catch_up_time(mut self, time: Duration) -> Self {
        self.catch_up_time = time;
        self
    }

    /// Sets the machines being retired.
    pub fn set_retiring(&mut self, names: &[String]) {
        if !self.retiring.iter().eq(names) {
            self.retiring = names.iter().cloned().collect();
        }
    }

    /// Sets the retiring machines that were reported as drained. They may be gone at any time
    /// and are no candidates.
    pub fn set_released(&mut self, names: &[String]) {
        if !self.released.iter().eq(names) {
            self.released = names.iter().cloned().collect();
        }
    }

    /// The next membership to propose, if the current one should change.
    pub fn next_members(&mut self, now: Time, replica: &Replica) -> Option<Vec<Member>> {
        if replica.role() != Role::Leader || !replica.members_committed() {
            return None;
        }
        let members = replica.members();
        self.update_learners(now, replica, &members);
        self.remove_lost_voter(now, replica, &members)
            .or_else(|| self.promote(now, replica, &members))
            .or_else(|| self.remove_surplus_voter(now, replica, &members))
            .or_else(|| self.remove_unneeded_learner(now, replica, &members))
            .or_else(|| self.add_learner(now, replica, &members))
    }

    fn update_learners(&mut self, now: Time, replica: &Replica, members: &[Member]) {
        for member in members.iter().filter(|member| !member.voter) {
            if is_learner_lost(now, replica, member) {
                self.failed_learners.insert(member.replica, now);
            }
            let commit_index = replica.commit_index();
            self.required_index
                .entry(member.replica)
                .or_insert(commit_index);
        }
        self.required_index
            .retain(|id, _| members.iter().any(|member| member.replica == *id));
        self.failed_learners
            .retain(|_, at| now.since(*at) < FAILED_LEARNER_COOLDOWN);
    }

    pub(crate) fn is_retiring(&self, name: &str) -> bool {
        self.retiring.contains(name)
    }

    /// Whether the machine is known to have a newer incarnation than this member.
    fn is_replaced(&self, member: &Member) -> bool {
        let machine = self.machines.get(&member.name);
        machine.is_some_and(|m| m.member.replica != member.replica)
    }

    pub(crate) fn is_lost(&self, now: Time, replica: &Replica, member: &Member) -> bool {
        if member.replica == replica.id().0 {
            return false;
        }
        let grace_period_over = now.since(replica.leader_since()) >= VOTER_LOST_TIMEOUT;
        let progress = replica.progress(ReplicaId(member.replica));
        let timed_out =
            grace_period_over && !progress.is_some_and(|p| p.is_active(now, VOTER_LOST_TIMEOUT));
        self.is_replaced(member) || timed_out
    }

    pub(crate) fn is_caught_up(&self, now: Time, replica: &Replica, member: &Member) -> bool {
        if member.replica == replica.id().0 {
            return true;
        }
        let required = self.required_index.get(&member.replica);
        let progress = replica.progress(ReplicaId(member.replica));
        progress.is_some_and(|p| {
            p.is_active(now, ACTIVE_WINDOW)
                && p.match_index >= required.copied().unwrap_or(0)
                && p.match_index + MAX_CAUGHT_UP_LAG_ENTRIES >= replica.commit_index()
        })
    }

    /// Whether a majority of `voters` is active.
    fn has_active_majority(now: Time, replica: &Replica, voters: &[&Member]) -> bool {
        let active = voters
            .iter()
            .filter(|member| is_active(now, replica, member));
        active.count() * 2 > voters.len()
    }

    /// Removes a lost voter if a learner can take its place, or if enough voters remain.
    fn remove_lost_voter(
        &self,
        now: Time,
        replica: &Replica,
        members: &[Member],
    ) -> Option<Vec<Member>> {
        let has_replacement = members
            .iter()
            .any(|m| !m.voter && self.is_caught_up(now, replica, m));
        let voters: Vec<&Member> = members.iter().filter(|member| member.voter).collect();
        if !has_replacement && voters.len() <= self.target_voters {
            return None;
        }
        let lost = voters.iter().find(|member| {
            let others = voters.iter().filter(|m| m.replica != member.replica);
            let remaining: Vec<&Member> = others.copied().collect();
            self.is_lost(now, replica, member)
                && Self::has_active_majority(now, replica, &remaining)
        })?;
        Some(without(members, lost))
    }

    /// Promotes a learner if a voter is missing, or if it can replace a retiring voter.
    fn promote(&self, now: Time, replica: &Replica, members: &[Member]) -> Option<Vec<Member>> {
        let voters: Vec<&Member> = members.iter().filter(|member| member.voter).collect();
        let caught_up = members
            .iter()
            .filter(|m| !m.voter && self.is_caught_up(now, replica, m));
        let promoted = if voters.len() < self.target_voters {
            caught_up.min_by_key(|m| self.is_retiring(&m.name))?
        } else if voters.len() == self.target_voters
            && voters.iter().any(|m| self.is_retiring(&m.name))
            && self.voter_obstacle(now, replica, &voters).is_none()
        {
            caught_up
                .filter(|m| !self.is_retiring(&m.name))
                .find(|m| self.counts_as_there(now, m))?
        } else {
            return None;
        };
        let mut next = members.to_vec();
        for member in &mut next {
            if member.replica == promoted.replica {
                member.voter = true;
            }
        }
        Some(next)
    }

    /// Removes a retiring voter, or one that is left over since a request was withdrawn, if the
    /// others tolerate a loss without it.
    fn remove_surplus_voter(
        &self,
        now: Time,
        replica: &Replica,
        members: &[Member],
    ) -> Option<Vec<Member>> {
        let voters: Vec<&Member> = members.iter().filter(|member| member.voter).collect();
        if voters.len() <= self.target_voters {
            return None;
        }
        let removed = voters
            .iter()
            .max_by_key(|m| {
                let is_leader = m.replica == replica.id().0;
                let first_seen = self.machines.get(&m.name).map(|report| report.first_seen);
                (self.is_retiring(&m.name), !is_leader, first_seen)
            })
            .copied()?;
        let others: Vec<&Member> = voters
            .into_iter()
            .filter(|m| m.replica != removed.replica)
            .collect();
        let is_safe = self.voter_obstacle(now, replica, &others).is_none();
        is_safe.then(|| without(members, removed))
    }

    /// Removes a learner that is lost, replaced, drained or surplus.
    fn remove_unneeded_learner(
        &self,
        now: Time,
        replica: &Replica,
        members: &[Member],
    ) -> Option<Vec<Member>> {
        let mut learners: Vec<&Member> = members.iter().filter(|m| !m.voter).collect();
        let unusable = learners.iter().find(|member| {
            self.is_replaced(member)
                || self.released.contains(&member.name)
                || is_learner_lost(now, replica, member)
        });
        if let Some(unusable) = unusable {
            return Some(without(members, unusable));
        }
        let missing = self.missing_voters(now, replica, members);
        let is_first_choice = |m: &Member| !self.is_retiring(&m.name);
        learners.sort_by_key(|m| (!is_first_choice(m), !is_active(now, replica, m)));
        let first_choices = learners.iter().filter(|m| is_first_choice(m)).count();
        // Those that have not responded yet are tried beside each other until enough have.
        let usable = learners
            .iter()
            .filter(|m| is_first_choice(m) && is_active(now, replica, m))
            .count();
        let retiring_needed = missing.lost.saturating_sub(usable);
        let retiring = learners.len() - first_choices;
        let removed = if retiring > retiring_needed {
            learners.pop()?
        } else if usable >= missing.staying && first_choices > missing.staying {
            learners.swap_remove(first_choices - 1)
        } else {
            return None;
        };
        Some(without(members, removed))
    }

    fn missing_voters(&self, now: Time, replica: &Replica, members: &[Member]) -> MissingVoters {
        let voters = members.iter().filter(|member| member.voter);
        let living = voters.filter(|member| !self.is_lost(now, replica, member));
        let staying = living.clone().filter(|m| !self.is_retiring(&m.name));
        MissingVoters {
            lost: self.target_voters.saturating_sub(living.count()),
            staying: self.target_voters.saturating_sub(staying.count()),
        }
    }

    /// Adds a machine that may replace a lost or retiring voter. A retiring machine is added
    /// only if the group does not tolerate a loss without it.
    fn add_learner(&self, now: Time, replica: &Replica, members: &[Member]) -> Option<Vec<Member>> {
        let missing = self.missing_voters(now, replica, members);
        let learners = members.iter().filter(|member| !member.voter);
        let (retiring, first_choices): (Vec<&Member>, Vec<&Member>) =
            learners.partition(|member| self.is_retiring(&member.name));
        let usable = first_choices.iter().filter(|member| {
            is_active(now, replica, member) || may_still_respond(now, replica, member)
        });
        let usable = usable.count();
        let first_choice = match usable < missing.staying {
            true => self.best_candidate(now, replica, members, false),
            false => None,
        };
        // With many registrations of machines that are gone there is always one more to try.
        let is_choice_in_vain = first_choices.len() > usable || first_choice.is_none();
        let last_resort = match is_choice_in_vain && usable + retiring.len() < missing.lost {
            true => self.best_candidate(now, replica, members, true),
            false => None,
        };
        let best = last_resort.or(first_choice);
        let mut next = members.to_vec();
        let mut member = best?.member.clone();
        member.voter = false;
        next.push(member);
        Some(next)
    }

    fn best_candidate(
        &self,
        now: Time,
        replica: &Replica,
        members: &[Member],
        retiring: bool,
    ) -> Option<&MachineReport> {
        let staying =
            |m: &Member| m.voter && !self.is_lost(now, replica, m) && !self.is_retiring(&m.name);
        let voters_in = |zone: &str| {
            let in_zone = members.iter().filter(|m| m.zone == zone);
            in_zone.filter(|m| staying(m)).count()
        };
        let candidates = self.machines.values().filter(|report| {
            let member = &report.member;
            self.is_retiring(&member.name) == retiring
                && !self.released.contains(&member.name)
                && !members.iter().any(|other| other.replica == member.replica)
        });
        // Prefers machines without a recent failure, then the one that failed first, then zones
        // with the fewest voters, then the machine seen last. A machine that is gone must not
        // keep others from their turn for ever.
        candidates.max_by_key(|report| {
            let voters_in_zone = voters_in(&report.member.zone);
            let failed_at = self.failed_learners.get(&report.member.replica);
            (
                Reverse(failed_at),
                Reverse(voters_in_zone),
                report.last_seen,
            )
        })
    }
}

/// Number of voters that a group lacks.
struct MissingVoters {
    /// The target less the voters that are not lost.
    lost: usize,
    /// The target less the voters that are neither lost nor retiring.
    staying: usize,
}

fn without(members: &[Member], removed: &Member) -> Vec<Member> {
    let remaining = members.iter().filter(|m| m.replica != removed.replica);
    remaining.cloned().collect()
}
