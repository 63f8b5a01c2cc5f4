//! Items that are suspected of crashing engines.

use peatgrade_fleet::{EngineDirectory, Incarnation};
use peatgrade_ports::Instance;
use peatgrade_quarantine::{Fingerprint, Verdict};
use peatgrade_types::{Duration, Time};

use super::{Dispatcher, RunId};
use crate::item::OpenItem;

/// Crashes from which on a request is kept from the last healthy engine of its service.
const MIN_SUSPICIOUS_CRASHES: usize = 2;
/// Crashes from which on retries are delayed longer with each one.
const MIN_CONVICTING_CRASHES: usize = 3;
/// Minimum delay of a retry after a conviction.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Upper bound of the time for which a request is kept from engines that could run it.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(2_000);

/// The request that a run sends, and the engine it runs on.
#[derive(Clone, Debug)]
pub struct RunRequest {
    pub fingerprint: Fingerprint,
    pub engine: Instance,
    /// Incarnation of the engine when the run began.
    pub incarnation: Incarnation,
    /// Whether the engine refused the request.
    pub is_refused: bool,
    pub first_event_at: Option<Time>,
}

/// Returns the quarantine verdict on an item.
pub(super) fn verdict_of(item: &OpenItem, directory: &EngineDirectory) -> Verdict {
    // Avoids computing the fingerprint in the common case.
    if directory.quarantine.is_empty() {
        return Verdict::Clear;
    }
    directory.quarantine.verdict(item.fingerprint())
}

/// Whether an item may start. An accepted item runs until it completes or is given up: engines
/// may have crashed by themselves, which only another run can show. In case the item does crash
/// engines, it is retried less often with each crash, and not on the last healthy engine of
/// several unless that would delay it for too long.
pub(super) fn may_start(
    now: Time,
    item: &OpenItem,
    service: &str,
    directory: &EngineDirectory,
) -> bool {
    // Avoids computing the fingerprint in the common case.
    if directory.quarantine.is_empty() {
        return true;
    }
    let request = item.fingerprint();
    let Some(crashes) = RecentCrashes::of(now, request, directory) else {
        return true;
    };
    let needs_spare = crashes.isolated >= MIN_SUSPICIOUS_CRASHES;
    crashes.age >= MAX_RETRY_DELAY
        || crashes.is_retry_due() && (!needs_spare || has_spare_engine(now, service, directory))
}

/// Whether enough time has passed since an engine last crashed while running a request.
pub(super) fn is_retry_due(now: Time, request: Fingerprint, directory: &EngineDirectory) -> bool {
    let crashes = RecentCrashes::of(now, request, directory);
    crashes.is_none_or(|crashes| crashes.is_retry_due())
}

/// Crashes that count against a request.
struct RecentCrashes {
    /// Time since the last one.
    age: Duration,
    is_convicted: bool,
    /// Number of those at about whose time no other engine crashed.
    isolated: usize,
}

impl RecentCrashes {
    /// Returns `None` if no crash counts against the request.
    fn of(now: Time, request: Fingerprint, directory: &EngineDirectory) -> Option<Self> {
        let quarantine = &directory.quarantine;
        let last_crash = quarantine.last_crash(request)?;
        let verdict = quarantine.verdict(request);
        (verdict != Verdict::Clear).then(|| Self {
            age: now.since(last_crash),
            is_convicted: matches!(verdict, Verdict::Convicted { .. }),
            isolated: quarantine.isolated_crashes(request),
        })
    }

    fn is_retry_due(&self) -> bool {
        self.age >= self.retry_delay()
    }

    /// Minimum time from the last crash to the next run. Crashes at about whose time other
    /// engines crashed too do not increase it.
    fn retry_delay(&self) -> Duration {
        if !self.is_convicted {
            return Duration(0);
        }
        let doublings = self.isolated.saturating_sub(MIN_CONVICTING_CRASHES).min(8);
        Duration(INITIAL_RETRY_DELAY.0 << doublings).min(MAX_RETRY_DELAY)
    }
}

/// Whether other engines of a service can run requests if one crashes, or none could anyway.
fn has_spare_engine(now: Time, service: &str, directory: &EngineDirectory) -> bool {
    let serving = directory.serving(service);
    let healthy = serving.filter(|state| state.is_healthy(now)).count();
    healthy > 1 || directory.serving(service).count() == 1
}

impl Dispatcher {
    /// Returns the request of a run and its engine.
    pub fn run_request(&self, run: RunId) -> Option<RunRequest> {
        let run = self.runs.get(&run)?;
        let item = self.items.get(&run.key)?;
        let head = run.head.as_ref();
        Some(RunRequest {
            fingerprint: item.fingerprint(),
            engine: run.instance.clone(),
            incarnation: run.incarnation,
            is_refused: head.is_some_and(|head| head.is_refusal()),
            first_event_at: run.first_event_at,
        })
    }
}
