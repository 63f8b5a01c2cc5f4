//! How many retries a node may add to its load.

/// Tokens a retry costs.
const RETRY_COST: u32 = 10;
/// Tokens a first attempt earns, so that retries stay below a tenth of them.
const EARNED: u32 = 1;
/// Most tokens that can be saved up.
const CAPACITY: u32 = 200;

/// A token bucket that first attempts fill and retries empty.
///
/// It bounds the extra load of retries to a tenth of the first attempts, so
/// that a failing pool is not drowned by them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: CAPACITY / 2,
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + EARNED).min(CAPACITY);
    }

    /// Takes the cost of a retry, if there is enough.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.tokens >= RETRY_COST;
        if allowed {
            self.tokens -= RETRY_COST;
        }
        allowed
    }
}
