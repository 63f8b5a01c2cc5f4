//! Test harness: a dispatcher with a job store and scripted engines.

mod line_reader;

use bytes::Bytes;
use line_reader::LineReader;
use peatgrade_fleet::{EngineDirectory, EngineState};
use peatgrade_jobs::{
    DispatchAction, Dispatcher, ItemPlacement, JobStore, RunId, RunPart, ScoreCall, ScoreId,
    ScoreOutcome,
};
use peatgrade_ports::{
    Configuration, EngineRecord, EngineRequest, EngineResponseHead, Instance, Route, RouteKind,
    StoreEvent, StoreObject, Target,
};
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody;
use peatgrade_schema::replication::{
    AcceptJob, ConfigurationInForce, EndJob, JobCommand, JobItem, RewardCall,
};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

/// A run started by the dispatcher.
#[derive(Clone, Debug)]
pub struct Started {
    pub run: RunId,
    pub item: String,
    pub engine: String,
    pub after: Option<u64>,
    /// Tenant in the request to the engine.
    pub tenant: String,
}

pub struct Harness {
    pub now: Time,
    pub store: JobStore,
    pub dispatcher: Dispatcher,
    pub directory: EngineDirectory,
    pub configuration: Configuration,
    pub started: Vec<Started>,
    pub cancelled: Vec<RunId>,
    pub score_calls: Vec<(ScoreId, ScoreCall)>,
    pub cancelled_scores: Vec<ScoreId>,
    /// Version of the configuration under which jobs are submitted; 0 if the gateway names none.
    pub accepted_under: u64,
    /// Tenant of submitted jobs; empty if authentication is not configured.
    tenant: String,
    index: u64,
}

pub fn engine(name: &str, version: u64) -> EngineRecord {
    EngineRecord {
        instance: Instance(name.into()),
        started: None,
        service: "models".into(),
        address: format!("{name}:1"),
        zone: "z".into(),
        slots: 4,
        draining: false,
        models: BTreeMap::from([("m".to_string(), version)]),
    }
}

fn item(id: &str) -> JobItem {
    JobItem {
        id: id.to_string(),
        path: "/p/x".into(),
        group: "g".into(),
        // Much larger than the median hint, so the item counts as long.
        length_hint: if id.contains("long") { 1_000 } else { 10 },
        ..JobItem::default()
    }
}

fn route() -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/p/".into(),
        kind: RouteKind::Batch,
        timeout: Duration::from_secs(10),
        target_latency: Duration::from_millis(400),
        priority: 1,
        targets: vec![Target {
            service: "models".into(),
            weight: 1,
        }],
        max_attempts: 3,
        resumable: true,
        max_queue: Duration::from_secs(40),
        result_deadline: Duration::from_secs(7),
        single_version: false,
        public: false,
    }
}

impl Harness {
    pub fn new(engines: Vec<EngineRecord>) -> Self {
        let now = Time(1_000_000);
        let mut directory = EngineDirectory::default();
        directory.replace(now, engines);
        Self {
            now,
            store: JobStore::default(),
            dispatcher: new_dispatcher(),
            directory,
            configuration: Configuration {
                version: 1,
                routes: vec![route()].into(),
                ..Configuration::default()
            },
            started: Vec::new(),
            cancelled: Vec::new(),
            score_calls: Vec::new(),
            cancelled_scores: Vec::new(),
            accepted_under: 0,
            tenant: String::new(),
            index: 0,
        }
    }

    pub fn set_placement(&mut self, strategy: ItemPlacement) {
        self.dispatcher = new_dispatcher().with_placement(strategy);
    }

    pub fn change_routes(&mut self, change: impl FnOnce(&mut Vec<Route>)) {
        let mut routes: Vec<Route> = self.configuration.routes.iter().cloned().collect();
        change(&mut routes);
        self.configuration.routes = routes.into();
    }

    /// Applies a configuration with this version and changed routes.
    pub fn set_configuration(&mut self, version: u64, change: impl FnOnce(&mut Vec<Route>)) {
        self.change_routes(change);
        self.configuration.version = version;
    }

    /// Logs that a leader applies this version of the configuration.
    pub fn log_configuration(&mut self, version: u64) {
        self.apply(OneOfbody::configuration(ConfigurationInForce { version }));
    }

    fn apply(&mut self, body: OneOfbody) {
        self.index += 1;
        let command = encode(&JobCommand { body });
        self.store.apply(self.now, self.index, &command);
    }

    pub fn submit(&mut self, job: &str, min_version: u64, items: &[&str]) {
        let items = items.iter().map(|id| item(id));
        self.submit_items(job, min_version, items.collect());
    }

    /// Submits items with distinct bodies that accept any version of the weights.
    pub fn submit_bodies(&mut self, job: &str, items: &[&str]) {
        let items = items.iter().map(|id| JobItem {
            body: id.as_bytes().to_vec(),
            ..item(id)
        });
        self.submit_items(job, 1, items.collect());
    }

    /// Submits items with reward calls.
    pub fn submit_scored(&mut self, job: &str, min_version: u64, items: Vec<(&str, RewardCall)>) {
        let items = items.into_iter().map(|(id, reward_call)| JobItem {
            reward_call: Some(reward_call),
            ..item(id)
        });
        self.submit_items(job, min_version, items.collect());
    }

    pub fn submit_for(&mut self, tenant: &str, job: &str, items: &[&str]) {
        let items = items.iter().map(|id| item(id)).collect();
        self.tenant = tenant.into();
        self.submit_items(job, 1, items);
    }

    /// Submits a step on the route of `path`. `groups` holds the length hints of the items of
    /// each group; the trainer waits for `desired` groups.
    pub fn submit_step(&mut self, job: &str, path: &str, desired: u64, groups: &[Vec<u64>]) {
        let mut items = Vec::new();
        for (group, lengths) in groups.iter().enumerate() {
            items.extend(lengths.iter().enumerate().map(|(index, length)| JobItem {
                path: format!("{path}x"),
                group: format!("{job}-{group}"),
                length_hint: *length,
                ..item(&format!("{job}-{group}-{index}"))
            }));
        }
        self.apply(OneOfbody::accept(AcceptJob {
            job: job.into(),
            host: "h".into(),
            path: path.into(),
            model: "m".into(),
            min_version: 1,
            desired,
            items,
            ..AcceptJob::default()
        }));
        self.dispatcher
            .open_job(self.now, job, &self.store, &self.configuration);
    }

    pub fn submit_items(&mut self, job: &str, min_version: u64, items: Vec<JobItem>) {
        self.apply(OneOfbody::accept(AcceptJob {
            job: job.into(),
            tenant: self.tenant.clone(),
            host: "h".into(),
            path: "/p/".into(),
            model: "m".into(),
            min_version,
            items,
            configuration: self.accepted_under,
            ..AcceptJob::default()
        }));
        self.dispatcher
            .open_job(self.now, job, &self.store, &self.configuration);
    }

    pub fn end(&mut self, job: &str) {
        self.apply(OneOfbody::end(EndJob { job: job.into() }));
        self.dispatcher.end_job(self.now, job, &mut self.directory);
        self.take_actions();
    }

    /// Replaces the dispatcher by that of a new leader, which knows only the store.
    pub fn change_leader(&mut self) {
        self.dispatcher = new_dispatcher();
        self.started.clear();
        let jobs: Vec<String> = self.store.iter().map(|(id, _)| id.clone()).collect();
        for job in jobs {
            self.dispatcher
                .open_job(self.now, &job, &self.store, &self.configuration);
        }
    }

    pub fn poll(&mut self) {
        self.dispatcher
            .poll(self.now, &self.configuration, &mut self.directory);
        self.take_actions();
    }

    /// Polls until everything that can start has started.
    pub fn poll_until_started(&mut self) {
        self.poll();
        while self.dispatcher.has_backlog() {
            self.poll();
        }
    }

    /// Advances time, polling every 15 ms.
    pub fn wait(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.now = until.min(self.now + Duration::from_millis(15));
            self.poll();
        }
    }

    fn take_actions(&mut self) {
        for action in self.dispatcher.take_actions() {
            match action {
                DispatchAction::Run { run, call, .. } => {
                    let EngineRequest::Run {
                        id,
                        instance,
                        last_event,
                        tenant,
                        ..
                    } = *call
                    else {
                        panic!("the engine call is not a run");
                    };
                    self.started.push(Started {
                        run,
                        item: id,
                        engine: instance.0,
                        after: last_event,
                        tenant,
                    });
                }
                DispatchAction::Cancel(run) => self.cancelled.push(run),
                DispatchAction::ProposeResults(results) => {
                    let job = results.job.clone();
                    self.apply(OneOfbody::results(results));
                    self.dispatcher.on_results_committed(&job, &self.store);
                }
                DispatchAction::Score { score, call } => self.score_calls.push((score, *call)),
                DispatchAction::CancelScore(score) => self.cancelled_scores.push(score),
                DispatchAction::ProposeProgress(progress) => {
                    self.apply(OneOfbody::progress(progress))
                }
            }
        }
    }

    pub fn part(&mut self, run: RunId, part: RunPart) {
        let (configuration, directory) = (&self.configuration, &mut self.directory);
        self.dispatcher
            .on_part(self.now, run, part, configuration, directory);
        self.take_actions();
    }

    pub fn score(&mut self, id: ScoreId, outcome: ScoreOutcome) {
        self.dispatcher
            .on_score(self.now, id, outcome, &self.configuration);
        self.take_actions();
    }

    pub fn head(&mut self, run: RunId, status: u16, version: u64) {
        self.part(
            run,
            RunPart::Head(EngineResponseHead {
                status,
                version: Some(version),
                not_run: status == 503,
                ..EngineResponseHead::default()
            }),
        );
    }

    pub fn data(&mut self, run: RunId, text: &str) {
        self.part(run, RunPart::Data(Bytes::from(text.to_string())));
    }

    pub fn last_started(&self) -> Started {
        self.started.last().cloned().expect("no run was started")
    }

    /// Records a pace of one event per `millis` for an engine.
    pub fn set_pace(&mut self, engine: &str, millis: u64) {
        let now = self.now;
        let stats = &mut self.state_of(engine).stats;
        stats.record_events(now, Duration::from_millis(20 * millis), 20);
    }

    /// Adds an engine to the directory.
    pub fn add_engine(&mut self, record: EngineRecord) {
        self.directory.apply(
            self.now,
            StoreEvent {
                name: record.instance.0.clone(),
                object: Some(StoreObject::Engine(record)),
            },
        );
    }

    pub fn set_running(&mut self, engine: &str, count: u32) {
        self.state_of(engine).stats.in_flight = count;
    }

    fn state_of(&mut self, engine: &str) -> &mut EngineState {
        let instance = Instance(engine.into());
        self.directory
            .get_mut(&instance)
            .expect("the engine is in the directory")
    }

    /// Returns the results of a job as (item, completed, text, versions).
    pub fn results(&self, job: &str) -> Vec<(String, bool, String, Vec<u64>)> {
        let mut texts = self.store.text_reader();
        let job = self.store.get(job).unwrap();
        let listed = job.results.iter().map(|result| {
            let text = texts.read(&job.spec.job, result.item, &result.text);
            (
                job.spec.items[result.item].id.clone(),
                result.completed,
                String::from_utf8(text.unwrap().to_vec()).unwrap(),
                result.versions.clone(),
            )
        });
        listed.collect()
    }
}

fn new_dispatcher() -> Dispatcher {
    Dispatcher::new(Box::new(|| Box::new(LineReader::default())))
}
