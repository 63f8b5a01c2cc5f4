//! The simulated deployment: nodes, platform, clients and what joins them.

use peatgrade_models::{
    Deployment, Fault, Platform, RequestId, TrainerModel, Workload, WorkloadEvent,
};
use peatgrade_node_core::{DiskId, HttpId, Mutation};
use peatgrade_oracle::{terms_of, Oracle};
use peatgrade_routing::SelectorPolicy;
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_storage::DiskReply;
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponsePart};
use peatgrade_types::{Duration, Identity, NodeId, Time};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::BTreeMap;

use crate::config_watch::ConfigWatch;
use crate::network::{Network, NetworkSettings};
use crate::plan::FaultPlan;
use crate::process::{Arriving, Process};
use crate::queue::Queue;
use crate::report::Latencies;

mod actions;
mod clients;
mod faults;
mod figures;
mod trace;

/// Origin of the virtual clock. Not zero, so that "long ago" exists.
const ORIGIN: Time = Time(1_000_000_000);
/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(50);
/// Time between two looks at what nodes have in force.
const OBSERVE: Duration = Duration::from_millis(500);
/// Time between two valid changes by an operator.
const CHANGE_EVERY: Duration = Duration::from_secs(20);
/// Limit of each simulated disk.
const DISK_LIMIT: u64 = 1 << 30;

/// How a run is made.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Seed of everything.
    pub seed: u64,
    /// Length of the traffic in seconds; the run goes on a little after it.
    pub seconds: u64,
    /// Network between nodes.
    pub network: NetworkSettings,
    /// How engines are chosen.
    pub selector: SelectorPolicy,
    /// Baseline without straggler handling.
    pub wait_for_all: bool,
    /// A deliberate break.
    pub mutation: Option<Mutation>,
    /// Whether operators change tenants now and then.
    pub operators: bool,
}

impl Default for RunSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            seconds: 120,
            network: NetworkSettings::default(),
            selector: SelectorPolicy::Full,
            wait_for_all: false,
            mutation: None,
            operators: true,
        }
    }
}

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClientRef {
    /// A try of the workload.
    Caller(u64),
    /// A request of a trainer.
    Trainer(usize, u64),
    /// A change by an operator.
    Operator(u64),
}

/// Something that happens at a moment.
#[derive(Clone, Debug)]
pub(crate) enum SimEvent {
    Tick {
        node: usize,
        generation: u64,
    },
    Peer {
        node: usize,
        from: Identity,
        body: OneOfbody,
    },
    Call {
        node: usize,
        arriving: Arriving,
    },
    HttpOut {
        node: usize,
        generation: u64,
        id: HttpId,
        address: String,
        request: HttpRequest,
    },
    HttpPart {
        node: usize,
        generation: u64,
        id: HttpId,
        part: ResponsePart,
    },
    HttpTimeout {
        node: usize,
        generation: u64,
        id: HttpId,
    },
    Disk {
        node: usize,
        generation: u64,
        id: DiskId,
        reply: DiskReply,
    },
    CancelPlatform {
        id: RequestId,
    },
    PlatformWake,
    ClientDone {
        client: ClientRef,
        result: Result<peatgrade_models::WholeResponse, HttpFailure>,
    },
    ClientTimeout {
        client: ClientRef,
    },
    PlatformCall {
        client: ClientRef,
        request: HttpRequest,
    },
    WorkloadWake,
    TrainerWake {
        trainer: usize,
    },
    PlanStep {
        index: usize,
    },
    NodeStart {
        node: usize,
    },
    NodeResume {
        node: usize,
    },
    DiskLimit {
        node: usize,
        limit: u64,
    },
    Observe,
    OperatorChange,
}

/// A deployment in simulation.
pub struct World {
    settings: RunSettings,
    deployment: Deployment,
    plan: FaultPlan,
    now: Time,
    end: Time,
    queue: Queue<SimEvent>,
    random: SmallRng,
    network: Network,
    nodes: Vec<Process>,
    index: BTreeMap<NodeId, usize>,
    platform: Platform,
    machine_zones: BTreeMap<String, String>,
    platform_owner: BTreeMap<RequestId, PlatformOwner>,
    next_platform: u64,
    platform_wake: Option<Time>,
    workload: Workload,
    workload_wake: Option<Time>,
    trainers: Vec<TrainerModel>,
    open_clients: BTreeMap<ClientRef, usize>,
    oracle: Oracle,
    config_watch: ConfigWatch,
    streams: BTreeMap<String, Latencies>,
    faults: BTreeMap<String, u64>,
    commits: BTreeMap<String, (u64, Time)>,
    weight_spread: Vec<Duration>,
    operator_requests: u64,
    races: BTreeMap<u64, u32>,
    trace: u64,
    events: u64,
}

#[derive(Clone, Copy, Debug)]
enum PlatformOwner {
    Node {
        node: usize,
        generation: u64,
        id: HttpId,
    },
    Client(ClientRef),
}

impl World {
    /// A deployment before its first event.
    pub fn new(deployment: &Deployment, settings: RunSettings, plan: FaultPlan) -> Self {
        let mut platform = Platform::new(deployment, settings.seed, str::to_string);
        let mut nodes = Vec::new();
        for (name, zone, bulk) in deployment.nodes() {
            platform.list_node(&name, &zone, &name);
            nodes.push(Process::new(&name, &zone, bulk, DISK_LIMIT));
        }
        let machine_zones = peatgrade_models::platform::machines_of(deployment)
            .into_iter()
            .map(|machine| (machine.name, machine.zone))
            .collect();
        let index = nodes
            .iter()
            .enumerate()
            .map(|(i, node)| (node.id, i))
            .collect();
        let end = ORIGIN + Duration::from_secs(settings.seconds);
        let start = ORIGIN + Duration::from_secs(8);
        let streams = deployment.traffic.clone();
        let workload = Workload::new(streams, start, end, settings.seed ^ 77, "s");
        let trainers = deployment.trainers.iter().enumerate();
        let trainers = trainers
            .map(|(i, t)| TrainerModel::new(t.clone(), i))
            .collect();
        let network = Network::new(
            settings.network.clone(),
            deployment.local_delay_us,
            deployment.zone_delay_us,
            deployment.client_delay_us,
        );
        Self {
            random: SmallRng::seed_from_u64(settings.seed),
            oracle: Oracle::new(terms_of(deployment)),
            deployment: deployment.clone(),
            plan,
            now: ORIGIN,
            end,
            queue: Queue::new(),
            network,
            nodes,
            index,
            platform,
            machine_zones,
            platform_owner: BTreeMap::new(),
            next_platform: 1,
            platform_wake: None,
            workload,
            workload_wake: None,
            trainers,
            open_clients: BTreeMap::new(),
            config_watch: ConfigWatch::default(),
            streams: BTreeMap::new(),
            faults: BTreeMap::new(),
            commits: BTreeMap::new(),
            weight_spread: Vec::new(),
            operator_requests: 0,
            races: BTreeMap::new(),
            trace: settings.seed,
            events: 0,
            settings,
        }
    }

    /// Runs to the end: the length of the traffic and time for what is open.
    pub fn run(&mut self) {
        let tail = Duration::from_secs(45);
        let whole = self.end.since(ORIGIN).as_millis() + tail.as_millis();
        self.run_until(whole);
        let now = self.now;
        self.oracle.finish(now);
    }

    /// Runs until some milliseconds after the start.
    pub fn run_until(&mut self, millis: u64) {
        if self.events == 0 {
            self.schedule_start();
        }
        let last = ORIGIN + Duration::from_millis(millis);
        while let Some((at, event)) = self.queue.pop_until(last) {
            self.now = at;
            self.events += 1;
            self.note(&event);
            self.handle(event);
        }
    }

    fn schedule_start(&mut self) {
        for node in 0..self.nodes.len() {
            let offset = Duration(node as u64 * 7_000);
            self.queue
                .push(ORIGIN + offset, SimEvent::NodeStart { node });
        }
        for (index, step) in self.plan.steps.iter().enumerate() {
            let at = ORIGIN + Duration::from_millis(step.at_ms);
            self.queue.push(at, SimEvent::PlanStep { index });
        }
        self.queue.push(ORIGIN, SimEvent::WorkloadWake);
        for trainer in 0..self.trainers.len() {
            let at = ORIGIN + Duration::from_secs(8);
            self.queue.push(at, SimEvent::TrainerWake { trainer });
        }
        self.queue.push(ORIGIN, SimEvent::Observe);
        if self.settings.operators {
            self.queue
                .push(ORIGIN + CHANGE_EVERY, SimEvent::OperatorChange);
        }
    }

    fn handle(&mut self, event: SimEvent) {
        if let Some(event) = self.defer_if_paused(event) {
            match event {
                SimEvent::PlatformWake if self.platform_wake == Some(self.now) => {
                    self.wake_platform()
                }
                SimEvent::PlatformWake => {}
                SimEvent::WorkloadWake => self.wake_workload(),
                SimEvent::TrainerWake { trainer } => self.wake_trainer(trainer),
                SimEvent::PlanStep { index } => self.start_step(index),
                SimEvent::Observe => self.observe(),
                SimEvent::OperatorChange => self.change_something(),
                SimEvent::CancelPlatform { id } => {
                    self.platform_owner.remove(&id);
                    self.platform.cancel(id);
                }
                SimEvent::ClientDone { client, result } => self.client_done(client, result),
                SimEvent::ClientTimeout { client } => self.client_timeout(client),
                SimEvent::PlatformCall { client, request } => self.platform_call(client, request),
                other => self.handle_node_event(other),
            }
        }
        self.collect();
    }

    /// Puts off what a paused node would handle.
    fn defer_if_paused(&mut self, event: SimEvent) -> Option<SimEvent> {
        let node = match &event {
            SimEvent::Tick { node, .. }
            | SimEvent::Peer { node, .. }
            | SimEvent::Call { node, .. }
            | SimEvent::HttpPart { node, .. }
            | SimEvent::HttpTimeout { node, .. }
            | SimEvent::Disk { node, .. } => *node,
            _ => return Some(event),
        };
        let process = &mut self.nodes[node];
        if process.paused_until.is_some_and(|until| self.now < until) {
            process.deferred.push(event);
            return None;
        }
        Some(event)
    }

    fn observe(&mut self) {
        self.queue.push(self.now + OBSERVE, SimEvent::Observe);
        self.config_watch.observe(
            self.now,
            &self.platform.store,
            &mut self.nodes,
            &mut self.oracle,
        );
        self.observe_weights();
    }

    /// Notes when the last engine of a model that can be reached has taken the
    /// newest committed version into use.
    fn observe_weights(&mut self) {
        let versions = self.platform.engine_versions();
        let mut done = Vec::new();
        for (pool, (version, since)) in &self.commits {
            let mut engines = versions
                .iter()
                .filter(|(name, _)| name.starts_with(pool.as_str()));
            if engines.all(|(_, active)| active >= version) {
                done.push((pool.clone(), self.now.since(*since)));
            }
        }
        for (pool, time) in done {
            self.commits.remove(&pool);
            self.weight_spread.push(time);
        }
    }

    /// Hands what engines and callers saw to the oracle and the counters.
    fn collect(&mut self) {
        for execution in self.platform.take_executions() {
            self.oracle.on_execution(&execution);
        }
        for event in self.workload.take_events() {
            self.oracle.on_caller(self.now, &event);
            if let WorkloadEvent::Ended {
                stream,
                ending,
                latency,
                ..
            } = &event
            {
                self.streams
                    .entry(stream.clone())
                    .or_default()
                    .add(ending, *latency);
            }
        }
        for trainer in &mut self.trainers {
            for step in trainer.take_delivered() {
                self.oracle.on_step(&step);
            }
        }
    }

    fn failure(&self, step: HttpStep, reason: &str) -> HttpFailure {
        HttpFailure {
            peer: "node".into(),
            step,
            reason: reason.into(),
        }
    }

    fn apply_fault(&mut self, fault: &Fault) {
        self.platform.apply(self.now, fault);
        self.wake_platform();
    }
}
