//! The ordered queue of waiting items, kept between polls so that a poll does not sort all of them.

use peatgrade_types::{Duration, Time};
use std::collections::VecDeque;
use std::rc::Rc;

use crate::item::ItemKey;

/// Maximum age of an order. Its inputs (running items, paces, remaining time) change slowly.
const MAX_ORDER_AGE: Duration = Duration::from_millis(100);

/// Engine requirements of a waiting item. Most items of a job share a class.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(super) struct ItemClass {
    pub service: Rc<str>,
    pub model: Rc<str>,
    pub min_version: u64,
    /// The only allowed version, if a single version must generate the whole text.
    pub exact_version: Option<u64>,
}

#[derive(Clone, Debug)]
pub(super) struct QueuedItem {
    pub key: ItemKey,
    /// Index of its [`ItemClass`].
    pub class: usize,
}

/// Waiting items in the order in which they are sent to engines.
#[derive(Debug, Default)]
pub(super) struct WaitingQueue {
    items: VecDeque<QueuedItem>,
    pub classes: Vec<ItemClass>,
    ordered_at: Time,
    configuration_version: u64,
    is_stale: bool,
}

impl WaitingQueue {
    /// Whether the queue must be rebuilt.
    pub fn is_due(&self, now: Time, configuration_version: u64) -> bool {
        self.is_stale
            || self.configuration_version != configuration_version
            || now.since(self.ordered_at) >= MAX_ORDER_AGE
    }

    /// Marks the order as stale, for example after a job was added.
    pub fn invalidate(&mut self) {
        self.is_stale = true;
    }

    /// Replaces the items by a new order.
    pub fn replace(
        &mut self,
        now: Time,
        configuration_version: u64,
        items: Vec<QueuedItem>,
        classes: Vec<ItemClass>,
    ) {
        *self = Self {
            items: items.into(),
            classes,
            ordered_at: now,
            configuration_version,
            is_stale: false,
        };
    }

    pub fn pop_front(&mut self) -> Option<QueuedItem> {
        self.items.pop_front()
    }

    /// Returns items that could not be placed to the front, in their order.
    pub fn restore(&mut self, items: Vec<QueuedItem>) {
        for item in items.into_iter().rev() {
            self.items.push_front(item);
        }
    }

    pub fn push_front(&mut self, item: QueuedItem) {
        self.items.push_front(item);
    }

    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
