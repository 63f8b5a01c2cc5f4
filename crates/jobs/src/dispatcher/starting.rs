//! Starting of waiting items on engines.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{Configuration, EngineRequest, Instance};
use peatgrade_types::http::HttpRequest;
use peatgrade_types::{Duration, Time};

use super::capacity::PollCapacity;
use super::eligibility::{batch_route, give_up_reason, target_service};
use super::queue::ItemClass;
use super::suspects::may_start;
use super::{DispatchAction, Dispatcher, RunId};
use crate::item::{ItemKey, OpenItem, ITEM_HTTP_METHOD};
use crate::placement::{has_accepting_engine, has_eligible_engine, ItemRequirements, SlowEngines};
use crate::streams::Run;

/// Time after submission during which half of an engine's slots are reserved for long items.
const LONG_ITEM_RESERVATION: Duration = Duration::from_millis(1_200);

/// Time between two attempts to start items while no engine has a free slot.
const SATURATED_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of runs started per poll. Heartbeats are sent between polls, so a long poll may
/// cost the leadership. A start takes 1.2 ms on 0.3 of a core. Heartbeats are due every 45 ms, and
/// the leadership is lost after 220 ms without one.
const MAX_STARTS_PER_POLL: usize = 8;

/// Outcome of an attempt to start a waiting item.
enum StartOutcome {
    Started,
    /// The item stays in the queue.
    Waiting,
    /// The item no longer waits for an engine.
    Removed,
}

impl Dispatcher {
    /// Starts waiting items while engines have free slots. While all slots are occupied, the cost
    /// depends on the number of engines and item classes, not on the number of items.
    pub(super) fn start_waiting_items(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &mut EngineDirectory,
    ) {
        if !self.is_start_useful(now, directory) {
            return;
        }
        if self.queue.is_due(now, configuration.version) {
            self.rebuild_queue(now, configuration, directory);
        }
        self.queue_requeued_items(configuration);
        let cache = std::mem::take(&mut self.candidate_cache);
        let classes = self.queue.classes.clone();
        let paces = self.paces.clone();
        let mut capacity = PollCapacity::new(now, classes.len(), cache, paces, directory);
        capacity.is_oversubscribed = self.is_oversubscribed(directory);
        let mut remaining_starts = MAX_STARTS_PER_POLL;
        let mut skipped = Vec::new();
        while !capacity.is_exhausted() {
            let Some(queued) = self.queue.pop_front() else {
                break;
            };
            self.count_visits(1);
            if remaining_starts == 0 {
                self.has_backlog = true;
                skipped.push(queued);
                break;
            }
            if capacity.is_full(queued.class) {
                skipped.push(queued);
                continue;
            }
            let class = (queued.class, &classes[queued.class]);
            let key = &queued.key;
            match self.try_start(now, key, class, configuration, directory, &mut capacity) {
                StartOutcome::Started => remaining_starts -= 1,
                StartOutcome::Waiting => skipped.push(queued),
                StartOutcome::Removed => {}
            }
        }
        self.queue.restore(skipped);
        self.candidate_cache = capacity.into_cache();
    }

    /// Starts an item if an engine has a free slot for it.
    fn try_start(
        &mut self,
        now: Time,
        key: &ItemKey,
        class: (usize, &ItemClass),
        configuration: &Configuration,
        directory: &mut EngineDirectory,
        capacity: &mut PollCapacity,
    ) -> StartOutcome {
        let Some(item) = self.items.get(key).filter(|item| item.waits_for_engine()) else {
            return StartOutcome::Removed;
        };
        if now < item.not_before {
            return StartOutcome::Waiting;
        }
        if let Some(reason) = give_up_reason(now, item, configuration, directory) {
            return match self.give_up_unless_outdated(now, key, reason, configuration) {
                true => StartOutcome::Removed,
                false => StartOutcome::Waiting,
            };
        }
        let Some(route) = batch_route(item, configuration) else {
            return StartOutcome::Waiting;
        };
        let Some(service) = target_service(route, &item.item().id) else {
            return StartOutcome::Waiting;
        };
        if !may_start(now, item, service, directory) {
            return StartOutcome::Waiting;
        }
        let single_version = route.single_version;
        if item.single_version != single_version && !self.is_outdated(configuration) {
            self.set_single_version(key, single_version);
        }
        let Some(item) = self.items.get(key) else {
            return StartOutcome::Removed;
        };
        let group = (key.0.clone(), item.item().group.clone());
        let group_engines = self
            .group_engines
            .get(&group)
            .map_or(&[][..], Vec::as_slice);
        let base_requirements = ItemRequirements {
            service,
            model: &item.spec.model,
            min_version: item.spec.min_version,
            exact_version: class.1.exact_version,
            cached_on: group_engines,
            avoid: None,
            moved_from: &[],
            expected: None,
        };
        let is_oversubscribed = capacity.is_oversubscribed;
        if is_version_gone(now, item, &base_requirements, directory) {
            self.restart(key, "version-gone");
            return StartOutcome::Waiting;
        }
        let Some(candidates) = capacity.candidates(now, class, directory, &base_requirements)
        else {
            return StartOutcome::Waiting;
        };
        let paces = candidates.paces();
        let prompt_holders =
            self.placement
                .prompt_holders(now, item, directory, group_engines, paces);
        let relaxed_requirements = ItemRequirements {
            exact_version: item.exact_version(),
            cached_on: &prompt_holders,
            expected: self.placement.forecast(now, item, paces),
            ..base_requirements
        };
        let requirements = ItemRequirements {
            avoid: engine_to_avoid(item, directory),
            moved_from: &item.moved_from,
            ..relaxed_requirements
        };
        let limit = if is_oversubscribed {
            u32::MAX
        } else {
            self.running_limit(now, key, item, configuration, service)
        };
        // Slow engines and engines that fail immediately tend to have the most free slots. So a
        // fuller engine is preferred to a slow one, and any engine to the one that just failed
        // this item.
        self.engines_weighed += candidates.len() as u64;
        let choose = |requirements, limit, slow_engines| {
            candidates.choose(now, directory, requirements, limit, slow_engines)
        };
        let chosen = choose(&requirements, limit, SlowEngines::Excluded)
            .or_else(|| choose(&requirements, u32::MAX, SlowEngines::Excluded))
            .or_else(|| choose(&requirements, u32::MAX, SlowEngines::Allowed))
            .or_else(|| choose(&relaxed_requirements, limit, SlowEngines::Allowed));
        let Some(instance) = chosen else {
            capacity.recheck(now, class, directory, &base_requirements);
            return StartOutcome::Waiting;
        };
        let has_prompt_cached = prompt_holders.contains(&instance);
        let remaining = (item.known_since + route.max_queue).since(now);
        let tenants = &configuration.tenants;
        let priority = tenants.priority_of(&item.spec.tenant, route.priority);
        self.placement.count_choice(has_prompt_cached);
        self.start(now, key, instance, remaining, priority, directory);
        StartOutcome::Started
    }

    /// Whether a start attempt can succeed. While all slots are occupied, occasional attempts
    /// suffice to give up ineligible items.
    fn is_start_useful(&mut self, now: Time, directory: &EngineDirectory) -> bool {
        if !directory.has_free_slot() && now < self.next_saturated_poll_at {
            return false;
        }
        self.next_saturated_poll_at = now + SATURATED_POLL_INTERVAL;
        true
    }

    /// Whether open items exceed the slots of all model engines, so that no slot may be reserved.
    fn is_oversubscribed(&self, directory: &EngineDirectory) -> bool {
        let (_, slots) = directory.model_engines();
        self.items.len() - self.unscored.len() > slots
    }

    /// Maximum number of items running on an engine that may receive this item. Short items of a
    /// new job leave slots to long ones, whose pace they would reduce.
    fn running_limit(
        &self,
        now: Time,
        key: &ItemKey,
        item: &OpenItem,
        configuration: &Configuration,
        service: &str,
    ) -> u32 {
        let is_long = self.is_expected_long(key, item) || !item.text.events.is_empty();
        if is_long || now.since(item.known_since) >= LONG_ITEM_RESERVATION {
            return u32::MAX;
        }
        let slots = configuration.services.get(service).map_or(0, |s| s.slots);
        match slots {
            0 => u32::MAX,
            slots => slots.div_ceil(2),
        }
    }

    /// Whether the length hint of an item marks it as long.
    pub(super) fn is_expected_long(&self, key: &ItemKey, item: &OpenItem) -> bool {
        let threshold = self.long_thresholds.get(&key.0).copied().unwrap_or(0);
        item.item().length_hint >= threshold
    }

    /// Applies a changed single-version setting to an item.
    fn set_single_version(&mut self, key: &ItemKey, single_version: bool) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        item.single_version = single_version;
        if !item.is_consistent() {
            self.restart(key, "several-versions");
        }
    }

    /// Discards a text that cannot be continued.
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
        // Its class has changed.
        self.queue.invalidate();
    }

    fn start(
        &mut self,
        now: Time,
        key: &ItemKey,
        instance: Instance,
        remaining: Duration,
        priority: u32,
        directory: &mut EngineDirectory,
    ) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        let Some(incarnation) = directory.begin_request(now, &instance) else {
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
            let engines = self.group_engines.entry(group.clone()).or_default();
            engines.push(instance.clone());
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
        let call = EngineRequest::Run {
            id: spec.id.clone(),
            host: item.spec.host.clone(),
            instance: instance.clone(),
            version: item.exact_version(),
            deadline: Some(remaining),
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
            incarnation,
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

/// Whether no engine can continue a text that a single version must generate, while another
/// could begin it again.
fn is_version_gone(
    now: Time,
    item: &OpenItem,
    requirements: &ItemRequirements<'_>,
    directory: &EngineDirectory,
) -> bool {
    let Some(version) = item.exact_version() else {
        return false;
    };
    let with_version = |exact_version| ItemRequirements {
        exact_version,
        ..*requirements
    };
    !has_eligible_engine(now, directory, &with_version(Some(version)))
        && has_accepting_engine(now, directory, &with_version(None))
}

/// The engine that failed an item last, unless it has restarted since.
fn engine_to_avoid<'a>(item: &'a OpenItem, directory: &EngineDirectory) -> Option<&'a Instance> {
    let (engine, incarnation) = item.avoid.as_ref()?;
    (!directory.has_ended(engine, *incarnation)).then_some(engine)
}
