//! What all roles of a node share.

use bytes::Bytes;
use peatgrade_config::{Catalog, Machine, MachineKind, Snapshot};
use peatgrade_consensus::{Change, Outgoing};
use peatgrade_membership::{Member, State, Swim, SwimSettings};
use peatgrade_routing::{
    CircuitBreakers, EngineDirectory, LoadView, PrefixIndex, RetryBudget, Selector, SelectorPolicy,
};
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_storage::DiskRequest;
use peatgrade_types::http::{HttpRequest, ResponseHead, ResponsePart};
use peatgrade_types::{hash_bytes, rendezvous_owner, Duration, EngineId, Identity, NodeId, Time};
use std::collections::{BTreeMap, VecDeque};

use crate::blobs::Blobs;
use crate::event::{Action, CallId, DiskId, HttpId};
use crate::metrics::Metrics;
use crate::mutation::Mutation;
use crate::problem::Refusal;
use crate::registers::{RegisterPurpose, Registers};
use crate::resync::Resync;

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// Unique name.
    pub name: String,
    /// Region.
    pub region: String,
    /// Zone.
    pub zone: String,
    /// IP and port of its peer socket.
    pub peer_address: String,
    /// IP and port of the platform.
    pub platform_address: String,
    /// Whether it has a data folder.
    pub bulk: bool,
    /// Peer addresses to ask for members, with the names of their nodes.
    pub seeds: Vec<(String, String)>,
    /// Boot time in milliseconds; higher than in any earlier life.
    pub generation: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// How engines are chosen.
    pub selector: SelectorPolicy,
    /// Failure detector timing.
    pub swim: SwimSettings,
    /// Use of stragglers and surplus; off for the wait-for-all baseline.
    pub wait_for_all: bool,
    /// A deliberate break, honoured only with the feature `mutation`.
    pub mutation: Option<Mutation>,
}

/// Who is told the parts of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum HttpPurpose {
    /// An attempt to serve a caller.
    Attempt(CallId),
    /// Generation of a sample.
    Rollout(u64),
    /// Scoring of a sample.
    Score(u64),
    /// A load poll.
    Load(EngineId),
    /// An order to an engine.
    Order(EngineId),
    /// Change of objects.
    Watch,
    /// Read of all objects.
    ListObjects,
    /// Write of a status.
    WriteStatus(String),
    /// Read of the machine list.
    Machines,
    /// Read of the roster's anchor.
    ReadAnchor,
    /// Write of the roster's anchor.
    WriteAnchor,
}

/// State and means shared by the roles.
pub(crate) struct Context {
    pub now: Time,
    pub started: Time,
    pub identity: Identity,
    pub settings: CoreSettings,
    pub draining: bool,
    pub swim: Swim,
    pub registers: Registers,
    pub blobs: Blobs,
    pub config: Snapshot,
    pub machines: Snapshot,
    pub catalog: Catalog,
    pub engines: EngineDirectory,
    pub scorers: BTreeMap<String, Vec<String>>,
    pub load: LoadView,
    pub prefixes: PrefixIndex,
    pub circuits: CircuitBreakers,
    pub selector: Selector,
    pub retries: RetryBudget,
    pub metrics: Metrics,
    pub purposes: BTreeMap<HttpId, HttpPurpose>,
    /// The wait after a pause, if this node was paused.
    pub resync: Option<Resync>,
    /// When this node last found itself to have been paused.
    pub woke: Option<Time>,
    /// Messages to this node itself, handled after the current event.
    pub local: VecDeque<OneOfbody>,
    next_id: u64,
    actions: Vec<Action>,
}

impl Context {
    pub fn new(now: Time, settings: CoreSettings) -> Self {
        let identity = Identity {
            node: NodeId::from_name(&settings.name),
            generation: settings.generation,
        };
        let me = Member {
            identity,
            refutation: 0,
            state: State::Alive,
            since: now,
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            peer_address: settings.peer_address.clone(),
            has_storage: settings.bulk,
        };
        let seed = settings.seed ^ u64::from(identity.node.0) ^ (settings.generation << 20);
        let node = u64::from(identity.node.0);
        Self {
            now,
            started: now,
            identity,
            draining: false,
            swim: Swim::new(settings.swim.clone(), me, seed),
            registers: Registers::new(identity, seed + 1),
            blobs: Blobs::new(),
            config: Snapshot::default(),
            machines: Snapshot::default(),
            catalog: Catalog::default(),
            engines: EngineDirectory::default(),
            scorers: BTreeMap::new(),
            load: LoadView::default(),
            prefixes: PrefixIndex::default(),
            circuits: CircuitBreakers::default(),
            selector: Selector::new(node, &settings.zone, settings.selector, seed + 2),
            retries: RetryBudget::default(),
            metrics: Metrics::new(),
            purposes: BTreeMap::new(),
            resync: None,
            woke: None,
            local: VecDeque::new(),
            next_id: 1,
            actions: Vec::new(),
            settings,
        }
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Whether a deliberate break is switched on. Always false without the
    /// feature `mutation`.
    pub fn broken(&self, mutation: Mutation) -> bool {
        cfg!(feature = "mutation") && self.settings.mutation == Some(mutation)
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    /// Sends a message; one to this node itself is handled after the event.
    pub fn send(&mut self, to: NodeId, body: OneOfbody) {
        if to == self.identity.node {
            self.local.push_back(body);
            return;
        }
        let known = self
            .swim
            .member(to)
            .map(|member| member.peer_address.clone());
        let listed = || {
            self.registers
                .roster()
                .member(to)
                .map(|m| m.peer_address.clone())
        };
        if let Some(address) = known.filter(|a| !a.is_empty()).or_else(listed) {
            self.metrics.peer_messages_out.inc();
            self.actions.push(Action::Send { to, address, body });
        }
    }

    /// Probes a member outside the failure detector's turn; returns the number
    /// that its answer will carry.
    pub fn probe(&mut self, node: NodeId) -> u32 {
        let (sequence, message) = self.swim.probe(node);
        self.send(message.to, message.body);
        sequence
    }

    pub fn send_all(&mut self, outgoing: Vec<Outgoing>) {
        for message in outgoing {
            self.send(message.to, message.body);
        }
    }

    pub fn start_register(
        &mut self,
        key: &str,
        deadline: Time,
        purpose: RegisterPurpose,
        change: Change,
    ) {
        let outgoing = self
            .registers
            .start(self.now, key, deadline, purpose, change);
        self.send_all(outgoing);
    }

    pub fn http(
        &mut self,
        address: &str,
        request: HttpRequest,
        timeout: Duration,
        purpose: HttpPurpose,
    ) -> HttpId {
        let id = HttpId(self.next_id());
        self.purposes.insert(id, purpose);
        self.actions.push(Action::Http {
            id,
            address: address.to_string(),
            request,
            timeout,
        });
        id
    }

    /// A request to the platform.
    pub fn platform(
        &mut self,
        request: HttpRequest,
        timeout: Duration,
        purpose: HttpPurpose,
    ) -> HttpId {
        let address = self.settings.platform_address.clone();
        self.http(&address, request, timeout, purpose)
    }

    pub fn cancel_http(&mut self, id: HttpId) {
        if self.purposes.remove(&id).is_some() {
            self.actions.push(Action::CancelHttp { id });
        }
    }

    pub fn disk(&mut self, request: DiskRequest) -> DiskId {
        let id = DiskId(self.next_id());
        self.actions.push(Action::Disk { id, request });
        id
    }

    pub fn respond(&mut self, call: CallId, part: ResponsePart) {
        self.actions.push(Action::Respond { call, part });
    }

    pub fn respond_whole(&mut self, call: CallId, head: ResponseHead, body: impl Into<Bytes>) {
        self.respond(call, ResponsePart::Head(head));
        self.respond(call, ResponsePart::Data(body.into()));
        self.respond(call, ResponsePart::End);
    }

    pub fn refuse(&mut self, call: CallId, refusal: &Refusal) {
        let (head, body) = refusal.response();
        self.respond_whole(call, head, body);
    }

    /// The usable member that comes first for a key.
    pub fn rendezvous_member(&self, key: &str) -> Option<NodeId> {
        let members = self.swim.reachable().filter(|m| m.state != State::Leaving);
        let ids = members.map(|member| member.identity.node);
        rendezvous_owner(hash_bytes(key.as_bytes()), ids, |node| u64::from(node.0))
    }

    /// Reads engines and scorers out of the machine list.
    pub fn machines_changed(&mut self) {
        let parsed = self.machines.documents();
        let machines: Vec<Machine> = parsed
            .filter_map(|(_, document)| serde_json::from_slice(document).ok())
            .collect();
        self.engines
            .replace(machines.iter().filter_map(Machine::engine));
        self.scorers.clear();
        for machine in machines.iter().filter(|m| m.kind == MachineKind::Scorer) {
            let scorers = self.scorers.entry(machine.pool.clone()).or_default();
            scorers.push(machine.address.clone());
        }
        for machine in machines.iter().filter(|m| m.kind == MachineKind::Node) {
            self.introduce(&machine.name, &machine.address, &machine.zone);
        }
        let engines = &self.engines;
        self.load.retain(|id| engines.get(id).is_some());
    }

    /// Adds a node known by name and address only.
    pub fn introduce(&mut self, name: &str, address: &str, zone: &str) {
        let member = Member {
            identity: Identity {
                node: NodeId::from_name(name),
                generation: 0,
            },
            refutation: 0,
            state: State::Suspect,
            since: self.now,
            name: name.to_string(),
            zone: zone.to_string(),
            peer_address: address.to_string(),
            has_storage: false,
        };
        self.swim.add_seed(self.now, member);
    }
}
