//! Engine state and coordination of the weight versions that engines load.
//!
//! - [`EngineDirectory`]: the discovery list with this node's statistics for each engine, such
//!   as requests in flight, latencies and failures. They are reset when the engine restarts
//!   and gets a new [`Incarnation`].
//! - [`EngineSnapshot`]: the state of an engine at one time, with observations of peers merged
//!   in. All engine selection is based on it.
//! - [`VersionCoordinator`]: brings engines to the versions that trainers publish. One lease
//!   holder at a time sends orders, which carry its fencing token.

mod coordinator;
mod directory;
mod engine_snapshot;
mod engine_stats;
mod incarnation;
mod observation_exchange;
mod order_history;
mod two_choices;

pub use coordinator::{CoordinatorAction, OrderOutcome, VersionCoordinator};
pub use directory::{EngineDirectory, EngineState, WorkingSetSize};
pub use engine_snapshot::EngineSnapshot;
pub use engine_stats::EngineStats;
pub use incarnation::{Absence, Incarnation, Misdirection, PreviousIncarnation, StartComparison};
pub use observation_exchange::{AcceptedObservations, HealthChange};
pub use order_history::{OrderHistory, OrderRules};
pub use two_choices::{choose_best_of_two, WeightedCandidate};
