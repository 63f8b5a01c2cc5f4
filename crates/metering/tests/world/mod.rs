//! A log, leaders that follow each other, gateways and the platform on a virtual clock.

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
pub const LATE: Duration = Duration::from_secs(10);
pub const LEASE: Duration = Duration::from_millis(3_000);
const GATEWAYS: u64 = 12;
const MACHINES: u64 = 5;
const TICK: Duration = Duration::from_millis(15);
/// Requests of a window keep away from its edges by more than a held-up message moves
/// them: where those lie is for another test.
const EDGE_MS: u64 = 150;
/// Time of day at the virtual time 0.
const DAY_ORIGIN: u64 = 1_700_000_000_000_000;

/// What goes wrong, as chances and mean times.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub doubled: f64,
    /// Seconds between two changes of the leader, on average; 0 for none.
    pub leader_every: f64,
    pub late_calls: f64,
    pub lost_answers: f64,
    pub fences_checked: bool,
}

/// What came of a run.
#[derive(Debug, Default)]
pub struct Judged {
    pub windows: usize,
    pub missed: Vec<u64>,
    pub wrong: Vec<u64>,
    pub differing: Vec<u64>,
    pub took_turns: usize,
    pub lower_fences: usize,
    pub calls_after_refusal: usize,
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

pub struct World {
    now: Time,
    random: SmallRng,
    faults: Faults,
    meters: Vec<Meter>,
    /// Entries with their terms; all replicas have applied all of them.
    log: Vec<(u64, Command)>,
    applied: usize,
    ledger: UsageLedger,
    terms: TermHistory,
    leader: Option<Leader>,
    last_term: u64,
    change_at: Time,
    messages: Vec<(Time, Message)>,
    platform: Platform,
    truth: BTreeMap<u64, BTreeMap<String, u64>>,
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut world = Self {
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
            change_at: Time(u64::MAX),
            messages: Vec::new(),
            platform: Platform::new(faults.fences_checked),
            truth: BTreeMap::new(),
        };
        world.elect();
        world
    }

    fn day(&self) -> u64 {
        DAY_ORIGIN + self.now.0
    }

    /// Another machine leads, or the same one anew.
    fn elect(&mut self) {
        self.last_term += self.random.random_range(1..3);
        let machine = self.random.random_range(0..MACHINES);
        let settings = ReporterSettings {
            window: WINDOW,
            report_deadline: LATE,
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
        if self.faults.leader_every > 0.0 {
            let seconds = self.faults.leader_every * self.random.random_range(0.3..1.7);
            self.change_at = self.now + Duration((seconds * 1e6) as u64);
        }
    }

    pub fn play(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.now += TICK;
            if self.now >= self.change_at {
                // An election takes a while; proposals under way are lost with the term.
                self.leader = None;
                self.change_at = Time(u64::MAX);
                self.log.truncate(self.applied);
                let pause = Duration::from_millis(self.random.random_range(200..900));
                self.platform.elect_at = Some(self.now + pause);
            }
            if self.platform.elect_at.is_some_and(|at| self.now >= at) {
                self.platform.elect_at = None;
                self.elect();
            }
            self.begin_requests();
            self.tell();
            self.deliver();
            self.apply();
            self.lead();
        }
    }

    fn begin_requests(&mut self) {
        let in_window = (self.day() % WINDOW.0) / 1_000;
        let near_edge = in_window < EDGE_MS || in_window > WINDOW.as_millis() - EDGE_MS;
        if near_edge || !self.random.random_bool(0.2) {
            return;
        }
        let tenant = format!("tenant-{}", self.random.random_range(0..20));
        let gateway = self.random.random_range(0..self.meters.len());
        self.meters[gateway].record_start(self.now, &tenant);
        let window = self.truth.entry(self.day() / WINDOW.0).or_default();
        *window.entry(tenant).or_default() += 1;
    }

    fn tell(&mut self) {
        let (now, day) = (self.now, self.day());
        let batches: Vec<UsageBatch> = self
            .meters
            .iter_mut()
            .filter_map(|meter| meter.next_batch(now, day))
            .collect();
        for batch in batches {
            self.send(Message::Batch(batch.clone()));
            if self.random.random_bool(self.faults.doubled) {
                self.send(Message::Batch(batch));
            }
        }
    }

    fn send(&mut self, message: Message) {
        if self.random.random_bool(self.faults.loss) {
            return;
        }
        let way = Duration::from_millis(self.random.random_range(1..120));
        self.messages.push((self.now + way, message));
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
                    self.carry_out(action.into_iter().collect());
                }
            }
        }
    }

    /// Entries are committed a moment after they were proposed.
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
                    self.carry_out(acks.unwrap_or_default());
                }
            }
        }
    }

    fn lead(&mut self) {
        let (now, day) = (self.now, self.day());
        let Some(leader) = &mut self.leader else {
            return;
        };
        let mut actions = leader.reporter.poll(now, day, &self.ledger, &self.terms);
        for (window, answer) in self.platform.answers(now, leader.term) {
            let answered = leader.reporter.on_response(now, window, answer);
            if answer == UsageReportResponse::Fenced {
                self.platform.refused(leader.machine, leader.term);
            }
            actions.extend(answered);
        }
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<UsageAction>) {
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
                    let late = self.random.random_bool(self.faults.late_calls);
                    let way = if late { 1_500..3_500 } else { 2..40 };
                    let arrives = self.now + Duration::from_millis(self.random.random_range(way));
                    let is_lost = late || self.random.random_bool(self.faults.lost_answers);
                    self.platform.call(arrives, machine, term, report, is_lost);
                }
            }
        }
    }

    /// Windows that were over and due before the end.
    pub fn judge(&mut self) -> Judged {
        let day = self.day();
        self.platform.judge(&self.truth, day)
    }
}
