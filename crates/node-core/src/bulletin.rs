//! The news of a zone: engine loads and weight orders, gathered by the root of
//! the zone's tree and pushed down it once a second, or at once if urgent.

use peatgrade_routing::LoadReport;
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::{Bulletin, EngineLoad, LoadReport as LoadMessage, WeightOrder};
use peatgrade_types::{Duration, EngineId, Identity, NodeId, Time};
use std::collections::BTreeMap;

use crate::context::Context;
use crate::distribution::{digest, zone_tree, zones, Distribution};

/// Time between two bulletins.
const INTERVAL: Duration = Duration::from_secs(1);
/// Loads in one bulletin; the rest follows in the next ones. Keeps a node
/// within its network budget when a zone has many engines.
const MAX_LOADS: usize = 24;
/// Time between two tellings of an unchanged load.
const REFRESH: Duration = Duration::from_secs(4);
/// The same for an engine that takes no new work: one lost message must not
/// keep others sending to it for long.
const REFRESH_LEAVING: Duration = Duration::from_secs(1);
/// Time between two tellings of own zone's loads to the roots of other zones.
const FAR_INTERVAL: Duration = Duration::from_secs(1);

/// Engines of a pool with which a zone gets by without those of other zones.
const ENOUGH_ENGINES: usize = 6;

#[derive(Clone, Debug)]
struct Known {
    load: EngineLoad,
    /// When the engine gave the load, by the local clock.
    measured: Time,
    told: Option<Time>,
    told_far: Option<Time>,
    far: bool,
}

impl Known {
    /// Whether a load last told at `told` should be told again.
    fn due(&self, told: Option<Time>, now: Time) -> bool {
        let refresh = if self.load.leaving {
            REFRESH_LEAVING
        } else {
            REFRESH
        };
        told.is_none_or(|told| now.since(told) >= refresh)
    }
}

/// What this node knows as a root, and the orders in force.
#[derive(Debug, Default)]
pub(crate) struct Bulletins {
    known: BTreeMap<EngineId, Known>,
    orders: BTreeMap<String, WeightOrder>,
    sequence: u64,
    next: Time,
    next_far: Time,
    urgent: bool,
    last_seen: Option<(Identity, u64)>,
}

impl Bulletins {
    /// Weight orders in force, by model.
    pub fn orders(&self) -> impl Iterator<Item = &WeightOrder> {
        self.orders.values()
    }

    pub fn tick(&mut self, ctx: &mut Context) {
        let zone = ctx.settings.zone.clone();
        let tree = zone_tree(ctx, &zone);
        if tree.root() != Some(ctx.identity.node) {
            self.urgent = false;
            return;
        }
        if ctx.now >= self.next_far {
            self.next_far = ctx.now + FAR_INTERVAL;
            self.tell_other_zones(ctx);
        }
        if ctx.now < self.next && !self.urgent {
            return;
        }
        self.next = ctx.now + INTERVAL;
        self.urgent = false;
        self.sequence += 1;
        let bulletin = Bulletin {
            sequence: self.sequence,
            digest: Some(digest(ctx)),
            loads: self.due_loads(ctx.now),
            orders: self.orders.values().cloned().collect(),
            root: ctx.identity.node.0,
            root_generation: ctx.identity.generation,
        };
        for &child in tree.children(ctx.identity.node) {
            ctx.send(child, OneOfbody::bulletin(bulletin.clone()));
        }
    }

    /// Loads that changed or were not told for a while, the longest untold
    /// first.
    fn due_loads(&mut self, now: Time) -> Vec<EngineLoad> {
        let mut due: Vec<(Option<Time>, EngineId)> = self
            .known
            .iter()
            .filter(|(_, known)| known.due(known.told, now))
            .map(|(&engine, known)| (known.told, engine))
            .collect();
        due.sort();
        let mut loads = Vec::new();
        for (_, engine) in due.into_iter().take(MAX_LOADS) {
            if let Some(known) = self.known.get_mut(&engine) {
                known.told = Some(now);
                loads.push(aged(known, now));
            }
        }
        loads
    }

    fn tell_other_zones(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        let due: Vec<EngineId> = self
            .known
            .iter()
            .filter(|(_, known)| !known.far && known.due(known.told_far, now))
            .map(|(&engine, _)| engine)
            .collect();
        let mine = ctx.settings.zone.clone();
        for zone in zones(ctx).into_iter().filter(|zone| *zone != mine) {
            let wanted = due.iter().filter(|engine| relies_on(ctx, &zone, **engine));
            let wanted: Vec<EngineId> = wanted.copied().take(MAX_LOADS).collect();
            let loads = wanted.iter().filter_map(|engine| {
                let known = self.known.get_mut(engine)?;
                known.told_far = Some(now);
                Some(aged(known, now))
            });
            let loads: Vec<EngineLoad> = loads.collect();
            let root = zone_tree(ctx, &zone).root().filter(|_| !loads.is_empty());
            if let Some(root) = root {
                ctx.send(root, OneOfbody::load_report(LoadMessage { loads }));
            }
        }
    }

    /// Takes in loads from an owner or from the root of another zone.
    pub fn on_loads(&mut self, ctx: &mut Context, loads: &[EngineLoad]) {
        for load in loads {
            let engine = EngineId(load.engine);
            let measured = ctx.now - Duration::from_millis(u64::from(load.age));
            note_load(ctx, load);
            let zone = ctx.engines.get(engine).map(|info| info.zone.clone());
            let far = zone.as_ref() != Some(&ctx.settings.zone);
            let known = self.known.get(&engine);
            if known.is_some_and(|known| known.measured >= measured) {
                continue;
            }
            let same = known.is_some_and(|known| same_bucket(&known.load, load));
            let (told, told_far) = match known {
                Some(known) if same => (known.told, known.told_far),
                _ => (None, None),
            };
            let known = Known {
                load: load.clone(),
                measured,
                told,
                told_far,
                far,
            };
            self.known.insert(engine, known);
        }
        let engines = &ctx.engines;
        self.known
            .retain(|&engine, _| engines.get(engine).is_some());
    }

    /// Takes in orders from a coordinator; higher ones are told at once.
    pub fn on_orders(&mut self, orders: &[WeightOrder]) -> bool {
        let mut news = false;
        for order in orders {
            let known = self.orders.get(&order.pool);
            let higher = known.is_none_or(|known| rank(order) > rank(known));
            if higher {
                self.orders.insert(order.pool.clone(), order.clone());
                news = true;
            }
        }
        self.urgent |= news;
        news
    }

    /// Takes in a bulletin and passes it on. Returns whether it brought new
    /// orders.
    pub fn on_bulletin(
        &mut self,
        ctx: &mut Context,
        distribution: &mut Distribution,
        from: NodeId,
        bulletin: Bulletin,
    ) -> bool {
        let root = Identity {
            node: NodeId(bulletin.root),
            generation: bulletin.root_generation,
        };
        let seen = self
            .last_seen
            .is_some_and(|(known, sequence)| known == root && sequence >= bulletin.sequence);
        if seen {
            return false;
        }
        self.last_seen = Some((root, bulletin.sequence));
        for load in &bulletin.loads {
            note_load(ctx, load);
        }
        let news = self.on_orders(&bulletin.orders);
        self.urgent = false;
        if let Some(theirs) = &bulletin.digest {
            distribution.on_digest(ctx, from, theirs);
        }
        let zone = ctx.settings.zone.clone();
        let tree = zone_tree(ctx, &zone);
        for &child in tree.children(ctx.identity.node) {
            ctx.send(child, OneOfbody::bulletin(bulletin.clone()));
        }
        news
    }
}

/// Order of weight orders of a pool: the later epoch, the higher version, and
/// activation after staging.
pub(crate) fn rank(order: &WeightOrder) -> (u64, u64, bool) {
    (order.epoch, order.version, order.activate)
}

/// Whether nodes of a zone may have to use an engine: it is theirs, or they
/// have few engines of its pool.
pub(crate) fn relies_on(ctx: &Context, zone: &str, engine: EngineId) -> bool {
    let Some(info) = ctx.engines.get(engine) else {
        return false;
    };
    let own = ctx
        .engines
        .pool(&info.pool)
        .filter(|other| other.zone == zone);
    info.zone == zone || own.take(ENOUGH_ENGINES).count() < ENOUGH_ENGINES
}

fn aged(known: &Known, now: Time) -> EngineLoad {
    let mut load = known.load.clone();
    load.age = now.since(known.measured).as_millis() as u32;
    load
}

/// Whether two loads differ too little to be told.
pub(crate) fn same_bucket(left: &EngineLoad, right: &EngineLoad) -> bool {
    let bucket = |value: u32| (value + 1).ilog2();
    bucket(left.waiting) == bucket(right.waiting)
        && left.running / 4 == right.running / 4
        && left.weights == right.weights
        && left.leaving == right.leaving
}

/// Takes a load into this node's own view.
pub(crate) fn note_load(ctx: &mut Context, load: &EngineLoad) {
    let report = LoadReport {
        waiting: load.waiting,
        running: load.running,
        weight_version: load.weights,
        draining: load.leaving,
        cache_used_permille: load.cache_used_permille,
    };
    let age = Duration::from_millis(u64::from(load.age));
    ctx.load.update(ctx.now, EngineId(load.engine), report, age);
}
