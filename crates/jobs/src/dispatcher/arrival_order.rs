//! Ordering of waiting items by arrival.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::Configuration;
use peatgrade_scheduling::ItemOrder;
use peatgrade_types::Time;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use super::Dispatcher;
use crate::item::{ItemKey, OpenItem};

impl Dispatcher {
    /// Returns the waiting items in the order in which they are sent to engines.
    pub(super) fn order_waiting_items(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) -> Vec<ItemKey> {
        match self.order {
            ItemOrder::Arrival => self.order_by_arrival(),
            ItemOrder::GroupsInTime => self
                .order_by_plan(now, configuration, directory)
                .unwrap_or_else(|| self.order_by_arrival()),
        }
    }

    /// Tenants that run more items than the average of tenants with open items. They are served
    /// after the others, so that a tenant with many items cannot starve the rest.
    fn tenants_over_share(&self) -> HashSet<&str> {
        let mut running: HashMap<&str, usize> = HashMap::new();
        self.count_visits(self.items.len());
        for item in self.items.values() {
            let runs = running.entry(item.spec.tenant.as_str()).or_insert(0);
            *runs += usize::from(item.run.is_some());
        }
        let total: usize = running.values().sum();
        let tenants = running.len().max(1);
        let over = running.iter().filter(|(_, runs)| **runs * tenants > total);
        over.map(|(tenant, _)| *tenant).collect()
    }

    /// Returns the waiting items, sorted by: started items; items expected to be long, of any job,
    /// because they determine when a step completes; tenants within their share; age of the job;
    /// longest expected text of the group; expected length of the item.
    fn order_by_arrival(&self) -> Vec<ItemKey> {
        let waiting: Vec<(&ItemKey, &OpenItem)> = self
            .items
            .iter()
            .filter(|(_, item)| item.waits_for_engine())
            .collect();
        self.count_visits(self.items.len() + waiting.len());
        let mut longest: HashMap<(&Rc<str>, &str), u64> = HashMap::new();
        for (key, item) in &waiting {
            let spec = item.item();
            let entry = longest.entry((&key.0, spec.group.as_str())).or_insert(0);
            *entry = (*entry).max(spec.length_hint);
        }
        let over_share = self.tenants_over_share();
        let mut sorted: Vec<_> = waiting
            .iter()
            .map(|(key, item)| {
                let spec = item.item();
                let group = longest[&(&key.0, spec.group.as_str())];
                let is_started = item.runs > 0 || !item.text.events.is_empty();
                let order = (
                    !is_started,
                    !self.is_expected_long(key, item),
                    over_share.contains(item.spec.tenant.as_str()),
                    item.known_since,
                    std::cmp::Reverse(group),
                    spec.group.as_str(),
                    std::cmp::Reverse(spec.length_hint),
                );
                (order, *key)
            })
            .collect();
        sorted.sort();
        sorted.into_iter().map(|(_, key)| key.clone()).collect()
    }
}
