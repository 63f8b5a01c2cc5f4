//! Starts of waiting items, and the engine for each.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{Configuration, EngineCall, Instance};
use peatgrade_types::http::HttpRequest;
use peatgrade_types::{Duration, Time};

use super::capacity::PassCapacity;
use super::eligibility::{batch_route, reason_to_give_up, target_of};
use super::queue::NeedClass;
use super::suspects::may_start;
use super::{DispatchAction, Dispatcher, RunId};
use crate::item::{ItemKey, OpenItem, ITEM_HTTP_METHOD};
use crate::placement::{ItemRequirements, SlowEngines};
use crate::streams::Run;

/// Short items leave half of an engine's places to long ones for this long.
const YIELD_FOR: Duration = Duration::from_millis(1_200);

/// Time between two looks at what waits while no engine has a place.
const FULL_LOOK_EVERY: Duration = Duration::from_millis(100);

/// Runs that one look starts. A start takes a leader on 0.3 of a core 1.2 ms (measured
/// with 4,208 routes), so these take 10 ms, and 70 ms on a machine that is seven times
/// slower. Heartbeats are due each 45 ms and wait for the end of the look; the lead is
/// lost after 220 ms without one.
const STARTS_PER_LOOK: usize = 8;

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
        let found = std::mem::take(&mut self.candidate_cache);
        let classes = self.queue.classes.clone();
        let paces = self.paces.clone();
        let mut capacity = PassCapacity::new(now, classes.len(), found, paces, directory);
        capacity.are_crowded = self.is_crowded(directory);
        let mut starts_left = STARTS_PER_LOOK;
        let mut passed_over = Vec::new();
        while !capacity.are_full() {
            let Some(queued) = self.queue.take_first() else {
                break;
            };
            self.visit(1);
            if starts_left == 0 {
                self.has_backlog = true;
                passed_over.push(queued);
                break;
            }
            if capacity.is_full(queued.class) {
                passed_over.push(queued);
                continue;
            }
            let class = (queued.class, &classes[queued.class]);
            let key = &queued.key;
            match self.try_start(now, key, class, configuration, directory, &mut capacity) {
                Attempt::Started => starts_left -= 1,
                Attempt::Waits => passed_over.push(queued),
                Attempt::Gone => {}
            }
        }
        self.queue.put_back(passed_over);
        self.candidate_cache = capacity.into_cache();
    }

    /// Brings an item to an engine, if one has a place for it.
    fn try_start(
        &mut self,
        now: Time,
        key: &ItemKey,
        class: (usize, &NeedClass),
        configuration: &Configuration,
        directory: &mut EngineDirectory,
        capacity: &mut PassCapacity,
    ) -> Attempt {
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
        let any = ItemRequirements {
            service,
            model: &item.spec.model,
            min_version: item.spec.min_version,
            exact_version: None,
            cached_on: beside,
            avoid: None,
            moved_from: &[],
            expected: None,
        };
        let are_crowded = capacity.are_crowded;
        let Some(look) = capacity.look(now, class, directory, &any) else {
            return Attempt::Waits;
        };
        let paces = look.paces();
        let keepers = self.placement.keepers(now, item, directory, beside, paces);
        let without = ItemRequirements {
            exact_version: item.exact_version(),
            cached_on: &keepers,
            expected: self.placement.expected(now, item, paces),
            ..any
        };
        let need = ItemRequirements {
            avoid: engine_to_avoid(item, directory),
            moved_from: &item.moved_from,
            ..without
        };
        let limit = if are_crowded {
            u32::MAX
        } else {
            self.place_limit(now, key, item, configuration, service)
        };
        // A slow engine is always one of the emptiest, and so is one that
        // fails at once: rather a full one than a slow one, and rather any
        // than the one that has just failed this item.
        self.weighed += look.len() as u64;
        let choose = |need, limit, slow| look.choose(now, directory, need, limit, slow);
        let chosen = choose(&need, limit, SlowEngines::Excluded)
            .or_else(|| choose(&need, u32::MAX, SlowEngines::Excluded))
            .or_else(|| choose(&need, u32::MAX, SlowEngines::Allowed))
            .or_else(|| choose(&without, limit, SlowEngines::Allowed));
        let Some(instance) = chosen else {
            let lost = !look.has_eligible(directory, &without);
            capacity.note_full(now, class, directory, &any);
            if lost && without.exact_version.is_some() {
                self.restart(key, "version-gone");
            }
            return Attempt::Waits;
        };
        let has_prompt_cached = keepers.contains(&instance);
        let left = (item.known_since + route.max_queue).since(now);
        let tenants = &configuration.tenants;
        let priority = tenants.priority_of(&item.spec.tenant, route.priority);
        self.placement.note_choice(has_prompt_cached);
        self.start(now, key, instance, left, priority, directory);
        Attempt::Started
    }

    /// Whether a look at what waits can change anything: while all places are
    /// taken, one now and then is enough for what must be given up.
    fn is_start_due(&mut self, now: Time, directory: &EngineDirectory) -> bool {
        if !directory.has_free_slot() && now < self.full_look_at {
            return false;
        }
        self.full_look_at = now + FULL_LOOK_EVERY;
        true
    }

    /// Whether open items would fill all places of model engines: then no place
    /// may stay empty.
    fn is_crowded(&self, directory: &EngineDirectory) -> bool {
        let (_, places) = directory.model_engines();
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
        let mut http = HttpRequest::new(ITEM_HTTP_METHOD, spec.path.as_str(), spec.body.clone());
        http.headers = headers
            .map(|header| (header.name.to_ascii_lowercase(), header.value.clone()))
            .collect();
        log::info!(
            "decision=run item={} job={} engine={instance} version={} running={} after={:?}",
            spec.id,
            key.0,
            state.version(&item.spec.model),
            state.stats.in_flight,
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
            incarnation: life,
            exact_version: item.exact_version(),
            started_at: now,
            first_event_at: None,
            last_event_at: None,
            is_cleared: false,
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
    (!directory.has_ended(engine, *life)).then_some(engine)
}
