//! Retry budget of a node.

/// Tokens that a retry costs.
const RETRY_COST: u32 = 10;
/// Tokens that a first attempt earns.
const DEPOSIT: u32 = 1;
/// Capacity of the bucket.
const MAX_TOKENS: u32 = 200;

/// A token bucket that first attempts fill and retries drain.
///
/// It limits retries to a tenth of the first attempts, so that they do not overload a failing
/// pool.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: MAX_TOKENS / 2,
        }
    }
}

impl RetryBudget {
    /// Credits the bucket for a first attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + DEPOSIT).min(MAX_TOKENS);
    }

    /// Takes the cost of a retry and returns whether there were enough tokens.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.tokens >= RETRY_COST;
        if allowed {
            self.tokens -= RETRY_COST;
        }
        allowed
    }
}
