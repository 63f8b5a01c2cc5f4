//! Detects main loop delays that endanger this machine's leadership.

use peatgrade_replication::Role;
use peatgrade_types::{Duration as Span, Time};

use super::process::StorageProcess;

/// Two heartbeat intervals of the replicated log.
const HEARTBEAT_WARN_DELAY: Span = Span::from_millis(90);

impl StorageProcess {
    /// Records how late the leader's heartbeat is. Followers start an election after 220 ms
    /// without one.
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

    /// Records an iteration's duration and logs an iteration that delayed heartbeats.
    pub(super) fn record_iteration(&mut self, now: Time) {
        let Some(took) = self.iteration_monitor.end(now, &self.metrics) else {
            return;
        };
        self.metrics.count("slow_turn");
        let work = self.iteration_monitor.work;
        log::warn!(
            "step=slow-turn turn_ms={} sync_ms={} leads={} inputs={} started={} cancelled={} applied={} open_items={} routes={}",
            took.as_millis(),
            work.synced.as_millis(),
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
