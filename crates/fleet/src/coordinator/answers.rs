//! Handling of order outcomes and engine reports.

use peatgrade_ports::{EngineReport, Instance, OrderResponse};
use peatgrade_types::{Duration, Time};

use super::progress::{next_load_time, EngineProgress, Load, Phase, REPORT_LAG};
use super::{OrderOutcome, VersionCoordinator, CHECK_INTERVAL, LOAD_TIMEOUT, RETRY_DELAY};
use crate::directory::EngineDirectory;
use crate::incarnation::StartComparison;

impl VersionCoordinator {
    /// Handles the outcome of an order.
    pub fn on_order_outcome(&mut self, now: Time, instance: &Instance, outcome: OrderOutcome) {
        let Some(progress) = self.engines.get_mut(instance) else {
            return;
        };
        if !matches!(progress.phase, Phase::Ordered(_)) {
            return;
        }
        self.has_changes = true;
        progress.phase = match outcome {
            OrderOutcome::Answered(OrderResponse::Started) => {
                progress.orders += 1;
                Phase::Loading(Load {
                    next_check: now + self.load_time + REPORT_LAG,
                    since: now,
                    last_seen_busy: None,
                })
            }
            OrderOutcome::Answered(OrderResponse::Fenced) => {
                self.fenced = true;
                Phase::BackingOff(now + RETRY_DELAY)
            }
            // The order count may have increased, or the version is loaded already.
            OrderOutcome::Answered(_) => Phase::Unknown,
            OrderOutcome::NotSent => Phase::BackingOff(now + RETRY_DELAY),
            OrderOutcome::Unknown => Phase::BackingOff(now + RETRY_DELAY),
        };
    }

    /// Handles a report; `None` if the engine did not send one.
    pub fn on_report(
        &mut self,
        now: Time,
        instance: &Instance,
        report: Option<&EngineReport>,
        directory: &mut EngineDirectory,
    ) {
        let Some(progress) = self.engines.get_mut(instance) else {
            return;
        };
        self.has_changes = true;
        let comparison = report.map(|report| directory.record_report(now, instance, report));
        let Some(report) = report.filter(|_| comparison != Some(StartComparison::Earlier)) else {
            progress.phase = Phase::BackingOff(now + RETRY_DELAY);
            return;
        };
        if let Some(incarnation) = directory.incarnation(instance) {
            if progress.incarnation != incarnation {
                *progress = EngineProgress::unknown(incarnation);
                progress.phase = Phase::ReportRequested(now);
            }
        }
        if report.orders < progress.orders && !report.busy {
            // The report is older than the last order, or the engine has restarted.
            if let Phase::Loading(load) = &mut progress.phase {
                if now.since(load.since) < Duration(LOAD_TIMEOUT.0 / 4) {
                    load.next_check = now + CHECK_INTERVAL;
                    return;
                }
            }
        }
        progress.orders = report.orders;
        progress.phase = match progress.phase {
            Phase::Loading(load) if report.busy => Phase::Loading(Load {
                next_check: now + CHECK_INTERVAL,
                last_seen_busy: Some(now),
                ..load
            }),
            Phase::ReportRequested(_) if report.busy => Phase::BackingOff(now + RETRY_DELAY),
            Phase::Loading(load) => {
                self.load_time = next_load_time(now, self.load_time, &load);
                Phase::Idle
            }
            _ => Phase::Idle,
        };
    }
}
