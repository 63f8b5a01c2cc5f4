//! The main task of a node.

use futures_channel::mpsc::{unbounded, UnboundedReceiver, UnboundedSender};
use futures_util::{select_biased, StreamExt};
use monoio::net::TcpListener;
use peatgrade_config::parse_seed;
use peatgrade_membership::SwimSettings;
use peatgrade_node_core::{Action, CallId, CoreSettings, DiskId, Event, HttpId, NodeCore};
use peatgrade_routing::SelectorPolicy;
use peatgrade_runtime::http_client::CancelOnDrop;
use peatgrade_runtime::peer_socket::PeerMessage;
use peatgrade_runtime::{
    now, open_io_uring_instances, serve, HttpClient, Incoming, PeerSocket, Responder, SendOptions,
};
use peatgrade_schema::settings::NodeSettings;
use peatgrade_storage::{DiskReply, DiskStore, StorageError};
use peatgrade_types::http::ResponsePart;
use peatgrade_types::{hash_bytes, Time};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use crate::disk_thread::DiskThread;

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(25);

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A socket cannot be opened.
    #[error("open {what} socket {address}: {source}")]
    Socket {
        /// Which socket.
        what: &'static str,
        /// Its address.
        address: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The data folder cannot be used.
    #[error("open data folder: {0}")]
    Storage(#[from] StorageError),
    /// The disk thread cannot be started.
    #[error("start disk thread: {0}")]
    Thread(std::io::Error),
    /// A library opened an io_uring, which this system must not use.
    #[error("{0} io_uring instances are open")]
    Ring(usize),
}

struct Driver {
    core: NodeCore,
    peers: PeerSocket,
    client: HttpClient<HttpId>,
    disk: Option<DiskThread>,
    calls: BTreeMap<CallId, Responder>,
    requests: BTreeMap<HttpId, CancelOnDrop>,
    next_call: u64,
}

/// Channels into the main task.
struct Inputs {
    calls: UnboundedReceiver<Incoming>,
    messages: UnboundedReceiver<PeerMessage>,
    parts: UnboundedReceiver<(HttpId, ResponsePart)>,
    disk: UnboundedReceiver<(DiskId, DiskReply)>,
    ticks: UnboundedReceiver<()>,
}

/// Runs a node until it has been told to stop and has drained. `stop` ends
/// with a message or with the end of its sender.
pub async fn run(settings: NodeSettings, mut stop: UnboundedReceiver<()>) -> Result<(), NodeError> {
    let drain_limit = Duration::from_millis(settings.drain_limit_ms);
    let (mut driver, mut inputs) = start(&settings)?;
    let mut drain_until: Option<Time> = None;
    let mut stopping = false;
    loop {
        if stopping {
            let late = drain_until.is_some_and(|until| now() >= until);
            if driver.core.drained() || late {
                log::info!(
                    "step=exit drained={} in_flight={}",
                    driver.core.drained(),
                    driver.core.in_flight()
                );
                // The last answers are still on their way out.
                monoio::time::sleep(Duration::from_millis(50)).await;
                return Ok(());
            }
        }
        let actions = select_biased! {
            _ = stop.next() => {
                if stopping {
                    // The sender is gone; there is nothing more to hear.
                    monoio::time::sleep(TICK).await;
                    driver.core.handle(now(), Event::Tick)
                } else {
                    stopping = true;
                    drain_until = Some(now() + peatgrade_types::Duration(drain_limit.as_micros() as u64));
                    driver.core.drain(now())
                }
            }
            _ = inputs.ticks.next() => driver.tick(),
            part = inputs.parts.next() => driver.on_part(part),
            message = inputs.messages.next() => driver.on_message(message),
            incoming = inputs.calls.next() => driver.on_call(incoming),
            reply = inputs.disk.next() => driver.on_disk(reply),
        };
        driver.carry_out(actions);
    }
}

fn start(settings: &NodeSettings) -> Result<(Driver, Inputs), NodeError> {
    let socket_error = |what, address: &str| {
        let address = address.to_string();
        move |source| NodeError::Socket {
            what,
            address,
            source,
        }
    };
    let started = now();
    let core = NodeCore::new(started, core_settings(settings, started));
    let (replies, disk_inputs) = unbounded();
    let disk = match &settings.data_folder {
        Some(folder) => {
            let store = DiskStore::open(Path::new(folder), settings.data_limit_bytes)?;
            Some(DiskThread::start(store, replies).map_err(NodeError::Thread)?)
        }
        None => None,
    };
    let (messages, message_inputs) = unbounded();
    let address = &settings.peer_address;
    let peers = PeerSocket::open(address, core.identity(), messages)
        .map_err(socket_error("peer", address))?;
    let address = &settings.http_address;
    let listener = TcpListener::bind(address).map_err(socket_error("http", address))?;
    let (calls, call_inputs) = unbounded();
    monoio::spawn(serve(listener, calls));
    let (parts, part_inputs) = unbounded();
    let (ticks, tick_inputs) = unbounded();
    monoio::spawn(tick_for_good(ticks));
    let rings = open_io_uring_instances();
    if rings > 0 {
        return Err(NodeError::Ring(rings));
    }
    log::info!(
        "step=start http={} peer={} zone={}",
        settings.http_address,
        settings.peer_address,
        settings.zone
    );
    let driver = Driver {
        core,
        peers,
        client: HttpClient::new(parts),
        disk,
        calls: BTreeMap::new(),
        requests: BTreeMap::new(),
        next_call: 1,
    };
    let inputs = Inputs {
        calls: call_inputs,
        messages: message_inputs,
        parts: part_inputs,
        disk: disk_inputs,
        ticks: tick_inputs,
    };
    Ok((driver, inputs))
}

fn core_settings(settings: &NodeSettings, started: Time) -> CoreSettings {
    CoreSettings {
        name: settings.name.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        peer_address: settings.peer_address.clone(),
        platform_address: settings.platform_address.clone(),
        bulk: settings.data_folder.is_some(),
        seeds: settings
            .seeds
            .iter()
            .filter_map(|seed| parse_seed(seed))
            .collect(),
        generation: started.0 / 1_000,
        seed: hash_bytes(settings.name.as_bytes()) ^ started.0,
        selector: SelectorPolicy::Full,
        swim: SwimSettings::default(),
        wait_for_all: false,
        mutation: None,
    }
}

async fn tick_for_good(ticks: UnboundedSender<()>) {
    let mut interval = monoio::time::interval(TICK);
    while ticks.unbounded_send(()).is_ok() {
        interval.tick().await;
    }
}

impl Driver {
    fn tick(&mut self) -> Vec<Action> {
        let gone: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, responder)| responder.is_closed())
            .map(|(call, _)| *call)
            .collect();
        let mut actions = Vec::new();
        for call in gone {
            self.calls.remove(&call);
            actions.extend(self.core.handle(now(), Event::CallerGone { call }));
        }
        actions.extend(self.core.handle(now(), Event::Tick));
        actions
    }

    fn on_part(&mut self, part: Option<(HttpId, ResponsePart)>) -> Vec<Action> {
        let Some((id, part)) = part else {
            return Vec::new();
        };
        if matches!(part, ResponsePart::End | ResponsePart::Failed(_)) {
            self.requests.remove(&id);
        }
        self.core.handle(now(), Event::Http { id, part })
    }

    fn on_message(&mut self, message: Option<PeerMessage>) -> Vec<Action> {
        let Some((from, body)) = message else {
            return Vec::new();
        };
        self.core.handle(now(), Event::Peer { from, body })
    }

    fn on_call(&mut self, incoming: Option<Incoming>) -> Vec<Action> {
        let Some(Incoming {
            request, responder, ..
        }) = incoming
        else {
            return Vec::new();
        };
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, responder);
        self.core.handle(now(), Event::Call { call, request })
    }

    fn on_disk(&mut self, reply: Option<(DiskId, DiskReply)>) -> Vec<Action> {
        let Some((id, reply)) = reply else {
            return Vec::new();
        };
        self.core.handle(now(), Event::Disk { id, reply })
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { address, body, .. } => {
                    self.peers.send(&address, body);
                }
                Action::Respond { call, part } => self.respond(call, part),
                Action::Http {
                    id,
                    address,
                    request,
                    timeout,
                } => {
                    let read_timeout = Duration::from_micros(timeout.0);
                    let options = SendOptions::with_read_timeout(read_timeout);
                    let cancel = self.client.send(id, &address, request, options);
                    self.requests.insert(id, cancel);
                }
                Action::CancelHttp { id } => {
                    self.requests.remove(&id);
                }
                Action::Disk { id, request } => {
                    if let Some(disk) = &self.disk {
                        disk.request(id, request);
                    }
                }
            }
        }
    }

    fn respond(&mut self, call: CallId, part: ResponsePart) {
        let last = matches!(part, ResponsePart::End | ResponsePart::Failed(_));
        if let Some(responder) = self.calls.get(&call) {
            let _ = responder.send(part);
        }
        if last {
            self.calls.remove(&call);
        }
    }
}
