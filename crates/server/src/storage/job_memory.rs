//! Memory of open jobs, accounted before a job is accepted.
//!
//! An accepted job stays in memory on each member until it ends, and several copies of it are
//! made on the way there. What would not fit on the tightest member is refused, because a process
//! that exceeds its limit is killed, and would be again whenever it reads its log.

use peatgrade_jobs::job_bytes;
use peatgrade_replication::{Replica, ReplicaId};
use peatgrade_schema::replication::AcceptJob;
use peatgrade_types::{Duration, Time};

use crate::metrics::resident_bytes;

use super::process::StorageProcess;

/// Copies of a job that exist at once on a member, at most: the received message, the decoded
/// call, the command, the message to a follower before and after compression.
const COPIES: u64 = 5;
/// Percentage of the memory that the copies of a job on its way may fill.
const MAX_FILLED_PERCENT: u64 = 90;
/// Percentage of the memory that open jobs may take. The rest is for the process itself and for
/// the copies of one job when a member reads the log after its start.
const MAX_OPEN_PERCENT: u64 = 45;
/// Time after which the reports of the members reflect a job that they have.
const REPORT_DELAY: Duration = Duration::from_millis(2_000);
/// A member counts if it has responded within this time.
const ACTIVE_WINDOW: Duration = Duration::from_millis(2_000);

/// Memory set aside for jobs that are proposed and not yet part of what the members report.
#[derive(Debug, Default)]
pub(super) struct JobReservations {
    reservations: Vec<Reservation>,
    /// Bytes of open jobs as last counted.
    open_bytes: u64,
}

#[derive(Debug)]
struct Reservation {
    /// Index of the job's log entry.
    index: u64,
    bytes: u64,
    /// When all members had the job; none before.
    held_since: Option<Time>,
}

impl JobReservations {
    pub fn reserve(&mut self, index: u64, bytes: u64) {
        self.reservations.push(Reservation {
            index,
            bytes,
            held_since: None,
        });
    }

    pub fn clear(&mut self) {
        self.reservations.clear();
    }

    /// Sets the bytes of open jobs. Reservations that it includes stay until they are reported.
    pub fn set_open_bytes(&mut self, bytes: u64) {
        self.open_bytes = bytes;
    }

    /// Releases what the reports of the members include, given the index up to which all of
    /// them have the log.
    fn release(&mut self, now: Time, held_index: u64) {
        for reservation in &mut self.reservations {
            if reservation.index <= held_index && reservation.held_since.is_none() {
                reservation.held_since = Some(now);
            }
        }
        self.reservations.retain(|reservation| {
            let held_since = reservation.held_since;
            held_since.is_none_or(|since| now.since(since) < REPORT_DELAY)
        });
    }

    fn reserved_bytes(&self) -> u64 {
        self.reservations.iter().map(|r| r.bytes).sum()
    }

    /// Whether a job of `bytes` fits beside the others, if `spare` bytes are left on the tightest
    /// member and a process may use `limit`.
    fn fits(&self, bytes: u64, spare: u64, limit: u64) -> bool {
        // Once all members have a job, one copy of it is left on each.
        let on_the_way = self.reservations.iter().map(|r| match r.held_since {
            None => r.bytes * COPIES,
            Some(_) => r.bytes,
        });
        let filled = on_the_way.sum::<u64>() + bytes * COPIES;
        let open = self.open_bytes + self.reserved_bytes() + bytes;
        filled <= spare && open <= limit * MAX_OPEN_PERCENT / 100
    }
}

/// Bytes that a process may still use; none without a limit.
pub(super) fn spare_bytes(limit: u64, resident: u64) -> Option<u64> {
    (limit > 0).then(|| (limit * MAX_FILLED_PERCENT / 100).saturating_sub(resident))
}

impl StorageProcess {
    /// Whether a job fits into the memory of all members. Its bytes are to be reserved once it
    /// is proposed.
    pub(super) fn has_memory_for(&mut self, now: Time, bytes: u64) -> bool {
        let limit = self.limits.memory_bytes();
        let Some(own) = spare_bytes(limit, resident_bytes()) else {
            return true;
        };
        let (held_index, tightest) = members_state(now, &self.replica);
        self.job_reservations.release(now, held_index);
        let spare = |own: u64| tightest.map_or(own, |bytes| bytes.min(own));
        if self.job_reservations.fits(bytes, spare(own), limit) {
            return true;
        }
        self.return_memory(now);
        let own = spare_bytes(limit, resident_bytes()).unwrap_or(0);
        let fits = self.job_reservations.fits(bytes, spare(own), limit);
        if !fits {
            log::warn!(
                "belief=job-too-large job_bytes={bytes} reserved_bytes={} open_bytes={} spare_here={own} spare_elsewhere={}",
                self.job_reservations.reserved_bytes(),
                self.job_reservations.open_bytes,
                tightest.unwrap_or(0)
            );
        }
        fits
    }

    /// Counts the open jobs, and what this process may still use, for the leader.
    pub(super) fn update_job_memory(&mut self, resident: u64) {
        let open = self.jobs.memory().items as u64;
        self.job_reservations.set_open_bytes(open);
        let spare = spare_bytes(self.limits.memory_bytes(), resident);
        self.replica.set_spare_memory(spare);
    }
}

/// Bytes that a job takes in memory.
pub(super) fn bytes_of(job: &AcceptJob) -> u64 {
    job_bytes(job) as u64
}

/// The index up to which this leader and all members that respond have applied or hold the log,
/// and the least memory that one of them may still use.
fn members_state(now: Time, replica: &Replica) -> (u64, Option<u64>) {
    let members = replica.members();
    let active = members.iter().filter_map(|member| {
        let progress = replica.progress(ReplicaId(member.replica));
        progress.filter(|p| p.is_active(now, ACTIVE_WINDOW))
    });
    let held = active.clone().map(|progress| progress.match_index).min();
    let held_index = held.unwrap_or(u64::MAX).min(replica.applied_index());
    (held_index, active.filter_map(|p| p.spare_memory).min())
}

#[cfg(test)]
#[path = "../../tests/unit/job_memory.rs"]
mod tests;
