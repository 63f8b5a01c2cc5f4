//! The role that polls an engine and gives it orders. Each engine's owner is
//! the first member of its zone in rendezvous order; two owners for a moment
//! do no harm, since polls change nothing and orders are fenced.

use peatgrade_membership::{Member, State};
use peatgrade_schema::engine::{EngineOrder, LoadDocument, OrderKind, OrderReply};
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::{EngineLoad, LoadReport, WeightOrder, WeightReport};
use peatgrade_types::http::HttpRequest;
use peatgrade_types::{rendezvous_order, rendezvous_owner, Duration, EngineId, NodeId, Time};
use std::collections::BTreeMap;

use crate::bulletin::{note_load, rank, relies_on, same_bucket, Bulletins};
use crate::context::{Context, HttpPurpose};
use crate::distribution::zone_tree;
use crate::exchange::Ended;

/// Time between two polls of an engine.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
const POLL_TIMEOUT: Duration = Duration::from_millis(1_500);
const ORDER_TIMEOUT: Duration = Duration::from_secs(8);
/// Time between two tellings of an unchanged load, and of one that tells of an
/// engine on its way out.
const TELL: Duration = Duration::from_secs(3);
const TELL_LEAVING: Duration = Duration::from_millis(900);
/// Tellings of an engine's leaving that go straight to every member that relies
/// on it, since the root that passes them on may just have died, and stays root
/// for 6 s. More than one, since one alone may get lost; few, since each costs a
/// message for each member.
const TELL_ALL: u32 = 3;
/// Time between two choices of the engines to own.
const CHOICE_INTERVAL: Duration = Duration::from_millis(500);
/// Wait after an order that failed.
const ORDER_RETRY: Duration = Duration::from_millis(500);
/// Engines that copy straight from the weight store; the others copy from the
/// engine half-way up a binary tree.
const FROM_STORE: usize = 2;

/// Tellings of one step of progress, since one alone may get lost.
const REPORTS: u32 = 4;
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Progress told to the coordinator, how often, and when last.
#[derive(Clone, Debug)]
struct Reported {
    epoch: u64,
    version: u64,
    active: bool,
    times: u32,
    at: Time,
}

#[derive(Debug, Default)]
struct Owned {
    next_poll: Time,
    polling: bool,
    load: Option<LoadDocument>,
    ordering: Option<WeightOrder>,
    next_order: Time,
    failures: u32,
    reported: Option<Reported>,
    boot: u64,
    /// Load last told to the zone's root, and when.
    told: Option<(Time, EngineLoad)>,
    /// Times that its leaving was told to all.
    told_all: u32,
}

/// Engines owned by this node.
#[derive(Debug, Default)]
pub(crate) struct Owner {
    engines: BTreeMap<EngineId, Owned>,
    next_choice: Time,
}

impl Owner {
    /// Engines owned now.
    pub fn count(&self) -> usize {
        self.engines.len()
    }

    pub fn tick(&mut self, ctx: &mut Context, bulletins: &Bulletins) {
        self.choose(ctx);
        let ids: Vec<EngineId> = self.engines.keys().copied().collect();
        for id in ids {
            self.poll(ctx, id);
            self.give_order(ctx, bulletins, id);
        }
    }

    /// Takes up engines that hash to this node and lays down others.
    fn choose(&mut self, ctx: &Context) {
        if ctx.now < self.next_choice {
            return;
        }
        self.next_choice = ctx.now + CHOICE_INTERVAL;
        let me = ctx.identity.node;
        let mine = ctx
            .engines
            .all()
            .filter(|info| owner_of(ctx, info.id, &info.zone) == Some(me));
        let mine: Vec<EngineId> = mine.map(|info| info.id).collect();
        self.engines
            .retain(|id, owned| mine.contains(id) || owned.polling);
        for id in mine {
            self.engines.entry(id).or_default();
        }
    }

    fn poll(&mut self, ctx: &mut Context, id: EngineId) {
        let Some(owned) = self.engines.get_mut(&id) else {
            return;
        };
        let Some(address) = ctx.engines.get(id).map(|info| info.address.clone()) else {
            return;
        };
        if owned.polling || ctx.now < owned.next_poll {
            return;
        }
        owned.polling = true;
        owned.next_poll = ctx.now + POLL_INTERVAL;
        let request = HttpRequest::new("GET", "/load", "");
        ctx.http(&address, request, POLL_TIMEOUT, HttpPurpose::Load(id));
    }

    /// Takes in the end of a poll.
    pub fn on_load(&mut self, ctx: &mut Context, id: EngineId, ended: Ended) {
        let Some(owned) = self.engines.get_mut(&id) else {
            return;
        };
        owned.polling = false;
        match ended {
            Ok(whole) => {
                if let Some(document) = whole.json::<LoadDocument>() {
                    self.on_document(ctx, id, document);
                }
            }
            Err(failure) => {
                log::debug!("step=poll-engine error={failure}");
                ctx.circuits.record_failure(ctx.now, id);
            }
        }
    }

    fn on_document(&mut self, ctx: &mut Context, id: EngineId, document: LoadDocument) {
        let Some(owned) = self.engines.get_mut(&id) else {
            return;
        };
        if owned.boot != document.boot {
            owned.boot = document.boot;
            owned.reported = None;
            ctx.prefixes.remove_engine(id);
        }
        for event in &document.events {
            ctx.prefixes
                .on_event(id, event.sequence, &event.stored, &event.evicted);
        }
        let load = EngineLoad {
            engine: id.0,
            waiting: document.waiting,
            running: document.running,
            weights: document.weights,
            leaving: document.leaving || document.out_of_service,
            age: document.age_ms,
            cache_used_permille: document.cache_used_permille,
        };
        // Weights are swapped often; only what leaves for good is told to all.
        let leaves = document.leaving;
        owned.load = Some(document);
        note_load(ctx, &load);
        let refresh = if load.leaving { TELL_LEAVING } else { TELL };
        let told = owned
            .told
            .as_ref()
            .filter(|(at, told)| ctx.now.since(*at) < refresh && same_bucket(told, &load));
        if told.is_some() {
            return;
        }
        owned.told = Some((ctx.now, load.clone()));
        owned.told_all = if leaves { owned.told_all + 1 } else { 0 };
        let straight = leaves && owned.told_all <= TELL_ALL;
        let receivers = if straight {
            members_relying_on(ctx, id)
        } else {
            zone_tree(ctx, &ctx.settings.zone)
                .root()
                .into_iter()
                .collect()
        };
        for receiver in receivers {
            let loads = vec![load.clone()];
            ctx.send(receiver, OneOfbody::load_report(LoadReport { loads }));
        }
    }

    /// Orders the engine towards the version in force for its pool.
    fn give_order(&mut self, ctx: &mut Context, bulletins: &Bulletins, id: EngineId) {
        let Some(info) = ctx.engines.get(id).cloned() else {
            return;
        };
        let order = bulletins
            .orders()
            .find(|order| order.pool == info.pool)
            .cloned();
        let Some(owned) = self.engines.get_mut(&id) else {
            return;
        };
        let Some((order, load)) = order.zip(owned.load.as_ref()) else {
            return;
        };
        let active = load.weights >= order.version && !load.out_of_service;
        let staged = active || load.staged >= order.version;
        let settled = active || (staged && !order.activate);
        if settled {
            report(ctx, owned, id, &order, staged, active);
            return;
        }
        let superseded = owned
            .ordering
            .as_ref()
            .is_some_and(|given| rank(given) < rank(&order));
        if (owned.ordering.is_some() && !superseded) || ctx.now < owned.next_order {
            return;
        }
        let kind = if staged {
            OrderKind::Activate
        } else {
            OrderKind::Stage
        };
        let source = if owned.failures > 0 {
            String::new()
        } else {
            source_of(ctx, id, &info.pool)
        };
        let body = EngineOrder {
            epoch: order.epoch,
            order: order.version * 2 + u64::from(kind == OrderKind::Activate),
            kind,
            model: order.model.clone(),
            version: order.version,
            source,
        };
        owned.ordering = Some(order);
        let request = HttpRequest::new(
            "POST",
            "/orders",
            serde_json::to_vec(&body).unwrap_or_default(),
        );
        ctx.http(
            &info.address,
            request,
            ORDER_TIMEOUT,
            HttpPurpose::Order(id),
        );
    }

    /// Takes in the end of an order.
    pub fn on_order(&mut self, ctx: &mut Context, id: EngineId, ended: Ended) {
        let Some(owned) = self.engines.get_mut(&id) else {
            return;
        };
        owned.ordering = None;
        let reply = match ended {
            Ok(whole) => whole.json::<OrderReply>(),
            Err(failure) => {
                log::warn!("step=order-engine error={failure}");
                None
            }
        };
        match reply {
            Some(reply) => self.on_order_reply(ctx, id, reply),
            None => {
                owned.failures += 1;
                owned.next_order = ctx.now + ORDER_RETRY;
            }
        }
    }

    fn on_order_reply(&mut self, ctx: &mut Context, id: EngineId, reply: OrderReply) {
        let Some(owned) = self.engines.get_mut(&id) else {
            return;
        };
        if !reply.accepted || !reply.done {
            log::warn!("step=order-engine engine={} reason={}", id.0, reply.reason);
            owned.failures += 1;
            owned.next_order = ctx.now + ORDER_RETRY;
        } else {
            owned.failures = 0;
        }
        if let Some(load) = &mut owned.load {
            load.weights = reply.weights;
            load.staged = reply.staged;
            if reply.done {
                load.out_of_service = false;
            }
        }
        owned.next_poll = ctx.now;
    }
}

/// Tells the coordinator of an engine's progress, a few times per step of it.
fn report(
    ctx: &mut Context,
    owned: &mut Owned,
    id: EngineId,
    order: &WeightOrder,
    staged: bool,
    active: bool,
) {
    let told = owned.reported.as_ref().filter(|told| {
        (told.epoch, told.version, told.active) == (order.epoch, order.version, active)
    });
    let times = told.map_or(0, |told| told.times);
    let recent = told.is_some_and(|told| ctx.now.since(told.at) < REPORT_INTERVAL);
    if times >= REPORTS || recent {
        return;
    }
    owned.reported = Some(Reported {
        epoch: order.epoch,
        version: order.version,
        active,
        times: times + 1,
        at: ctx.now,
    });
    let report = WeightReport {
        model: order.pool.clone(),
        version: order.version,
        epoch: order.epoch,
        engine: id.0,
        staged,
        active,
        failed: false,
    };
    ctx.send(NodeId(order.coordinator), OneOfbody::weight_report(report));
}

/// This node and every other reachable one that may have to use an engine.
fn members_relying_on(ctx: &Context, id: EngineId) -> Vec<NodeId> {
    let members = ctx.swim.reachable();
    let relying = members.filter(|member| relies_on(ctx, &member.zone, id));
    relying.map(|member| member.identity.node).collect()
}

/// Owner of an engine: the first member of its zone that is reachable and not
/// under suspicion, or of the region if its zone has none. An engine may begin
/// to leave just after its owner died; nobody would hear of it in time if the
/// next one waited until the first is held for dead.
fn owner_of(ctx: &Context, id: EngineId, zone: &str) -> Option<NodeId> {
    let key = u64::from(id.0);
    let trusted = |member: &&Member| member.state != State::Suspect;
    let by_zone = ctx.swim.reachable().filter(|member| member.zone == zone);
    let by_zone = by_zone.filter(trusted);
    let nodes = by_zone.map(|member| member.identity.node);
    let in_zone = rendezvous_owner(key, nodes, |node| u64::from(node.0));
    in_zone.or_else(|| {
        let all = ctx.swim.reachable().filter(trusted);
        let all = all.map(|member| member.identity.node);
        rendezvous_owner(key, all, |node| u64::from(node.0))
    })
}

/// Address of the engine to copy weights from; empty for the store.
fn source_of(ctx: &Context, id: EngineId, pool: &str) -> String {
    let engines = ctx.engines.pool(pool).filter(|info| !info.draining);
    let order = rendezvous_order(0, engines, |info| u64::from(info.id.0));
    let index = order.iter().position(|info| info.id == id).unwrap_or(0);
    if index < FROM_STORE {
        return String::new();
    }
    order[index / 2].address.clone()
}
