//! Items that are suspected of crashing engines.

use peatgrade_fleet::{EngineDirectory, Incarnation};
use peatgrade_ports::Instance;
use peatgrade_quarantine::{Fingerprint, Verdict};
use peatgrade_types::Time;

use super::{Dispatcher, RunId};
use crate::item::{ItemKey, OpenItem};

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

/// Whether an item may start. A convicted item waits until it is given up. A suspected item
/// needs a second healthy engine, so that others can still run if it crashes one, unless the
/// service has a single engine.
pub(super) fn may_start(
    now: Time,
    item: &OpenItem,
    service: &str,
    directory: &EngineDirectory,
) -> bool {
    match verdict_of(item, directory) {
        Verdict::Clear => true,
        Verdict::Convicted { .. } => false,
        Verdict::Suspected { .. } => {
            let serving = directory.serving(service);
            let healthy = serving.filter(|state| state.is_healthy(now)).count();
            healthy > 1 || directory.serving(service).count() == 1
        }
    }
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
            is_refused: head.is_some_and(|head| head.not_run || head.misdirected),
            first_event_at: run.first_event_at,
        })
    }

    /// Cancels runs of convicted items, which may still be queued at an engine.
    pub(super) fn cancel_convicted_runs(&mut self, now: Time, directory: &mut EngineDirectory) {
        if directory.quarantine.is_empty() {
            return;
        }
        let is_convicted = |key: &ItemKey| {
            let verdict = self.items.get(key).map(|item| verdict_of(item, directory));
            matches!(verdict, Some(Verdict::Convicted { .. }))
        };
        let keys = self.runs.values().map(|run| run.key.clone());
        let convicted: Vec<ItemKey> = keys.filter(is_convicted).collect();
        for key in convicted {
            log::info!(
                "decision=hold item={} job={} reason=engines-crash-under-it",
                self.items[&key].item().id,
                key.0
            );
            self.cancel_run(now, &key, directory);
        }
    }
}
