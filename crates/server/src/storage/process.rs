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
use peatgrade_runtime::http_client::Cancel;
use peatgrade_runtime::{HttpClient, LinkSocket};
use peatgrade_schema::replication::Member;
use peatgrade_types::{hash_bytes, Duration as Span, Time};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use crate::clock::{steady_now, suspended_time};
use crate::event_loop::IterationMonitor;
use crate::gateway_process::socket_error;
use crate::metrics::{serve_metrics, Metrics};
use crate::pause_detector::PauseDetector;
use crate::settings::{ServerRole, ServerSettings};
use crate::signals::{process_signals, ProcessSignal};
use crate::store_client::StoreClient;
use crate::unreadable_entries::UnreadableEntries;
use crate::watcher::{ObjectCount, WatchFlag};
use crate::ServerError;

use super::applied_commands::AppliedCommands;
use super::calls::JobCalls;
use super::crashes::CrashSharing;
use super::ends_file::EndsFile;
use super::engines::{EngineExchange, ExchangeId};
use super::inputs::{Input, Inputs};
use super::leader_work::LeaderWork;
use super::member_news::MemberNews;
use super::memory::MemoryWatch;
use super::observations::ObservationRelay;
use super::opening::{open_crashes, open_ends, open_log, own_member};
use super::pressure::{Pressure, Room};
use super::registration;
use super::retirement::Retirement;
use super::scores::ScoreCalls;
use super::traffic::CallerZones;
use super::usage::Usage;
use super::work_shares::{WorkKind, WorkShares};

/// Inputs handled before the log is persisted once for all of them.
const MAX_BATCH: usize = 256;
/// Longest time for that: heartbeats are due each 45 ms and wait for it.
const MAX_BATCH_TIME: Span = Span::from_millis(20);
/// Kept back from the time to stop.
const GRACE_MARGIN_MS: u64 = 600;
/// Time between two looks at who is a member and who should be.
const MEMBERS_EVERY: Span = Span::from_millis(20);

/// Runs a storage process until it has been told to stop.
pub async fn run_storage(
    settings: ServerSettings,
    codec: Rc<dyn Codec>,
) -> Result<(), ServerError> {
    let (mut process, mut inputs) = StorageProcess::start(settings, codec)?;
    loop {
        let tick = monoio::time::sleep(process.tick_time()).fuse();
        futures_util::pin_mut!(tick);
        let first = select_biased! {
            signal = inputs.signals.next() => signal.map(Input::Signal),
            message = inputs.messages.next() => message.map(Input::Message),
            part = inputs.parts.next() => part.map(|(id, part)| Input::Part(id, part)),
            update = inputs.updates.next() => update.map(Input::Update),
            founding = inputs.foundings.next() => founding.map(Input::Founding),
            _ = tick => None,
        };
        let began = steady_now();
        process.turns.begin(began);
        process.shares.begin(began);
        let mut next = first;
        let mut handled = 0;
        while let Some(input) = next {
            let kind = input.kind();
            process.handle(input);
            process.worked_on(kind);
            handled += 1;
            let is_in_time = steady_now().since(began) < MAX_BATCH_TIME;
            next = if handled < MAX_BATCH && is_in_time {
                inputs.take_waiting()
            } else {
                None
            };
        }
        process.turns.work.inputs = handled;
        process.work()?;
        process.note_turn(steady_now());
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
    /// When the last rewrite of it began.
    pub rewrite_began: Time,
    pub link: LinkSocket,
    pub store: StoreClient,
    pub jobs: JobStore,
    pub calls: JobCalls,
    /// Ends that were asked for and are not committed, as far as heard here.
    pub asked_ends: PendingEnds,
    pub ends_file: EndsFile,
    pub crashes: CrashSharing,
    /// What was seen of engines here and elsewhere.
    pub observations: ObservationRelay,
    pub dispatcher: Dispatcher,
    pub coordinator: Option<VersionCoordinator>,
    pub group: MembershipPlanner,
    pub configuration: Configuration,
    pub directory: EngineDirectory,
    pub engines_known: bool,
    /// Engines in the directory, for the watch of their list.
    pub engine_count: ObjectCount,
    pub metrics: Metrics,
    pub client: HttpClient<ExchangeId>,
    pub exchanges: HashMap<ExchangeId, EngineExchange>,
    pub run_exchanges: HashMap<RunId, ExchangeId>,
    pub scores: ScoreCalls,
    pub cancels: HashMap<ExchangeId, Cancel>,
    pub next_exchange: u64,
    pub updates: UnboundedSender<StoreUpdate>,
    /// What others tell of the store, when this leader does not hear it.
    pub member_news: MemberNews,
    /// What others are told of the store.
    pub publisher: Publisher,
    /// Newest version of each model, as the store told.
    pub versions: BTreeMap<String, u64>,
    /// Watches that only a member of the group needs.
    pub member_watches: WatchFlag,
    /// Watches that only a leader needs.
    pub leader_watches: WatchFlag,
    /// Orders to engines that were noted.
    pub orders: OrderHistory,
    pub unreadable: UnreadableEntries,
    /// Orders whose note is on its way into the log.
    pub pending_orders: HashMap<String, (Incarnation, VersionOrder)>,
    pub work: LeaderWork,
    /// Machines to be emptied.
    pub retirements: BTreeMap<String, Retirement>,
    pub room: Room,
    pub memory: MemoryWatch,
    /// What tenants have used.
    pub usage: Usage,
    /// Zones of the gateways that call.
    pub caller_zones: CallerZones,
    /// What there is too little of for another job.
    pub pressure: Option<Pressure>,
    pub stop_at: Option<Time>,
    pub last_dispatch: Time,
    pub last_expire: Time,
    pub last_members: Time,
    pub last_sweep: Time,
    pub last_role: Role,
    pub last_leader: Option<String>,
    pub store_heard: Time,
    pub pauses: PauseDetector,
    pub turns: IterationMonitor,
    pub shares: WorkShares,
    /// When this machine began to lead, and runs that it has started since.
    pub led_since: Time,
    pub runs_started: u64,
}

impl StorageProcess {
    fn start(
        settings: ServerSettings,
        codec: Rc<dyn Codec>,
    ) -> Result<(Self, Inputs), ServerError> {
        let now = steady_now();
        let signals = process_signals().map_err(|source| ServerError::System {
            step: "install signal handlers",
            source,
        })?;
        let (log_file, recovered) = open_log(&settings)?;
        let (ends_file, heard) = open_ends(&settings)?;
        let (crash_file, known_crashes) = open_crashes(&settings)?;
        let mut directory = EngineDirectory::default();
        directory.quarantine.merge(now, &known_crashes, "disk");
        let mut asked_ends = PendingEnds::default();
        for end in heard {
            asked_ends.insert(now, end);
        }
        let id = ReplicaId(recovered.state.replica);
        let seed = hash_bytes(settings.name.as_bytes());
        log::info!(
            "step=start role=storage replica={id} fresh={} entries={} term={} torn_bytes={} asked_ends={} peer={} zone={}",
            recovered.is_new,
            recovered.log.last_index(),
            recovered.state.term,
            recovered.torn_bytes,
            asked_ends.len(),
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
        let metrics = Metrics::new();
        let store = StoreClient::new(&settings.store_address, codec.clone(), metrics.clone());
        let (updates, update_inputs) = unbounded();
        let (foundings, founding_inputs) = unbounded();
        let me = own_member(&settings, id);
        monoio::spawn(registration::register(store.clone(), me.clone()));
        if replica.members().is_empty() {
            let voters = voters_to_tolerate(settings.tolerated_losses);
            monoio::spawn(registration::found(store.clone(), me, voters, foundings));
        }
        serve_metrics(&settings.metrics_address, &metrics, &codec)?;
        let (parts, part_inputs) = unbounded();
        let reader_codec = codec.clone();
        let room = Room {
            disk_mb: settings.disk_limit_mb,
            memory_mb: settings.memory_limit_mb,
        };
        let forwarder = Forwarder::new(codec.clone(), settings.forwarder_settings(seed));
        let group = MembershipPlanner::new(voters_to_tolerate(settings.tolerated_losses));
        let commands = Rc::new(AppliedCommands(log_file.entry_reader()));
        let member_news = MemberNews::new(now, &settings);
        let observations = ObservationRelay::new(&settings);
        let process = Self {
            dispatcher: Dispatcher::new(Box::new(move || reader_codec.event_decoder()))
                .with_placement(settings.item_placement()),
            settings,
            codec,
            replica,
            log_file,
            rewrite_began: now,
            link,
            store,
            jobs: JobStore::with_log(commands),
            calls: JobCalls::default(),
            asked_ends,
            ends_file,
            crashes: CrashSharing::new(now, crash_file),
            observations,
            coordinator: None,
            group,
            configuration: Configuration::default(),
            directory,
            engines_known: false,
            engine_count: ObjectCount::default(),
            metrics,
            client: HttpClient::telling_opened(parts),
            exchanges: HashMap::new(),
            run_exchanges: HashMap::new(),
            scores: ScoreCalls::new(forwarder),
            cancels: HashMap::new(),
            next_exchange: 1,
            updates,
            publisher: Publisher::default(),
            member_news,
            versions: BTreeMap::new(),
            member_watches: WatchFlag::default(),
            leader_watches: WatchFlag::default(),
            orders: OrderHistory::default(),
            unreadable: UnreadableEntries::default(),
            pending_orders: HashMap::new(),
            work: LeaderWork::default(),
            retirements: BTreeMap::new(),
            room,
            memory: MemoryWatch::default(),
            usage: Usage::default(),
            caller_zones: CallerZones::default(),
            pressure: None,
            stop_at: None,
            last_dispatch: Time(0),
            last_expire: now,
            last_members: Time(0),
            last_sweep: now,
            last_role: Role::Follower,
            last_leader: None,
            store_heard: now,
            pauses: PauseDetector::new(now, suspended_time()),
            turns: IterationMonitor::new(now),
            shares: WorkShares::default(),
            led_since: now,
            runs_started: 0,
        };
        let inputs = Inputs {
            signals,
            messages: message_inputs,
            parts: part_inputs,
            updates: update_inputs,
            foundings: founding_inputs,
            parts_first: false,
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
            Input::Founding(founding) => self.on_founding(founding),
        }
    }

    fn on_signal(&mut self, signal: ProcessSignal) {
        match signal {
            ProcessSignal::Stop if self.stop_at.is_none() => {
                let now = steady_now();
                self.stop_at = Some(now);
                let handed = self.replica.transfer_leadership(now, None);
                log::info!("step=stop handover={handed}");
            }
            ProcessSignal::Reload => {
                self.settings.reload(ServerRole::Storage);
                self.store.set_address(&self.settings.store_address);
            }
            ProcessSignal::Stop => {}
        }
    }

    /// All that is due after inputs were handled.
    fn work(&mut self) -> Result<(), ServerError> {
        let now = steady_now();
        if let Some(pause) = self.pauses.on_iteration(now, suspended_time()) {
            self.metrics.count("paused");
            log::warn!("step=paused {pause}");
        }
        self.sync_ends();
        self.replica
            .set_store_staleness(now.since(self.store_heard));
        if now >= self.replica.next_tick() {
            self.note_heartbeat(now);
            self.replica.tick(now);
        }
        let members_due = now.since(self.last_members) >= MEMBERS_EVERY;
        if members_due {
            self.last_members = now;
            self.follow_membership();
        }
        for instance in self.directory.drop_lapsed(now) {
            log::info!("belief=engine-gone instance={instance} reason=not-back");
        }
        self.follow_role(now);
        self.pass_on_ends(now);
        self.ask_members(now);
        self.pump()?;
        self.worked_on(WorkKind::Replication);
        self.lead(now);
        if members_due {
            self.change_members(now);
        }
        self.pump()?;
        self.worked_on(WorkKind::Replication);
        self.answer_waiting(now);
        self.worked_on(WorkKind::Callers);
        self.share_observations(now);
        self.publish(now);
        self.share_crashes(now);
        self.worked_on(WorkKind::Publishing);
        self.housekeeping(now)?;
        self.worked_on(WorkKind::Housekeeping);
        Ok(())
    }

    fn may_exit(&self) -> bool {
        let Some(since) = self.stop_at else {
            return false;
        };
        let age = steady_now().since(since).as_millis();
        let limit = self.settings.grace_ms.saturating_sub(GRACE_MARGIN_MS);
        let handed = self.replica.role() != Role::Leader && age >= 100;
        handed || age >= limit.min(2_000)
    }
}
