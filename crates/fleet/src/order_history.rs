//! The log of orders that lease holders sent to engines, and when another holder may send one.

use peatgrade_ports::Instance;
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

/// Maximum number of holders kept per engine.
const MAX_HOLDERS_PER_ENGINE: usize = 4;

/// A holder's latest order to an engine.
#[derive(Clone, Debug)]
struct OrderRecord {
    /// Name of the holder; empty in log entries without one.
    holder: String,
    fence: u64,
    at: Time,
}

/// The latest order of each holder to each engine, from the replicated log.
#[derive(Clone, Debug, Default)]
pub struct OrderHistory {
    orders: BTreeMap<Instance, Vec<OrderRecord>>,
}

/// How orders of other holders delay those of this one.
#[derive(Clone, Copy, Debug)]
pub struct OrderRules {
    /// Minimum time between two orders of one holder if another holder's order lies between
    /// them.
    pub lease: Duration,
    /// Whether engines reject an order whose token is lower than one that they have seen.
    pub fences_checked: bool,
}

impl OrderHistory {
    /// Records an order that `holder` has logged and is about to send.
    pub fn record(&mut self, now: Time, engine: &Instance, holder: &str, fence: u64) {
        let orders = self.orders.entry(engine.clone()).or_default();
        orders.retain(|order| order.holder != holder);
        orders.push(OrderRecord {
            holder: holder.to_string(),
            fence,
            at: now,
        });
        if orders.len() > MAX_HOLDERS_PER_ENGINE {
            orders.remove(0);
        }
    }

    /// Engines to which `holder`, whose token is `fence`, must not send orders before the
    /// returned time.
    ///
    /// Engines that check fences reject a late order of an earlier holder, so only orders of
    /// the same holder with another holder's in between must be a lease apart. Otherwise an
    /// earlier holder's last order may still arrive, and its lease must expire first.
    pub fn earliest_order_times(
        &self,
        holder: &str,
        fence: u64,
        rules: OrderRules,
    ) -> BTreeMap<Instance, Time> {
        let engines = self.orders.iter();
        let deferred = engines.filter_map(|(engine, orders)| {
            let last = orders.last().filter(|last| last.fence != fence)?;
            if !rules.fences_checked {
                return Some((engine.clone(), last.at + rules.lease));
            }
            if last.holder == holder {
                return None;
            }
            // A record without a holder may be this holder's.
            let is_same_holder =
                |order: &&OrderRecord| order.holder == holder || order.holder.is_empty();
            let last_of_holder = orders.iter().rev().find(is_same_holder)?;
            Some((engine.clone(), last_of_holder.at + rules.lease))
        });
        deferred.collect()
    }

    /// Removes orders older than `age`, on which no lease depends.
    pub fn remove_expired(&mut self, now: Time, age: Duration) {
        self.orders.retain(|_, orders| {
            orders.retain(|order| now.since(order.at) < age);
            !orders.is_empty()
        });
    }

    /// Number of engines with orders.
    pub fn len(&self) -> usize {
        self.orders.len()
    }

    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }
}
