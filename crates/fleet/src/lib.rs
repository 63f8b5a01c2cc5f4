//! What is known of engines, and which weight version each should have.
//!
//! - [`EngineDirectory`]: the discovery list with this machine's own
//!   experience of each engine: requests under way, pace, failures. What
//!   was believed of an engine ends with its life ([`Incarnation`]).
//! - [`EngineSnapshot`]: an engine as it stands just now, which every choice goes by; what other
//!   machines told of it is joined in.
//! - [`VersionCoordinator`]: brings engines to the versions that trainers
//!   have named, with fenced orders of one holder at a time.

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
