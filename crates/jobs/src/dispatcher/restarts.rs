//! Runs at engines that have started again.

use peatgrade_fleet::EngineDirectory;
use peatgrade_types::{Duration, Time};

use super::Dispatcher;

/// A run that was heard of so recently goes on: it left after the engine's new start,
/// whose news came later. Streams are read up to 150 ms late, and an event or two more
/// belong to that; an engine of a life that is over says nothing for longer, since the
/// next one takes longer to start.
const RECENT_OUTPUT: Duration = Duration::from_millis(300);

impl Dispatcher {
    /// Counts runs for the new life of their engine that go on there. All others of an
    /// ended life are moved at the look that follows; their texts are kept.
    pub(super) fn adopt_runs(&mut self, now: Time, directory: &mut EngineDirectory) {
        if self.lives_ended_seen == directory.lives_ended() {
            return;
        }
        self.lives_ended_seen = directory.lives_ended();
        for run in self.runs.values_mut() {
            let last_output = run.last.unwrap_or(run.started);
            let is_active = now.since(last_output) < RECENT_OUTPUT;
            if !is_active || !directory.is_over(&run.instance, run.life) {
                continue;
            }
            if let Some(life) = directory.adopt_request(&run.instance) {
                log::info!(
                    "decision=keep-run job={} engine={} life={life} events={}",
                    run.key.0,
                    run.instance,
                    run.events
                );
                run.life = life;
            }
        }
    }
}
