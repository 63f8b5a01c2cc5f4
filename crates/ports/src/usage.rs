//! Calls that only one machine at a time has the duty of making.

use std::collections::BTreeMap;

/// The usage of one window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageReport {
    /// Number of the window: it began so many window lengths after the start of 1970.
    pub window: u64,
    /// Requests that engines began in it, by tenant.
    pub counts: BTreeMap<String, u64>,
    /// Machine that reports.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
}

/// What the platform says to such a call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UsageReportResponse {
    /// It is done.
    Taken,
    /// A higher fencing token was seen: another machine has the duty.
    Fenced,
    /// It did nothing, or nobody knows.
    Unknown,
}
