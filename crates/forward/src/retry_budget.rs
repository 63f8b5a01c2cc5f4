//! Retry budgets: token buckets that limit repeats and hedges relative to first attempts.
//!
//! Without a limit, requests to overloaded engines would be sent a second time and double
//! the load. Each machine limits extra attempts to a percentage of its own first attempts,
//! so the percentage holds for all machines together without coordination, apart from a
//! small initial balance per machine.

use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

/// Initial balance, and the limit up to which idle time refills the bucket. The first requests that
/// meet a silent engine can thus still be hedged.
const INITIAL_TOKENS: f64 = 3.0;
/// Maximum balance. It covers a dozen engines of a service that fail at the same time, each
/// of which costs one extra attempt.
const MAX_TOKENS: f64 = 12.0;
/// Maximum number of services with a budget of their own; all others share one.
const MAX_SERVICES: usize = 64;
/// Time in which the bucket gains one token regardless of traffic, so that machines with few
/// requests can still retry. On 300 machines this adds 30 extra attempts per second in total.
const IDLE_REFILL_INTERVAL: Duration = Duration::from_secs(10);
/// Tokens that hedges leave for repeats. A failed request depends on its repeat, while the
/// first attempt of a hedged request may still succeed.
const RESERVED_FOR_REPEATS: f64 = 1.0;

/// Why a request is sent again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ExtraAttempt {
    /// An earlier attempt failed.
    Repeat,
    /// The engine of an earlier attempt has not responded in time.
    Hedge,
}

/// A token bucket for extra attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Tokens earned per first attempt; `None` if extra attempts are not limited.
    ratio: Option<f64>,
    tokens: f64,
    updated: Time,
}

impl RetryBudget {
    /// Creates a budget of extra attempts as a percentage of first attempts; 0 for no limit.
    pub fn new(percent: u32) -> Self {
        Self {
            ratio: (percent > 0).then(|| f64::from(percent) / 100.0),
            tokens: INITIAL_TOKENS,
            updated: Time(0),
        }
    }

    /// Credits the bucket for a first attempt.
    pub fn record_first_attempt(&mut self) {
        let earned = self.ratio.unwrap_or(0.0);
        self.tokens = (self.tokens + earned).min(MAX_TOKENS);
    }

    /// Takes a token for an extra attempt and returns whether one was available.
    pub fn try_take(&mut self, now: Time, attempt: ExtraAttempt) -> bool {
        if self.ratio.is_none() {
            return true;
        }
        let refilled = now.since(self.updated).0 as f64 / IDLE_REFILL_INTERVAL.0 as f64;
        self.tokens = (self.tokens + refilled).min(self.tokens.max(INITIAL_TOKENS));
        self.updated = now;
        let reserved = match attempt {
            ExtraAttempt::Repeat => 0.0,
            ExtraAttempt::Hedge => RESERVED_FOR_REPEATS,
        };
        let granted = self.tokens >= 1.0 + reserved;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}

/// Retry budgets by service, so that a failing service does not exhaust those of others.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    percent: u32,
    by_service: BTreeMap<String, RetryBudget>,
    /// Extra attempts that were granted.
    pub granted: u64,
    /// Extra attempts that were denied because the budget was exhausted.
    pub denied: u64,
}

impl RetryBudgets {
    /// Creates budgets of extra attempts as a percentage of first attempts; 0 for no limit.
    pub fn new(percent: u32) -> Self {
        Self {
            percent,
            by_service: BTreeMap::new(),
            granted: 0,
            denied: 0,
        }
    }

    /// Credits a service's budget for a first attempt.
    pub fn record_first_attempt(&mut self, service: &str) {
        self.budget_for(service).record_first_attempt();
    }

    /// Takes a token from a service's budget and returns whether one was available.
    pub fn try_take(&mut self, now: Time, service: &str, attempt: ExtraAttempt) -> bool {
        let granted = self.budget_for(service).try_take(now, attempt);
        if granted {
            self.granted += 1;
        } else {
            self.denied += 1;
        }
        granted
    }

    fn budget_for(&mut self, service: &str) -> &mut RetryBudget {
        let is_known = self.by_service.contains_key(service);
        let is_full = self.by_service.len() >= MAX_SERVICES;
        let name = if !is_known && is_full { "" } else { service };
        let percent = self.percent;
        let entry = self.by_service.entry(name.to_string());
        entry.or_insert_with(|| RetryBudget::new(percent))
    }
}
