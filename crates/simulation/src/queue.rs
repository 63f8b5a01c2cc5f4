//! The virtual clock: events in the order of their time, then of their making.

use peatgrade_types::Time;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

struct Entry<E> {
    at: Time,
    order: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl<E> Eq for Entry<E> {}
impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events still to come.
pub(crate) struct Queue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    order: u64,
}

impl<E> Queue<E> {
    pub fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            order: 0,
        }
    }

    pub fn push(&mut self, at: Time, event: E) {
        self.order += 1;
        let order = self.order;
        self.heap.push(Reverse(Entry { at, order, event }));
    }

    /// The next event, unless it comes after `last`.
    pub fn pop_until(&mut self, last: Time) -> Option<(Time, E)> {
        let Reverse(next) = self.heap.peek()?;
        if next.at > last {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}
