//! Tells when this machine is busy for longer than others wait for it.

use peatgrade_replication::Role;
use peatgrade_types::{Duration as Span, Time};

use super::process::StorageProcess;

/// Two times the heartbeat interval of the log (45 ms).
const HEARTBEAT_WARN_DELAY: Span = Span::from_millis(90);

impl StorageProcess {
    /// Measures how late a leader's heartbeat is: others take it for lost after 220 ms
    /// without one, whatever kept it from sending.
    pub(super) fn record_heartbeat_delay(&self, now: Time) {
        if self.replica.role() != Role::Leader {
            return;
        }
        let late = now.since(self.replica.next_tick());
        self.metrics
            .heartbeat_delay_seconds
            .observe(late.as_secs_f64());
        if late >= HEARTBEAT_WARN_DELAY {
            log::warn!("step=late-heartbeat late_ms={}", late.as_millis());
        }
    }

    /// Names a turn that kept heartbeats waiting.
    pub(super) fn record_turn(&mut self, now: Time) {
        let Some(took) = self.turns.end(now, &self.metrics) else {
            return;
        };
        self.metrics.count("slow_turn");
        let work = self.turns.work;
        log::warn!(
            "step=slow-turn turn_ms={} leads={} inputs={} started={} cancelled={} applied={} open_items={} routes={}",
            took.as_millis(),
            self.has_leader_session(),
            work.inputs,
            work.started,
            work.cancelled,
            work.applied,
            self.dispatcher.open_items(),
            self.configuration.routes.len()
        );
    }
}
