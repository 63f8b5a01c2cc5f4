//! Machines of a replica group that lead as the storage process does: inputs, then
//! the log, then items to engines, and nothing is heard or sent in between.

use peatgrade_jobs::DispatchAction;
use peatgrade_ports::EngineRequest;
use peatgrade_replication::Outgoing;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody as Command;
use peatgrade_schema::replication::{AcceptJob, EndJob, JobItem, Member, ReplicaMessage};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::engines::EngineRun;
use crate::machine::{member, Machine};

/// Time to start a run, on 0.3 of a core: 190 to 241 runs took 250 to 490 ms in the
/// trial of an own day with 4,208 routes.
const START_COST: Duration = Duration(1_200);
/// Time to handle a message or a part of an answer there.
const INPUT_COST: Duration = Duration(150);
/// How much slower a slow machine is: as much as the users' sheets name.
const SLOWNESS: u64 = 7;
/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(15);
/// Time that a message is under way.
const LATENCY: Duration = Duration(900);
/// Time between two tries of a caller whose call was not taken.
const ASK_AGAIN: Duration = Duration::from_millis(40);

/// The group, and what engines have seen.
pub struct Cluster {
    pub now: Time,
    machines: Vec<Machine>,
    flying: BTreeMap<(Time, u64), (usize, ReplicaMessage)>,
    sequence: u64,
    first_term: u64,
    /// By how much all machines are slower than usual.
    slowness: u64,
    /// When an item of a job reached an engine.
    arrivals: Vec<(String, Time)>,
    /// Commands that callers want taken, until a leader has them in its log.
    asked: Vec<(Time, Command)>,
}

impl Cluster {
    pub fn new(count: usize) -> Self {
        let now = Time(1_000_000);
        let members: Vec<Member> = (0..count).map(member).collect();
        let machines = (0..count).map(|index| Machine::new(now, index, members.clone()));
        Self {
            now,
            machines: machines.collect(),
            flying: BTreeMap::new(),
            sequence: 0,
            first_term: 0,
            slowness: 1,
            arrivals: Vec::new(),
            asked: Vec::new(),
        }
    }

    /// All machines turn slow.
    pub fn slow_down(&mut self) {
        self.slowness = SLOWNESS;
    }

    pub fn run_until_led(&mut self) {
        while !self.machines.iter().any(|machine| machine.working) {
            self.run(Duration(1_000));
        }
        self.first_term = self.newest_term();
    }

    fn newest_term(&self) -> u64 {
        let terms = self.machines.iter().map(|machine| machine.replica.term());
        terms.max().unwrap_or(0)
    }

    pub fn terms_since_first_leader(&self) -> u64 {
        self.newest_term() - self.first_term
    }

    pub fn submit(&mut self, job: &str, items: usize) {
        let items = (0..items).map(|item| JobItem {
            id: format!("{job}/{item}"),
            path: "/p/x".into(),
            length_hint: 10,
            ..JobItem::default()
        });
        let accept = AcceptJob {
            job: job.into(),
            host: "h".into(),
            path: "/p/".into(),
            model: "m".into(),
            items: items.collect(),
            ..AcceptJob::default()
        };
        self.asked.push((self.now, Command::accept(accept)));
    }

    /// A caller asks for the end of a job until a leader takes it.
    pub fn ask_end(&mut self, job: &str) {
        let end = EndJob { job: job.into() };
        self.asked.push((self.now, Command::end(end)));
    }

    /// Ends the machine that leads, for good.
    pub fn stop_leader(&mut self) {
        let leader = self.machines.iter_mut().find(|machine| machine.working);
        leader.expect("one leads").stopped = true;
    }

    /// Results of a job that a running machine knows.
    pub fn listed(&self, job: &str) -> usize {
        let running = self.machines.iter().filter(|machine| !machine.stopped);
        let counts = running.filter_map(|machine| Some(machine.jobs.get(job)?.results.len()));
        counts.max().unwrap_or(0)
    }

    pub fn is_ended(&self, job: &str) -> bool {
        let running = self.machines.iter().filter(|machine| !machine.stopped);
        let mut jobs = running.filter_map(|machine| machine.jobs.get(job));
        jobs.any(|job| job.ended)
    }

    pub fn arrivals_after(&self, job: &str, time: Time) -> usize {
        let arrivals = self.arrivals.iter();
        let late = arrivals.filter(|(of, at)| of == job && *at > time);
        late.count()
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += Duration(500);
            self.deliver();
            self.ask();
            for index in 0..self.machines.len() {
                let machine = &self.machines[index];
                let waiting = !machine.inbox.is_empty() || !machine.parts.is_empty();
                let heard = waiting || self.now >= machine.next_turn;
                if heard && self.now >= machine.busy_until && !machine.stopped {
                    self.turn(index);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some((&(at, sequence), _)) = self.flying.first_key_value() {
            if at > self.now {
                break;
            }
            if let Some((to, message)) = self.flying.remove(&(at, sequence)) {
                self.machines[to].inbox.push_back(message);
            }
        }
    }

    /// Callers try the machine that leads, if it is not busy, and come back later.
    fn ask(&mut self) {
        let now = self.now;
        let free = |machine: &&mut Machine| {
            !machine.stopped && now >= machine.busy_until && machine.may_work(now)
        };
        let Some(leader) = self.machines.iter_mut().find(free) else {
            return;
        };
        for (due, command) in &mut self.asked {
            if now >= *due {
                leader.propose(now, command.clone());
                *due = now + ASK_AGAIN;
            }
        }
        let jobs = &leader.jobs;
        self.asked.retain(|(_, command)| match command {
            Command::accept(accept) => jobs.get(&accept.job).is_none(),
            Command::end(end) => jobs.get(&end.job).is_some_and(|job| !job.ended),
            _ => false,
        });
    }

    /// One turn of a machine: it hears nothing else until it is over.
    fn turn(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let input_cost = Duration(INPUT_COST.0 * self.slowness);
        let mut cost = machine.take_inputs(now, input_cost);
        if now >= machine.replica.next_tick() {
            machine.replica.tick(now);
        }
        machine.follow_role(now);
        self.pump(index, cost);
        cost = Duration(cost.0 + self.lead(index).0);
        self.pump(index, cost);
        let machine = &mut self.machines[index];
        machine.busy_until = now + cost;
        machine.next_turn = machine.busy_until + TICK;
    }

    /// Starts items as the dispatcher wants; the time that took.
    fn lead(&mut self, index: usize) -> Duration {
        let now = self.now;
        let machine = &mut self.machines[index];
        if !machine.may_work(now) {
            return Duration(0);
        }
        let (configuration, directory) = (&machine.configuration, &mut machine.directory);
        machine.dispatcher.poll(now, configuration, directory);
        let mut cost = Duration(0);
        for action in machine.dispatcher.take_actions() {
            match action {
                DispatchAction::Run { run, call, .. } => {
                    cost = Duration(cost.0 + START_COST.0 * self.slowness);
                    let EngineRequest::Run { id, last_event, .. } = *call else {
                        continue;
                    };
                    let started = EngineRun::new(now + cost, last_event);
                    machine.runs.insert(run, started);
                    let job = id.split('/').next().unwrap_or("").to_string();
                    self.arrivals.push((job, now + cost));
                }
                DispatchAction::Cancel(run) => {
                    machine.runs.remove(&run);
                }
                DispatchAction::ProposeResults(results) => {
                    machine.propose(now, Command::results(results));
                }
                DispatchAction::ProposeProgress(progress) => {
                    machine.propose(now, Command::progress(progress));
                }
                DispatchAction::Score { .. } | DispatchAction::CancelScore(_) => {}
            }
        }
        cost
    }

    /// Sends and applies what the replica wants; messages leave `after` the turn's
    /// beginning.
    fn pump(&mut self, index: usize, after: Duration) {
        let now = self.now;
        while self.machines[index].replica.has_ready() {
            let ready = self.machines[index].replica.ready();
            self.machines[index].replica.on_persisted();
            for outgoing in ready
                .immediate_messages
                .into_iter()
                .chain(ready.persisted_messages)
            {
                self.send(index, outgoing, after);
            }
            for entry in ready.committed {
                self.machines[index].apply(now, entry.index, &entry.command);
            }
        }
    }

    fn send(&mut self, from: usize, outgoing: Outgoing, after: Duration) {
        let Ok(to) = outgoing.address.parse::<usize>() else {
            return;
        };
        let message = ReplicaMessage {
            from: from as u64 + 1,
            to: outgoing.to.0,
            term: outgoing.term,
            from_address: from.to_string(),
            body: outgoing.body,
        };
        self.sequence += 1;
        let key = (self.now + after + LATENCY, self.sequence);
        self.flying.insert(key, (to, message));
    }
}
