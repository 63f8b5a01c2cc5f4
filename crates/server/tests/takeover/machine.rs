//! One machine: its replica, its jobs, and while it leads its work.

use peatgrade_fleet::EngineDirectory;
use peatgrade_jobs::{Applied, Dispatcher, JobStore, RunId, RunPart};
use peatgrade_ports::Configuration;
use peatgrade_replication::{LogStore, Replica, ReplicaId, ReplicaSettings, Role, Timing};
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody as Command;
use peatgrade_schema::replication::{HardState, JobCommand, Member, ReplicaMessage};
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, VecDeque};

use crate::engines::{self, EngineRun, Lines, Sent};

/// Longest time that a turn handles inputs, as in the storage process.
const MAX_INPUT_TIME: Duration = Duration::from_millis(20);
/// A machine of the group.
pub struct Machine {
    pub replica: Replica,
    pub jobs: JobStore,
    pub dispatcher: Dispatcher,
    pub directory: EngineDirectory,
    pub configuration: Configuration,
    pub runs: BTreeMap<RunId, EngineRun>,
    pub inbox: VecDeque<ReplicaMessage>,
    /// What engines have sent and was not handled.
    pub parts: VecDeque<(RunId, Sent)>,
    pub working: bool,
    pub stopped: bool,
    /// The turn under way ends then.
    pub busy_until: Time,
    pub next_turn: Time,
}

/// A machine as a member of the group.
pub fn member(index: usize) -> Member {
    Member {
        replica: index as u64 + 1,
        name: format!("machine-{index}"),
        address: index.to_string(),
        zone: "z".into(),
        voter: true,
    }
}

impl Machine {
    pub fn new(now: Time, index: usize, members: Vec<Member>) -> Self {
        let settings = ReplicaSettings {
            id: ReplicaId(index as u64 + 1),
            address: index.to_string(),
            seed: index as u64,
            timing: Timing::default(),
        };
        let state = HardState {
            term: 0,
            vote: 0,
            replica: index as u64 + 1,
        };
        let mut replica = Replica::new(now, settings, &state, LogStore::default());
        replica.bootstrap(members);
        Self {
            replica,
            jobs: JobStore::default(),
            dispatcher: Dispatcher::new(Box::new(|| Box::new(Lines::default()))),
            directory: engines::directory(now),
            configuration: engines::configuration(),
            runs: BTreeMap::new(),
            inbox: VecDeque::new(),
            parts: VecDeque::new(),
            working: false,
            stopped: false,
            busy_until: now,
            next_turn: now,
        }
    }

    pub fn may_work(&self, now: Time) -> bool {
        self.working && self.replica.can_serve(now)
    }

    pub fn propose(&mut self, now: Time, body: Command) -> bool {
        let command = encode(&JobCommand { body });
        self.replica.propose(now, command).is_some()
    }

    pub fn apply(&mut self, now: Time, index: u64, command: &[u8]) {
        match self.jobs.apply(now, index, command) {
            Applied::Accepted(job) if self.working => self.open(now, &job),
            Applied::Listed(job) => self.dispatcher.on_results_committed(&job, &self.jobs),
            Applied::Ended(job) => self.dispatcher.end_job(now, &job, &mut self.directory),
            _ => {}
        }
    }

    pub fn open(&mut self, now: Time, job: &str) {
        self.dispatcher
            .open_job(now, job, &self.jobs, &self.configuration);
    }

    /// Begins and ends the work of a leader as the role changes.
    pub fn follow_role(&mut self, now: Time) {
        let leads = self.replica.role() == Role::Leader;
        if self.working && !leads {
            self.working = false;
            self.dispatcher.stop(&mut self.directory);
            self.dispatcher.take_actions();
            self.runs.clear();
            self.parts.clear();
        }
        if !self.working && leads && self.replica.can_serve(now) {
            self.working = true;
            let open = self.jobs.iter().filter(|(_, job)| !job.ended);
            let open: Vec<String> = open.map(|(id, _)| id.clone()).collect();
            open.iter().for_each(|job| self.open(now, job));
        }
    }

    /// Handles messages and parts by turns, for as long as a turn may; the time it took.
    pub fn take_inputs(&mut self, now: Time, input_cost: Duration) -> Duration {
        self.parts.extend(engines::take_sent(&mut self.runs, now));
        let mut took = Duration(0);
        while took < MAX_INPUT_TIME && !(self.inbox.is_empty() && self.parts.is_empty()) {
            if let Some(message) = self.inbox.pop_front() {
                self.replica.step(now, message);
                took = Duration(took.0 + input_cost.0);
            }
            if let Some((run, sent)) = self.parts.pop_front() {
                self.take_part(now, run, sent);
                took = Duration(took.0 + input_cost.0);
            }
        }
        took
    }

    fn take_part(&mut self, now: Time, run: RunId, sent: Sent) {
        let part = match sent {
            Sent::Head(head) => RunPart::Head(head),
            Sent::Data(data) => RunPart::Data(data),
            Sent::End => RunPart::End,
        };
        if matches!(part, RunPart::End) {
            self.runs.remove(&run);
        }
        let (configuration, directory) = (&self.configuration, &mut self.directory);
        self.dispatcher
            .on_part(now, run, part, configuration, directory);
    }
}
