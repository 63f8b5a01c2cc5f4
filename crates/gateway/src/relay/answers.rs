//! Answers to callers of batch-job calls.

use bytes::Bytes;
use peatgrade_forward::DEFAULT_RETRY_AFTER;
use peatgrade_ports::{CallerResponse, JobResult, Refusal};
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{JobReply, JobStatus};
use peatgrade_types::Duration;

use super::pending_call::PendingCall;

/// Retry hint for a job that found no room, if the leader gives none.
const DEFAULT_NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The answer to a call without a reply.
pub(super) fn unanswered_call(pending: &PendingCall) -> CallerResponse {
    let submits = matches!(pending.body, OneOfbody::submit(_));
    // A sent submission may have been executed, and an EndJob call is retried without its
    // caller.
    let refusal = if pending.is_end_call() || (submits && pending.was_sent) {
        Refusal::Unknown
    } else {
        Refusal::NotRun
    };
    CallerResponse::Refused {
        refusal,
        detail: "no replica could answer".into(),
        retry_after: (refusal == Refusal::NotRun).then_some(DEFAULT_RETRY_AFTER),
    }
}

/// Translates a replica's reply into the caller's answer.
pub(super) fn answer_from_reply(body: &OneOfbody, reply: JobReply) -> CallerResponse {
    let refused = |refusal, detail: &str, retry_after| CallerResponse::Refused {
        refusal,
        detail: detail.into(),
        retry_after,
    };
    match reply.status {
        JobStatus::OK => match body {
            OneOfbody::submit(_) => CallerResponse::JobAccepted,
            OneOfbody::end(_) => CallerResponse::JobEnded,
            OneOfbody::item(_) => CallerResponse::ItemBody(Bytes::from(reply.body)),
            _ => results_answer(reply),
        },
        JobStatus::UNKNOWN_JOB => refused(Refusal::NotFound, "no such batch job", None),
        JobStatus::UNKNOWN_ITEM => refused(Refusal::NotFound, "no such item", None),
        JobStatus::CONFLICT => refused(Refusal::Malformed, "another job has this id", None),
        // A leader replies this only if it has certainly not accepted the job.
        JobStatus::NO_ROOM => refused(
            Refusal::NotRun,
            "no room for another batch job",
            Some(no_room_retry_after(&reply)),
        ),
        // The submission may have been written to the log, so its outcome is unknown.
        _ if matches!(body, OneOfbody::submit(_)) => {
            refused(Refusal::Unknown, "the leader changed", None)
        }
        _ => refused(
            Refusal::NotRun,
            "no leader can be sure",
            Some(DEFAULT_RETRY_AFTER),
        ),
    }
}

/// Retry hint for a job that found no room.
fn no_room_retry_after(reply: &JobReply) -> Duration {
    match reply.retry_after_ms {
        0 => DEFAULT_NO_ROOM_RETRY_AFTER,
        millis => Duration::from_millis(millis),
    }
}

fn results_answer(reply: JobReply) -> CallerResponse {
    let next = reply.position + reply.results.len() as u64;
    let listed = reply.results.into_iter().map(|result| JobResult {
        item: result.item,
        completed: result.completed,
        text: Bytes::from(result.text),
        versions: result.versions,
        score: (!result.score.is_empty()).then_some(result.score),
    });
    CallerResponse::Results {
        total: reply.total,
        next,
        results: listed.collect(),
    }
}
