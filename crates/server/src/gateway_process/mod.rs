//! The gateway process.

use futures_channel::mpsc::{unbounded, UnboundedReceiver, UnboundedSender};
use futures_util::{select_biased, FutureExt, StreamExt};
use peatgrade_forward::{CallId, HttpId};
use peatgrade_gateway::{Gateway, GatewaySettings};
use peatgrade_mirror::Subscriber;
use peatgrade_ports::{CallerMessage, CallerResponse, Codec, StoreUpdate};
use peatgrade_runtime::http_client::CancelOnDrop;
use peatgrade_runtime::{
    HttpClient, Incoming, LinkSocket, ReceivedMessage, Responder, ServerControl,
};
use peatgrade_schema::decode;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::ReplicaMessage;
use peatgrade_types::http::ResponsePart;
use peatgrade_types::{hash_bytes, Time};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

mod actions;
mod caller_limits;
mod crash_exchange;
mod observations;
mod shutdown;
mod state_metrics;
mod store_subscription;
mod store_updates;
mod usage;

pub(crate) use actions::from_std_duration;
use caller_limits::{serve_callers, server_control, spare_memory};
use crash_exchange::CrashExchange;
use observations::ObservationExchange;
use store_subscription::{new_subscriber, FoundReplicas, ReplicaLookup};
use usage::GatewayUsage;

use crate::build_info::BuildInfo;
use crate::clock::{steady_now, suspended_time};
use crate::metrics::{serve_metrics, Metrics};
use crate::pause_detector::PauseDetector;
use crate::settings::{ServerRole, ServerSettings};
use crate::signals::{process_signals, ProcessSignal};
use crate::store_client::StoreClient;
use crate::unreadable_entries::UnreadableEntries;
use crate::watcher::WatchFlag;
use crate::ServerError;

/// Tick interval with and without requests in flight.
const BUSY_TICK: Duration = Duration::from_millis(15);
const IDLE_TICK: Duration = Duration::from_millis(100);

/// Runs a gateway until it has received a stop signal and drained.
pub async fn run_gateway(
    settings: ServerSettings,
    codec: Rc<dyn Codec>,
    build: BuildInfo,
) -> Result<(), ServerError> {
    let (mut process, mut inputs) = GatewayProcess::start(settings, codec, &build)?;
    loop {
        let busy = process.gateway.in_flight() > 0 || process.closing_since.is_some();
        let tick = monoio::time::sleep(if busy { BUSY_TICK } else { IDLE_TICK }).fuse();
        futures_util::pin_mut!(tick);
        select_biased! {
            signal = inputs.signals.next() => process.on_signal(signal),
            part = inputs.parts.next() => process.on_part(part),
            call = inputs.calls.next() => process.on_call(call),
            message = inputs.messages.next() => process.on_message(message),
            update = inputs.updates.next() => process.on_watch_update(update),
            found = inputs.found_replicas.next() => process.on_replicas_found(found),
            _ = tick => {}
        }
        process.tick();
        let is_closing = process.closing_since.is_some() || process.may_exit();
        if is_closing && process.close_connections() {
            log::info!("step=exit in_flight={}", process.gateway.in_flight());
            monoio::time::sleep(Duration::from_millis(30)).await;
            return Ok(());
        }
    }
}

struct Inputs {
    signals: UnboundedReceiver<ProcessSignal>,
    parts: UnboundedReceiver<(HttpId, ResponsePart)>,
    calls: UnboundedReceiver<Incoming>,
    messages: UnboundedReceiver<ReceivedMessage>,
    updates: UnboundedReceiver<StoreUpdate>,
    found_replicas: UnboundedReceiver<FoundReplicas>,
}

/// A call whose response is not complete.
struct OpenCall {
    responder: Responder,
    started: Time,
}

struct GatewayProcess {
    settings: ServerSettings,
    codec: Rc<dyn Codec>,
    gateway: Gateway,
    client: HttpClient<HttpId>,
    link: LinkSocket,
    store: StoreClient,
    calls: BTreeMap<CallId, OpenCall>,
    metrics: Metrics,
    requests: HashMap<HttpId, CancelOnDrop>,
    next_call: u64,
    engines_listed: bool,
    server: ServerControl,
    stop_requested_at: Option<Time>,
    closing_since: Option<Time>,
    last_sweep: Time,
    /// Receives store updates from the replicas.
    subscriber: Subscriber,
    unreadable_entries: UnreadableEntries,
    /// Set while the gateway watches the store directly.
    store_watch: WatchFlag,
    updates: UnboundedSender<StoreUpdate>,
    replica_lookup: ReplicaLookup,
    /// Addresses of the known replicas.
    replicas: Vec<String>,
    crash_exchange: CrashExchange,
    observations: ObservationExchange,
    usage: GatewayUsage,
    found_replicas: UnboundedSender<FoundReplicas>,
    was_ready: bool,
    pause_detector: PauseDetector,
}

impl GatewayProcess {
    fn start(
        settings: ServerSettings,
        codec: Rc<dyn Codec>,
        build: &BuildInfo,
    ) -> Result<(Self, Inputs), ServerError> {
        let signals = process_signals().map_err(|source| ServerError::System {
            step: "install signal handlers",
            source,
        })?;
        let server = server_control(&settings);
        let (calls, call_inputs) = unbounded();
        serve_callers(&settings, &calls, &server)?;
        let (messages, message_inputs) = unbounded();
        let link = LinkSocket::open(&settings.peer_address, messages)
            .map_err(socket_error("peer", &settings.peer_address))?;
        settings.limit_received(&link);
        let metrics = Metrics::new();
        metrics.set_build(build);
        let store = StoreClient::new(&settings.store_address, codec.clone(), metrics.clone());
        let (updates, update_inputs) = unbounded();
        serve_metrics(&settings.metrics_address, &metrics, &codec)?;
        let (parts, part_inputs) = unbounded();
        let (found_replicas, found_replica_inputs) = unbounded();
        let seed = hash_bytes(settings.name.as_bytes()) ^ u64::from(std::process::id());
        log::info!(
            "step=start role=gateway front={} ready={} peer={} store={} zone={}",
            settings.front_address,
            settings.ready_address,
            settings.peer_address,
            settings.store_address,
            settings.zone
        );
        let gateway_settings = GatewaySettings {
            forwarding: settings.forwarder_settings(seed),
            // Random, so that call ids differ from those before a restart.
            first_call_id: u64::from(rand::random::<u32>()) << 31,
            max_key_staleness: settings.max_key_staleness(),
        };
        let mut gateway = Gateway::new(gateway_settings, codec.clone());
        gateway.limit_submissions(spare_memory(&settings, &server));
        let process = Self {
            gateway,
            subscriber: new_subscriber(&settings),
            unreadable_entries: UnreadableEntries::default(),
            store_watch: WatchFlag::default(),
            updates,
            replica_lookup: ReplicaLookup::new(steady_now()),
            replicas: Vec::new(),
            crash_exchange: CrashExchange::default(),
            observations: ObservationExchange::new(&settings),
            usage: GatewayUsage::new(settings.usage_window_ms > 0),
            found_replicas,
            settings,
            client: HttpClient::tracking_connections(parts, codec.request_id_header()),
            codec,
            link,
            store,
            calls: BTreeMap::new(),
            metrics,
            requests: HashMap::new(),
            next_call: 1,
            engines_listed: false,
            server,
            stop_requested_at: None,
            closing_since: None,
            last_sweep: steady_now(),
            was_ready: false,
            pause_detector: PauseDetector::new(steady_now(), suspended_time()),
        };
        let inputs = Inputs {
            signals,
            parts: part_inputs,
            calls: call_inputs,
            messages: message_inputs,
            updates: update_inputs,
            found_replicas: found_replica_inputs,
        };
        Ok((process, inputs))
    }

    fn is_ready(&self) -> bool {
        self.stop_requested_at.is_none()
            && self.gateway.configuration.is_some()
            && self.engines_listed
    }

    fn on_signal(&mut self, signal: Option<ProcessSignal>) {
        match signal {
            Some(ProcessSignal::Stop) if self.stop_requested_at.is_none() => {
                self.stop_requested_at = Some(steady_now());
                self.server.draining.set(true);
                log::info!("step=stop in_flight={}", self.gateway.in_flight());
            }
            Some(ProcessSignal::Reload) => {
                self.settings.reload(ServerRole::Gateway);
                self.store.set_address(&self.settings.store_address);
            }
            _ => {}
        }
    }

    /// Whether a stop signal was received and the time to accept new requests has passed.
    fn accept_period_over(&self, now: Time) -> bool {
        let stopping = self.stop_requested_at;
        stopping.is_some_and(|since| now.since(since) >= shutdown::accept_period(self.grace()))
    }

    fn may_exit(&self) -> bool {
        let Some(since) = self.stop_requested_at else {
            return false;
        };
        let age = steady_now().since(since);
        let limit = shutdown::drain_period(self.grace());
        let usage_acknowledged = self.usage.unacknowledged_starts() == 0;
        let drained = self.accept_period_over(steady_now())
            && self.gateway.in_flight() == 0
            && usage_acknowledged;
        drained || age >= limit
    }

    /// Longest time from a stop signal to the exit of the process.
    fn grace(&self) -> peatgrade_types::Duration {
        peatgrade_types::Duration::from_millis(self.settings.grace_ms)
    }

    /// Closes the callers' connections. Requests already read are answered; no more are read.
    /// Returns whether all connections are closed or closing has timed out.
    fn close_connections(&mut self) -> bool {
        let now = steady_now();
        let since = *self.closing_since.get_or_insert(now);
        self.gateway.start_draining();
        self.server.shutdown.begin();
        let open = self.server.shutdown.open_connections();
        let in_flight = self.gateway.in_flight();
        let stopping = now.since(self.stop_requested_at.unwrap_or(since));
        let timed_out =
            shutdown::close_timed_out(now.since(since), stopping, self.grace(), in_flight);
        if timed_out && open > 0 {
            log::warn!(
                "step=close open_connections={open} in_flight={in_flight} reason=took-too-long"
            );
        }
        open == 0 || timed_out
    }

    fn on_call(&mut self, incoming: Option<Incoming>) {
        let Some(incoming) = incoming else {
            return;
        };
        let (request, responder) = (incoming.request, incoming.responder);
        if self.codec.is_readiness_check(&request) {
            let (head, body) = self
                .codec
                .caller_response(&CallerResponse::Ready(self.is_ready()));
            let parts = [
                ResponsePart::Head(head),
                ResponsePart::Data(body),
                ResponsePart::End,
            ];
            for part in parts {
                let _ = responder.send(part);
            }
            return;
        }
        let call = CallId(self.next_call);
        self.next_call += 1;
        let started = steady_now();
        self.calls.insert(call, OpenCall { responder, started });
        let mut message = self.codec.caller_message(request);
        if let CallerMessage::Request(request) = &mut message {
            let limit = u32::try_from(incoming.limits.max_body_bytes);
            request.max_body_bytes = Some(limit.unwrap_or(u32::MAX));
        }
        let actions = self.gateway.on_caller_message(steady_now(), call, message);
        self.execute(actions);
    }

    fn on_part(&mut self, part: Option<(HttpId, ResponsePart)>) {
        let Some((id, part)) = part else {
            return;
        };
        if matches!(part, ResponsePart::End | ResponsePart::Failed(_)) {
            self.requests.remove(&id);
        }
        self.report_opened_connections();
        let actions = self.gateway.on_response_part(steady_now(), id, part);
        self.execute(actions);
        self.limit_responses();
    }

    fn on_message(&mut self, bytes: Option<ReceivedMessage>) {
        let message = bytes.and_then(|bytes| decode::<ReplicaMessage>(&bytes).ok());
        let Some(message) = message else {
            return;
        };
        self.link.record_received(&message.from_address);
        match message.body {
            OneOfbody::job_reply(reply) => {
                let from = message.from_address;
                let actions = self.gateway.on_job_reply(steady_now(), &from, reply);
                self.execute(actions);
            }
            OneOfbody::mirror_reply(reply) => {
                let now = steady_now();
                self.usage.set_leader(&reply.leader_address);
                self.sync_crashes(now, &message.from_address, &reply);
                self.apply_observations(now, &reply);
                self.on_mirror_reply(now, reply);
            }
            OneOfbody::usage_ack(ack) => self.usage.on_ack(&ack),
            _ => {}
        }
    }

    fn tick(&mut self) {
        let now = steady_now();
        if let Some(pause) = self.pause_detector.on_iteration(now, suspended_time()) {
            self.metrics.count("paused");
            log::warn!("step=paused {pause}");
        }
        let disconnected: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, open)| open.responder.is_closed())
            .map(|(call, _)| *call)
            .collect();
        for call in disconnected {
            self.calls.remove(&call);
            self.metrics.count("caller_gone");
            let actions = self.gateway.on_caller_disconnected(now, call);
            self.execute(actions);
        }
        if self.accept_period_over(now) {
            self.gateway.start_draining();
        }
        for instance in self.gateway.directory.drop_lapsed(now) {
            log::info!("belief=engine-gone instance={instance} reason=not-back");
        }
        self.report_opened_connections();
        let actions = self.gateway.tick(now);
        self.execute(actions);
        self.broadcast_crashes(now);
        self.report_usage(now);
        if now.since(self.last_sweep).as_millis() >= 1_000 {
            self.last_sweep = now;
            self.client.evict_idle();
            self.gateway.directory.quarantine.evict_expired(now);
            self.update_state_metrics(now);
        }
        self.poll_store_subscription(now);
        self.gateway.store_staleness = self.subscriber.staleness(now);
    }
}

pub(crate) fn socket_error(
    what: &'static str,
    address: &str,
) -> impl FnOnce(std::io::Error) -> ServerError {
    let address = address.to_string();
    move |source| ServerError::Socket {
        what,
        address,
        source,
    }
}
