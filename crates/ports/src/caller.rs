//! Messages of callers and trainers, and answers to them.

use bytes::Bytes;
use peatgrade_authentication::KeyDigest;
use peatgrade_schema::replication::AcceptJob;
use peatgrade_types::http::HttpRequest;
use peatgrade_types::Duration;

/// A request for an engine.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// Its id, unique for each attempt of a caller.
    pub id: String,
    /// Host that was asked for.
    pub host: String,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// Last event that the caller has, when it takes up a stream.
    pub last_event: Option<u64>,
    /// Model that is asked for; empty for other services.
    pub model: String,
    /// Digest of the key that came with it.
    pub key: Option<KeyDigest>,
    /// Tenant that the key stands for, once that is known; empty if none was needed.
    pub tenant: String,
    /// The request as it came, without its key.
    pub http: HttpRequest,
}

/// Where a trainer reads results.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobRead {
    /// The batch job.
    pub job: String,
    /// First position wanted.
    pub position: u64,
    /// How long the call may wait for one.
    pub wait: Duration,
    /// Digest of the key that came with it.
    pub key: Option<KeyDigest>,
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum CallerMessage {
    /// A request for an engine, or the submission of a batch job.
    Request(CallerRequest),
    /// Results of a batch job.
    ReadJob(JobRead),
    /// The body of an item.
    ReadItem {
        /// The batch job.
        job: String,
        /// The item.
        item: String,
        /// Digest of the key that came with it.
        key: Option<KeyDigest>,
    },
    /// The end of a batch job.
    EndJob {
        /// The batch job.
        job: String,
        /// Digest of the key that came with it.
        key: Option<KeyDigest>,
    },
    /// Nothing that this system understands.
    Bad(BadRequest),
}

/// What it concerns, as logs name it.
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

/// Why a request is wrong in itself.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct BadRequest {
    /// What is wrong.
    pub reason: String,
}

/// Why a request was not served.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Refusal {
    /// Wrong in itself.
    Malformed,
    /// No route matches.
    NoRoute,
    /// Its key is missing or not known.
    Unauthorized,
    /// No such batch job or item.
    NotFound,
    /// It has not run and never will; it may come again.
    NotRun,
    /// The time for it is over; it may have run.
    TimedOut,
    /// It may have run.
    Unknown,
    /// Engines crash under it: none gets it, now or later.
    EndsEngines,
}

/// A result in the list of a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobResult {
    /// The item.
    pub item: String,
    /// Whether it is whole; otherwise it was given up.
    pub completed: bool,
    /// Its text.
    pub text: Bytes,
    /// Versions that made an event of it.
    pub versions: Vec<u64>,
    /// Signature of the answer to its reward call, if it has one.
    pub score: Option<String>,
}

/// An answer of this system itself.
#[derive(Clone, Debug)]
pub enum CallerResponse {
    /// The node takes new connections, or not.
    Ready(bool),
    /// The request was not served.
    Refused {
        /// Why.
        refusal: Refusal,
        /// For people.
        detail: String,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// A batch job is kept from now on.
    JobAccepted,
    /// A batch job is ended.
    JobEnded,
    /// Results of a batch job.
    Results {
        /// Items of the job.
        total: u64,
        /// Position after the last of `results`.
        next: u64,
        /// Results in order.
        results: Vec<JobResult>,
    },
    /// The body of an item.
    ItemBody(Bytes),
    /// Figures as text.
    Metrics(String),
}

/// A submission with what the core needs to know of it.
pub type Submission = AcceptJob;
