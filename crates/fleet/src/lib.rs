//! What is known of engines, and which weight version each should have.
//!
//! - [`EngineDirectory`]: the discovery list with this machine's own
//!   experience of each engine: requests under way, pace, failures. What
//!   was believed of an engine ends with its life ([`Incarnation`]).
//! - [`Outlook`]: an engine as it stands just now, which every choice goes by; what other
//!   machines told of it is joined in.
//! - [`VersionCoordinator`]: brings engines to the versions that trainers
//!   have named, with fenced orders of one holder at a time.

mod coordinator;
mod directory;
mod experience;
mod incarnation;
mod order_history;
mod outlook;
mod told;
mod two_choices;

pub use coordinator::{CoordinatorAction, OrderOutcome, VersionCoordinator};
pub use directory::{EngineDirectory, EngineState, WorkingSetSize};
pub use experience::Experience;
pub use incarnation::{Absence, EarlierLife, Incarnation, Misdirection, ToldLife};
pub use order_history::{OrderHistory, OrderRules};
pub use outlook::Outlook;
pub use told::{StandingChange, TakenObservations};
pub use two_choices::{choose_of_two, WeighedEngine};
