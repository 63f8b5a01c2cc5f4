//! The leader's part: what gateways tell goes into the log, and each window's usage to
//! the platform once it is decided.

use peatgrade_ports::{UsageReport, UsageReportResponse};
use peatgrade_schema::replication::{CountUsage, CountedBatch, DecideUsage, UsageAck, UsageBatch};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::cluster_clock::ClusterClock;
use crate::counting::{counted, listed};
use crate::ledger::UsageLedger;
use crate::term_history::TermHistory;
use crate::tries::Tries;

/// Time for which batches are gathered into one log entry: at 14 requests a second this
/// makes 4 entries of them a second, with a sync each.
const GATHER: Duration = Duration::from_millis(250);
/// Time after the lead began until the time of day is believed: each gateway tells its
/// own every 2 s, and a median over few may be one of the clocks that were set wrong.
const SETTLE: Duration = Duration::from_millis(2_500);
/// Time after the lead began until the first window is decided: a gateway tells what came
/// meanwhile only once its first batch is acknowledged, which is after [`SETTLE`]. With
/// both at once 49 of 240 requests came too late for their window (real processes, leader
/// killed).
const FIRST_DECISION_AFTER: Duration = Duration::from_millis(3_500);
/// Share of the time until a report is due after which a window is decided, in percent.
/// What gateways that are cut off tell until then counts; the rest must suffice for an
/// election and the wait for the lease of an earlier holder.
const DECIDE_PERCENT: u64 = 50;
/// Share after which a window is decided although counts that came in time are still on
/// their way into the log, in percent.
const DECIDE_ANYWAY_PERCENT: u64 = 80;
/// Time after the lead began until windows are decided whose report is late anyway:
/// gateways tell what they have kept since, 512 starts in each 0.3 s. Without it 2,000
/// requests of 20 windows in which nobody led for long were left out (a soak in which
/// leaders were lost each 2 s for half a minute).
const CATCH_UP_AFTER: Duration = Duration::from_millis(6_000);
/// Windows that are made up for after a time without any leader: ten minutes of 5 s.
const MAX_CATCH_UP: u64 = 120;
/// Least time between two looks at what is due: a leader has hundreds of turns a second,
/// and a look weighs the clocks of all gateways.
const POLL_EVERY: Duration = Duration::from_millis(50);
/// Starts that wait for the log, some 4 MB; a gateway tells again what was not taken.
const MAX_RECEIVED_STARTS: usize = 65_536;
/// The same for batches.
const MAX_RECEIVED: usize = 4_096;
/// Reports under way at once: one without an answer keeps no other waiting. With one at a
/// time, 3 of 10 calls late and 3 of 10 answers lost, 12 of 15 windows were late.
const MAX_CALLS: usize = 4;
/// Wait before a decision that did not come back from the log is proposed again.
const PROPOSE_AGAIN: Duration = Duration::from_millis(1_000);

/// Number under which the own clock counts. Gateways draw theirs at random.
const OWN_CLOCK: u64 = 0;

/// What the reporter is told at its start.
#[derive(Clone, Debug)]
pub struct ReporterSettings {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window until which its report is due.
    pub report_deadline: Duration,
    /// How long an earlier holder's reports keep this one from making any.
    pub lease: Duration,
    /// This machine.
    pub holder: String,
    /// Fencing token.
    pub fence: u64,
}

/// What the reporter wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum UsageAction {
    /// Put counts into the log.
    ProposeCounts(CountUsage),
    /// Put a decision into the log.
    ProposeDecision(DecideUsage),
    /// Put into the log that a window needs no report any more.
    ProposeReported(u64),
    /// Tell a gateway that the log has a batch.
    Acknowledge {
        /// Its address.
        address: String,
        /// The batch.
        ack: UsageAck,
    },
    /// Report to the platform.
    Report(UsageReport),
}

/// Names a batch: life of the gateway, and number.
type BatchKey = (u64, u64);

/// A batch that the log does not have.
#[derive(Debug)]
struct Received {
    address: String,
    at: Time,
    /// None once it was proposed.
    batch: Option<UsageBatch>,
}

/// Brings usage to the log and to the platform, while its machine leads.
#[derive(Debug)]
pub struct UsageReporter {
    settings: ReporterSettings,
    began: Time,
    time: ClusterClock,
    received: BTreeMap<BatchKey, Received>,
    /// Starts of those that were not proposed yet.
    received_starts: usize,
    polled: Time,
    last_gathered: Time,
    /// The decision proposed last, and when.
    proposed: Option<(u64, Time)>,
    /// By window; those that were taken stand here until the log says so.
    tries: BTreeMap<u64, Tries>,
    is_fenced: bool,
}

impl UsageReporter {
    /// A reporter of a machine that leads from now on.
    pub fn new(now: Time, settings: ReporterSettings) -> Self {
        Self {
            settings,
            began: now,
            time: ClusterClock::default(),
            received: BTreeMap::new(),
            received_starts: 0,
            polled: Time(0),
            last_gathered: now,
            proposed: None,
            tries: BTreeMap::new(),
            is_fenced: false,
        }
    }

    /// A gateway tells its counts.
    pub fn on_batch(
        &mut self,
        now: Time,
        address: &str,
        batch: UsageBatch,
        ledger: &UsageLedger,
    ) -> Option<UsageAction> {
        let sent_at = Time(batch.sent_at);
        self.time
            .record_sample(now, batch.meter, sent_at, batch.time_of_day);
        if batch.sequence == 0 {
            return None;
        }
        let key = (batch.meter, batch.sequence);
        if ledger.is_counted(key.0, key.1) {
            return Some(acknowledge(address, key));
        }
        let starts = batch.starts.len();
        let is_full = self.received.len() >= MAX_RECEIVED
            || self.received_starts + starts > MAX_RECEIVED_STARTS;
        if !is_full && !self.received.contains_key(&key) {
            self.received_starts += starts;
            let received = Received {
                address: address.to_string(),
                at: now,
                batch: Some(batch),
            };
            self.received.insert(key, received);
        }
        None
    }

    /// The log has batches; their gateways need not tell them again.
    pub fn on_counted(&mut self, counted: &[BatchKey]) -> Vec<UsageAction> {
        let known = counted
            .iter()
            .filter_map(|key| Some((*key, self.received.remove(key)?)));
        let known = known.map(|(key, received)| acknowledge(&received.address, key));
        known.collect()
    }

    /// What is due. `time_of_day` is this machine's own, in microseconds since 1970.
    pub fn poll(
        &mut self,
        now: Time,
        time_of_day: u64,
        ledger: &UsageLedger,
        terms: &TermHistory,
    ) -> Vec<UsageAction> {
        if now.since(self.polled) < POLL_EVERY {
            return Vec::new();
        }
        self.polled = now;
        self.time.record_sample(now, OWN_CLOCK, now, time_of_day);
        if now.since(self.began) < SETTLE {
            return Vec::new();
        }
        let mut actions: Vec<UsageAction> = self.gather(now).into_iter().collect();
        if self.may_act(now, ledger, terms) {
            actions.extend(self.decide(now, ledger));
            actions.extend(self.report(now, ledger));
        }
        actions
    }

    /// Puts what came since the last time into one entry.
    fn gather(&mut self, now: Time) -> Option<UsageAction> {
        if now.since(self.last_gathered) < GATHER {
            return None;
        }
        self.last_gathered = now;
        self.received_starts = 0;
        let (time, window) = (&self.time, self.settings.window);
        let fresh = self.received.values_mut().filter_map(|r| r.batch.take());
        let batches = fresh.map(|batch| counted(time, window, &batch));
        let batches: Vec<CountedBatch> = batches.collect();
        (!batches.is_empty()).then_some(UsageAction::ProposeCounts(CountUsage { batches }))
    }

    /// Whether calls of this holder come alone: an earlier one may have reported until its
    /// term ended. Leaders in between have reported nothing, or the log would say so: with
    /// two leaders lost within 3 s, a wait from the last change on made a report 0.4 s late.
    fn may_act(&self, now: Time, ledger: &UsageLedger, terms: &TermHistory) -> bool {
        let Some(earlier) = ledger.last_holder() else {
            return !self.is_fenced;
        };
        let ended = terms.first_seen_after(earlier.term).unwrap_or(self.began);
        let is_alone = self.is_holder(ledger) || now.since(ended) >= self.settings.lease;
        !self.is_fenced && is_alone
    }

    /// Whether the log names this machine as the one that reports.
    fn is_holder(&self, ledger: &UsageLedger) -> bool {
        let holder = ledger.last_holder();
        holder.is_some_and(|holder| holder.name == self.settings.holder)
    }

    /// Decides the next window that is over, or takes over what an earlier holder has
    /// decided, before anything of it is reported in this holder's name.
    fn decide(&mut self, now: Time, ledger: &UsageLedger) -> Option<UsageAction> {
        let is_holder = self.is_holder(ledger);
        let is_on_its_way = |(window, at): (u64, Time)| {
            let is_taken = is_holder && ledger.last_decided() >= Some(window);
            !is_taken && now.since(at) < PROPOSE_AGAIN
        };
        if self.proposed.is_some_and(is_on_its_way) {
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
            self.time.machine_count(),
            listed(&counts)
        );
        Some(UsageAction::ProposeDecision(DecideUsage {
            window,
            counts,
            holder: self.settings.holder.clone(),
        }))
    }

    /// The next window to decide, if it is over for long enough.
    fn next_window(&self, now: Time, ledger: &UsageLedger) -> Option<u64> {
        let length = self.settings.window.0.max(1);
        let now_there = self.time.time_of_day_at(now)?;
        let current = now_there / length;
        let next = match ledger.last_decided() {
            Some(last) => last + 1,
            // Nobody has reported yet: from the window on in which this lead began.
            None => {
                let first = self.time.time_of_day_at(self.began)? / length;
                ledger
                    .first_open_window()
                    .map_or(first, |open| open.min(first))
            }
        };
        let next = next.max(current.saturating_sub(MAX_CATCH_UP));
        let share = |percent: u64| Duration(self.settings.report_deadline.0 * percent / 100);
        let age = Duration(now_there.checked_sub((next + 1) * length)?);
        let is_over = age >= share(DECIDE_PERCENT);
        // What came before the window was to be decided must not be left out: the first
        // look of a leader puts counts of several seconds into the log.
        let due = Time(now.0 - (age.0 - share(DECIDE_PERCENT).0.min(age.0)));
        let due = due.max(self.began + FIRST_DECISION_AFTER);
        let is_complete = now >= due && self.received.values().all(|received| received.at > due);
        // Nothing is won by haste any more, and much would be left out.
        if age >= self.settings.report_deadline {
            let has_waited = now.since(self.began) >= CATCH_UP_AFTER;
            return (has_waited && is_complete).then_some(next);
        }
        let is_late = age >= share(DECIDE_ANYWAY_PERCENT);
        (is_over && (is_complete || is_late)).then_some(next)
    }

    /// Reports decided windows, the oldest first, as far as calls may be under way.
    fn report(&mut self, now: Time, ledger: &UsageLedger) -> Vec<UsageAction> {
        if !self.is_holder(ledger) {
            return Vec::new();
        }
        self.tries.retain(|window, _| ledger.is_unreported(*window));
        for (window, tries) in &mut self.tries {
            if tries.give_up_late(now) {
                log_answer(*window, "None", tries.count(), self.settings.fence);
            }
        }
        let under_way = self.tries.values().filter(|tries| tries.is_under_way());
        let room = MAX_CALLS.saturating_sub(under_way.count());
        let mut actions = Vec::new();
        for (window, decided) in ledger.unreported_windows() {
            if actions.len() >= room {
                break;
            }
            let tries = self.tries.entry(window).or_insert(Tries::new(now));
            if !tries.is_due(now) {
                continue;
            }
            if tries.is_spent() {
                log::error!(
                    "decision=give-up-usage window={window} tries={}",
                    tries.count()
                );
                tries.rest(now, PROPOSE_AGAIN);
                actions.push(UsageAction::ProposeReported(window));
                continue;
            }
            tries.begin(now);
            actions.push(UsageAction::Report(UsageReport {
                window,
                counts: decided.by_tenant(),
                holder: self.settings.holder.clone(),
                fence: self.settings.fence,
            }));
        }
        actions
    }

    /// The platform has answered a report, or did not.
    pub fn on_response(
        &mut self,
        now: Time,
        window: u64,
        answer: UsageReportResponse,
    ) -> Option<UsageAction> {
        let tries = self.tries.get_mut(&window)?;
        if !tries.answered() {
            return None;
        }
        let text = format!("{answer:?}");
        log_answer(window, &text, tries.count(), self.settings.fence);
        match answer {
            UsageReportResponse::Taken => {
                tries.rest(now, PROPOSE_AGAIN);
                Some(UsageAction::ProposeReported(window))
            }
            UsageReportResponse::Fenced => {
                // Another machine leads, or did later than this one: never again with
                // this token.
                self.is_fenced = true;
                None
            }
            UsageReportResponse::Unknown => {
                tries.failed(now);
                None
            }
        }
    }
}

fn log_answer(window: u64, answer: &str, tries: u32, fence: u64) {
    log::info!("belief=usage-report window={window} answer={answer} try={tries} fence={fence}");
}

fn acknowledge(address: &str, (meter, sequence): BatchKey) -> UsageAction {
    UsageAction::Acknowledge {
        address: address.to_string(),
        ack: UsageAck { meter, sequence },
    }
}
