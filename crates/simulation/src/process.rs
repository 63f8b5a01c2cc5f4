//! A node process in the simulation.

use peatgrade_membership::SwimSettings;
use peatgrade_node_core::{CallId, CoreSettings, HttpId, NodeCore};
use peatgrade_storage::MemoryStore;
use peatgrade_types::http::{HttpRequest, ResponseHead};
use peatgrade_types::{NodeId, Time};
use std::collections::BTreeMap;

use crate::world::{ClientRef, RunSettings, SimEvent};
use peatgrade_models::RequestId;

/// A response on its way out.
#[derive(Debug, Default)]
pub(crate) struct OpenCall {
    pub client: Option<ClientRef>,
    pub head: Option<ResponseHead>,
    pub body: Vec<u8>,
}

/// A request of the node under way.
#[derive(Debug)]
pub(crate) struct OpenHttp {
    pub platform: Option<RequestId>,
    pub zone: String,
    pub timeout: peatgrade_types::Duration,
    /// Last sign of the other side.
    pub heard: Time,
    pub seen_head: bool,
    /// Whether a part of the answer was lost: nothing comes after it.
    pub torn: bool,
}

/// Bytes of peer messages, with headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PeerTraffic {
    pub bytes_out: u64,
    pub bytes_in: u64,
}

/// One node.
pub(crate) struct Process {
    pub name: String,
    pub id: NodeId,
    pub zone: String,
    pub bulk: bool,
    pub core: Option<NodeCore>,
    pub generation: u64,
    pub disk: MemoryStore,
    pub disk_limit: u64,
    pub paused_until: Option<Time>,
    pub deferred: Vec<SimEvent>,
    pub calls: BTreeMap<CallId, OpenCall>,
    pub http: BTreeMap<HttpId, OpenHttp>,
    pub next_call: u64,
    pub draining_since: Option<Time>,
    pub restart_after_stop: u64,
    pub started: Time,
    pub traffic: PeerTraffic,
    /// Since when it has been reachable without a pause or a cut; in the
    /// future while one lasts.
    pub sound_since: Time,
}

impl Process {
    pub fn new(name: &str, zone: &str, bulk: bool, disk_limit: u64) -> Self {
        Self {
            name: name.to_string(),
            id: NodeId::from_name(name),
            zone: zone.to_string(),
            bulk,
            core: None,
            generation: 0,
            disk: MemoryStore::new(disk_limit),
            disk_limit,
            paused_until: None,
            deferred: Vec::new(),
            calls: BTreeMap::new(),
            http: BTreeMap::new(),
            next_call: 1,
            draining_since: None,
            restart_after_stop: 0,
            started: Time::default(),
            traffic: PeerTraffic::default(),
            sound_since: Time::default(),
        }
    }

    /// Starts a new life.
    pub fn start(&mut self, now: Time, region: &str, seeds: &[String], settings: &RunSettings) {
        self.generation = now.0 / 1_000;
        self.started = now;
        // A cut or storm that began before goes on for the new life, too.
        self.sound_since = self.sound_since.max(now);
        self.draining_since = None;
        let core = CoreSettings {
            name: self.name.clone(),
            region: region.to_string(),
            zone: self.zone.clone(),
            peer_address: self.name.clone(),
            platform_address: peatgrade_models::platform::STORE.to_string(),
            bulk: self.bulk,
            seeds: seeds
                .iter()
                .map(|name| (name.clone(), name.clone()))
                .collect(),
            generation: self.generation,
            seed: settings.seed,
            selector: settings.selector,
            swim: SwimSettings::default(),
            wait_for_all: settings.wait_for_all,
            mutation: settings.mutation,
        };
        self.core = Some(NodeCore::new(now, core));
    }

    /// Ends a life; memory is gone, the disk stays. Returns the callers cut
    /// off and the requests to give up.
    pub fn stop(&mut self) -> (Vec<ClientRef>, Vec<RequestId>) {
        self.core = None;
        self.paused_until = None;
        self.deferred.clear();
        let calls = std::mem::take(&mut self.calls).into_values();
        let clients = calls.filter_map(|call| call.client).collect();
        let http = std::mem::take(&mut self.http).into_values();
        let requests = http.filter_map(|open| open.platform).collect();
        (clients, requests)
    }

    /// Whether it runs and is not paused.
    pub fn active(&self, now: Time) -> bool {
        self.core.is_some() && self.paused_until.is_none_or(|until| now >= until)
    }

    /// A new call from a client.
    pub fn open_call(&mut self, client: ClientRef) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        let open = OpenCall {
            client: Some(client),
            ..OpenCall::default()
        };
        self.calls.insert(call, open);
        call
    }
}

/// A client's request on its way to a node.
#[derive(Clone, Debug)]
pub(crate) struct Arriving {
    pub client: ClientRef,
    pub request: HttpRequest,
}
