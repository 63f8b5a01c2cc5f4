//! Scheduling and admission of batch work when engines are oversubscribed.
//!
//! ```text
//!  steps, groups, capacity --plan--> status of each group --order_items--> order of items
//!  completed texts -----> length estimates with their error
//!  new job, work ahead of it, slots --admit--> accepted, or refused with a retry delay
//! ```
//!
//! All functions are pure: no I/O and no clock. If more groups are due than engines can
//! complete in time, serving jobs by age makes all groups slightly late. Trainers benefit
//! only from complete groups, so the plan completes as many groups in time as possible.

mod admission;
mod estimates;
mod order;
mod plan;
mod shares;

pub use admission::{admit, Admission, AdmissionRequest};
pub use estimates::{LengthEstimate, LengthEstimates};
pub use order::{guaranteed_slots, order_items, ItemOrder, WaitingItem};
pub use plan::{plan, Capacity, Group, GroupStatus, Step};
pub use shares::max_min_shares;
