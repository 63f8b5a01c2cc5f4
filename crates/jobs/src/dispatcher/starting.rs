//! Waiting items: their order, and the engine for each.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{Configuration, EngineCall, Instance, Route, RouteKind};
use peatgrade_quarantine::Verdict;
use peatgrade_schema::replication::AcceptJob;
use peatgrade_types::http::HttpRequest;
use peatgrade_types::{hash_bytes, Duration, Time};
use std::collections::HashMap;
use std::rc::Rc;

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

/// Names a group: its job and its name there.
type GroupKey = (Rc<str>, String);

/// Engines that could run a job's items, looked up once for all items that go
/// to the same service.
#[derive(Default)]
struct Rooms {
    looks: HashMap<(Rc<str>, String), Option<Candidates>>,
}

impl Rooms {
    /// The engines weighed for a job at a service; none if no place is free.
    fn look(
        &mut self,
        now: Time,
        job: &Rc<str>,
        directory: &EngineDirectory,
        need: &Need<'_>,
    ) -> Option<&Candidates> {
        let key = (job.clone(), need.service.to_string());
        let look = self.looks.entry(key).or_insert_with(|| {
            let look = Candidates::find(now, directory, need);
            look.has_room(now, directory, need).then_some(look)
        });
        look.as_ref()
    }

    /// Takes note that an item found no place: maybe none is left for its job.
    fn note_full(
        &mut self,
        job: &Rc<str>,
        now: Time,
        directory: &EngineDirectory,
        need: &Need<'_>,
    ) {
        let key = (job.clone(), need.service.to_string());
        if let Some(look) = self.looks.get_mut(&key) {
            *look = look
                .take()
                .filter(|look| look.has_room(now, directory, need));
        }
    }
}

impl Dispatcher {
    /// Starts what waits, as far as there is room. The look costs as much as
    /// there are engines and jobs, not items, while all places are taken.
    pub(super) fn start_waiting(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &mut EngineDirectory,
    ) {
        if !self.is_start_due(now, directory) {
            return;
        }
        let waiting = self.waiting_in_order(now);
        if waiting.is_empty() {
            return;
        }
        let mut rooms = Rooms::default();
        let mut companions = self.companions();
        let crowded = self.is_crowded(directory);
        let mut starts_left = STARTS_PER_LOOK;
        for key in waiting {
            if starts_left == 0 {
                self.has_backlog = true;
                break;
            }
            let Some(item) = self.items.get(&key) else {
                continue;
            };
            let (host, path) = (&item.spec.host, &item.item().path);
            let route = configuration.route(host, path);
            let Some(route) = route.filter(|route| route.kind == RouteKind::Batch) else {
                // Nothing allows it to run any more.
                self.give_up(&key, "route-gone");
                continue;
            };
            if now.since(item.known_since) >= route.max_queue {
                let reason = match verdict_of(item, directory) {
                    Verdict::Convicted { .. } => "engines-crash-under-it",
                    _ => "queue-limit",
                };
                self.give_up(&key, reason);
                continue;
            }
            let Some(service) = target_of(route, &item.item().id) else {
                continue;
            };
            if !may_start(now, item, service, directory) {
                continue;
            }
            let single = route.single_version;
            if item.single_version != single {
                self.demand_single_version(&key, single);
            }
            let Some(item) = self.items.get(&key) else {
                continue;
            };
            let group = (key.0.clone(), item.item().group.clone());
            let beside = companions.entry(group).or_default();
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
            let Some(look) = rooms.look(now, &key.0, directory, &any) else {
                continue;
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
                avoid: item.avoid.as_ref(),
                left: &item.left,
                ..without
            };
            let limit = if crowded {
                u32::MAX
            } else {
                self.place_limit(now, &key, item, configuration, service)
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
                rooms.note_full(&key.0, now, directory, &any);
                if lost && without.exact.is_some() {
                    self.restart(&key, "version-gone");
                }
                continue;
            };
            self.placing.note_choice(keepers.contains(&instance));
            if !item.item().group.is_empty() {
                beside.push(instance.clone());
            }
            let left = (item.known_since + route.max_queue).since(now);
            let tenants = &configuration.tenants;
            let priority = tenants.priority_of(&item.spec.tenant, route.priority);
            self.start(now, &key, instance, left, priority, directory);
            starts_left -= 1;
        }
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

    /// Engines that run items of each group of each job.
    fn companions(&self) -> HashMap<GroupKey, Vec<Instance>> {
        let mut companions: HashMap<GroupKey, Vec<Instance>> = HashMap::new();
        for run in self.runs.values() {
            let Some(item) = self.items.get(&run.key) else {
                continue;
            };
            let group = &item.item().group;
            if !group.is_empty() {
                let group = (run.key.0.clone(), group.clone());
                let engines = companions.entry(group).or_default();
                engines.push(run.instance.clone());
            }
        }
        companions
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
        let (Some(item), Some(state)) = (self.items.get_mut(key), directory.get_mut(&instance))
        else {
            return;
        };
        let run = RunId(self.next_run);
        self.next_run += 1;
        state.experience.running += 1;
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
            instance,
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

/// The service that an item goes to: a stable draw by the route's weights.
fn target_of<'a>(route: &'a Route, id: &str) -> Option<&'a str> {
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
