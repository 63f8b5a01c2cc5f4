//! What callers see.

use peatgrade_types::Duration;

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// A whole and correct answer.
    Answered,
    /// An answer that is not what it should be, and why.
    Wrong(String),
    /// The system said that it did not run.
    NotRun,
    /// The system said that it may have run.
    Unknown,
    /// The system said that it was wrong.
    Invalid(u16),
    /// The connection to the node was lost, and a repeat would not be safe.
    Lost,
}

impl Ending {
    /// Short name, for counts.
    pub fn name(&self) -> String {
        let name = match self {
            Ending::Answered => "answered",
            Ending::Wrong(_) => "wrong",
            Ending::NotRun => "not-run",
            Ending::Unknown => "outcome-unknown",
            Ending::Invalid(status) => return format!("invalid-{status}"),
            Ending::Lost => "lost",
        };
        name.to_string()
    }
}

/// Something a caller saw.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkloadEvent {
    /// A request was sent, or sent again.
    Sent {
        /// Its id, the same for all tries.
        request_id: String,
        /// Its idempotency key.
        key: Option<String>,
        /// Whether it may run at most once.
        non_repeatable: bool,
    },
    /// One try was told that it did not run.
    RefusedNotRun {
        /// Its id.
        request_id: String,
        /// Whether an earlier or parallel try may have run.
        other_tries: bool,
    },
    /// A request ended.
    Ended {
        /// Its id.
        request_id: String,
        /// Name of its stream.
        stream: String,
        /// How.
        ending: Ending,
        /// Time since it was first sent.
        latency: Duration,
    },
}
