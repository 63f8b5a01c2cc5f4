//! RFC 9457 problem documents and the three outcomes.

use peatgrade_schema::engine::Problem;
use peatgrade_types::http::ResponseHead;

/// Header that names the outcome of a request that got no answer.
pub const OUTCOME_HEADER: &str = "x-outcome";
const PROBLEM_TYPE: &str = "application/problem+json";

/// What is known of a request whose answer is not the engine's own.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// It certainly did not run; it may be sent again.
    NotRun,
    /// It may have run.
    Unknown,
    /// It was wrong in itself and was not tried.
    Invalid,
}

/// Value of [`OUTCOME_HEADER`] for an outcome.
pub fn outcome_header(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "outcome-unknown",
        Outcome::Invalid => "invalid",
    }
}

/// A refusal or failure to tell a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub status: u16,
    pub kind: &'static str,
    pub detail: String,
    pub outcome: Outcome,
    /// When the caller should come back, in seconds.
    pub retry_after: Option<u32>,
}

impl Refusal {
    /// The request is wrong.
    pub fn invalid(status: u16, kind: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status,
            kind,
            detail: detail.into(),
            outcome: Outcome::Invalid,
            retry_after: None,
        }
    }

    /// The request did not run and may be sent again after a second.
    pub fn not_run(kind: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status: 503,
            kind,
            detail: detail.into(),
            outcome: Outcome::NotRun,
            retry_after: Some(1),
        }
    }

    /// The request may have run.
    pub fn unknown(kind: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status: 504,
            kind,
            detail: detail.into(),
            outcome: Outcome::Unknown,
            retry_after: None,
        }
    }

    /// Head and body of the response.
    pub fn response(&self) -> (ResponseHead, Vec<u8>) {
        let mut head = ResponseHead::new(self.status, PROBLEM_TYPE);
        let outcome = outcome_header(self.outcome);
        head.headers.push((OUTCOME_HEADER.into(), outcome.into()));
        if let Some(seconds) = self.retry_after {
            head.headers
                .push(("retry-after".into(), seconds.to_string()));
        }
        (head, self.body())
    }

    /// The problem document.
    pub fn body(&self) -> Vec<u8> {
        let outcome = match self.outcome {
            Outcome::Invalid => String::new(),
            other => outcome_header(other).to_string(),
        };
        let problem = Problem {
            type_: format!("urn:peatgrade:problem:{}", self.kind),
            title: self.kind.replace('-', " "),
            status: self.status,
            detail: self.detail.clone(),
            outcome,
        };
        serde_json::to_vec(&problem).unwrap_or_default()
    }
}
