//! Usage of tenants: what gateways tell, what the log says, what is reported.

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

/// Beyond the lease of an earlier holder's reports: a machine's clock and its last call
/// on the way.
const REPORT_LEASE_MARGIN: Duration = Duration::from_millis(400);

/// Usage at one replica.
#[derive(Debug, Default)]
pub(super) struct Usage {
    pub ledger: UsageLedger,
    /// Terms of the group that this machine has seen.
    pub terms: TermHistory,
    /// While this machine leads, where usage is reported.
    reporter: Option<UsageReporter>,
}

impl StorageProcess {
    /// Takes up the duty to report, if there is one.
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
        // One that does not lead says nothing: the gateway tells it again, to the leader.
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

    /// The leader's work: counts into the log, and reports that are due.
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

    /// Sends a report, if this machine still leads: it may have stood still since.
    fn send_usage_report(&mut self, now: Time, report: &UsageReport) {
        if !self.replica.can_serve(now) {
            return self.on_usage_report_answer(now, report.window, UsageReportResponse::Unknown);
        }
        self.metrics.count("usage_report");
        let request = self.codec.usage_request(report);
        let address = self.settings.duty_address.clone();
        let exchange = EngineExchange::UsageReport(report.window, 0);
        self.send_request(exchange, &address, request);
    }

    pub(super) fn on_usage_report_answer(
        &mut self,
        now: Time,
        window: u64,
        answer: UsageReportResponse,
    ) {
        let reporter = self.usage.reporter.as_mut();
        let action = reporter.and_then(|reporter| reporter.on_response(now, window, answer));
        self.execute_usage_actions(now, action);
    }
}
