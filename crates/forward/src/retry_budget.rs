//! How many copies of requests may be sent beside their first tries.
//!
//! The load that this answers: engines that are slow because they have too much to do.
//! Each request that waits there would be sent once more, and a second copy of everything
//! doubles the load that made them slow. Copies are a share of the first tries that this
//! machine has seen, so that all machines together send that share at most, without word
//! of each other, beyond a small allowance of each.

use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

/// Copies that a machine has at its start, and that it may save up while it sees little:
/// the first requests to meet an engine that is silent can still be helped.
const ALLOWANCE: f64 = 3.0;
/// Copies that may be saved up from first tries: a dozen engines of a service may fall
/// silent at once, and each shows it by one request that has to be sent once more.
const MOST_SAVED: f64 = 12.0;
/// Services whose budgets are told apart, so that the table is bounded; those beyond
/// share one.
const MOST_SERVICES: usize = 64;
/// Time in which a machine earns one copy whatever it sees: one that gets a request in
/// five seconds can hedge every second one. On 300 machines that is 30 copies a second,
/// with answers of 25 ms less than one place of all engines.
const IDLE_EARNING: Duration = Duration::from_secs(10);
/// What a hedge leaves for repeats: one after a failure is the caller's only way to an
/// answer, while the first attempt of a hedged one may yet give it.
const KEPT_FOR_REPEATS: f64 = 1.0;

/// Why a request is sent once more.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ExtraAttempt {
    /// A run of it broke off or failed.
    Repeat,
    /// The engine that has it is silent.
    Hedge,
}

/// A token bucket of copies.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Copies for each first try; none if copies are not bounded.
    share: Option<f64>,
    saved: f64,
    updated: Time,
}

impl RetryBudget {
    /// A budget of so many copies for each hundred first tries; 0 for no bound.
    pub fn new(percent: u32) -> Self {
        Self {
            share: (percent > 0).then(|| f64::from(percent) / 100.0),
            saved: ALLOWANCE,
            updated: Time(0),
        }
    }

    /// A first try goes out.
    pub fn record_first_attempt(&mut self) {
        let earned = self.share.unwrap_or(0.0);
        self.saved = (self.saved + earned).min(MOST_SAVED);
    }

    /// Takes a copy out of the budget; whether there was one.
    pub fn try_take(&mut self, now: Time, attempt: ExtraAttempt) -> bool {
        if self.share.is_none() {
            return true;
        }
        let idle = now.since(self.updated).0 as f64 / IDLE_EARNING.0 as f64;
        self.saved = (self.saved + idle).min(self.saved.max(ALLOWANCE));
        self.updated = now;
        let kept = match attempt {
            ExtraAttempt::Repeat => 0.0,
            ExtraAttempt::Hedge => KEPT_FOR_REPEATS,
        };
        let may = self.saved >= 1.0 + kept;
        if may {
            self.saved -= 1.0;
        }
        may
    }
}

/// Budgets by service: one whose engines are silent takes nothing from the others.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    percent: u32,
    by_service: BTreeMap<String, RetryBudget>,
    /// Copies that were sent.
    pub granted: u64,
    /// Copies that were not, for want of budget.
    pub denied: u64,
}

impl RetryBudgets {
    /// Budgets of so many copies for each hundred first tries; 0 for no bound.
    pub fn new(percent: u32) -> Self {
        Self {
            percent,
            by_service: BTreeMap::new(),
            granted: 0,
            denied: 0,
        }
    }

    /// A first try goes to a service.
    pub fn record_first_attempt(&mut self, service: &str) {
        self.of(service).record_first_attempt();
    }

    /// Takes a copy to a service out of its budget; whether there was one.
    pub fn try_take(&mut self, now: Time, service: &str, attempt: ExtraAttempt) -> bool {
        let may = self.of(service).try_take(now, attempt);
        if may {
            self.granted += 1;
        } else {
            self.denied += 1;
        }
        may
    }

    fn of(&mut self, service: &str) -> &mut RetryBudget {
        let is_known = self.by_service.contains_key(service);
        let is_full = self.by_service.len() >= MOST_SERVICES;
        let name = if !is_known && is_full { "" } else { service };
        let percent = self.percent;
        let entry = self.by_service.entry(name.to_string());
        entry.or_insert_with(|| RetryBudget::new(percent))
    }
}
