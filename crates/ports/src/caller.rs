//! Requests of callers and trainers, and the responses to them.

use bytes::Bytes;
use peatgrade_authentication::KeyDigest;
use peatgrade_schema::replication::AcceptJob;
use peatgrade_types::http::HttpRequest;
use peatgrade_types::Duration;

/// A request for an engine.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// Request id, unique for each attempt of a caller.
    pub id: String,
    /// Requested host.
    pub host: String,
    /// Time remaining until the caller gives up.
    pub deadline: Option<Duration>,
    /// Id of the last event received, when a stream is resumed.
    pub last_event: Option<u64>,
    /// Requested model; empty for services that are not model engines.
    pub model: String,
    /// Digest of the key that came with it.
    pub key: Option<KeyDigest>,
    /// Authenticated tenant; empty before authentication or if no key is required.
    pub tenant: String,
    /// Largest body by the configuration that was in force when the head of the request arrived;
    /// none if it is not known.
    pub max_body_bytes: Option<u32>,
    /// HTTP request with the API key removed.
    pub http: HttpRequest,
}

/// A trainer's request for results of a batch job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobRead {
    /// Job id.
    pub job: String,
    /// First position to return.
    pub position: u64,
    /// Maximum time to wait for a result.
    pub wait: Duration,
    /// Digest of the key that came with it.
    pub key: Option<KeyDigest>,
}

/// A parsed request of a caller.
#[derive(Clone, Debug)]
pub enum CallerMessage {
    /// A request for an engine, or the submission of a batch job.
    Request(CallerRequest),
    /// Reads results of a batch job.
    ReadJob(JobRead),
    /// Reads the body of an item.
    ReadItem {
        /// Job id.
        job: String,
        /// Item id.
        item: String,
        /// Digest of the key that came with it.
        key: Option<KeyDigest>,
    },
    /// Ends a batch job.
    EndJob {
        /// Job id.
        job: String,
        /// Digest of the key that came with it.
        key: Option<KeyDigest>,
    },
    /// A malformed request.
    Bad(BadRequest),
}

/// Formats the subject of the message for log lines.
impl std::fmt::Display for CallerMessage {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallerMessage::Request(request) => write!(formatter, "request={}", request.id),
            CallerMessage::ReadJob(read) => write!(formatter, "job={} call=read", read.job),
            CallerMessage::ReadItem { job, item, .. } => {
                write!(formatter, "job={job} item={item} call=read-item")
            }
            CallerMessage::EndJob { job, .. } => write!(formatter, "job={job} call=end"),
            CallerMessage::Bad(_) => formatter.write_str("request=unreadable"),
        }
    }
}

/// Error of a malformed request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct BadRequest {
    /// Description of the error.
    pub reason: String,
}

/// Reason for which a request was not served.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Refusal {
    /// The request is malformed.
    Malformed,
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    Unauthorized,
    /// The batch job or item does not exist.
    NotFound,
    /// The request was not executed and will not be; it is safe to retry.
    NotRun,
    /// The deadline has passed; the request may have been executed.
    TimedOut,
    /// The outcome is unknown; the request may have been executed.
    Unknown,
    /// The request crashes engines and is quarantined.
    EndsEngines,
}

/// Result of one item of a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobResult {
    /// Item id.
    pub item: String,
    /// Whether the item was completed; otherwise it was abandoned.
    pub completed: bool,
    /// Generated text.
    pub text: Bytes,
    /// Weight versions that produced at least one of its events.
    pub versions: Vec<u64>,
    /// Signature of the response to the reward call, if any.
    pub score: Option<String>,
}

/// A response to a caller that originates in this system, not at an engine.
#[derive(Clone, Debug)]
pub enum CallerResponse {
    /// Whether the node accepts new connections.
    Ready(bool),
    /// The request was not served.
    Refused {
        /// Reason.
        refusal: Refusal,
        /// Human-readable explanation.
        detail: String,
        /// Time to wait before a retry.
        retry_after: Option<Duration>,
    },
    /// The batch job has been stored durably.
    JobAccepted,
    /// The batch job has been ended.
    JobEnded,
    /// Results of a batch job.
    Results {
        /// Number of items of the job.
        total: u64,
        /// Position after the last of `results`.
        next: u64,
        /// Results in order.
        results: Vec<JobResult>,
    },
    /// The body of an item.
    ItemBody(Bytes),
    /// Metrics in text format.
    Metrics(String),
}

/// A parsed submission of a batch job.
pub type Submission = AcceptJob;
