//! Updates from the discovery list, as a whole or by single changes.

use peatgrade_ports::{EngineRecord, Instance, StoreEvent, StoreObject};
use peatgrade_types::{Duration, Time};
use std::collections::HashSet;

use super::{EngineDirectory, EngineState};
use crate::incarnation::StartComparison;

/// Heartbeat intervals without the store after which entries may have lapsed. The store drops
/// an entry after three, and the last heartbeat may have come up to one interval before
/// contact was lost.
const LAPSE_HEARTBEATS: u64 = 2;
/// Time within which running engines register again after a store outage. The platform states about
/// two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2_000);

impl EngineDirectory {
    /// Replaces the list. The state of engines that stay listed is kept.
    pub fn replace(&mut self, now: Time, records: Vec<EngineRecord>) {
        for instance in self.apply_list(now, records) {
            self.remove(&instance);
        }
    }

    /// Applies a list that was requested at `at`. If the store was unavailable for longer than
    /// entries last, missing engines are kept for a grace period.
    pub fn relist(&mut self, now: Time, at: Time, records: Vec<EngineRecord>, heartbeat: Duration) {
        let outage = at.since(self.confirmed_at);
        let lapsed = outage >= Duration(heartbeat.0 * LAPSE_HEARTBEATS);
        for instance in self.apply_list(at, records) {
            let Some(state) = self.engines.get_mut(&instance) else {
                continue;
            };
            let grace_end = lapsed.then(|| now + RETURN_GRACE);
            let until = state.lapsed_until.or(grace_end);
            if until.is_some_and(|until| now < until) {
                state.lapsed_until = until;
            } else {
                self.remove(&instance);
            }
        }
        self.update_next_expiry();
    }

    /// Applies a list that was requested at `at` and is incomplete: engines that it does not
    /// contain may still exist and are kept.
    pub fn merge_list(&mut self, at: Time, records: Vec<EngineRecord>) {
        self.apply_list(at, records);
        self.update_next_expiry();
    }

    /// Updates the engines of a list in place, since a list may have thousands. Returns the
    /// known engines that it does not contain.
    fn apply_list(&mut self, now: Time, records: Vec<EngineRecord>) -> Vec<Instance> {
        let mut missing: HashSet<Instance> = self.engines.keys().cloned().collect();
        for record in records {
            missing.remove(&record.instance);
            self.upsert(now, record);
        }
        self.confirmed_at = now;
        let mut missing: Vec<Instance> = missing.into_iter().collect();
        missing.sort();
        missing
    }

    /// Removes the engines of services that are not needed.
    pub fn retain_services(&mut self, is_needed: impl Fn(&str) -> bool) {
        let unneeded = self
            .service_index
            .names()
            .filter(|service| !is_needed(service));
        let unneeded: Vec<Instance> = unneeded
            .flat_map(|service| self.service_index.engines(service))
            .cloned()
            .collect();
        for instance in unneeded {
            self.remove(&instance);
        }
    }

    fn remove(&mut self, instance: &Instance) -> bool {
        let Some(state) = self.engines.remove(instance) else {
            return false;
        };
        self.changes += 1;
        self.service_index.remove(&state.record.service, instance);
        self.tracked.remove(instance);
        true
    }

    fn update_next_expiry(&mut self) {
        let lapsed = self.engines.values().filter_map(|state| state.lapsed_until);
        self.next_expiry = lapsed.min();
    }

    /// Removes and returns lapsed engines whose grace period has expired.
    pub fn drop_lapsed(&mut self, now: Time) -> Vec<Instance> {
        if self.next_expiry.is_none_or(|next| now < next) {
            return Vec::new();
        }
        let engines = self.engines.iter();
        let expired = engines.filter(|(_, state)| state.lapsed_until.is_some_and(|at| now >= at));
        let mut expired: Vec<Instance> = expired.map(|(instance, _)| instance.clone()).collect();
        expired.sort();
        for instance in &expired {
            self.remove(instance);
        }
        self.update_next_expiry();
        expired
    }

    /// Number of engines that count as listed although their entry is missing.
    pub fn lapsed_count(&self) -> usize {
        let engines = self.engines.values();
        engines.filter(|state| state.lapsed_until.is_some()).count()
    }

    /// Applies a change of the list and returns the instance if it was removed. An entry that
    /// has become unreadable counts as removed, because the engine's address and state are
    /// unknown.
    pub fn apply(&mut self, now: Time, event: StoreEvent) -> Option<Instance> {
        match event.object {
            Some(StoreObject::Engine(record)) => {
                self.upsert(now, record);
                None
            }
            _ => {
                let instance = Instance(event.name);
                self.remove(&instance).then_some(instance)
            }
        }
    }

    fn upsert(&mut self, now: Time, mut record: EngineRecord) {
        let instance = record.instance.clone();
        let Some(state) = self.engines.get_mut(&instance) else {
            let incarnation = self.next_incarnation();
            let state = EngineState {
                record,
                incarnation,
                ..EngineState::default()
            };
            self.service_index.put(&state.record, None);
            self.engines.insert(instance, state);
            self.changes += 1;
            return;
        };
        match StartComparison::compare(state.record.started, record.started) {
            StartComparison::Later => {
                return self.end_incarnation(now, &instance, record, "later-start")
            }
            // A delayed heartbeat of an earlier incarnation.
            StartComparison::Earlier => return,
            StartComparison::Same => {}
        }
        // The list lags behind the versions in responses and reports.
        for (model, seen) in &state.record.models {
            match record.models.get_mut(model) {
                Some(listed) => *listed = (*listed).max(*seen),
                None => {
                    record.models.insert(model.clone(), *seen);
                }
            }
        }
        record.draining |= state.record.draining;
        record.started = record.started.or(state.record.started);
        if record.address != state.record.address {
            state.absence = None;
        }
        state.lapsed_until = None;
        if record == state.record {
            return;
        }
        self.changes += 1;
        self.service_index.put(&record, Some(&state.record.service));
        state.record = record;
    }
}
