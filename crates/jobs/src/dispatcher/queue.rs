//! Waiting items in their order, kept between looks.
//!
//! With 1,500 open items and one free place a look that sorts all waiting items visits
//! 5,501 of them; one that keeps the order visits 304, most of them when it is renewed (a
//! benchmark test over 150 looks).

use peatgrade_types::{Duration, Time};
use std::collections::VecDeque;
use std::rc::Rc;

use crate::item::ItemKey;

/// Longest time for which an order stands: what it is made from (running items of tenants,
/// paces, time left) changes little within the time of two events.
const MAX_ORDER_AGE: Duration = Duration::from_millis(100);

/// What a waiting item needs of an engine; the same for most items of a job.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(super) struct ItemClass {
    pub service: Rc<str>,
    pub model: Rc<str>,
    pub min_version: u64,
}

/// A waiting item.
#[derive(Clone, Debug)]
pub(super) struct QueuedItem {
    pub key: ItemKey,
    /// Position of its [`NeedClass`].
    pub class: usize,
}

/// Waiting items in the order in which they go to engines.
#[derive(Debug, Default)]
pub(super) struct WaitingQueue {
    items: VecDeque<QueuedItem>,
    pub classes: Vec<ItemClass>,
    ordered_at: Time,
    configuration: u64,
    is_stale: bool,
}

impl WaitingQueue {
    /// Whether the order must be made anew.
    pub fn is_due(&self, now: Time, configuration: u64) -> bool {
        self.is_stale
            || self.configuration != configuration
            || now.since(self.ordered_at) >= MAX_ORDER_AGE
    }

    /// Items have come, or come back.
    pub fn invalidate(&mut self) {
        self.is_stale = true;
    }

    /// Takes a new order.
    pub fn replace(
        &mut self,
        now: Time,
        configuration: u64,
        items: Vec<QueuedItem>,
        classes: Vec<ItemClass>,
    ) {
        *self = Self {
            items: items.into(),
            classes,
            ordered_at: now,
            configuration,
            is_stale: false,
        };
    }

    /// The next item.
    pub fn pop_front(&mut self) -> Option<QueuedItem> {
        self.items.pop_front()
    }

    /// Puts back items that found no place, in their order.
    pub fn restore(&mut self, items: Vec<QueuedItem>) {
        for item in items.into_iter().rev() {
            self.items.push_front(item);
        }
    }

    /// Puts an item that comes back before all others.
    pub fn push_front(&mut self, item: QueuedItem) {
        self.items.push_front(item);
    }

    /// Forgets all items.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
