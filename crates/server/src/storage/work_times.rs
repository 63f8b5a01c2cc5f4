//! Accounts the main task's time by kind of work, to show what limits a busy leader.

use peatgrade_types::{Duration, Time};

use super::process::StorageProcess;
use crate::clock::steady_now;

/// A kind of work of the main task.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum WorkKind {
    /// Engine responses: generation events, orders and reports.
    EngineAnswers,
    /// Messages from other processes.
    Messages,
    /// Updates from the object store.
    StoreNews,
    /// The replicated log: heartbeats, appends and application of entries.
    Replication,
    /// Weight versions and working sets.
    Versions,
    /// Placement of waiting and running items.
    Items,
    /// Resulting requests to engines and proposals to the log.
    Requests,
    /// Replies to callers.
    Callers,
    /// Observations and store updates for other machines.
    Publishing,
    /// Periodic maintenance.
    Housekeeping,
}

impl WorkKind {
    const ALL: [Self; 10] = [
        Self::EngineAnswers,
        Self::Messages,
        Self::StoreNews,
        Self::Replication,
        Self::Versions,
        Self::Items,
        Self::Requests,
        Self::Callers,
        Self::Publishing,
        Self::Housekeeping,
    ];

    fn metric_name(self) -> &'static str {
        match self {
            Self::EngineAnswers => "work_engine_answers_us",
            Self::Messages => "work_messages_us",
            Self::StoreNews => "work_store_news_us",
            Self::Replication => "work_replication_us",
            Self::Versions => "work_versions_us",
            Self::Items => "work_items_us",
            Self::Requests => "work_requests_us",
            Self::Callers => "work_callers_us",
            Self::Publishing => "work_publishing_us",
            Self::Housekeeping => "work_housekeeping_us",
        }
    }
}

const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Time spent by the main task since the start, by kind of work.
#[derive(Debug, Default)]
pub(super) struct WorkTimes {
    spent: [Duration; WorkKind::ALL.len()],
    /// Time before this has been accounted.
    accounted_until: Time,
    logged_at: Time,
    /// Value of `spent` at `logged_at`.
    logged: [Duration; WorkKind::ALL.len()],
}

impl WorkTimes {
    /// Starts an iteration; idle time before it is not accounted.
    pub fn start_iteration(&mut self, now: Time) {
        self.accounted_until = now;
    }

    /// Accounts the time since the start of the iteration, or since the last call, to `kind`.
    pub fn record(&mut self, kind: WorkKind, now: Time) {
        let spent = &mut self.spent[kind as usize];
        *spent = *spent + now.since(self.accounted_until);
        self.accounted_until = now;
    }

    /// Returns each kind's share of the time since the last call that returned shares, in
    /// thousandths, or `None` before [`LOG_INTERVAL`] has passed.
    pub fn take_shares(&mut self, now: Time) -> Option<Vec<(WorkKind, u64)>> {
        let span = now.since(self.logged_at);
        if span < LOG_INTERVAL {
            return None;
        }
        let shares = WorkKind::ALL.into_iter().map(|kind| {
            let spent = self.spent[kind as usize].0 - self.logged[kind as usize].0;
            (kind, spent * 1_000 / span.0)
        });
        let shares = shares.collect();
        self.logged_at = now;
        self.logged = self.spent;
        Some(shares)
    }

    /// Returns the time of each kind in microseconds, by metric name.
    pub fn metrics(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        let kinds = WorkKind::ALL.into_iter();
        kinds.map(|kind| (kind.metric_name(), self.spent[kind as usize].0))
    }
}

impl StorageProcess {
    /// Accounts the time since the last call to `kind`.
    pub(super) fn record_work(&mut self, kind: WorkKind) {
        self.work_times.record(kind, steady_now());
    }

    /// Logs the shares of work kinds while this machine leads.
    pub(super) fn log_work_times(&mut self, now: Time) {
        let Some(shares) = self
            .work_times
            .take_shares(now)
            .filter(|_| self.has_leader_session())
        else {
            return;
        };
        let shares = shares
            .iter()
            .map(|(kind, share)| format!("{kind:?}:{share}"));
        log::info!(
            "belief=work per_mille={} open_items={} runs={} engines_used={}",
            shares.collect::<Vec<_>>().join(","),
            self.dispatcher.open_items(),
            self.dispatcher.running(),
            self.directory.tracked().count()
        );
    }
}

#[cfg(test)]
#[path = "../../tests/unit/work_shares.rs"]
mod tests;
