//! Engines of each service and the places that they offer, kept as the list changes.
//!
//! The load: thousands of engines, of which a machine uses some hundred. A decision must
//! not look over all of them to find those of a service, or to count their places.

use peatgrade_ports::{EngineRecord, Instance};
use std::collections::BTreeMap;

/// What one engine adds to its service, as counted.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Offer {
    slots: u32,
    takes_requests: bool,
    models: Vec<String>,
}

impl Offer {
    fn of(record: &EngineRecord) -> Self {
        Self {
            slots: record.slots,
            takes_requests: !record.draining,
            models: record.models.keys().cloned().collect(),
        }
    }
}

/// Engines of one service.
#[derive(Clone, Debug, Default)]
struct ServiceEngines {
    offers: BTreeMap<Instance, Offer>,
    /// Engines that take new requests, by their slots and whether they hold a model.
    by_slots: BTreeMap<(u32, bool), usize>,
    /// Engines that take new requests, by model.
    by_model: BTreeMap<String, usize>,
}

impl ServiceEngines {
    fn add(&mut self, engine: &Instance, offer: Offer) {
        self.remove(engine);
        if offer.takes_requests {
            let key = (offer.slots, !offer.models.is_empty());
            *self.by_slots.entry(key).or_insert(0) += 1;
            for model in &offer.models {
                *self.by_model.entry(model.clone()).or_insert(0) += 1;
            }
        }
        self.offers.insert(engine.clone(), offer);
    }

    fn remove(&mut self, engine: &Instance) {
        let Some(offer) = self.offers.remove(engine) else {
            return;
        };
        if !offer.takes_requests {
            return;
        }
        take_one(&mut self.by_slots, &(offer.slots, !offer.models.is_empty()));
        for model in &offer.models {
            take_one(&mut self.by_model, model);
        }
    }
}

/// Takes one away from a count; a count of none is not kept.
fn take_one<K: Ord>(counts: &mut BTreeMap<K, usize>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

/// Engines of all services.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceIndex {
    services: BTreeMap<String, ServiceEngines>,
}

impl ServiceIndex {
    /// Takes what the list says of an engine; `before` is the service that it had.
    pub fn put(&mut self, record: &EngineRecord, before: Option<&str>) {
        if let Some(service) = before.filter(|service| *service != record.service) {
            self.remove(service, &record.instance);
        }
        let offer = Offer::of(record);
        let known = self.services.get(&record.service);
        if known.and_then(|known| known.offers.get(&record.instance)) == Some(&offer) {
            return;
        }
        let engines = self.services.entry(record.service.clone()).or_default();
        engines.add(&record.instance, offer);
    }

    /// An engine is not listed under a service any more.
    pub fn remove(&mut self, service: &str, engine: &Instance) {
        let Some(engines) = self.services.get_mut(service) else {
            return;
        };
        engines.remove(engine);
        if engines.offers.is_empty() {
            self.services.remove(service);
        }
    }

    /// Names of services that have engines.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// All engines of a service, leaving ones among them.
    pub fn engines(&self, service: &str) -> impl Iterator<Item = &Instance> {
        let engines = self.services.get(service).into_iter();
        engines.flat_map(|engines| engines.offers.keys())
    }

    /// Engines of a service that take new requests, by their slots and whether they hold a
    /// model.
    pub fn by_slots(&self, service: &str) -> impl Iterator<Item = (u32, bool, usize)> + '_ {
        let engines = self.services.get(service).into_iter();
        let counts = engines.flat_map(|engines| &engines.by_slots);
        counts.map(|((slots, has_models), count)| (*slots, *has_models, *count))
    }

    /// Engines of a service that take new requests and hold a model.
    pub fn holding(&self, service: &str, model: &str) -> usize {
        let engines = self.services.get(service);
        let count = engines.and_then(|engines| engines.by_model.get(model));
        count.copied().unwrap_or(0)
    }
}
