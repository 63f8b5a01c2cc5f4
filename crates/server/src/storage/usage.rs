//! Metering of tenants: batches from gateways, the replicated ledger and usage reports.

use peatgrade_jobs::UsageCommand;
use peatgrade_metering::{ReporterSettings, TermHistory, UsageAction, UsageLedger, UsageReporter};
use peatgrade_ports::{UsageReport, UsageReportResponse};
use peatgrade_schema::replication::mod_JobCommand::OneOfbody as CommandBody;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{UsageBatch, UsageReported};
use peatgrade_types::{Duration, Time};

use crate::clock::wall_micros;

use super::engine_exchanges::EngineExchange;
use super::process::StorageProcess;

/// Margin added to the lease of a previous leader's reports, for clock differences and calls
/// in flight.
const REPORT_LEASE_MARGIN: Duration = Duration::from_millis(400);

/// Usage state of a replica.
#[derive(Debug, Default)]
pub(super) struct Usage {
    pub ledger: UsageLedger,
    /// Terms that this machine has observed.
    pub terms: TermHistory,
    /// Present on the leader if usage reporting is enabled.
    reporter: Option<UsageReporter>,
}

impl StorageProcess {
    /// Starts usage reporting if it is enabled.
    pub(super) fn start_usage_reporting(&mut self, now: Time) {
        let settings = &self.settings;
        if settings.usage_window_ms == 0 {
            return;
        }
        let settings = ReporterSettings {
            window: Duration::from_millis(settings.usage_window_ms),
            report_deadline: Duration::from_millis(settings.usage_late_ms),
            lease: Duration::from_millis(settings.order_lease_ms) + REPORT_LEASE_MARGIN,
            holder: settings.name.clone(),
            fence: self.replica.term(),
        };
        self.usage.reporter = Some(UsageReporter::new(now, settings));
    }

    pub(super) fn stop_usage_reporting(&mut self) {
        self.usage.reporter = None;
    }

    pub(super) fn on_usage_batch(&mut self, now: Time, address: &str, batch: UsageBatch) {
        let ledger = &self.usage.ledger;
        // Followers do not acknowledge batches; the gateway resends them to the leader.
        let reporter = self.usage.reporter.as_mut();
        let action = reporter.and_then(|reporter| reporter.on_batch(now, address, batch, ledger));
        self.execute_usage_actions(now, action);
    }

    pub(super) fn on_usage_command(
        &mut self,
        now: Time,
        index: u64,
        term: u64,
        command: UsageCommand,
    ) {
        let ledger = &mut self.usage.ledger;
        match command {
            UsageCommand::Decide(decision) => ledger.apply_decision(index, term, decision),
            UsageCommand::Reported(window) => ledger.mark_reported(window),
            UsageCommand::Count(counted) => {
                let batches = counted.batches.iter();
                let keys: Vec<_> = batches.map(|b| (b.meter, b.sequence)).collect();
                ledger.apply_batches(now, index, counted);
                let reporter = self.usage.reporter.as_mut();
                let actions = reporter.map_or(Vec::new(), |reporter| reporter.on_counted(&keys));
                self.execute_usage_actions(now, actions);
            }
        }
    }

    /// Proposes counted usage to the log and sends due reports.
    pub(super) fn report_usage(&mut self, now: Time) {
        let (ledger, terms) = (&self.usage.ledger, &self.usage.terms);
        let reporter = self.usage.reporter.as_mut();
        let actions = reporter.map(|reporter| reporter.poll(now, wall_micros(), ledger, terms));
        self.execute_usage_actions(now, actions.unwrap_or_default());
    }

    fn execute_usage_actions(&mut self, now: Time, actions: impl IntoIterator<Item = UsageAction>) {
        for action in actions {
            match action {
                UsageAction::ProposeCounts(counted) => {
                    self.propose(now, CommandBody::count_usage(counted));
                }
                UsageAction::ProposeDecision(decision) => {
                    self.propose(now, CommandBody::decide_usage(decision));
                }
                UsageAction::ProposeReported(window) => {
                    let reported = UsageReported { window };
                    self.propose(now, CommandBody::usage_reported(reported));
                }
                UsageAction::Acknowledge { address, ack } => {
                    self.reply_best_effort(&address, OneOfbody::usage_ack(ack));
                }
                UsageAction::Report(report) => self.send_usage_report(now, &report),
            }
        }
    }

    /// Sends a report if this machine still leads: the process may have been paused.
    fn send_usage_report(&mut self, now: Time, report: &UsageReport) {
        if !self.replica.can_serve(now) {
            return self.on_usage_report_response(now, report.window, UsageReportResponse::Unknown);
        }
        self.metrics.count("usage_report");
        let request = self.codec.usage_request(report);
        let address = self.settings.duty_address.clone();
        let exchange = EngineExchange::UsageReport(report.window, 0);
        self.send_request(exchange, &address, request);
    }

    pub(super) fn on_usage_report_response(
        &mut self,
        now: Time,
        window: u64,
        response: UsageReportResponse,
    ) {
        let reporter = self.usage.reporter.as_mut();
        let action = reporter.and_then(|reporter| reporter.on_response(now, window, response));
        self.execute_usage_actions(now, action);
    }
}
