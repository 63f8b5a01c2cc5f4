//! Usage reports to the platform, sent by one machine at a time.

use std::collections::BTreeMap;

/// Usage of one accounting window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageReport {
    /// Window number: the start of the window divided by the window length, counted from
    /// the Unix epoch.
    pub window: u64,
    /// Number of requests whose execution started in the window, by tenant.
    pub counts: BTreeMap<String, u64>,
    /// Machine that sends the report.
    pub holder: String,
    /// Fencing token of the sender.
    pub fence: u64,
}

/// Response of the platform to a [`UsageReport`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum UsageReportResponse {
    /// The report was accepted.
    Taken,
    /// The platform has seen a higher fencing token, so another machine is the reporter.
    Fenced,
    /// The report was not accepted, or its outcome is unknown.
    Unknown,
}
