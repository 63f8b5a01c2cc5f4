//! State and main loop of the storage process.

use futures_channel::mpsc::{unbounded, UnboundedSender};
use futures_util::{select_biased, FutureExt, StreamExt};
use peatgrade_fleet::{EngineDirectory, Incarnation, OrderHistory, VersionCoordinator};
use peatgrade_forward::Forwarder;
use peatgrade_jobs::{Dispatcher, JobStore, PendingEnds, RunId};
use peatgrade_mirror::Publisher;
use peatgrade_ports::{Codec, Configuration, StoreUpdate, VersionOrder};
use peatgrade_replication::{
    voters_to_tolerate, LogFile, MembershipPlanner, Replica, ReplicaId, ReplicaSettings, Role,
    Timing,
};
use peatgrade_runtime::http_client::CancelOnDrop;
use peatgrade_runtime::{HttpClient, LinkSocket};
use peatgrade_schema::replication::Member;
use peatgrade_types::{hash_bytes, Duration as Span, Time};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use crate::build_info::BuildInfo;
use crate::clock::{steady_now, suspended_time};
use crate::event_loop::IterationMonitor;
use crate::gateway_process::socket_error;
use crate::metrics::{serve_metrics, Metrics};
use crate::pause_detector::PauseDetector;
use crate::settings::ServerSettings;
use crate::signals::process_signals;
use crate::store_client::StoreClient;
use crate::unreadable_entries::UnreadableEntries;
use crate::watcher::{ObjectCount, WatchFlag};
use crate::ServerError;

use super::applied_commands::AppliedCommands;
use super::bootstrap::GroupBootstrap;
use super::configuration_log::ConfigurationFreshness;
use super::crashes::CrashSharing;
use super::end_request_file::EndRequestFile;
use super::engine_exchanges::{EngineExchange, ExchangeId};
use super::identified_machines::IdentifiedMachines;
use super::job_calls::PendingCalls;
use super::job_memory::JobReservations;
use super::leader_session::LeaderSession;
use super::loop_inputs::{Input, Inputs};
use super::memory::MemoryMonitor;
use super::observations::ObservationRelay;
use super::peer_mirror::PeerMirror;
use super::pressure::{ResourceLimits, ResourcePressure};
use super::retirement::Retirement;
use super::reward_calls::RewardCalls;
use super::startup::{open_crashes, open_end_requests, open_log, own_member};
use super::traffic::CallerZones;
use super::usage::Usage;
use super::work_times::{WorkKind, WorkTimes};

/// Maximum number of inputs handled before the log is persisted.
const MAX_BATCH: usize = 256;
/// Maximum time spent on a batch. Heartbeats, sent every 45 ms, wait for the batch to end.
const MAX_BATCH_TIME: Span = Span::from_millis(20);
/// How often the actual and the desired group members are compared.
const MEMBERSHIP_INTERVAL: Span = Span::from_millis(20);

/// Runs a storage process until it receives a stop signal.
pub async fn run_storage(
    settings: ServerSettings,
    codec: Rc<dyn Codec>,
    build: BuildInfo,
) -> Result<(), ServerError> {
    let (mut process, mut inputs) = StorageProcess::start(settings, codec, &build)?;
    loop {
        let tick = monoio::time::sleep(process.tick_interval()).fuse();
        futures_util::pin_mut!(tick);
        let first = select_biased! {
            signal = inputs.signals.next() => signal.map(Input::Signal),
            message = inputs.messages.next() => message.map(Input::Message),
            part = inputs.parts.next() => part.map(|(id, part)| Input::Part(id, part)),
            update = inputs.updates.next() => update.map(Input::Update),
            step = inputs.bootstrap_steps.next() => step.map(Input::Bootstrap),
            _ = tick => None,
        };
        let began = steady_now();
        process.iteration_monitor.begin(began);
        process.work_times.start_iteration(began);
        let mut next = first;
        let mut handled = 0;
        while let Some(input) = next {
            let kind = input.kind();
            process.handle(input);
            process.record_work(kind);
            handled += 1;
            let has_time_left = steady_now().since(began) < MAX_BATCH_TIME;
            next = if handled < MAX_BATCH && has_time_left {
                inputs.try_next()
            } else {
                None
            };
        }
        process.iteration_monitor.work.inputs = handled;
        process.run_due_work()?;
        process.record_iteration(steady_now());
        if process.may_exit() {
            log::info!("step=exit leads={}", process.replica.role() == Role::Leader);
            return Ok(());
        }
    }
}

pub(super) struct StorageProcess {
    pub settings: ServerSettings,
    pub codec: Rc<dyn Codec>,
    pub replica: Replica,
    pub log_file: LogFile,
    pub log_rewrite_started: Time,
    pub link: LinkSocket,
    pub store: StoreClient,
    pub jobs: JobStore,
    pub calls: PendingCalls,
    /// Requests to end a job that this replica received and that are not committed yet.
    pub pending_ends: PendingEnds,
    pub end_request_file: EndRequestFile,
    pub crashes: CrashSharing,
    /// Engine observations made here and by other machines.
    pub observations: ObservationRelay,
    pub dispatcher: Dispatcher,
    pub coordinator: Option<VersionCoordinator>,
    pub membership_planner: MembershipPlanner,
    pub identified_machines: IdentifiedMachines,
    pub configuration: Configuration,
    pub configuration_freshness: ConfigurationFreshness,
    pub directory: EngineDirectory,
    pub engines_listed: bool,
    /// Number of engines in the directory; the engine watch derives its timing from it.
    pub engine_count: ObjectCount,
    pub metrics: Metrics,
    pub client: HttpClient<ExchangeId>,
    pub exchanges: HashMap<ExchangeId, EngineExchange>,
    pub run_exchanges: HashMap<RunId, ExchangeId>,
    pub reward_calls: RewardCalls,
    pub cancel_handles: HashMap<ExchangeId, CancelOnDrop>,
    pub next_exchange: u64,
    pub updates: UnboundedSender<StoreUpdate>,
    /// Store updates received from other members while this leader cannot read the store.
    pub peer_mirror: PeerMirror,
    /// Publishes store objects to subscribers.
    pub publisher: Publisher,
    /// Newest version of each model in the store.
    pub versions: BTreeMap<String, u64>,
    pub member_watches: WatchFlag,
    pub leader_watches: WatchFlag,
    /// Weight orders that are committed to the log.
    pub orders: OrderHistory,
    pub unreadable_entries: UnreadableEntries,
    /// Orders whose log entry is not committed yet.
    pub pending_orders: HashMap<String, (Incarnation, VersionOrder)>,
    pub leader_session: LeaderSession,
    /// Storage machines that are to be drained, by node name.
    pub retirements: BTreeMap<String, Retirement>,
    pub limits: ResourceLimits,
    pub memory: MemoryMonitor,
    pub job_reservations: JobReservations,
    pub usage: Usage,
    pub caller_zones: CallerZones,
    /// The resource that is too low to accept another job.
    pub pressure: Option<ResourcePressure>,
    pub stop_requested_at: Option<Time>,
    pub last_dispatch: Time,
    pub last_expiry: Time,
    pub last_membership_check: Time,
    pub last_housekeeping: Time,
    pub last_role: Role,
    pub last_leader: Option<String>,
    pub last_store_update: Time,
    pub pause_detector: PauseDetector,
    pub iteration_monitor: IterationMonitor,
    pub work_times: WorkTimes,
    /// Start of the current leader session.
    pub leading_since: Time,
    /// Runs started in the current leader session.
    pub runs_started: u64,
}

impl StorageProcess {
    fn start(
        settings: ServerSettings,
        codec: Rc<dyn Codec>,
        build: &BuildInfo,
    ) -> Result<(Self, Inputs), ServerError> {
        let now = steady_now();
        let signals = process_signals().map_err(|source| ServerError::System {
            step: "install signal handlers",
            source,
        })?;
        let (log_file, recovered) = open_log(&settings)?;
        let (end_request_file, recovered_ends) = open_end_requests(&settings)?;
        let (crash_file, known_crashes) = open_crashes(&settings)?;
        let mut directory = EngineDirectory::default();
        directory.quarantine.merge(now, &known_crashes, "disk");
        let mut pending_ends = PendingEnds::default();
        for end in recovered_ends {
            pending_ends.insert(now, end);
        }
        let id = ReplicaId(recovered.state.replica);
        let seed = hash_bytes(settings.name.as_bytes());
        log::info!(
            "step=start role=storage replica={id} fresh={} entries={} term={} torn_bytes={} asked_ends={} peer={} zone={}",
            recovered.is_new,
            recovered.log.last_index(),
            recovered.state.term,
            recovered.torn_bytes,
            pending_ends.len(),
            settings.peer_address,
            settings.zone
        );
        let replica_settings = ReplicaSettings {
            id,
            address: settings.peer_address.clone(),
            seed,
            timing: Timing::default(),
        };
        let replica = Replica::new(now, replica_settings, &recovered.state, recovered.log);
        let (messages, message_inputs) = unbounded();
        let link = LinkSocket::open(&settings.peer_address, messages)
            .map_err(socket_error("peer", &settings.peer_address))?;
        settings.limit_received(&link);
        let metrics = Metrics::new();
        metrics.set_build(build);
        let store = StoreClient::new(&settings.store_address, codec.clone(), metrics.clone());
        let (updates, update_inputs) = unbounded();
        let (bootstrap_steps, bootstrap_inputs) = unbounded();
        let identified_machines = IdentifiedMachines::default();
        let member = own_member(&settings, id);
        monoio::spawn(super::registration::register(store.clone(), member.clone()));
        if replica.members().is_empty() {
            let bootstrap = GroupBootstrap {
                store: store.clone(),
                own: member,
                voters: voters_to_tolerate(settings.tolerated_losses),
                identified: identified_machines.clone(),
                steps: bootstrap_steps,
            };
            monoio::spawn(bootstrap.run());
        }
        serve_metrics(&settings.metrics_address, &metrics, &codec)?;
        let (parts, part_inputs) = unbounded();
        let reader_codec = codec.clone();
        let limits = ResourceLimits {
            disk_mb: settings.disk_limit_mb,
            memory_mb: settings.memory_limit_mb,
        };
        let forwarder = Forwarder::new(codec.clone(), settings.forwarder_settings(seed));
        let voters = voters_to_tolerate(settings.tolerated_losses);
        let catch_up_time = settings.catch_up_time();
        let commands = Rc::new(AppliedCommands(log_file.entry_reader()));
        let peer_mirror = PeerMirror::new(now, &settings);
        let observations = ObservationRelay::new(&settings);
        let process = Self {
            dispatcher: Dispatcher::new(Box::new(move || reader_codec.event_decoder()))
                .with_placement(settings.item_placement()),
            settings,
            client: HttpClient::tracking_connections(parts, codec.request_id_header()),
            codec,
            replica,
            log_file,
            log_rewrite_started: now,
            link,
            store,
            jobs: JobStore::with_log(commands),
            calls: PendingCalls::default(),
            pending_ends,
            end_request_file,
            crashes: CrashSharing::new(now, crash_file),
            observations,
            coordinator: None,
            membership_planner: MembershipPlanner::new(voters).with_catch_up_time(catch_up_time),
            identified_machines,
            configuration: Configuration::default(),
            configuration_freshness: ConfigurationFreshness::default(),
            directory,
            engines_listed: false,
            engine_count: ObjectCount::default(),
            metrics,
            exchanges: HashMap::new(),
            run_exchanges: HashMap::new(),
            reward_calls: RewardCalls::new(forwarder),
            cancel_handles: HashMap::new(),
            next_exchange: 1,
            updates,
            publisher: Publisher::default(),
            peer_mirror,
            versions: BTreeMap::new(),
            member_watches: WatchFlag::default(),
            leader_watches: WatchFlag::default(),
            orders: OrderHistory::default(),
            unreadable_entries: UnreadableEntries::default(),
            pending_orders: HashMap::new(),
            leader_session: LeaderSession::default(),
            retirements: BTreeMap::new(),
            limits,
            memory: MemoryMonitor::default(),
            job_reservations: JobReservations::default(),
            usage: Usage::default(),
            caller_zones: CallerZones::default(),
            pressure: None,
            stop_requested_at: None,
            last_dispatch: Time(0),
            last_expiry: now,
            last_membership_check: Time(0),
            last_housekeeping: now,
            last_role: Role::Follower,
            last_leader: None,
            last_store_update: now,
            pause_detector: PauseDetector::new(now, suspended_time()),
            iteration_monitor: IterationMonitor::new(now),
            work_times: WorkTimes::default(),
            leading_since: now,
            runs_started: 0,
        };
        let inputs = Inputs {
            signals,
            messages: message_inputs,
            parts: part_inputs,
            updates: update_inputs,
            bootstrap_steps: bootstrap_inputs,
            polls_parts_first: false,
        };
        Ok((process, inputs))
    }

    pub fn own_member(&self) -> Member {
        own_member(&self.settings, self.replica.id())
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Signal(signal) => self.on_signal(signal),
            Input::Message(bytes) => self.on_message(&bytes),
            Input::Part(id, part) => self.on_part(id, part),
            Input::Update(update) => self.on_update(update),
            Input::Bootstrap(step) => self.on_bootstrap_step(step),
        }
    }

    /// Performs timed and follow-up work after a batch of inputs.
    fn run_due_work(&mut self) -> Result<(), ServerError> {
        let now = steady_now();
        if let Some(pause) = self.pause_detector.on_iteration(now, suspended_time()) {
            self.metrics.count("paused");
            log::warn!("step=paused {pause}");
        }
        self.sync_end_requests();
        self.replica
            .set_store_staleness(now.since(self.last_store_update));
        if now >= self.replica.next_tick() {
            self.record_heartbeat_delay(now);
            self.replica.tick(now);
        }
        let members_due = now.since(self.last_membership_check) >= MEMBERSHIP_INTERVAL;
        if members_due {
            self.last_membership_check = now;
            self.update_member_watches();
        }
        for instance in self.directory.drop_lapsed(now) {
            log::info!("belief=engine-gone instance={instance} reason=not-back");
        }
        self.update_leader_session(now);
        self.forward_end_requests(now);
        self.poll_peers(now);
        self.process_ready()?;
        self.record_work(WorkKind::Replication);
        self.run_leader_tasks(now);
        if members_due {
            self.reconcile_members(now);
        }
        self.process_ready()?;
        self.record_work(WorkKind::Replication);
        self.reply_to_pending_calls(now);
        self.record_work(WorkKind::Callers);
        self.share_observations(now);
        self.send_due_replies(now);
        self.share_crashes(now);
        self.record_work(WorkKind::Publishing);
        self.housekeeping(now)?;
        self.record_work(WorkKind::Housekeeping);
        Ok(())
    }
}
