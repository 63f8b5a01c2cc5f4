//! Usage of tenants: which requests engines began, by window of true time.
//!
//! ```text
//!  gateway: Meter --UsageBatch, again until acknowledged--> leader: UsageReporter
//!                                                             | ClusterClock: window of each start
//!                                                             v
//!           UsageAck <--committed-- replicated log: CountUsage, DecideUsage, UsageReported
//!                                                             |
//!                                              UsageLedger (each replica)
//!                                                             v
//!                                        UsageReporter --UsageReport--> platform
//! ```
//!
//! A count is lost with a gateway only before it was told, which it is at once, and with
//! a leader never: the gateway tells it again until the log has it. Each is counted once,
//! by the life of its gateway and a number. What is reported of a window is decided by
//! the log before the first report, so that a later holder of the duty can only repeat it.
//!
//! No socket, clock or random number is used here.

mod cluster_clock;
mod counting;
mod ledger;
mod meter;
mod reporter;
mod term_history;
mod tries;

pub use cluster_clock::ClusterClock;
pub use ledger::{DecidedWindow, Holder, UsageLedger};
pub use meter::Meter;
pub use reporter::{ReporterSettings, UsageAction, UsageReporter};
pub use term_history::TermHistory;
