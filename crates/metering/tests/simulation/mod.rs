//! Simulation of gateways, changing leaders, the replicated log and the platform on a virtual
//! clock.

mod platform;

use peatgrade_metering::{
    Meter, ReporterSettings, TermHistory, UsageAction, UsageLedger, UsageReporter,
};
use peatgrade_ports::UsageReportResponse;
use peatgrade_schema::replication::{CountUsage, DecideUsage, UsageAck, UsageBatch};
use peatgrade_types::{Duration, Time};
use platform::Platform;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

pub const WINDOW: Duration = Duration::from_secs(5);
pub const REPORT_DEADLINE: Duration = Duration::from_secs(10);
pub const LEASE: Duration = Duration::from_millis(3_000);
const GATEWAYS: u64 = 12;
const MACHINES: u64 = 5;
const TICK: Duration = Duration::from_millis(15);
/// Minimum distance of a request from the boundaries of its window. Exceeds the error that
/// network delay causes in the time of a start.
const BOUNDARY_MARGIN_MS: u64 = 150;
/// Time of day in microseconds at virtual time 0.
const TIME_OF_DAY_ORIGIN: u64 = 1_700_000_000_000_000;

/// Injected faults; probabilities unless stated otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    /// Mean time between leader changes in seconds; 0 disables them.
    pub mean_leader_seconds: f64,
    pub delayed_reports: f64,
    pub lost_responses: f64,
    /// Whether the platform rejects reports with a stale fencing token.
    pub fences_checked: bool,
}

/// Outcome of a run; windows are listed by number.
#[derive(Debug, Default)]
pub struct Outcome {
    pub windows: usize,
    pub missed: Vec<u64>,
    pub wrong: Vec<u64>,
    pub conflicting: Vec<u64>,
    pub alternations: usize,
    pub stale_fences: usize,
    pub reports_after_fencing: usize,
}

#[derive(Clone)]
enum Command {
    Count(CountUsage),
    Decide(DecideUsage),
    Reported(u64),
}

enum Message {
    Batch(UsageBatch),
    Ack(UsageAck),
}

struct Leader {
    machine: u64,
    term: u64,
    reporter: UsageReporter,
}

pub struct Simulation {
    now: Time,
    random: SmallRng,
    faults: Faults,
    meters: Vec<Meter>,
    /// Log entries with their terms.
    log: Vec<(u64, Command)>,
    applied: usize,
    ledger: UsageLedger,
    terms: TermHistory,
    leader: Option<Leader>,
    last_term: u64,
    next_leader_change: Time,
    messages: Vec<(Time, Message)>,
    platform: Platform,
    expected: BTreeMap<u64, BTreeMap<String, u64>>,
}

impl Simulation {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut simulation = Self {
            now: Time(3_600_000_000),
            random: SmallRng::seed_from_u64(seed),
            faults,
            meters: (1..=GATEWAYS).map(Meter::new).collect(),
            log: Vec::new(),
            applied: 0,
            ledger: UsageLedger::default(),
            terms: TermHistory::default(),
            leader: None,
            last_term: 0,
            next_leader_change: Time(u64::MAX),
            messages: Vec::new(),
            platform: Platform::new(faults.fences_checked),
            expected: BTreeMap::new(),
        };
        simulation.elect();
        simulation
    }

    fn time_of_day(&self) -> u64 {
        TIME_OF_DAY_ORIGIN + self.now.0
    }

    /// Elects a random machine, possibly the previous leader.
    fn elect(&mut self) {
        self.last_term += self.random.random_range(1..3);
        let machine = self.random.random_range(0..MACHINES);
        let settings = ReporterSettings {
            window: WINDOW,
            report_deadline: REPORT_DEADLINE,
            lease: LEASE + Duration::from_millis(400),
            holder: format!("storage-{machine}"),
            fence: self.last_term,
        };
        self.terms.record(self.now, self.last_term);
        self.leader = Some(Leader {
            machine,
            term: self.last_term,
            reporter: UsageReporter::new(self.now, settings),
        });
        if self.faults.mean_leader_seconds > 0.0 {
            let seconds = self.faults.mean_leader_seconds * self.random.random_range(0.3..1.7);
            self.next_leader_change = self.now + Duration((seconds * 1e6) as u64);
        }
    }

    pub fn run(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.now += TICK;
            if self.now >= self.next_leader_change {
                // Uncommitted proposals are lost, and the election takes some time.
                self.leader = None;
                self.next_leader_change = Time(u64::MAX);
                self.log.truncate(self.applied);
                let election = Duration::from_millis(self.random.random_range(200..900));
                self.platform.elect_at = Some(self.now + election);
            }
            if self.platform.elect_at.is_some_and(|at| self.now >= at) {
                self.platform.elect_at = None;
                self.elect();
            }
            self.start_requests();
            self.send_batches();
            self.deliver();
            self.apply();
            self.poll_leader();
        }
    }

    fn start_requests(&mut self) {
        let offset_ms = (self.time_of_day() % WINDOW.0) / 1_000;
        let near_boundary =
            offset_ms < BOUNDARY_MARGIN_MS || offset_ms > WINDOW.as_millis() - BOUNDARY_MARGIN_MS;
        if near_boundary || !self.random.random_bool(0.2) {
            return;
        }
        let tenant = format!("tenant-{}", self.random.random_range(0..20));
        let gateway = self.random.random_range(0..self.meters.len());
        self.meters[gateway].record_start(self.now, &tenant);
        let window = self
            .expected
            .entry(self.time_of_day() / WINDOW.0)
            .or_default();
        *window.entry(tenant).or_default() += 1;
    }

    fn send_batches(&mut self) {
        let (now, time_of_day) = (self.now, self.time_of_day());
        let batches: Vec<UsageBatch> = self
            .meters
            .iter_mut()
            .filter_map(|meter| meter.next_batch(now, time_of_day))
            .collect();
        for batch in batches {
            self.send(Message::Batch(batch.clone()));
            if self.random.random_bool(self.faults.duplication) {
                self.send(Message::Batch(batch));
            }
        }
    }

    fn send(&mut self, message: Message) {
        if self.random.random_bool(self.faults.loss) {
            return;
        }
        let delay = Duration::from_millis(self.random.random_range(1..120));
        self.messages.push((self.now + delay, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, message) in due {
            match message {
                Message::Ack(ack) => {
                    let meters = self.meters.iter_mut();
                    meters.for_each(|meter| meter.on_ack(ack.meter, ack.sequence));
                }
                Message::Batch(batch) => {
                    let Some(leader) = &mut self.leader else {
                        continue;
                    };
                    let address = format!("gateway-{}", batch.meter);
                    let action = leader.reporter.on_batch(now, &address, batch, &self.ledger);
                    self.execute(action.into_iter().collect());
                }
            }
        }
    }

    /// Commits and applies the entries proposed since the last tick.
    fn apply(&mut self) {
        let entries = self.log[self.applied..].to_vec();
        for (term, command) in entries {
            self.applied += 1;
            let index = self.applied as u64;
            match command {
                Command::Decide(decision) => self.ledger.apply_decision(index, term, decision),
                Command::Reported(window) => self.ledger.mark_reported(window),
                Command::Count(counted) => {
                    let keys: Vec<_> = counted
                        .batches
                        .iter()
                        .map(|batch| (batch.meter, batch.sequence))
                        .collect();
                    self.ledger.apply_batches(self.now, index, counted);
                    let leader = self.leader.as_mut();
                    let acks = leader.map(|leader| leader.reporter.on_counted(&keys));
                    self.execute(acks.unwrap_or_default());
                }
            }
        }
    }

    fn poll_leader(&mut self) {
        let (now, time_of_day) = (self.now, self.time_of_day());
        let Some(leader) = &mut self.leader else {
            return;
        };
        let mut actions = leader
            .reporter
            .poll(now, time_of_day, &self.ledger, &self.terms);
        for (window, response) in self.platform.responses(now, leader.term) {
            let action = leader.reporter.on_response(now, window, response);
            if response == UsageReportResponse::Fenced {
                self.platform.record_fenced(leader.machine, leader.term);
            }
            actions.extend(action);
        }
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<UsageAction>) {
        let Some((machine, term)) = self.leader.as_ref().map(|l| (l.machine, l.term)) else {
            return;
        };
        for action in actions {
            match action {
                UsageAction::ProposeCounts(counted) => {
                    self.log.push((term, Command::Count(counted)))
                }
                UsageAction::ProposeDecision(decision) => {
                    self.log.push((term, Command::Decide(decision)))
                }
                UsageAction::ProposeReported(window) => {
                    self.log.push((term, Command::Reported(window)))
                }
                UsageAction::Acknowledge { ack, .. } => self.send(Message::Ack(ack)),
                UsageAction::Report(report) => {
                    let delayed = self.random.random_bool(self.faults.delayed_reports);
                    let delay = if delayed { 1_500..3_500 } else { 2..40 };
                    let arrives_at =
                        self.now + Duration::from_millis(self.random.random_range(delay));
                    let is_lost = delayed || self.random.random_bool(self.faults.lost_responses);
                    self.platform
                        .send(arrives_at, machine, term, report, is_lost);
                }
            }
        }
    }

    /// Evaluates the windows whose report deadline has passed.
    pub fn evaluate(&mut self) -> Outcome {
        let time_of_day = self.time_of_day();
        self.platform.evaluate(&self.expected, time_of_day)
    }
}
