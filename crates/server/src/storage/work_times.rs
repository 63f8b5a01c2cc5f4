//! Which kind of work takes the main task's time.
//!
//! One machine leads, on a share of a core, and what it cannot do in time waits: this says
//! which kind of work binds it.

use peatgrade_types::{Duration, Time};

use super::process::StorageProcess;
use crate::clock::steady_now;

/// A kind of work of the main task.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum WorkKind {
    /// Parts of answers of engines: events of texts, orders, reports.
    EngineAnswers,
    /// Messages of other processes.
    Messages,
    /// News of the object store.
    StoreNews,
    /// The replicated log: heartbeats, entries, what is applied of them.
    Replication,
    /// Weight versions and working sets.
    Versions,
    /// Items that wait or run: which of them go where.
    Items,
    /// Requests to engines that this makes, and proposals to the log.
    Requests,
    /// Answers to callers' calls.
    Callers,
    /// What is seen of engines, and news for other machines.
    Publishing,
    /// All that is done now and then.
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

    /// Name of its figure.
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

/// Time between two lines about it.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Time of the main task since the start, by kind of work.
#[derive(Debug, Default)]
pub(super) struct WorkTimes {
    spent: [Duration; WorkKind::ALL.len()],
    /// Up to here all time is counted.
    accounted_until: Time,
    /// When it was told last, and what was spent then.
    logged_at: Time,
    logged: [Duration; WorkKind::ALL.len()],
}

impl WorkTimes {
    /// Work begins: what was before is not counted.
    pub fn start_turn(&mut self, now: Time) {
        self.accounted_until = now;
    }

    /// What was done since then or since the last call was of this kind.
    pub fn record(&mut self, kind: WorkKind, now: Time) {
        let spent = &mut self.spent[kind as usize];
        *spent = *spent + now.since(self.accounted_until);
        self.accounted_until = now;
    }

    /// Thousandths of the time since the last line that went to each kind of work; none
    /// while it is not time for another line.
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

    /// Figures by name, in microseconds.
    pub fn metrics(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        let kinds = WorkKind::ALL.into_iter();
        kinds.map(|kind| (kind.metric_name(), self.spent[kind as usize].0))
    }
}

impl StorageProcess {
    /// Takes note that what was done since the last note was of this kind.
    pub(super) fn record_work(&mut self, kind: WorkKind) {
        self.work_times.record(kind, steady_now());
    }

    /// Tells what the leader's time goes to.
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
#[path = "../../tests/unit/work_times.rs"]
mod tests;
