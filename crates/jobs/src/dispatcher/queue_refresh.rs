//! What comes into the queue of waiting items, and in which order.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::Configuration;
use peatgrade_types::Time;

use super::eligibility::{batch_route, reason_to_give_up, target_of};
use super::queue::{NeedClass, QueuedItem};
use super::Dispatcher;
use crate::item::ItemKey;

impl Dispatcher {
    /// Makes the order of waiting items anew. What must be given up is given up here, so
    /// that it costs nothing in looks between.
    pub(super) fn renew_queue(
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
    pub(super) fn queue_returned(&mut self, configuration: &Configuration) {
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
