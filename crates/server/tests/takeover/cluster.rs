//! A simulated replica group. Each machine works in iterations like the storage process: inputs,
//! then the log, then dispatch. It neither receives nor sends during an iteration.

use peatgrade_jobs::DispatchAction;
use peatgrade_ports::EngineRequest;
use peatgrade_replication::Outgoing;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody as Command;
use peatgrade_schema::replication::{AcceptJob, EndJob, JobItem, Member, ReplicaMessage};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::engines::EngineRun;
use crate::machine::{member, Machine};

/// Time to start a run on a fraction of a core.
const RUN_START_COST: Duration = Duration(1_200);
/// Time to handle a message or a part of a response.
const INPUT_COST: Duration = Duration(150);
const SLOWDOWN_FACTOR: u64 = 7;
/// Maximum time between two iterations.
const TICK_INTERVAL: Duration = Duration::from_millis(15);
const MESSAGE_LATENCY: Duration = Duration(900);
/// Time after which a caller repeats a command.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// The group, and the item runs that engines have received.
pub struct Cluster {
    pub now: Time,
    machines: Vec<Machine>,
    in_flight: BTreeMap<(Time, u64), (usize, ReplicaMessage)>,
    sequence: u64,
    first_term: u64,
    /// Factor by which all machines' work is slowed down.
    slowdown: u64,
    /// Job and time of each run that reached an engine.
    arrivals: Vec<(String, Time)>,
    /// Commands that callers repeat until a leader has applied them, with the next attempt.
    pending_commands: Vec<(Time, Command)>,
}

impl Cluster {
    pub fn new(count: usize) -> Self {
        let now = Time(1_000_000);
        let members: Vec<Member> = (0..count).map(member).collect();
        let machines = (0..count).map(|index| Machine::new(now, index, members.clone()));
        Self {
            now,
            machines: machines.collect(),
            in_flight: BTreeMap::new(),
            sequence: 0,
            first_term: 0,
            slowdown: 1,
            arrivals: Vec::new(),
            pending_commands: Vec::new(),
        }
    }

    /// Slows all machines down.
    pub fn slow_down(&mut self) {
        self.slowdown = SLOWDOWN_FACTOR;
    }

    pub fn run_until_leader_elected(&mut self) {
        while !self
            .machines
            .iter()
            .any(|machine| machine.has_leader_session)
        {
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
        self.pending_commands
            .push((self.now, Command::accept(accept)));
    }

    /// Requests the end of a job, repeatedly until a leader accepts it.
    pub fn request_end(&mut self, job: &str) {
        let end = EndJob { job: job.into() };
        self.pending_commands.push((self.now, Command::end(end)));
    }

    /// Stops the leader permanently.
    pub fn stop_leader(&mut self) {
        let leader = self
            .machines
            .iter_mut()
            .find(|machine| machine.has_leader_session);
        leader.expect("a leader").stopped = true;
    }

    /// Highest number of results of a job on any running machine.
    pub fn result_count(&self, job: &str) -> usize {
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
        let later_arrivals = arrivals.filter(|(of, at)| of == job && *at > time);
        later_arrivals.count()
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += Duration(500);
            self.deliver();
            self.propose_pending_commands();
            for index in 0..self.machines.len() {
                let machine = &self.machines[index];
                let has_input = !machine.inbox.is_empty() || !machine.engine_outputs.is_empty();
                let is_due = has_input || self.now >= machine.next_iteration;
                if is_due && self.now >= machine.busy_until && !machine.stopped {
                    self.run_iteration(index);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some((&(at, sequence), _)) = self.in_flight.first_key_value() {
            if at > self.now {
                break;
            }
            if let Some((to, message)) = self.in_flight.remove(&(at, sequence)) {
                self.machines[to].inbox.push_back(message);
            }
        }
    }

    /// Proposes due commands to the leader, unless it is busy.
    fn propose_pending_commands(&mut self) {
        let now = self.now;
        let is_available = |machine: &&mut Machine| {
            !machine.stopped && now >= machine.busy_until && machine.may_dispatch(now)
        };
        let Some(leader) = self.machines.iter_mut().find(is_available) else {
            return;
        };
        for (due, command) in &mut self.pending_commands {
            if now >= *due {
                leader.propose(now, command.clone());
                *due = now + RETRY_INTERVAL;
            }
        }
        let jobs = &leader.jobs;
        self.pending_commands.retain(|(_, command)| match command {
            Command::accept(accept) => jobs.get(&accept.job).is_none(),
            Command::end(end) => jobs.get(&end.job).is_some_and(|job| !job.ended),
            _ => false,
        });
    }

    /// Runs one iteration of a machine, which is busy until the iteration ends.
    fn run_iteration(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let input_cost = Duration(INPUT_COST.0 * self.slowdown);
        let mut cost = machine.handle_inputs(now, input_cost);
        if now >= machine.replica.next_tick() {
            machine.replica.tick(now);
        }
        machine.update_leader_session(now);
        self.process_ready(index, cost);
        cost = Duration(cost.0 + self.dispatch(index).0);
        self.process_ready(index, cost);
        let machine = &mut self.machines[index];
        machine.busy_until = now + cost;
        machine.next_iteration = machine.busy_until + TICK_INTERVAL;
    }

    /// Executes the dispatcher's actions and returns the time that takes.
    fn dispatch(&mut self, index: usize) -> Duration {
        let now = self.now;
        let machine = &mut self.machines[index];
        if !machine.may_dispatch(now) {
            return Duration(0);
        }
        let (configuration, directory) = (&machine.configuration, &mut machine.directory);
        machine.dispatcher.poll(now, configuration, directory);
        let mut cost = Duration(0);
        for action in machine.dispatcher.take_actions() {
            match action {
                DispatchAction::Run { run, call, .. } => {
                    cost = Duration(cost.0 + RUN_START_COST.0 * self.slowdown);
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

    /// Executes the replica's output. Messages leave at time `after` from the start of the
    /// iteration.
    fn process_ready(&mut self, index: usize, after: Duration) {
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
        let key = (self.now + after + MESSAGE_LATENCY, self.sequence);
        self.in_flight.insert(key, (to, message));
    }
}
