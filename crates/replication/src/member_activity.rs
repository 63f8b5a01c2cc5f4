//! Whether members respond to their leader.

use peatgrade_schema::replication::Member;
use peatgrade_types::{Duration, Time};

use crate::message::ReplicaId;
use crate::replica::Replica;

/// A replica that has responded within this time counts as active.
pub(crate) const ACTIVE_WINDOW: Duration = Duration::from_millis(500);
/// Time without a response after which a learner is removed.
const LEARNER_LOST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The same for a learner that has never responded. Registrations of machines that are gone
/// stay in the store, and each one that is tried delays the others.
const SILENT_LEARNER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that a new learner has to respond before another machine is tried beside it.
const FIRST_RESPONSE_TIME: Duration = Duration::from_millis(300);

pub(crate) fn is_active(now: Time, replica: &Replica, member: &Member) -> bool {
    is_active_within(ACTIVE_WINDOW, now, replica, member)
}

pub(crate) fn is_active_within(
    window: Duration,
    now: Time,
    replica: &Replica,
    member: &Member,
) -> bool {
    let progress = replica.progress(ReplicaId(member.replica));
    member.replica == replica.id().0 || progress.is_some_and(|p| p.is_active(now, window))
}

/// Whether the member was added so recently that a first response may still arrive.
pub(crate) fn may_still_respond(now: Time, replica: &Replica, member: &Member) -> bool {
    let progress = replica.progress(ReplicaId(member.replica));
    progress
        .is_some_and(|p| p.last_response.is_none() && now.since(p.created_at) < FIRST_RESPONSE_TIME)
}

pub(crate) fn is_learner_lost(now: Time, replica: &Replica, member: &Member) -> bool {
    let Some(progress) = replica.progress(ReplicaId(member.replica)) else {
        return false;
    };
    match progress.last_response {
        Some(responded) => now.since(responded) > LEARNER_LOST_TIMEOUT,
        None => now.since(progress.created_at) > SILENT_LEARNER_TIMEOUT,
    }
}
