//! Order and admission of batch work while places at engines are scarce.
//!
//! ```text
//!  steps, groups, room --plan--> standing of each group --arrange--> order of items
//!  finished texts -----> estimates (lengths, with their error)
//!  a new job, what is ahead of it, room --admit--> accepted, or when to come back
//! ```
//!
//! All decisions are functions of what is passed in: no socket, no clock. The load they
//! answer: more groups are due than engines can make in time. Worked on by the age of
//! their jobs, all of them come a little late; a trainer gains from whole groups in time.

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
