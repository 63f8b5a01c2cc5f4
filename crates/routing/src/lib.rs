//! Admission of requests and selection of engines.
//!
//! ```text
//!  request --> Admission ---------> Selector -----------------> engine
//!              (queue by priority)     ^                           |
//!                                      |                           |
//!              LoadView, PrefixIndex, CircuitBreakers <------------+ outcomes, headers
//!
//!  failed, repeatable request --> RetryBudget --> Selector
//! ```
//!
//! Load reports and cache events arrive with a delay. Each value therefore has an age, and the
//! node adds the requests that it has sent since.

pub mod admission;
pub mod circuit;
pub mod engines;
pub mod load;
pub mod prefix;
pub mod retry;
pub mod select;

pub use admission::{Admission, AdmissionDecision, Refusal};
pub use circuit::{CircuitBreakers, CircuitState};
pub use engines::{EngineDirectory, EngineInfo};
pub use load::{LoadReport, LoadView};
pub use prefix::{prefix_blocks, PrefixIndex};
pub use retry::RetryBudget;
pub use select::{EngineRequirements, Selector, SelectorPolicy};
