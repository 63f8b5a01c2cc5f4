//! Runs at engines that have started again.

use peatgrade_fleet::EngineDirectory;
use peatgrade_types::{Duration, Time};

use super::Dispatcher;

/// A run that was heard of so recently goes on: it left after the engine's new start,
/// whose news came later. Streams are read up to 150 ms late, and an event or two more
/// belong to that; an engine of a life that is over says nothing for longer, since the
/// next one takes longer to start.
const HEARD_LATELY: Duration = Duration::from_millis(300);

impl Dispatcher {
    /// Counts runs for the new life of their engine that go on there. All others of an
    /// ended life are moved at the look that follows; their texts are kept.
    pub(super) fn adopt_runs(&mut self, now: Time, directory: &mut EngineDirectory) {
        if self.lives_seen == directory.ended_incarnations() {
            return;
        }
        self.lives_seen = directory.ended_incarnations();
        for run in self.runs.values_mut() {
            let heard = run.last_event_at.unwrap_or(run.started_at);
            let goes_on = now.since(heard) < HEARD_LATELY;
            if !goes_on || !directory.has_ended(&run.instance, run.incarnation) {
                continue;
            }
            if let Some(life) = directory.adopt_request(&run.instance) {
                log::info!(
                    "decision=keep-run job={} engine={} life={life} events={}",
                    run.key.0,
                    run.instance,
                    run.events
                );
                run.incarnation = life;
            }
        }
    }
}
