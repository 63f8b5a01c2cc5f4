//! A simulated storage machine: its replica, jobs and, while it leads, dispatcher.

use peatgrade_fleet::EngineDirectory;
use peatgrade_jobs::{Applied, Dispatcher, JobStore, RunId, RunPart};
use peatgrade_ports::Configuration;
use peatgrade_replication::{LogStore, Replica, ReplicaId, ReplicaSettings, Role, Timing};
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody as Command;
use peatgrade_schema::replication::{HardState, JobCommand, Member, ReplicaMessage};
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, VecDeque};

use crate::engines::{self, EngineOutput, EngineRun, LineDecoder};

/// Maximum time that an iteration handles inputs, as in the storage process.
const MAX_INPUT_TIME: Duration = Duration::from_millis(20);
pub struct Machine {
    pub replica: Replica,
    pub jobs: JobStore,
    pub dispatcher: Dispatcher,
    pub directory: EngineDirectory,
    pub configuration: Configuration,
    pub runs: BTreeMap<RunId, EngineRun>,
    pub inbox: VecDeque<ReplicaMessage>,
    /// Received from engines and not handled yet.
    pub engine_outputs: VecDeque<(RunId, EngineOutput)>,
    pub has_leader_session: bool,
    pub stopped: bool,
    /// End of the current iteration.
    pub busy_until: Time,
    pub next_iteration: Time,
}

/// Describes a machine as a group member.
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
            dispatcher: Dispatcher::new(Box::new(|| Box::new(LineDecoder::default()))),
            directory: engines::directory(now),
            configuration: engines::configuration(),
            runs: BTreeMap::new(),
            inbox: VecDeque::new(),
            engine_outputs: VecDeque::new(),
            has_leader_session: false,
            stopped: false,
            busy_until: now,
            next_iteration: now,
        }
    }

    pub fn may_dispatch(&self, now: Time) -> bool {
        self.has_leader_session && self.replica.can_serve(now)
    }

    pub fn propose(&mut self, now: Time, body: Command) -> bool {
        let command = encode(&JobCommand { body });
        self.replica.propose(now, command).is_some()
    }

    pub fn apply(&mut self, now: Time, index: u64, command: &[u8]) {
        match self.jobs.apply(now, index, command) {
            Applied::Accepted(job) if self.has_leader_session => self.open_job(now, &job),
            Applied::Listed(job) => self.dispatcher.on_results_committed(&job, &self.jobs),
            Applied::Ended(job) => self.dispatcher.end_job(now, &job, &mut self.directory),
            _ => {}
        }
    }

    pub fn open_job(&mut self, now: Time, job: &str) {
        self.dispatcher
            .open_job(now, job, &self.jobs, &self.configuration);
    }

    /// Starts or stops dispatching as the role changes.
    pub fn update_leader_session(&mut self, now: Time) {
        let leads = self.replica.role() == Role::Leader;
        if self.has_leader_session && !leads {
            self.has_leader_session = false;
            self.dispatcher.stop(now, &mut self.directory);
            self.dispatcher.take_actions();
            self.runs.clear();
            self.engine_outputs.clear();
        }
        if !self.has_leader_session && leads && self.replica.can_serve(now) {
            self.has_leader_session = true;
            let open_jobs = self.jobs.iter().filter(|(_, job)| !job.ended);
            let open_jobs: Vec<String> = open_jobs.map(|(id, _)| id.clone()).collect();
            open_jobs.iter().for_each(|job| self.open_job(now, job));
        }
    }

    /// Handles messages and engine output alternately, up to the time limit, and returns the
    /// time spent.
    pub fn handle_inputs(&mut self, now: Time, input_cost: Duration) -> Duration {
        self.engine_outputs
            .extend(engines::take_outputs(&mut self.runs, now));
        let mut elapsed = Duration(0);
        while elapsed < MAX_INPUT_TIME && !(self.inbox.is_empty() && self.engine_outputs.is_empty())
        {
            if let Some(message) = self.inbox.pop_front() {
                self.replica.step(now, message);
                elapsed = Duration(elapsed.0 + input_cost.0);
            }
            if let Some((run, output)) = self.engine_outputs.pop_front() {
                self.handle_part(now, run, output);
                elapsed = Duration(elapsed.0 + input_cost.0);
            }
        }
        elapsed
    }

    fn handle_part(&mut self, now: Time, run: RunId, output: EngineOutput) {
        let part = match output {
            EngineOutput::Head(head) => RunPart::Head(head),
            EngineOutput::Data(data) => RunPart::Data(data),
            EngineOutput::End => RunPart::End,
        };
        if matches!(part, RunPart::End) {
            self.runs.remove(&run);
        }
        let (configuration, directory) = (&self.configuration, &mut self.directory);
        self.dispatcher
            .on_part(now, run, part, configuration, directory);
    }
}
