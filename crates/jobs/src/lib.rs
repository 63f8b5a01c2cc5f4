//! Batch jobs: what is kept of them, and the work of bringing items to engines.
//!
//! ```text
//!  committed commands --apply--> JobStore <--read-- trainers
//!                                   |
//!                              open items
//!                                   v
//!  engines <--Run, Cancel-- Dispatcher --ListResults--> replicated log
//! ```
//!
//! The store is the same on every replica. The dispatcher lives on the leader
//! only; what it knows is lost with it, and its successor begins the items that
//! have no result again.

mod dispatcher;
mod item;
mod placement;
mod store;
mod streams;
mod text;

pub use dispatcher::{DispatchAction, Dispatcher, RunId, RunPart};
pub use item::ItemKey;
pub use store::{Applied, Earlier, Job, JobStore, StoredResult};
pub use text::{PartialText, TextEvent};
