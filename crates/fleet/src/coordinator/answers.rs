//! What engines say to orders and of themselves.

use peatgrade_ports::{EngineReport, Instance, OrderAnswer};
use peatgrade_types::{Duration, Time};

use super::progress::{next_load_time, EngineProgress, Load, Phase, REPORT_LAG};
use super::{OrderOutcome, VersionCoordinator, LOAD_TIMEOUT, NEXT_LOOK, RETRY};
use crate::directory::EngineDirectory;
use crate::incarnation::StartComparison;

impl VersionCoordinator {
    /// Takes the outcome of an order.
    pub fn on_order_outcome(&mut self, now: Time, instance: &Instance, outcome: OrderOutcome) {
        let Some(progress) = self.engines.get_mut(instance) else {
            return;
        };
        if !matches!(progress.phase, Phase::Ordered(_)) {
            return;
        }
        self.has_news = true;
        progress.phase = match outcome {
            OrderOutcome::Answered(OrderAnswer::Started) => {
                progress.orders += 1;
                Phase::Loading(Load {
                    look: now + self.load_time + REPORT_LAG,
                    since: now,
                    seen_busy: None,
                })
            }
            OrderOutcome::Answered(OrderAnswer::Fenced) => {
                self.fenced = true;
                Phase::Pause(now + RETRY)
            }
            // The count may have risen, or the version is there already.
            OrderOutcome::Answered(_) => Phase::Unseen,
            OrderOutcome::NotSent => Phase::Pause(now + RETRY),
            OrderOutcome::Unknown => Phase::Pause(now + RETRY),
        };
    }

    /// Takes a report, or the lack of one.
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
        self.has_news = true;
        let told = report.map(|report| directory.record_report(now, instance, report));
        let Some(report) = report.filter(|_| told != Some(StartComparison::Earlier)) else {
            progress.phase = Phase::Pause(now + RETRY);
            return;
        };
        if let Some(life) = directory.incarnation(instance) {
            if progress.life != life {
                *progress = EngineProgress::unseen(life);
                progress.phase = Phase::Asked(now);
            }
        }
        if report.orders < progress.orders && !report.busy {
            // The report is older than the last order, or the engine is new.
            if let Phase::Loading(load) = &mut progress.phase {
                if now.since(load.since) < Duration(LOAD_TIMEOUT.0 / 4) {
                    load.look = now + NEXT_LOOK;
                    return;
                }
            }
        }
        progress.orders = report.orders;
        progress.phase = match progress.phase {
            Phase::Loading(load) if report.busy => Phase::Loading(Load {
                look: now + NEXT_LOOK,
                seen_busy: Some(now),
                ..load
            }),
            Phase::Asked(_) if report.busy => Phase::Pause(now + RETRY),
            Phase::Loading(load) => {
                self.load_time = next_load_time(now, self.load_time, &load);
                Phase::Idle
            }
            _ => Phase::Idle,
        };
    }
}
