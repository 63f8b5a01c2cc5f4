//! Batch jobs: what is kept of them, and the work of bringing items to engines.
//!
//! ```text
//!  committed commands --apply--> JobStore <--read-- trainers
//!                                   |
//!                              open items
//!                                   v
//!  engines <--Run, Cancel-- Dispatcher --ListResults--> replicated log
//!  scorers <--Score---------+
//! ```
//!
//! An item without a reward call is listed once its text is whole. One with a
//! reward call goes `open -> running -> whole, without a score -> listed`.
//!
//! The store is the same on every replica. The dispatcher lives on the leader
//! only; what it knows is lost with it, and its successor begins the items that
//! have no result again.

mod dispatcher;
mod item;
mod job;
mod listed_text;
mod listing;
mod pending_ends;
mod placement;
mod scores;
mod store;
mod streams;
mod text;
mod text_cache;

pub use dispatcher::{
    DispatchAction, Dispatcher, PlacementStats, PlannedGroups, RunId, RunPart, RunRequest,
    ScoreCall, ScoreOutcome,
};
pub use item::ItemKey;
pub use job::{Failures, Job, PriorText, StoredResult};
pub use listed_text::{CommandLog, ListedText, TextReader};
pub use pending_ends::{EndRequest, PendingEnds};
pub use placement::ItemPlacement;
pub use scores::ScoreId;
pub use store::{Applied, JobMemory, JobStore, UsageCommand};
pub use text::{PartialText, TextEvent};
