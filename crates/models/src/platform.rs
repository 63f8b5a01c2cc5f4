//! All systems that the nodes work with, together.

use peatgrade_config::{Machine, MachineKind};
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::{hash_bytes, Time};
use serde_json::json;
use std::collections::BTreeMap;

use crate::app::AppModel;
use crate::deployment::Deployment;
use crate::engine::EngineModel;
use crate::faults::{Fault, FaultKind};
use crate::machines::MachineList;
use crate::objects::ObjectStore;
use crate::scorer::ScorerModel;
use crate::weights::WeightStore;
use crate::Execution;

/// A request to the platform; the driver chooses the number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct RequestId(pub u64);

/// Name of the machine that serves the object API, the list and the weights.
pub const STORE: &str = "store";

#[derive(Debug)]
enum Model {
    Engine(Box<EngineModel>),
    App(Box<AppModel>),
    Scorer(ScorerModel),
}

/// The stand-in platform.
#[derive(Debug)]
pub struct Platform {
    models: BTreeMap<String, Model>,
    /// Machine behind each address.
    addresses: BTreeMap<String, String>,
    /// The object API.
    pub store: ObjectStore,
    /// The machine list.
    pub list: MachineList,
    /// The weight store.
    pub weights: WeightStore,
    owners: BTreeMap<RequestId, String>,
    out: Vec<(RequestId, ResponsePart)>,
    /// When a fault that makes a machine leave or die ends.
    returns: Vec<(Time, String)>,
}

/// Machines of a deployment besides its nodes, with their kinds and pools.
pub fn machines_of(deployment: &Deployment) -> Vec<Machine> {
    let mut machines = Vec::new();
    for pool in &deployment.pools {
        for (zone, count) in deployment.zones.iter().zip(&pool.per_zone) {
            for number in 0..*count {
                let model = pool.engine.as_ref().map(|engine| engine.slots);
                let app = pool.app.as_ref().map(|app| app.slots);
                machines.push(Machine {
                    name: format!("{}-{zone}-{number}", pool.name),
                    kind: if model.is_some() {
                        MachineKind::Model
                    } else {
                        MachineKind::App
                    },
                    pool: pool.name.clone(),
                    zone: zone.clone(),
                    address: String::new(),
                    slots: model.or(app).unwrap_or(1),
                    leaving: false,
                });
            }
        }
    }
    for scorer in &deployment.scorers {
        for zone in &deployment.zones {
            machines.push(Machine {
                name: format!("scorer-{scorer}-{zone}"),
                kind: MachineKind::Scorer,
                pool: scorer.clone(),
                zone: zone.clone(),
                address: String::new(),
                slots: 1,
                leaving: false,
            });
        }
    }
    machines
}

impl Platform {
    /// The platform of a deployment; `address` names each machine's address.
    pub fn new(deployment: &Deployment, seed: u64, address: impl Fn(&str) -> String) -> Self {
        let mut platform = Self {
            models: BTreeMap::new(),
            addresses: BTreeMap::new(),
            store: ObjectStore::default(),
            list: MachineList::default(),
            weights: WeightStore::default(),
            owners: BTreeMap::new(),
            out: Vec::new(),
            returns: Vec::new(),
        };
        platform.addresses.insert(address(STORE), STORE.to_string());
        for mut machine in machines_of(deployment) {
            machine.address = address(&machine.name);
            let model = model_of(deployment, &machine, seed);
            platform
                .addresses
                .insert(machine.address.clone(), machine.name.clone());
            platform.models.insert(machine.name.clone(), model);
            platform.list.set_at_start(machine);
        }
        for (key, body) in &deployment.documents {
            platform.store.put_at_start(key, body.clone());
        }
        platform
    }

    /// Adds a node to the machine list.
    pub fn list_node(&mut self, name: &str, zone: &str, address: &str) {
        self.list.set_at_start(Machine {
            name: name.into(),
            kind: MachineKind::Node,
            pool: String::new(),
            zone: zone.into(),
            address: address.into(),
            slots: 0,
            leaving: false,
        });
    }

    /// Names of all machines with their models.
    pub fn machine_names(&self) -> Vec<String> {
        self.models.keys().cloned().collect()
    }

    /// Takes in a request for the machine at an address.
    pub fn request(&mut self, now: Time, address: &str, id: RequestId, request: HttpRequest) {
        let Some(name) = self.addresses.get(address).cloned() else {
            let failure = HttpFailure {
                peer: address.into(),
                step: HttpStep::Connect,
                reason: "no such address".into(),
            };
            return self.out.push((id, ResponsePart::Failed(failure)));
        };
        self.owners.insert(id, name.clone());
        if name == STORE {
            return self.request_store(now, id, request);
        }
        match self.models.get_mut(&name) {
            Some(Model::Engine(engine)) => engine.request(now, id, &request),
            Some(Model::App(app)) => app.request(now, id, request),
            Some(Model::Scorer(scorer)) => scorer.request(id, &request),
            None => {}
        }
    }

    fn request_store(&mut self, now: Time, id: RequestId, request: HttpRequest) {
        let path = request.path_only().trim_matches('/').to_string();
        let parts: Vec<&str> = path.split('/').collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["machines"]) if !self.store.silent(now) => {
                let (version, machines) = self.list.list(now);
                let list = json!({ "version": version, "machines": machines });
                self.answer(id, 200, list.to_string());
            }
            ("PUT", ["weights", model, version]) => match version.parse() {
                Ok(version) => {
                    self.weights.publish(model, version);
                    self.answer(id, 200, "{}".into());
                }
                Err(_) => self.answer(id, 400, "{}".into()),
            },
            ("POST", ["faults"]) => match serde_json::from_slice::<Fault>(&request.body) {
                Ok(fault) => {
                    self.apply(now, &fault);
                    self.answer(id, 200, "{}".into());
                }
                Err(error) => {
                    self.answer(id, 400, json!({ "error": error.to_string() }).to_string())
                }
            },
            ("GET", ["executions"]) => {
                let counts = self.describe();
                self.answer(id, 200, counts);
            }
            _ => self.store.request(now, id, &request),
        }
    }

    fn describe(&self) -> String {
        let engines: BTreeMap<&String, u64> = self
            .models
            .iter()
            .filter_map(|(name, model)| match model {
                Model::Engine(engine) => Some((name, engine.version())),
                _ => None,
            })
            .collect();
        json!({ "engine_versions": engines, "store_requests": self.store.requests() }).to_string()
    }

    fn answer(&mut self, id: RequestId, status: u16, body: String) {
        let head = ResponseHead::new(status, "application/json");
        self.out.push((id, ResponsePart::Head(head)));
        self.out.push((id, ResponsePart::Data(body.into())));
        self.out.push((id, ResponsePart::End));
    }

    /// Gives up a request, because its sender did.
    pub fn cancel(&mut self, id: RequestId) {
        let Some(name) = self.owners.remove(&id) else {
            return;
        };
        match self.models.get_mut(&name) {
            Some(Model::Engine(engine)) => engine.cancel(id),
            Some(Model::App(app)) => app.cancel(id),
            Some(Model::Scorer(_)) => {}
            None => self.store.cancel(id),
        }
    }

    /// Switches a fault on.
    pub fn apply(&mut self, now: Time, fault: &Fault) {
        if fault.machine == STORE {
            return self.store.apply(now, fault);
        }
        match self.models.get_mut(&fault.machine) {
            Some(Model::Engine(engine)) => engine.apply(now, fault),
            Some(Model::App(app)) => app.apply(now, fault),
            _ => return,
        }
        if fault.kind == FaultKind::Leave {
            self.set_leaving(now, &fault.machine, true);
        }
        let returns = fault.for_ms > 0 && fault.kind == FaultKind::Leave;
        if returns {
            let end = now + peatgrade_types::Duration::from_millis(fault.for_ms);
            self.returns.push((end, fault.machine.clone()));
        }
    }

    fn set_leaving(&mut self, now: Time, name: &str, leaving: bool) {
        if let Some(machine) = self.list.get(name).cloned() {
            self.list.set(now, Machine { leaving, ..machine });
        }
    }

    /// Machines that left come back as new ones.
    fn bring_back(&mut self, now: Time) {
        let due: Vec<String> = self
            .returns
            .extract_if(.., |(at, _)| *at <= now)
            .map(|(_, name)| name)
            .collect();
        for name in due {
            let restart = Fault {
                at_ms: 0,
                for_ms: 1,
                machine: name.clone(),
                kind: FaultKind::Crash,
            };
            match self.models.get_mut(&name) {
                Some(Model::Engine(engine)) => engine.apply(now, &restart),
                Some(Model::App(app)) => app.apply(now, &restart),
                _ => {}
            }
            self.set_leaving(now, &name, false);
        }
    }

    /// Works until `now` and returns what came out.
    pub fn advance(&mut self, now: Time) -> Vec<(RequestId, ResponsePart)> {
        self.bring_back(now);
        self.time_transfers(now);
        let mut out = std::mem::take(&mut self.out);
        for model in self.models.values_mut() {
            out.extend(match model {
                Model::Engine(engine) => engine.advance(now),
                Model::App(app) => app.advance(now),
                Model::Scorer(scorer) => scorer.advance(),
            });
        }
        out.extend(self.store.advance(now));
        for (id, part) in &out {
            if matches!(part, ResponsePart::End | ResponsePart::Failed(_)) {
                self.owners.remove(id);
            }
        }
        out
    }

    /// Says when wanted copies of weights end: over the store's few links, or
    /// over the link of an engine that has the version.
    fn time_transfers(&mut self, now: Time) {
        let mut wanted = Vec::new();
        for (name, model) in &mut self.models {
            if let Model::Engine(engine) = model {
                let transfer = engine.weights().wanted_transfer().cloned();
                wanted.extend(transfer.map(|transfer| (name.clone(), transfer)));
            }
        }
        for (name, transfer) in wanted {
            let end = if transfer.source.is_empty() {
                match self.weights.has(transfer.version) {
                    true => Some(Ok(self.weights.reserve_store(now, transfer.length))),
                    false => Some(Err("version is not in the store".to_string())),
                }
            } else if self.engine_has(now, &transfer.source, transfer.version) {
                Some(Ok(self.weights.reserve(
                    now,
                    &transfer.source,
                    transfer.length,
                )))
            } else if now >= transfer.give_up {
                Some(Err("source does not have the version".to_string()))
            } else {
                None
            };
            if let Some((end, Model::Engine(engine))) = end.zip(self.models.get_mut(&name)) {
                engine.weights().time_transfer(end);
            }
        }
    }

    fn engine_has(&mut self, now: Time, address: &str, version: u64) -> bool {
        let name = self.addresses.get(address);
        match name.and_then(|name| self.models.get_mut(name)) {
            Some(Model::Engine(engine)) => !engine.down(now) && engine.weights().has(version),
            _ => false,
        }
    }

    /// What engines ran since the last call.
    pub fn take_executions(&mut self) -> Vec<Execution> {
        let mut all = Vec::new();
        for model in self.models.values_mut() {
            all.extend(match model {
                Model::Engine(engine) => engine.take_executions(),
                Model::App(app) => app.take_executions(),
                Model::Scorer(_) => Vec::new(),
            });
        }
        all
    }

    /// Versions in use, by engine name.
    pub fn engine_versions(&self) -> BTreeMap<String, u64> {
        let engines = self.models.iter().filter_map(|(name, model)| match model {
            Model::Engine(engine) => Some((name.clone(), engine.version())),
            _ => None,
        });
        engines.collect()
    }

    /// When something next has to be done.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        if !self.out.is_empty() {
            return Some(now);
        }
        let models = self.models.values().filter_map(|model| match model {
            Model::Engine(engine) => engine.next_wake(now),
            Model::App(app) => app.next_wake(now),
            Model::Scorer(_) => None,
        });
        let returns = self.returns.iter().map(|(at, _)| *at);
        models.chain(self.store.next_wake()).chain(returns).min()
    }
}

fn model_of(deployment: &Deployment, machine: &Machine, seed: u64) -> Model {
    let pool = deployment
        .pools
        .iter()
        .find(|pool| pool.name == machine.pool);
    let engine = pool.and_then(|pool| pool.engine.clone());
    let app = pool.and_then(|pool| pool.app.clone());
    let seed = seed ^ hash_bytes(machine.name.as_bytes());
    match machine.kind {
        MachineKind::Scorer => Model::Scorer(ScorerModel::default()),
        MachineKind::Model => {
            let settings = engine.unwrap_or_default();
            Model::Engine(Box::new(EngineModel::new(&machine.name, settings, seed)))
        }
        _ => Model::App(Box::new(AppModel::new(
            &machine.name,
            app.unwrap_or_default(),
        ))),
    }
}
