//! Batch jobs: their replicated state, and the dispatch of their items to engines.
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
//! An item without a reward call is listed once its text is complete. One with a
//! reward call goes through `open -> running -> complete, unscored -> listed`.
//!
//! The store is the same on every replica. The dispatcher runs on the leader only and
//! keeps its state in memory; a new leader resumes the items without a result from the
//! text in the log.

mod dispatcher;
mod item;
mod job;
mod listed_text;
mod listing;
mod memory;
mod pending_ends;
mod placement;
mod scores;
mod store;
mod streams;
mod text;
mod text_cache;

pub use dispatcher::{
    DispatchAction, Dispatcher, PlacementStats, PlannedGroups, RunId, RunPart, RunRequest,
    ScoreCall, ScoreOutcome, WaitReason, WaitingItems,
};
pub use item::ItemKey;
pub use job::{Failures, Job, PriorText, StoredResult};
pub use listed_text::{CommandLog, ListedText, TextReader};
pub use memory::{job_bytes, JobMemory};
pub use pending_ends::{EndRequest, PendingEnds};
pub use placement::ItemPlacement;
pub use scores::ScoreId;
pub use store::{Applied, JobStore, UsageCommand};
pub use text::{PartialText, TextEvent};
