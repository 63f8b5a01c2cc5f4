//! Rebuilding of the queue of waiting items.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::Configuration;
use peatgrade_types::Time;

use super::eligibility::{batch_route, give_up_reason, target_service};
use super::queue::{ItemClass, QueuedItem};
use super::Dispatcher;
use crate::item::ItemKey;

impl Dispatcher {
    /// Rebuilds the queue in a new order. Also gives up ineligible items, so that polls between
    /// rebuilds need not check for them.
    pub(super) fn rebuild_queue(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) {
        self.give_up_ineligible_items(now, configuration, directory);
        let order = self.order_waiting_items(now, configuration, directory);
        self.requeued.clear();
        let mut classes = ClassTable::default();
        let mut queued = Vec::with_capacity(order.len());
        for key in order {
            queued.extend(self.queued_item(key, configuration, &mut classes));
        }
        self.queue
            .replace(now, configuration.version, queued, classes.0);
    }

    /// Queues items whose runs ended since the last poll ahead of all others.
    pub(super) fn queue_requeued_items(&mut self, configuration: &Configuration) {
        if self.requeued.is_empty() {
            return;
        }
        let requeued = std::mem::take(&mut self.requeued);
        let mut classes = ClassTable(std::mem::take(&mut self.queue.classes));
        for key in requeued.into_iter().rev() {
            if let Some(queued) = self.queued_item(key, configuration, &mut classes) {
                self.queue.push_front(queued);
            }
        }
        self.queue.classes = classes.0;
    }

    fn queued_item(
        &self,
        key: ItemKey,
        configuration: &Configuration,
        classes: &mut ClassTable,
    ) -> Option<QueuedItem> {
        let item = self.items.get(&key)?;
        let route = batch_route(item, configuration)?;
        let service = target_service(route, &item.item().id)?;
        let class = classes.index_of(ItemClass {
            service: service.into(),
            model: item.spec.model.as_str().into(),
            min_version: item.spec.min_version,
            exact_version: item.exact_version(),
        });
        Some(QueuedItem { key, class })
    }

    /// Gives up waiting items that are no longer allowed to run.
    fn give_up_ineligible_items(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) {
        let waiting = self
            .items
            .iter()
            .filter(|(_, item)| item.waits_for_engine());
        let ineligible = waiting.filter_map(|(key, item)| {
            let reason = give_up_reason(now, item, configuration, directory)?;
            Some((key.clone(), reason))
        });
        let ineligible: Vec<(ItemKey, &str)> = ineligible.collect();
        self.count_visits(self.items.len());
        for (key, reason) in ineligible {
            self.give_up_unless_outdated(now, &key, reason, configuration);
        }
    }

    /// Gives a waiting item up if the configuration does not allow it to run.
    pub(super) fn give_up_if_ineligible(
        &mut self,
        now: Time,
        key: &ItemKey,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) {
        let Some(item) = self.items.get(key) else {
            return;
        };
        if let Some(reason) = give_up_reason(now, item, configuration, directory) {
            self.give_up_unless_outdated(now, key, reason, configuration);
        }
    }
}

/// Distinct item classes, by index.
#[derive(Default)]
struct ClassTable(Vec<ItemClass>);

impl ClassTable {
    /// Returns the index of a class, adding it if it is new. Searches linearly, because there
    /// are few classes.
    fn index_of(&mut self, class: ItemClass) -> usize {
        let index = self.0.iter().position(|known| *known == class);
        index.unwrap_or_else(|| {
            self.0.push(class);
            self.0.len() - 1
        })
    }
}
