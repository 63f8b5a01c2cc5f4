//! Waiting items: their order, and the engine for each.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{Configuration, EngineCall, Instance, Route, RouteKind};
use peatgrade_quarantine::Verdict;
use peatgrade_schema::replication::AcceptJob;
use peatgrade_types::http::HttpRequest;
use peatgrade_types::{hash_bytes, Duration, Time};

use super::queue::{NeedClass, QueuedItem};
use super::suspects::{may_start, verdict_of};
use super::{DispatchAction, Dispatcher, RunId};
use crate::item::{ItemKey, OpenItem, ITEM_METHOD};
use crate::placement::{Candidates, Need, SlowEngines};
use crate::streams::Run;

/// An item counts as long if its expected length is this multiple of its job's
/// median: the few that set the pace of a step.
const LONG_FACTOR: u64 = 5;
const LONG_DIVISOR: u64 = 2;
/// Short items leave half of an engine's places to long ones for this long.
const YIELD_FOR: Duration = Duration::from_millis(1_200);

/// Time between two looks at what waits while no engine has a place.
const FULL_LOOK_EVERY: Duration = Duration::from_millis(100);

/// Runs that one look starts. A start takes a leader on 0.3 of a core 1.2 ms (measured
/// with 4,208 routes), so these take 10 ms, and 70 ms on a machine that is seven times
/// slower. Heartbeats are due each 45 ms and wait for the end of the look; the lead is
/// lost after 220 ms without one.
const STARTS_PER_LOOK: usize = 8;

/// Engines that could run items of each class, looked up once in a look.
struct Rooms {
    looks: Vec<Option<Option<Candidates>>>,
    full: usize,
}

impl Rooms {
    fn new(classes: usize) -> Self {
        Self {
            looks: (0..classes).map(|_| None).collect(),
            full: 0,
        }
    }

    /// Whether no item of any class finds a place.
    fn are_full(&self) -> bool {
        self.full == self.looks.len()
    }

    /// Whether it is known that no item of this class finds a place.
    fn is_full(&self, class: usize) -> bool {
        matches!(self.looks.get(class), Some(Some(None)))
    }

    /// The engines weighed for a class; none if no place is free.
    fn look(
        &mut self,
        now: Time,
        class: usize,
        directory: &EngineDirectory,
        need: &Need<'_>,
    ) -> Option<&Candidates> {
        if class >= self.looks.len() {
            self.looks.resize_with(class + 1, || None);
        }
        if self.looks[class].is_none() {
            let look = Candidates::find(now, directory, need);
            let look = look.has_room(now, directory, need).then_some(look);
            self.full += usize::from(look.is_none());
            self.looks[class] = Some(look);
        }
        self.looks[class].as_ref()?.as_ref()
    }

    /// Takes note that an item found no place: maybe none is left for its class.
    fn note_full(&mut self, now: Time, class: usize, directory: &EngineDirectory, need: &Need<'_>) {
        if let Some(Some(look)) = self.looks.get_mut(class) {
            if look
                .as_ref()
                .is_some_and(|look| !look.has_room(now, directory, need))
            {
                *look = None;
                self.full += 1;
            }
        }
    }
}

/// What became of a waiting item in a look.
enum Attempt {
    /// It runs.
    Started,
    /// It waits on.
    Waits,
    /// It waits for an engine no more.
    Gone,
}

impl Dispatcher {
    /// Starts what waits, as far as there is room. While all places are taken a look
    /// costs as much as there are engines and kinds of need, not items.
    pub(super) fn start_waiting(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &mut EngineDirectory,
    ) {
        if !self.is_start_due(now, directory) {
            return;
        }
        if self.queue.is_due(now, configuration.version) {
            self.renew_queue(now, configuration, directory);
        }
        self.queue_returned(configuration);
        let crowded = self.is_crowded(directory);
        let mut rooms = Rooms::new(self.queue.classes.len());
        let mut starts_left = STARTS_PER_LOOK;
        let mut passed_over = Vec::new();
        while !rooms.are_full() {
            let Some(queued) = self.queue.take_first() else {
                break;
            };
            self.visit(1);
            if starts_left == 0 {
                self.has_backlog = true;
                passed_over.push(queued);
                break;
            }
            if rooms.is_full(queued.class) {
                passed_over.push(queued);
                continue;
            }
            match self.try_start(now, &queued, crowded, configuration, directory, &mut rooms) {
                Attempt::Started => starts_left -= 1,
                Attempt::Waits => passed_over.push(queued),
                Attempt::Gone => {}
            }
        }
        self.queue.put_back(passed_over);
    }

    /// Makes the order of waiting items anew. What must be given up is given up here, so
    /// that it costs nothing in looks between.
    fn renew_queue(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) {
        self.give_up_hopeless(now, configuration, directory);
        let order = self.waiting_in_order(now, configuration, directory);
        self.returned.clear();
        let mut classes = Classes::default();
        let mut queued = Vec::with_capacity(order.len());
        for key in order {
            queued.extend(self.queued_item(key, configuration, &mut classes));
        }
        self.queue
            .renew(now, configuration.version, queued, classes.0);
    }

    /// Puts items that came back since the last look before all others.
    fn queue_returned(&mut self, configuration: &Configuration) {
        if self.returned.is_empty() {
            return;
        }
        let returned = std::mem::take(&mut self.returned);
        let mut classes = Classes(std::mem::take(&mut self.queue.classes));
        for key in returned.into_iter().rev() {
            if let Some(queued) = self.queued_item(key, configuration, &mut classes) {
                self.queue.put_first(queued);
            }
        }
        self.queue.classes = classes.0;
    }

    fn queued_item(
        &self,
        key: ItemKey,
        configuration: &Configuration,
        classes: &mut Classes,
    ) -> Option<QueuedItem> {
        let item = self.items.get(&key)?;
        let route = batch_route(item, configuration)?;
        let service = target_of(route, &item.item().id)?;
        let class = classes.position(service, &item.spec.model, item.spec.min_version);
        Some(QueuedItem { key, class })
    }

    /// Gives up waiting items that nothing allows to run any more.
    fn give_up_hopeless(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) {
        let waiting = self
            .items
            .iter()
            .filter(|(_, item)| item.waits_for_engine());
        let hopeless = waiting.filter_map(|(key, item)| {
            let reason = reason_to_give_up(now, item, configuration, directory)?;
            Some((key.clone(), reason))
        });
        let hopeless: Vec<(ItemKey, &str)> = hopeless.collect();
        self.visit(self.items.len());
        for (key, reason) in hopeless {
            self.give_up(&key, reason);
        }
    }

    /// Brings an item to an engine, if one has a place for it.
    fn try_start(
        &mut self,
        now: Time,
        queued: &QueuedItem,
        crowded: bool,
        configuration: &Configuration,
        directory: &mut EngineDirectory,
        rooms: &mut Rooms,
    ) -> Attempt {
        let key = &queued.key;
        let Some(item) = self.items.get(key).filter(|item| item.waits_for_engine()) else {
            return Attempt::Gone;
        };
        if now < item.not_before {
            return Attempt::Waits;
        }
        if let Some(reason) = reason_to_give_up(now, item, configuration, directory) {
            self.give_up(key, reason);
            return Attempt::Gone;
        }
        let Some(route) = batch_route(item, configuration) else {
            return Attempt::Waits;
        };
        let Some(service) = target_of(route, &item.item().id) else {
            return Attempt::Waits;
        };
        if !may_start(now, item, service, directory) {
            return Attempt::Waits;
        }
        let single = route.single_version;
        if item.single_version != single {
            self.demand_single_version(key, single);
        }
        let Some(item) = self.items.get(key) else {
            return Attempt::Gone;
        };
        let group = (key.0.clone(), item.item().group.clone());
        let beside = self.companions.get(&group).map_or(&[][..], Vec::as_slice);
        let any = Need {
            service,
            model: &item.spec.model,
            min_version: item.spec.min_version,
            exact: None,
            companions: beside,
            avoid: None,
            left: &[],
            expected: None,
        };
        let Some(look) = rooms.look(now, queued.class, directory, &any) else {
            return Attempt::Waits;
        };
        let paces = look.paces();
        let keepers = self.placing.keepers(now, item, directory, beside, paces);
        let without = Need {
            exact: item.exact_version(),
            companions: &keepers,
            expected: self.placing.expected(now, item, paces),
            ..any
        };
        let need = Need {
            avoid: engine_to_avoid(item, directory),
            left: &item.left,
            ..without
        };
        let limit = if crowded {
            u32::MAX
        } else {
            self.place_limit(now, key, item, configuration, service)
        };
        // A slow engine is always one of the emptiest, and so is one that
        // fails at once: rather a full one than a slow one, and rather any
        // than the one that has just failed this item.
        self.weighed += look.len() as u64;
        let choose = |need, limit, slow| look.choose(now, directory, need, limit, slow);
        let chosen = choose(&need, limit, SlowEngines::LeftOut)
            .or_else(|| choose(&need, u32::MAX, SlowEngines::LeftOut))
            .or_else(|| choose(&need, u32::MAX, SlowEngines::Allowed))
            .or_else(|| choose(&without, limit, SlowEngines::Allowed));
        let Some(instance) = chosen else {
            let lost = !look.has_fitting(directory, &without);
            rooms.note_full(now, queued.class, directory, &any);
            if lost && without.exact.is_some() {
                self.restart(key, "version-gone");
            }
            return Attempt::Waits;
        };
        let keeps_prompt = keepers.contains(&instance);
        let left = (item.known_since + route.max_queue).since(now);
        let tenants = &configuration.tenants;
        let priority = tenants.priority_of(&item.spec.tenant, route.priority);
        self.placing.note_choice(keeps_prompt);
        self.start(now, key, instance, left, priority, directory);
        Attempt::Started
    }

    /// Whether a look at what waits can change anything: while all places are
    /// taken, one now and then is enough for what must be given up.
    fn is_start_due(&mut self, now: Time, directory: &EngineDirectory) -> bool {
        let mut engines = directory.iter();
        let place = engines.any(|state| {
            !state.record.draining && state.experience.running < state.record.slots.max(1)
        });
        if !place && now < self.full_look_at {
            return false;
        }
        self.full_look_at = now + FULL_LOOK_EVERY;
        true
    }

    /// Whether open items would fill all places of model engines: then no place
    /// may stay empty.
    fn is_crowded(&self, directory: &EngineDirectory) -> bool {
        let engines = directory.iter().filter(|state| !state.record.draining);
        let modelled = engines.filter(|state| !state.record.models.is_empty());
        let places: usize = modelled.map(|state| state.record.slots as usize).sum();
        self.items.len() - self.unscored.len() > places
    }

    /// Items that one engine may run before this one is added: short ones leave
    /// room for long ones at first, whose pace they would slow.
    fn place_limit(
        &self,
        now: Time,
        key: &ItemKey,
        item: &OpenItem,
        configuration: &Configuration,
        service: &str,
    ) -> u32 {
        let long = self.is_expected_long(key, item) || !item.text.events.is_empty();
        if long || now.since(item.known_since) >= YIELD_FOR {
            return u32::MAX;
        }
        let slots = configuration.services.get(service).map_or(0, |s| s.slots);
        match slots {
            0 => u32::MAX,
            slots => slots.div_ceil(2),
        }
    }

    /// Whether an item was expected to be long when it was handed in.
    pub(super) fn is_expected_long(&self, key: &ItemKey, item: &OpenItem) -> bool {
        let long_from = self.long_from.get(&key.0).copied().unwrap_or(0);
        item.item().length_hint >= long_from
    }

    /// One version must make an item's whole text, or several may.
    fn demand_single_version(&mut self, key: &ItemKey, single: bool) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        item.single_version = single;
        if !item.is_consistent() {
            self.restart(key, "several-versions");
        }
    }

    /// Begins a text anew that cannot be continued.
    fn restart(&mut self, key: &ItemKey, reason: &str) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        log::info!(
            "decision=restart item={} job={} reason={reason} events={} versions={:?}",
            item.item().id,
            key.0,
            item.text.events.len(),
            item.text.versions()
        );
        item.restart();
    }

    fn start(
        &mut self,
        now: Time,
        key: &ItemKey,
        instance: Instance,
        left: Duration,
        priority: u32,
        directory: &mut EngineDirectory,
    ) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        let Some(life) = directory.begin_request(now, &instance) else {
            return;
        };
        let Some(state) = directory.get(&instance) else {
            return;
        };
        let run = RunId(self.next_run);
        self.next_run += 1;
        let group = &item.item().group;
        let group = (!group.is_empty()).then(|| (key.0.clone(), group.clone()));
        if let Some(group) = &group {
            let companions = self.companions.entry(group.clone()).or_default();
            companions.push(instance.clone());
        }
        item.run = Some(run);
        item.runs += 1;
        let spec = item.item();
        let headers = spec.headers.iter();
        let mut http = HttpRequest::new(ITEM_METHOD, spec.path.as_str(), spec.body.clone());
        http.headers = headers
            .map(|header| (header.name.to_ascii_lowercase(), header.value.clone()))
            .collect();
        log::info!(
            "decision=run item={} job={} engine={instance} version={} running={} after={:?}",
            spec.id,
            key.0,
            state.version(&item.spec.model),
            state.experience.running,
            item.text.last_event
        );
        let call = EngineCall::Run {
            id: spec.id.clone(),
            host: item.spec.host.clone(),
            instance: instance.clone(),
            version: item.exact_version(),
            deadline: Some(left),
            last_event: item.text.last_event,
            priority: Some(priority.min(9)),
            tenant: item.spec.tenant.clone(),
            http,
        };
        self.actions.push(DispatchAction::Run {
            run,
            address: state.record.address.clone(),
            call: Box::new(call),
        });
        let started = Run {
            key: key.clone(),
            group,
            instance,
            life,
            exact: item.exact_version(),
            started: now,
            first: None,
            last: None,
            is_harmless: false,
            events: 0,
            version: 0,
            head: None,
            reader: (self.reader)(),
        };
        self.runs.insert(run, started);
    }
}

/// The engine that has just failed an item, unless it has started again since.
fn engine_to_avoid<'a>(item: &'a OpenItem, directory: &EngineDirectory) -> Option<&'a Instance> {
    let (engine, life) = item.avoid.as_ref()?;
    (!directory.is_over(engine, *life)).then_some(engine)
}

/// Kinds of need that were met so far.
#[derive(Default)]
struct Classes(Vec<NeedClass>);

impl Classes {
    /// The position of a class; jobs are few, so there are few.
    fn position(&mut self, service: &str, model: &str, min_version: u64) -> usize {
        let known = self.0.iter().position(|class| {
            &*class.service == service && &*class.model == model && class.min_version == min_version
        });
        known.unwrap_or_else(|| {
            self.0.push(NeedClass {
                service: service.into(),
                model: model.into(),
                min_version,
            });
            self.0.len() - 1
        })
    }
}

/// The route that allows an item to run.
pub(super) fn batch_route<'a>(
    item: &OpenItem,
    configuration: &'a Configuration,
) -> Option<&'a Route> {
    let route = configuration.route(&item.spec.host, &item.item().path);
    route.filter(|route| route.kind == RouteKind::Batch)
}

/// Why nothing allows a waiting item to run any more, if so.
fn reason_to_give_up(
    now: Time,
    item: &OpenItem,
    configuration: &Configuration,
    directory: &EngineDirectory,
) -> Option<&'static str> {
    let Some(route) = batch_route(item, configuration) else {
        return Some("route-gone");
    };
    if now.since(item.known_since) < route.max_queue {
        return None;
    }
    Some(match verdict_of(item, directory) {
        Verdict::Convicted { .. } => "engines-crash-under-it",
        _ => "queue-limit",
    })
}

/// The service that an item goes to: a stable draw by the route's weights.
pub(super) fn target_of<'a>(route: &'a Route, id: &str) -> Option<&'a str> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let mut draw = hash_bytes(id.as_bytes()) % total.max(1);
    for target in &route.targets {
        if draw < u64::from(target.weight) {
            return Some(&target.service);
        }
        draw -= u64::from(target.weight);
    }
    route.targets.first().map(|target| target.service.as_str())
}

/// Expected length from which on an item counts as long.
pub(super) fn long_from(spec: &AcceptJob) -> u64 {
    let mut hints: Vec<u64> = spec.items.iter().map(|item| item.length_hint).collect();
    hints.sort_unstable();
    let median = hints.get(hints.len() / 2).copied().unwrap_or(0);
    median * LONG_FACTOR / LONG_DIVISOR
}
