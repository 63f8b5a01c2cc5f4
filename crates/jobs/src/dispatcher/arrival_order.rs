//! The order in which waiting items go to engines.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::Configuration;
use peatgrade_scheduling::ItemOrder;
use peatgrade_types::Time;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use super::Dispatcher;
use crate::item::{ItemKey, OpenItem};

impl Dispatcher {
    /// Waiting items in the order in which they go to engines.
    pub(super) fn waiting_in_order(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) -> Vec<ItemKey> {
        match self.order {
            ItemOrder::Arrival => self.by_arrival(),
            ItemOrder::GroupsInTime => self
                .by_groups_in_time(now, configuration, directory)
                .unwrap_or_else(|| self.by_arrival()),
        }
    }

    /// Tenants that run more items than tenants with work do on average: others go before
    /// them, so that one with a great many items cannot keep places from the rest. With
    /// 400 items of one tenant ahead, 16 of another begin within 0.26 s (2.91 s by
    /// the age of jobs; a test of 64 places).
    fn tenants_over_share(&self) -> HashSet<&str> {
        let mut running: HashMap<&str, usize> = HashMap::new();
        self.visit(self.items.len());
        for item in self.items.values() {
            let runs = running.entry(item.spec.tenant.as_str()).or_insert(0);
            *runs += usize::from(item.run.is_some());
        }
        let total: usize = running.values().sum();
        let tenants = running.len().max(1);
        let over = running.iter().filter(|(_, runs)| **runs * tenants > total);
        over.map(|(tenant, _)| *tenant).collect()
    }

    /// Waiting items, in this order: those that come back; what is expected to be long, of
    /// whatever job, since it sets the pace of a step and is few; tenants that run no more
    /// than their share; the oldest jobs; groups by their longest expected text; items by
    /// theirs.
    ///
    /// With three steps handed in within 30 ms the last long text begins 1.1 s sooner than
    /// by the age of jobs alone (a test of 192 items and 64 places).
    fn by_arrival(&self) -> Vec<ItemKey> {
        let waiting: Vec<(&ItemKey, &OpenItem)> = self
            .items
            .iter()
            .filter(|(_, item)| item.waits_for_engine())
            .collect();
        self.visit(self.items.len() + waiting.len());
        let mut longest: HashMap<(&Rc<str>, &str), u64> = HashMap::new();
        for (key, item) in &waiting {
            let spec = item.item();
            let entry = longest.entry((&key.0, spec.group.as_str())).or_insert(0);
            *entry = (*entry).max(spec.length_hint);
        }
        let over_share = self.tenants_over_share();
        let mut keyed: Vec<_> = waiting
            .iter()
            .map(|(key, item)| {
                let spec = item.item();
                let group = longest[&(&key.0, spec.group.as_str())];
                let started = item.runs > 0 || !item.text.events.is_empty();
                let order = (
                    !started,
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
        keyed.sort();
        keyed.into_iter().map(|(_, key)| key.clone()).collect()
    }
}
