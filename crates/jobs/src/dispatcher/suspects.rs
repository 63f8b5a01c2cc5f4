//! Items under which engines crashed: who may run, and what their runs show.

use peatgrade_fleet::{EngineDirectory, Incarnation};
use peatgrade_ports::Instance;
use peatgrade_quarantine::{Fingerprint, Verdict};
use peatgrade_types::Time;

use super::{Dispatcher, RunId};
use crate::item::{ItemKey, OpenItem};

/// What a run asks of which engine.
#[derive(Clone, Debug)]
pub struct RunRequest {
    /// What is asked for.
    pub fingerprint: Fingerprint,
    /// The engine.
    pub engine: Instance,
    /// The life of it in which the run began.
    pub incarnation: Incarnation,
    /// It has answered that it does not run it.
    pub is_refused: bool,
    /// When the first event came.
    pub first_event_at: Option<Time>,
}

/// What is known of an item, as of a request that engines may crash under.
pub(super) fn verdict_of(item: &OpenItem, directory: &EngineDirectory) -> Verdict {
    // Mostly nothing is known of any, and the fingerprint need not be worked out.
    if directory.quarantine.is_empty() {
        return Verdict::Clear;
    }
    directory.quarantine.verdict(item.fingerprint())
}

/// Whether an item may run. One that ends engines waits until it may be given up, and one
/// that may do so leaves an engine to the others.
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
            let sound = serving.filter(|state| state.is_healthy(now)).count();
            sound > 1 || directory.serving(service).count() == 1
        }
    }
}

impl Dispatcher {
    /// The request that a run makes, and its engine.
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

    /// Breaks off what turned out to end engines: it may still wait there for its turn.
    pub(super) fn end_convicted_runs(&mut self, directory: &mut EngineDirectory) {
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
            self.break_off(&key, directory);
        }
    }
}
