//! Orders to engines that holders have noted, and when another holder may order.

use peatgrade_ports::Instance;
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

/// Holders remembered for one engine: more have not led within one lease.
const MAX_HOLDERS: usize = 4;

/// A holder's newest order to an engine.
#[derive(Clone, Debug)]
struct Note {
    /// The machine; empty in a log from before machines were noted.
    holder: String,
    fence: u64,
    at: Time,
}

/// Newest order of each holder to each engine, as the replicated log tells them.
#[derive(Clone, Debug, Default)]
pub struct OrderHistory {
    notes: BTreeMap<Instance, Vec<Note>>,
}

/// What another holder's orders mean.
#[derive(Clone, Copy, Debug)]
pub struct OrderRules {
    /// Time that must lie between two orders of one holder with another's in between.
    pub lease: Duration,
    /// Whether engines refuse an order whose token is lower than one that they have seen.
    pub fences_checked: bool,
}

impl OrderHistory {
    /// The log has an order of `holder`, which it is about to send.
    pub fn record(&mut self, now: Time, engine: &Instance, holder: &str, fence: u64) {
        let notes = self.notes.entry(engine.clone()).or_default();
        notes.retain(|note| note.holder != holder);
        notes.push(Note {
            holder: holder.to_string(),
            fence,
            at: now,
        });
        if notes.len() > MAX_HOLDERS {
            notes.remove(0);
        }
    }

    /// Engines that `holder`, whose token is `fence`, may order only from a time on.
    ///
    /// Where engines check fences, an order of an earlier holder that comes late is
    /// refused, and nothing but turns (this holder, another, this one) must be kept a
    /// lease apart. Elsewhere an earlier holder's last order may still come, and all wait
    /// for its lease. With that wait after each change of leader no engine took a version
    /// for 3.4 s, and three trainers fell behind by as much.
    pub fn earliest_order_times(
        &self,
        holder: &str,
        fence: u64,
        rules: OrderRules,
    ) -> BTreeMap<Instance, Time> {
        let engines = self.notes.iter();
        let quiet = engines.filter_map(|(engine, notes)| {
            let last = notes.last().filter(|last| last.fence != fence)?;
            if !rules.fences_checked {
                return Some((engine.clone(), last.at + rules.lease));
            }
            if last.holder == holder {
                return None;
            }
            // A note without a machine may be this one's.
            let is_own = |note: &&Note| note.holder == holder || note.holder.is_empty();
            let own = notes.iter().rev().find(is_own)?;
            Some((engine.clone(), own.at + rules.lease))
        });
        quiet.collect()
    }

    /// Drops what no lease can depend on any more.
    pub fn remove_expired(&mut self, now: Time, age: Duration) {
        self.notes.retain(|_, notes| {
            notes.retain(|note| now.since(note.at) < age);
            !notes.is_empty()
        });
    }

    /// Engines with notes.
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }
}
