//! What a trainer's coordinator decides, without input or output.
//!
//! ```text
//!  prompts -> groups of samples -> orders to workers -> reports
//!                                                         |
//!        SamplePool: running, finished, too old <---------+
//!             | select(step)
//!             v
//!        manifest (blob) -> seal in the trainer's register -> trainer
//!        commit(step) -> weight version `step` -> WeightRollout: stage, activate
//! ```
//!
//! Weight version `n` is what the trainer publishes after committing step `n`;
//! version 0 is the model the engines start with. A sample used in step `n` is
//! therefore `(n - 1) - oldest` versions old, whenever it is fetched, where
//! `oldest` is the lowest version among its spans. See [`staleness`].

mod pool;
mod record;
mod weights;

pub use pool::{DropCounts, Order, PoolPolicy, Prompt, Report, SampleId, SamplePool};
pub use record::{commit, fence, next_to_seal, seal, CommitOutcome, KEPT_STEPS};
pub use weights::{EngineProgress, WeightPhase, WeightRollout};

use peatgrade_schema::peer::Span;

/// Versions between the trainer at `step` and a sample whose oldest span has
/// version `oldest`.
pub fn staleness(step: u64, oldest: u64) -> u64 {
    step.saturating_sub(1).saturating_sub(oldest)
}

/// Lowest version among spans that have tokens.
pub fn oldest_version(spans: &[Span]) -> Option<u64> {
    let used = spans.iter().filter(|span| span.tokens > 0);
    used.map(|span| span.weights).min()
}

/// Appends tokens of one version, joining them to the last span if it has the
/// same version.
pub fn extend_spans(spans: &mut Vec<Span>, weights: u64, tokens: u32) {
    match spans.last_mut() {
        Some(last) if last.weights == weights => last.tokens += tokens,
        _ if tokens > 0 => spans.push(Span { weights, tokens }),
        _ => {}
    }
}
