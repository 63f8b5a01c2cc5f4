//! Usage reporting at the leader: proposes received counts to the log, decides windows and
//! reports decided windows to the platform.

use peatgrade_ports::{UsageReport, UsageReportResponse};
use peatgrade_schema::replication::{CountUsage, CountedBatch, DecideUsage, UsageAck, UsageBatch};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::cluster_clock::ClusterClock;
use crate::counting::{aggregate_batch, format_counts};
use crate::ledger::UsageLedger;
use crate::report_attempts::ReportAttempts;
use crate::term_history::TermHistory;

/// Interval at which received batches are proposed as one log entry.
const BATCHING_INTERVAL: Duration = Duration::from_millis(250);
/// Time after becoming leader during which clock samples are collected. A median over few
/// machines might follow a clock that is wrong.
const CLOCK_WARMUP: Duration = Duration::from_millis(2_500);
/// Time after becoming leader before the first window is decided. A gateway sends its remaining
/// starts only after its first batch is acknowledged, i.e. after [`CLOCK_WARMUP`]. With both at the same
/// time, a fifth of the starts before a leader was killed came too late for their window.
const FIRST_DECISION_DELAY: Duration = Duration::from_millis(3_500);
/// Percentage of the report deadline after which a window is decided. Later values include
/// more counts of gateways that were disconnected; the remaining time must suffice for an
/// election and the expiry of the previous reporter's lease.
const DECISION_PERCENT: u64 = 50;
/// Percentage of the report deadline after which a window is decided even if counts that
/// were received in time are not yet committed.
const FORCED_DECISION_PERCENT: u64 = 80;
/// Time after becoming leader before windows past their report deadline are decided. Gateways need
/// it to send the starts queued while there was no leader. They send 512 starts every 0.3 s.
const CATCH_UP_DELAY: Duration = Duration::from_millis(6_000);
/// Maximum number of past windows that are decided after a period without a leader.
const MAX_CATCH_UP_WINDOWS: u64 = 120;
/// Minimum interval between polls. Each poll computes a median over all clocks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of starts that wait to be proposed. Batches beyond it are ignored; their
/// gateways resend them.
const MAX_RECEIVED_STARTS: usize = 65_536;
/// Maximum number of batches that wait to be committed.
const MAX_RECEIVED_BATCHES: usize = 4_096;
/// Maximum number of concurrent reports, so that a lost response does not delay the reports of
/// other windows. With one at a time, a lost response delays most windows while calls are slow.
const MAX_CONCURRENT_REPORTS: usize = 4;
/// Time after which a proposal that was not committed is proposed again.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Machine id of the local clock. Gateways use random meter ids.
const LOCAL_MACHINE: u64 = 0;

/// Settings of a [`UsageReporter`].
#[derive(Clone, Debug)]
pub struct ReporterSettings {
    /// Length of an accounting window.
    pub window: Duration,
    /// Time after the end of a window within which its report is due.
    pub report_deadline: Duration,
    /// Time after the end of another reporter's term during which this one sends no reports.
    pub lease: Duration,
    /// Name of this machine.
    pub holder: String,
    /// Fencing token of this machine: its term as leader.
    pub fence: u64,
}

/// Action requested by the reporter.
#[derive(Clone, Debug, PartialEq)]
pub enum UsageAction {
    /// Propose counts to the log.
    ProposeCounts(CountUsage),
    /// Propose the report contents of a window to the log.
    ProposeDecision(DecideUsage),
    /// Propose to mark a window as reported or given up.
    ProposeReported(u64),
    /// Acknowledge a committed batch to its gateway.
    Acknowledge {
        /// Address of the gateway.
        address: String,
        /// Identifies the batch.
        ack: UsageAck,
    },
    /// Send a report to the platform.
    Report(UsageReport),
}

/// Identifies a batch: meter id and sequence number.
type BatchKey = (u64, u64);

/// A received batch that is not committed.
#[derive(Debug)]
struct ReceivedBatch {
    address: String,
    received_at: Time,
    /// `None` once proposed.
    batch: Option<UsageBatch>,
}

/// Decides and reports usage while this machine is the leader.
#[derive(Debug)]
pub struct UsageReporter {
    settings: ReporterSettings,
    leader_since: Time,
    clock: ClusterClock,
    received: BTreeMap<BatchKey, ReceivedBatch>,
    /// Number of starts in batches that are not yet proposed.
    received_starts: usize,
    last_poll: Time,
    last_proposal: Time,
    /// Window of the last proposed decision and time of the proposal.
    proposed: Option<(u64, Time)>,
    /// Report attempts by window; removed once the window is marked as reported in the log.
    attempts: BTreeMap<u64, ReportAttempts>,
    is_fenced: bool,
}

impl UsageReporter {
    /// Creates the reporter of a machine that has just become leader.
    pub fn new(now: Time, settings: ReporterSettings) -> Self {
        Self {
            settings,
            leader_since: now,
            clock: ClusterClock::default(),
            received: BTreeMap::new(),
            received_starts: 0,
            last_poll: Time(0),
            last_proposal: now,
            proposed: None,
            attempts: BTreeMap::new(),
            is_fenced: false,
        }
    }

    /// Handles a batch from a gateway.
    pub fn on_batch(
        &mut self,
        now: Time,
        address: &str,
        batch: UsageBatch,
        ledger: &UsageLedger,
    ) -> Option<UsageAction> {
        let sent_at = Time(batch.sent_at);
        self.clock
            .record_sample(now, batch.meter, sent_at, batch.time_of_day);
        if batch.sequence == 0 {
            return None;
        }
        let key = (batch.meter, batch.sequence);
        if ledger.is_counted(key.0, key.1) {
            return Some(acknowledge(address, key));
        }
        let starts = batch.starts.len();
        let is_full = self.received.len() >= MAX_RECEIVED_BATCHES
            || self.received_starts + starts > MAX_RECEIVED_STARTS;
        if !is_full && !self.received.contains_key(&key) {
            self.received_starts += starts;
            let received = ReceivedBatch {
                address: address.to_string(),
                received_at: now,
                batch: Some(batch),
            };
            self.received.insert(key, received);
        }
        None
    }

    /// Handles batches that were committed to the log: acknowledges them to their gateways.
    pub fn on_counted(&mut self, counted: &[BatchKey]) -> Vec<UsageAction> {
        let received = counted
            .iter()
            .filter_map(|key| Some((*key, self.received.remove(key)?)));
        let acks = received.map(|(key, batch)| acknowledge(&batch.address, key));
        acks.collect()
    }

    /// Returns the actions that are due. `time_of_day` is this machine's, in microseconds
    /// since the Unix epoch.
    pub fn poll(
        &mut self,
        now: Time,
        time_of_day: u64,
        ledger: &UsageLedger,
        terms: &TermHistory,
    ) -> Vec<UsageAction> {
        if now.since(self.last_poll) < POLL_INTERVAL {
            return Vec::new();
        }
        self.last_poll = now;
        self.clock
            .record_sample(now, LOCAL_MACHINE, now, time_of_day);
        if now.since(self.leader_since) < CLOCK_WARMUP {
            return Vec::new();
        }
        let mut actions: Vec<UsageAction> = self.propose_counts(now).into_iter().collect();
        if self.may_act(now, ledger, terms) {
            actions.extend(self.decide(now, ledger));
            actions.extend(self.report(now, ledger));
        }
        actions
    }

    /// Proposes the batches received since the last proposal as one entry.
    fn propose_counts(&mut self, now: Time) -> Option<UsageAction> {
        if now.since(self.last_proposal) < BATCHING_INTERVAL {
            return None;
        }
        self.last_proposal = now;
        self.received_starts = 0;
        let (clock, window) = (&self.clock, self.settings.window);
        let unproposed = self.received.values_mut().filter_map(|r| r.batch.take());
        let batches = unproposed.map(|batch| aggregate_batch(clock, window, &batch));
        let batches: Vec<CountedBatch> = batches.collect();
        (!batches.is_empty()).then_some(UsageAction::ProposeCounts(CountUsage { batches }))
    }

    /// Whether this machine may decide and report: no report of the previous holder can still
    /// arrive. The lease is counted from the end of that holder's own term; leaders in between
    /// have not reported, as the log would name them as holders.
    fn may_act(&self, now: Time, ledger: &UsageLedger, terms: &TermHistory) -> bool {
        let Some(previous) = ledger.last_holder() else {
            return !self.is_fenced;
        };
        let ended = terms
            .first_seen_after(previous.term)
            .unwrap_or(self.leader_since);
        let is_exclusive = self.is_holder(ledger) || now.since(ended) >= self.settings.lease;
        !self.is_fenced && is_exclusive
    }

    /// Whether this machine is the current holder according to the log.
    fn is_holder(&self, ledger: &UsageLedger) -> bool {
        let holder = ledger.last_holder();
        holder.is_some_and(|holder| holder.name == self.settings.holder)
    }

    /// Proposes a decision on the next window, or takes over the unreported decisions of the
    /// previous holder by proposing one of them again, before this machine reports.
    fn decide(&mut self, now: Time, ledger: &UsageLedger) -> Option<UsageAction> {
        let is_holder = self.is_holder(ledger);
        let is_in_flight = |(window, at): (u64, Time)| {
            let is_committed = is_holder && ledger.last_decided() >= Some(window);
            !is_committed && now.since(at) < PROPOSAL_RETRY_INTERVAL
        };
        if self.proposed.is_some_and(is_in_flight) {
            return None;
        }
        let decision = match ledger.first_unreported() {
            Some((window, decided)) if !is_holder => (window, decided.counts.clone()),
            _ => {
                let window = self.next_window(now, ledger)?;
                (window, ledger.counts(window))
            }
        };
        let (window, counts) = decision;
        self.proposed = Some((window, now));
        log::info!(
            "decision=usage window={window} tenants={} requests={} holder={} fence={} machines_told_time={} counts={}",
            counts.len(),
            counts.iter().map(|count| count.requests).sum::<u64>(),
            self.settings.holder,
            self.settings.fence,
            self.clock.machine_count(),
            format_counts(&counts)
        );
        Some(UsageAction::ProposeDecision(DecideUsage {
            window,
            counts,
            holder: self.settings.holder.clone(),
        }))
    }

    /// Returns the next window to decide, if one is due.
    fn next_window(&self, now: Time, ledger: &UsageLedger) -> Option<u64> {
        let length = self.settings.window.0.max(1);
        let time_of_day = self.clock.time_of_day_at(now)?;
        let current = time_of_day / length;
        let next = match ledger.last_decided() {
            Some(last) => last + 1,
            // Nothing is decided yet: starts at the window in which this machine became leader.
            None => {
                let first = self.clock.time_of_day_at(self.leader_since)? / length;
                ledger
                    .first_open_window()
                    .map_or(first, |open| open.min(first))
            }
        };
        let next = next.max(current.saturating_sub(MAX_CATCH_UP_WINDOWS));
        let percent_of_deadline =
            |percent: u64| Duration(self.settings.report_deadline.0 * percent / 100);
        let age = Duration(time_of_day.checked_sub((next + 1) * length)?);
        let is_due = age >= percent_of_deadline(DECISION_PERCENT);
        // Counts received before the decision was due must be committed first. The first
        // proposal of a new leader holds the counts of several seconds.
        let due_at = Time(now.0 - (age.0 - percent_of_deadline(DECISION_PERCENT).0.min(age.0)));
        let due_at = due_at.max(self.leader_since + FIRST_DECISION_DELAY);
        let is_complete = now >= due_at
            && self
                .received
                .values()
                .all(|batch| batch.received_at > due_at);
        // The report is late in any case, so waits for starts that gateways have queued.
        if age >= self.settings.report_deadline {
            let has_waited = now.since(self.leader_since) >= CATCH_UP_DELAY;
            return (has_waited && is_complete).then_some(next);
        }
        let is_forced = age >= percent_of_deadline(FORCED_DECISION_PERCENT);
        (is_due && (is_complete || is_forced)).then_some(next)
    }

    /// Sends reports of decided windows, oldest first, up to the limit of concurrent ones.
    fn report(&mut self, now: Time, ledger: &UsageLedger) -> Vec<UsageAction> {
        if !self.is_holder(ledger) {
            return Vec::new();
        }
        self.attempts
            .retain(|window, _| ledger.is_unreported(*window));
        for (window, attempts) in &mut self.attempts {
            if attempts.expire(now) {
                log_response(*window, "None", attempts.count(), self.settings.fence);
            }
        }
        let pending = self
            .attempts
            .values()
            .filter(|attempts| attempts.is_pending());
        let available = MAX_CONCURRENT_REPORTS.saturating_sub(pending.count());
        let mut actions = Vec::new();
        for (window, decided) in ledger.unreported_windows() {
            if actions.len() >= available {
                break;
            }
            let attempts = self
                .attempts
                .entry(window)
                .or_insert(ReportAttempts::new(now));
            if !attempts.is_due(now) {
                continue;
            }
            if attempts.is_exhausted() {
                log::error!(
                    "decision=give-up-usage window={window} tries={}",
                    attempts.count()
                );
                attempts.delay(now, PROPOSAL_RETRY_INTERVAL);
                actions.push(UsageAction::ProposeReported(window));
                continue;
            }
            attempts.start(now);
            actions.push(UsageAction::Report(UsageReport {
                window,
                counts: decided.by_tenant(),
                holder: self.settings.holder.clone(),
                fence: self.settings.fence,
            }));
        }
        actions
    }

    /// Handles the response to a report, or its failure.
    pub fn on_response(
        &mut self,
        now: Time,
        window: u64,
        answer: UsageReportResponse,
    ) -> Option<UsageAction> {
        let attempts = self.attempts.get_mut(&window)?;
        if !attempts.on_response() {
            return None;
        }
        let text = format!("{answer:?}");
        log_response(window, &text, attempts.count(), self.settings.fence);
        match answer {
            UsageReportResponse::Taken => {
                attempts.delay(now, PROPOSAL_RETRY_INTERVAL);
                Some(UsageAction::ProposeReported(window))
            }
            UsageReportResponse::Fenced => {
                // A later leader has reported, so every further report with this token
                // would be rejected.
                self.is_fenced = true;
                None
            }
            UsageReportResponse::Unknown => {
                attempts.on_failure(now);
                None
            }
        }
    }
}

fn log_response(window: u64, response: &str, attempt: u32, fence: u64) {
    log::info!("belief=usage-report window={window} answer={response} try={attempt} fence={fence}");
}

fn acknowledge(address: &str, (meter, sequence): BatchKey) -> UsageAction {
    UsageAction::Acknowledge {
        address: address.to_string(),
        ack: UsageAck { meter, sequence },
    }
}
