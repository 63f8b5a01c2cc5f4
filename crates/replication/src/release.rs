//! Whether a machine that is being retired may be taken away, and what it waits for.

use peatgrade_schema::replication::Member;
use peatgrade_types::{Duration, Time};

use crate::member_activity::is_active_within;
use crate::membership_planner::MembershipPlanner;
use crate::replica::{Replica, Role};

/// A voter counts on another's release only if it has responded within this time.
const RELEASE_WINDOW: Duration = Duration::from_millis(200);
/// Time that a new machine must have been there, in addition to the time for which it counts as
/// lost, before another one is released. In a planned replacement, the machine that the new one
/// replaces is told to stop at the end of that time, and answers for up to 2 s more.
const RELEASE_MARGIN: Duration = Duration::from_secs(3);

/// Why a machine that is being retired may not be taken away yet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReleaseObstacle {
    /// This replica does not lead, or a membership change is not committed yet.
    Undecided,
    /// The group has fewer voters than it should without the machine.
    NoSpare,
    /// A voter other than the machine is lost.
    VoterLost,
    /// A voter other than the machine has not responded lately or lacks entries.
    VoterBehind,
    /// A voter other than the machine started too recently to count as there.
    VoterNew,
    /// The machine can be replaced, or its removal is under way.
    Moving,
}

impl ReleaseObstacle {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Undecided => "undecided",
            Self::NoSpare => "no-spare",
            Self::VoterLost => "voter-lost",
            Self::VoterBehind => "voter-behind",
            Self::VoterNew => "voter-new",
            Self::Moving => "moving",
        }
    }
}

impl MembershipPlanner {
    /// Why a retiring machine must not be reported as drained yet; none if it may be taken away
    /// together with its disk.
    pub fn release_obstacle(
        &self,
        now: Time,
        replica: &Replica,
        name: &str,
    ) -> Option<ReleaseObstacle> {
        if replica.role() != Role::Leader || !replica.members_committed() {
            return Some(ReleaseObstacle::Undecided);
        }
        let members = replica.members();
        let is_member = members.iter().any(|member| member.name == name);
        let others: Vec<&Member> = members
            .iter()
            .filter(|member| member.voter && member.name != name)
            .collect();
        if others.len() < self.target_voters {
            let has_spare = members
                .iter()
                .any(|m| !m.voter && !self.is_retiring(&m.name) && m.name != name);
            let obstacle = match has_spare {
                true => ReleaseObstacle::Moving,
                false => ReleaseObstacle::NoSpare,
            };
            let stays = self.voter_obstacle(now, replica, &others);
            return Some(stays.unwrap_or(obstacle));
        }
        self.voter_obstacle(now, replica, &others)
            .or(is_member.then_some(ReleaseObstacle::Moving))
    }

    /// What keeps `voters` from tolerating a loss, apart from their number.
    pub(crate) fn voter_obstacle(
        &self,
        now: Time,
        replica: &Replica,
        voters: &[&Member],
    ) -> Option<ReleaseObstacle> {
        let any = |is_obstacle: &dyn Fn(&Member) -> bool| voters.iter().any(|m| is_obstacle(m));
        if any(&|m| self.is_lost(now, replica, m)) {
            return Some(ReleaseObstacle::VoterLost);
        }
        let answers = |m: &Member| is_active_within(RELEASE_WINDOW, now, replica, m);
        if any(&|m| !answers(m) || !self.is_caught_up(now, replica, m)) {
            return Some(ReleaseObstacle::VoterBehind);
        }
        any(&|m| !self.counts_as_there(now, m)).then_some(ReleaseObstacle::VoterNew)
    }

    /// Whether the machine with this incarnation was first reported long enough ago.
    pub(crate) fn counts_as_there(&self, now: Time, member: &Member) -> bool {
        let report = self.machines.get(&member.name);
        report.is_some_and(|report| {
            report.member.replica == member.replica
                && now.since(report.first_seen) >= self.catch_up_time + RELEASE_MARGIN
        })
    }

    /// How many more disks of voters may be lost now, as far as this leader knows.
    pub fn tolerated_losses(&self, now: Time, replica: &Replica) -> usize {
        let members = replica.members();
        let voters: Vec<&Member> = members.iter().filter(|member| member.voter).collect();
        let living = voters.iter().filter(|m| !self.is_lost(now, replica, m));
        living.count().saturating_sub(voters.len() / 2 + 1)
    }
}
