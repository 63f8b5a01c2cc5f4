//! The node: hands each event to the role it is for.

use peatgrade_membership::State;
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::Digest;
use peatgrade_types::http::{HttpRequest, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, Identity, Time};

use crate::blobs::{self, BlobPurpose, BlobResult};
use crate::bulletin::Bulletins;
use crate::context::{Context, CoreSettings, HttpPurpose};
use crate::coordinator::Coordinators;
use crate::distribution::{digest, Distribution};
use crate::event::{Action, CallId, Event, HttpId};
use crate::exchange::{Ended, Exchanges};
use crate::gateway::Gateway;
use crate::keeper::Keeper;
use crate::leases::{LeaseName, Leases};
use crate::mutation::Mutation;
use crate::owner::Owner;
use crate::reader::Reader;
use crate::readiness::Readiness;
use crate::registers::{RegisterDone, RegisterPurpose};
use crate::resync;
use crate::rollout::Rollouts;
use crate::status::{EngineStatus, NodeStatus};
use crate::trainer_api::{is_trainer_path, TrainerApi};

/// Time a stopping node stays, so that others learn of it before it is gone.
const LEAVE_NOTICE: Duration = Duration::from_millis(1_500);

/// A node without input or output.
pub struct NodeCore {
    ctx: Context,
    gateway: Gateway,
    trainers: TrainerApi,
    rollouts: Rollouts,
    coordinators: Coordinators,
    owner: Owner,
    bulletins: Bulletins,
    distribution: Distribution,
    reader: Reader,
    keeper: Keeper,
    leases: Leases,
    exchanges: Exchanges,
    readiness: Readiness,
    drain_since: Option<Time>,
}

impl NodeCore {
    /// A node at its start.
    pub fn new(now: Time, settings: CoreSettings) -> Self {
        let mut ctx = Context::new(now, settings);
        for (name, address) in ctx.settings.seeds.clone() {
            ctx.introduce(&name, &address, "");
        }
        Self {
            ctx,
            gateway: Gateway::default(),
            trainers: TrainerApi::default(),
            rollouts: Rollouts::default(),
            coordinators: Coordinators::default(),
            owner: Owner::default(),
            bulletins: Bulletins::default(),
            distribution: Distribution::default(),
            reader: Reader::default(),
            keeper: Keeper::default(),
            leases: Leases::default(),
            exchanges: Exchanges::default(),
            readiness: Readiness::default(),
            drain_since: None,
        }
    }

    /// Which life of which node this is.
    pub fn identity(&self) -> Identity {
        self.ctx.identity
    }

    /// Takes in an event and says what is to be done.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let paused = now.since(self.ctx.now) >= resync::GAP;
        self.ctx.now = now;
        if paused {
            resync::start(&mut self.ctx);
        }
        match event {
            Event::Peer { from, body } => {
                self.ctx.metrics.peer_messages_in.inc();
                self.on_peer(from, body);
            }
            Event::Call { call, request } => self.on_call(call, request),
            Event::CallerGone { call } => {
                self.gateway.on_gone(&mut self.ctx, call);
                self.trainers.on_gone(call);
            }
            Event::Http { id, part } => self.on_http(id, part),
            Event::Disk { id, reply } => blobs::on_disk(&mut self.ctx, id, reply),
            Event::Tick => self.tick(),
        }
        self.settle();
        self.ctx.take_actions()
    }

    /// Starts to stop: no new work, leases released, samples given back.
    pub fn drain(&mut self, now: Time) -> Vec<Action> {
        self.ctx.now = now;
        if self.drain_since.is_none() {
            log::info!("step=drain node={}", self.ctx.settings.name);
            self.drain_since = Some(now);
            self.ctx.draining = true;
            self.ctx.swim.leave();
            self.rollouts.give_back(&mut self.ctx);
        }
        self.settle();
        self.ctx.take_actions()
    }

    /// Whether a stopping node may exit: nothing in flight, no lease held, and
    /// the others have had time to hear of it.
    pub fn drained(&self) -> bool {
        let Some(since) = self.drain_since else {
            return false;
        };
        if self.ctx.broken(Mutation::SkipDrain) {
            return true;
        }
        let told = self.ctx.now.since(since) >= LEAVE_NOTICE;
        told && self.in_flight() == 0 && self.leases.none_held(self.ctx.now)
    }

    /// Requests of callers and trainers in progress.
    pub fn in_flight(&self) -> usize {
        self.gateway.in_flight() + self.trainers.in_flight()
    }

    /// Whether callers may be sent here.
    pub fn ready(&mut self) -> bool {
        !self.ctx.draining && self.readiness.ready(&self.ctx)
    }

    fn tick(&mut self) {
        let ctx = &mut self.ctx;
        resync::settle(ctx);
        let numbers = digest(ctx);
        ctx.swim.set_digest(numbers);
        let outgoing = ctx.swim.tick(ctx.now);
        ctx.send_all(outgoing);
        let keeper = ctx.rendezvous_member(&LeaseName::Keeper.key());
        let outgoing = ctx.registers.tick(ctx.now, keeper);
        ctx.send_all(outgoing);
        blobs::tick(ctx);
        let mut names = vec![LeaseName::Reader, LeaseName::Keeper];
        names.extend(Coordinators::wanted(ctx));
        if ctx.registers.roster().number > 0 {
            self.leases.tick(ctx, names);
        }
        let reads = self.leases.epoch(ctx.now, &LeaseName::Reader).is_some();
        self.reader.tick(ctx, reads);
        let keeps = self.leases.epoch(ctx.now, &LeaseName::Keeper);
        self.keeper.tick(ctx, keeps);
        self.owner.tick(ctx, &self.bulletins);
        self.coordinators.tick(ctx, &self.leases);
        self.bulletins.tick(ctx);
        self.rollouts.tick(ctx);
        self.gateway.tick(ctx);
        self.trainers.tick(ctx);
        self.readiness.ready(&self.ctx);
    }

    fn on_call(&mut self, call: CallId, request: HttpRequest) {
        let path = request.path_only();
        if request.method == "GET" && self.on_own_path(call, path) {
            return;
        }
        if is_trainer_path(path) {
            if !self.ready() {
                let refusal =
                    crate::problem::Refusal::not_run("node-starting", "send it to another node");
                return self.ctx.refuse(call, &refusal);
            }
            return self.trainers.on_call(&mut self.ctx, call, &request);
        }
        let ready = self.ready();
        self.gateway.on_call(&mut self.ctx, call, request, ready);
    }

    /// Serves the node's own paths.
    fn on_own_path(&mut self, call: CallId, path: &str) -> bool {
        let text = |ok: bool| ResponseHead::new(if ok { 200 } else { 503 }, "text/plain");
        match path {
            "/healthz" => self.ctx.respond_whole(call, text(true), "ok\n"),
            "/readyz" => {
                let ready = self.ready();
                let body = if ready { "ready\n" } else { "not ready\n" };
                self.ctx.respond_whole(call, text(ready), body);
            }
            "/metrics" => {
                self.set_gauges();
                let body = self.ctx.metrics.render();
                let head = ResponseHead::new(200, "text/plain; version=0.0.4");
                self.ctx.respond_whole(call, head, body);
            }
            "/status" => {
                let body = serde_json::to_vec(&self.status()).unwrap_or_default();
                let head = ResponseHead::new(200, "application/json");
                self.ctx.respond_whole(call, head, body);
            }
            _ => return false,
        }
        true
    }

    fn set_gauges(&self) {
        let metrics = &self.ctx.metrics;
        metrics.in_flight.set(self.in_flight() as i64);
        metrics.config_number.set(self.ctx.config.number() as i64);
        metrics
            .roster_number
            .set(self.ctx.registers.roster().number as i64);
        metrics
            .members
            .set(self.ctx.swim.reachable().count() as i64);
        metrics
            .register_values
            .set(self.ctx.registers.acceptor().len() as i64);
    }

    fn on_peer(&mut self, from: Identity, body: OneOfbody) {
        let ctx = &mut self.ctx;
        match body {
            OneOfbody::ping(ping) => {
                let outgoing = ctx.swim.on_ping(ctx.now, from, &ping);
                ctx.send_all(outgoing);
                self.on_digest(from, ping.digest.as_ref());
            }
            OneOfbody::ack(ack) => {
                let outgoing = ctx.swim.on_ack(ctx.now, from, &ack);
                ctx.send_all(outgoing);
                self.on_digest(from, ack.digest.as_ref());
                if let Some(numbers) = &ack.digest {
                    resync::on_ack(&mut self.ctx, ack.sequence, numbers);
                }
            }
            OneOfbody::ping_request(request) => {
                let outgoing = ctx.swim.on_ping_request(ctx.now, from, &request);
                ctx.send_all(outgoing);
            }
            OneOfbody::bulletin(bulletin) => {
                let numbers = bulletin.digest.clone();
                self.bulletins
                    .on_bulletin(ctx, &mut self.distribution, from.node, bulletin);
                if let Some(numbers) = numbers {
                    self.readiness.on_config_number(from.node, numbers.config);
                }
            }
            OneOfbody::load_report(report) => self.bulletins.on_loads(ctx, &report.loads),
            OneOfbody::weight_orders(orders) => {
                self.bulletins.on_orders(&orders.orders);
            }
            OneOfbody::weight_report(report) => self.coordinators.on_weight_report(&report),
            OneOfbody::rollout_order(order) => self.rollouts.on_order(ctx, from, order),
            OneOfbody::rollout_report(report) => self.coordinators.on_report(ctx, from, report),
            OneOfbody::prompt_offer(offer) => self.coordinators.on_prompt(offer),
            OneOfbody::step_notice(notice) => {
                self.coordinators.on_notice(ctx, from, &notice);
                self.trainers.on_notice(ctx, &notice);
            }
            other => self.on_shared_message(from, other),
        }
    }

    /// Messages of the modules that several roles use.
    fn on_shared_message(&mut self, from: Identity, body: OneOfbody) {
        let ctx = &mut self.ctx;
        let body = match ctx.registers.on_message(ctx.now, from, body) {
            Ok(outgoing) => return ctx.send_all(outgoing),
            Err(body) => *body,
        };
        let Some(body) = blobs::on_message(ctx, from, body) else {
            return;
        };
        if self.distribution.on_message(ctx, from, body).is_some() {
            log::warn!("step=peer-message peer={} reason=unknown-kind", from.node);
        }
    }

    fn on_digest(&mut self, from: Identity, numbers: Option<&Digest>) {
        if let Some(numbers) = numbers {
            self.readiness.on_config_number(from.node, numbers.config);
            self.reader.on_config_number(from.node, numbers.config);
            self.distribution
                .on_digest(&mut self.ctx, from.node, numbers);
        }
    }

    fn on_http(&mut self, id: HttpId, part: ResponsePart) {
        let Some(purpose) = self.ctx.purposes.get(&id).cloned() else {
            return;
        };
        if matches!(part, ResponsePart::End | ResponsePart::Failed(_)) {
            self.ctx.purposes.remove(&id);
        }
        let ctx = &mut self.ctx;
        match &purpose {
            HttpPurpose::Attempt(call) => self.gateway.on_http(ctx, *call, id, part),
            HttpPurpose::Rollout(sample) => self.rollouts.on_generation(ctx, *sample, part),
            _ => {
                if let Some(ended) = self.exchanges.collect(id, part) {
                    self.on_ended(id, &purpose, ended);
                }
            }
        }
    }

    /// Hands on the end of a request whose response is wanted whole.
    fn on_ended(&mut self, id: HttpId, purpose: &HttpPurpose, ended: Ended) {
        let ctx = &mut self.ctx;
        match purpose {
            HttpPurpose::Score(sample) => self.rollouts.on_score(ctx, *sample, ended),
            HttpPurpose::Load(engine) => self.owner.on_load(ctx, *engine, ended),
            HttpPurpose::Order(engine) => self.owner.on_order(ctx, *engine, ended),
            HttpPurpose::ReadAnchor | HttpPurpose::WriteAnchor => {
                self.keeper.on_ended(ctx, purpose, ended);
            }
            _ => self.reader.on_ended(ctx, id, purpose, ended),
        }
    }

    /// Tells roles of ended register and blob operations and handles messages
    /// to this node itself, until there are none left.
    fn settle(&mut self) {
        loop {
            if let Some(done) = self.ctx.registers.done.pop_front() {
                self.on_register(done);
            } else if let Some((purpose, result)) = self.ctx.blobs.done.pop_front() {
                self.on_blob(purpose, result);
            } else if let Some(body) = self.ctx.local.pop_front() {
                let me = self.ctx.identity;
                self.on_peer(me, body);
            } else {
                self.act_on_members();
                return;
            }
        }
    }

    fn on_register(&mut self, done: RegisterDone) {
        let ctx = &mut self.ctx;
        let RegisterDone { purpose, result } = done;
        match purpose {
            RegisterPurpose::Lease(name) => self.leases.on_done(ctx.now, &name, &result),
            RegisterPurpose::Once(call, step) => self.gateway.on_once(ctx, call, step, result),
            RegisterPurpose::Session(call, step) => {
                self.gateway.on_session(ctx, call, step, result)
            }
            RegisterPurpose::StepRead(call) => self.trainers.on_read(ctx, call, result),
            RegisterPurpose::Commit(call, step) => {
                self.trainers.on_committed(ctx, call, step, result)
            }
            RegisterPurpose::Coordinator(tenant, step) => {
                self.coordinators.on_register(ctx, &tenant, step, result);
            }
            RegisterPurpose::NextRoster => self.keeper.on_decided(ctx, &result),
            RegisterPurpose::Nobody => {}
        }
    }

    fn on_blob(&mut self, purpose: BlobPurpose, result: BlobResult) {
        let ctx = &mut self.ctx;
        match purpose {
            BlobPurpose::Sample(sample) => self.rollouts.on_stored(ctx, sample, &result),
            BlobPurpose::PutManifest(tenant, step) => {
                self.coordinators
                    .on_manifest_stored(ctx, &tenant, step, result);
            }
            BlobPurpose::StepManifest(call) => self.trainers.on_manifest(ctx, call, result),
            BlobPurpose::StepSample(call, index) => {
                self.trainers.on_sample(ctx, call, index, result);
            }
            BlobPurpose::RecoverList(tenant) => {
                self.coordinators.on_recovered_names(&tenant, result);
            }
            BlobPurpose::CollectGarbage(tenant) => {
                self.coordinators.on_stored_names(ctx, &tenant, result);
            }
            BlobPurpose::RecoverManifest(tenant, step) => {
                self.coordinators
                    .on_recovered_manifest(ctx, &tenant, step, result);
            }
            BlobPurpose::ReadTranscript(call) => self.gateway.on_transcript(ctx, call, result),
            BlobPurpose::SaveTranscript(call) => {
                self.gateway.on_transcript_saved(ctx, call, result);
            }
        }
    }

    fn act_on_members(&mut self) {
        for change in self.ctx.swim.take_changes() {
            if change.state == State::Dead {
                log::info!("step=membership peer={} state=dead", change.node);
            }
        }
    }

    /// What this node says of itself.
    pub fn status(&mut self) -> NodeStatus {
        let ready = self.ready();
        let ctx = &self.ctx;
        let engines = ctx.engines.all().map(|info| {
            let latest = ctx.load.latest(ctx.now, info.id);
            EngineStatus {
                name: info.name.clone(),
                pool: info.pool.clone(),
                zone: info.zone.clone(),
                load: latest.map_or(0, |(report, _)| report.waiting + report.running),
                slots: info.slots,
                weights: latest.map_or(0, |(report, _)| report.weight_version),
                age_ms: latest.map(|(_, age)| age.as_millis()),
                leaving: info.draining || latest.is_some_and(|(report, _)| report.draining),
            }
        });
        NodeStatus {
            name: ctx.settings.name.clone(),
            zone: ctx.settings.zone.clone(),
            ready,
            draining: ctx.draining,
            config: ctx.config.number(),
            roster: ctx.registers.roster().number,
            members: ctx.swim.reachable().count(),
            leases: self.leases.held(ctx.now),
            engines_owned: self.owner.count(),
            in_flight: self.in_flight(),
            rollouts: self.rollouts.count(),
            register_values: ctx.registers.acceptor().len(),
            register_bytes: ctx.registers.acceptor().state_bytes(),
            tenants: ctx
                .catalog
                .tenants()
                .map(|entry| entry.name.clone())
                .collect(),
            engines: engines.collect(),
            trainers: self.coordinators.status(),
        }
    }
}
