//! What callers of batch-job calls are told.

use bytes::Bytes;
use peatgrade_forward::DEFAULT_RETRY_AFTER;
use peatgrade_ports::{Answer, ListedItem, Refusal};
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{JobReply, JobStatus};
use peatgrade_types::Duration;

use super::pending::Pending;

/// When a caller may come back with a job for which there was no room, if the leader cannot
/// tell: jobs are dropped as they grow old.
const COME_BACK_NO_ROOM: Duration = Duration::from_millis(1_000);

/// What a caller is told whose call nobody has answered.
pub(super) fn given_up(pending: &Pending) -> Answer {
    let submits = matches!(pending.body, OneOfbody::submit(_));
    // An end is carried on: that it will not be done would be a false promise.
    let refusal = if pending.is_end() || (submits && pending.sent) {
        Refusal::Unknown
    } else {
        Refusal::NotRun
    };
    Answer::Refused {
        refusal,
        detail: "no replica could answer".into(),
        retry_after: (refusal == Refusal::NotRun).then_some(DEFAULT_RETRY_AFTER),
    }
}

/// What a caller is told after a reply of a replica.
pub(super) fn answer_of(body: &OneOfbody, reply: JobReply) -> Answer {
    let refused = |refusal, detail: &str, retry_after| Answer::Refused {
        refusal,
        detail: detail.into(),
        retry_after,
    };
    match reply.status {
        JobStatus::OK => match body {
            OneOfbody::submit(_) => Answer::JobAccepted,
            OneOfbody::end(_) => Answer::JobEnded,
            OneOfbody::item(_) => Answer::ItemBody(Bytes::from(reply.body)),
            _ => results(reply),
        },
        JobStatus::UNKNOWN_JOB => refused(Refusal::NotFound, "no such batch job", None),
        JobStatus::UNKNOWN_ITEM => refused(Refusal::NotFound, "no such item", None),
        JobStatus::CONFLICT => refused(Refusal::Malformed, "another job has this id", None),
        // Only a leader that is sure that it has not taken the job says so.
        JobStatus::NO_ROOM => refused(
            Refusal::NotRun,
            "no room for another batch job",
            Some(room_expected_after(&reply)),
        ),
        // Something may have been written: promise nothing for a submission.
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

/// When there may be room for a job that was refused.
fn room_expected_after(reply: &JobReply) -> Duration {
    match reply.retry_after_ms {
        0 => COME_BACK_NO_ROOM,
        millis => Duration::from_millis(millis),
    }
}

fn results(reply: JobReply) -> Answer {
    let next = reply.position + reply.results.len() as u64;
    let listed = reply.results.into_iter().map(|result| ListedItem {
        item: result.item,
        completed: result.completed,
        text: Bytes::from(result.text),
        versions: result.versions,
        score: (!result.score.is_empty()).then_some(result.score),
    });
    Answer::Results {
        total: reply.total,
        next,
        results: listed.collect(),
    }
}
