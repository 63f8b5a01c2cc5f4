//! Usage accounting: counts the requests of each tenant that engines started, by
//! accounting window.
//!
//! ```text
//!  gateway: Meter --UsageBatch, resent until acknowledged--> leader: UsageReporter
//!                                                             | ClusterClock: window of each start
//!                                                             v
//!           UsageAck <--committed-- replicated log: CountUsage, DecideUsage, UsageReported
//!                                                             |
//!                                              UsageLedger (each replica)
//!                                                             v
//!                                        UsageReporter --UsageReport--> platform
//! ```
//!
//! A gateway sends its counts immediately and resends them until they are committed to the
//! log, so that a change of leader loses none; counts not yet sent are lost if the gateway
//! crashes. Batches are deduplicated by sequence number and meter id; each gateway
//! process has its own meter id. The contents of a window's report are committed to the
//! log before the first attempt to send it, so that a later reporter can only repeat it.
//!
//! This crate performs no I/O and reads no clock or random numbers.

mod cluster_clock;
mod counting;
mod ledger;
mod meter;
mod report_attempts;
mod reporter;
mod term_history;

pub use cluster_clock::ClusterClock;
pub use ledger::{DecidedWindow, Holder, UsageLedger};
pub use meter::Meter;
pub use reporter::{ReporterSettings, UsageAction, UsageReporter};
pub use term_history::TermHistory;
