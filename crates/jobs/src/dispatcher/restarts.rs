//! Handling of runs on engines that have restarted.

use peatgrade_fleet::EngineDirectory;
use peatgrade_types::{Duration, Time};

use super::Dispatcher;

/// A run with output this recent belongs to the current incarnation of its engine: it was started
/// after the restart, but before the restart was reported. Longer than the delay of stream reads,
/// and shorter than an engine restart.
const RECENT_OUTPUT: Duration = Duration::from_millis(300);

impl Dispatcher {
    /// Assigns runs that are still active to the new incarnation of their engine. Other runs of
    /// ended incarnations are moved by the following check; their texts are kept.
    pub(super) fn adopt_runs(&mut self, now: Time, directory: &mut EngineDirectory) {
        if self.ended_incarnations_seen == directory.ended_incarnations() {
            return;
        }
        self.ended_incarnations_seen = directory.ended_incarnations();
        for run in self.runs.values_mut() {
            let last_output = run.last_event_at.unwrap_or(run.started_at);
            let is_active = now.since(last_output) < RECENT_OUTPUT;
            if !is_active || !directory.has_ended(&run.instance, run.incarnation) {
                continue;
            }
            if let Some(incarnation) = directory.adopt_request(&run.instance) {
                log::info!(
                    "decision=keep-run job={} engine={} life={incarnation} events={}",
                    run.key.0,
                    run.instance,
                    run.events
                );
                run.incarnation = incarnation;
            }
        }
    }
}
