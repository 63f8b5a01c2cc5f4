//! Requests to end jobs that are not committed yet.

use peatgrade_jobs::{EndRequest, JobStore, PendingEnds};
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody;
use peatgrade_schema::replication::{AcceptJob, EndJob, JobCommand};
use peatgrade_types::{Duration, Time};

#[test]
fn request_is_retained_until_the_end_is_committed() {
    let mut ends = PendingEnds::default();
    assert!(ends.insert(Time(0), "job"), "the request is new");
    assert!(!ends.insert(Time(5), "job"), "the request is a duplicate");
    assert!(ends.contains("job"));
    assert!(!ends.contains("other"));
    assert!(!ends.remove_committed("other"));
    assert!(ends.contains("job"));
    assert!(ends.remove_committed("job"));
    assert!(ends.is_empty());
}

#[test]
fn requests_expire_with_open_jobs() {
    let mut ends = PendingEnds::default();
    let keep = Duration::from_secs(120);
    ends.insert(Time(0), "old");
    ends.insert(Time(0) + Duration::from_secs(100), "young");
    ends.expire(Time(0) + Duration::from_secs(119), keep);
    assert!(ends.contains("old"));
    ends.expire(Time(0) + Duration::from_secs(120), keep);
    assert!(!ends.contains("old"));
    assert!(ends.contains("young"));
}

/// Guards against unbounded memory.
#[test]
fn oldest_request_is_dropped_at_the_limit() {
    const MANY: u64 = 5_000;
    let mut ends = PendingEnds::default();
    for number in 0..MANY {
        ends.insert(Time(number), format!("job-{number}").as_str());
    }
    assert!(ends.len() < MANY as usize);
    assert!(!ends.contains("job-0"));
    assert!(ends.contains(format!("job-{}", MANY - 1).as_str()));
}

fn store_with(job: &str) -> JobStore {
    let mut store = JobStore::default();
    let accept = AcceptJob {
        job: job.into(),
        ..AcceptJob::default()
    };
    apply(&mut store, OneOfbody::accept(accept));
    store
}

fn apply(store: &mut JobStore, body: OneOfbody) {
    store.apply(Time(0), 1, &encode(&JobCommand { body }));
}

/// A proposal of an earlier term may be missing from the next leader's log.
#[test]
fn end_is_proposed_once_per_term() {
    let store = store_with("job");
    let mut ends = PendingEnds::default();
    ends.insert(Time(0), "job");
    assert_eq!(ends.take_unproposed(3, &store), ["job"]);
    assert!(ends.take_unproposed(3, &store).is_empty());
    assert_eq!(ends.take_unproposed(4, &store), ["job"]);
}

/// A request may arrive before the acceptance of its job is committed.
#[test]
fn end_is_proposed_only_for_a_known_open_job() {
    let mut ends = PendingEnds::default();
    ends.insert(Time(0), "job");
    assert!(ends.take_unproposed(3, &JobStore::default()).is_empty());
    let mut store = store_with("job");
    assert_eq!(ends.take_unproposed(3, &store), ["job"]);
    apply(&mut store, OneOfbody::end(EndJob { job: "job".into() }));
    assert!(ends.take_unproposed(4, &store).is_empty());
}

/// Guards against a request that never reaches the leader, and against endless forwarding.
#[test]
fn forwards_are_limited_and_back_off() {
    const MINUTES: u64 = 4;
    let mut ends = PendingEnds::default();
    ends.insert(Time(0), "job");
    let mut times = Vec::new();
    for tick in 0..MINUTES * 600 {
        let now = Time(0) + Duration::from_millis(tick * 100);
        if !ends.take_due_forwards(now).is_empty() {
            times.push(now.0 / 1_000);
        }
    }
    assert_eq!(times[0], 300, "the first forward is delayed");
    assert!((5..10).contains(&times.len()), "{times:?}");
    let pauses: Vec<u64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    assert!(ends.contains("job"), "the request is retained");
}

/// Guards against a restarted replica that floods the leader with requests.
#[test]
fn forwards_are_sent_in_batches() {
    const MANY: usize = 200;
    let mut ends = PendingEnds::default();
    for number in 0..MANY {
        ends.insert(Time(0), format!("job-{number}").as_str());
    }
    let later = Time(0) + Duration::from_secs(1);
    let first = ends.take_due_forwards(later);
    let second = ends.take_due_forwards(later);
    assert!(first.len() < 20 && !first.is_empty());
    assert!(
        second.iter().all(|job| !first.contains(job)),
        "different requests"
    );
}

/// A leader knows all jobs except those being accepted.
#[test]
fn requests_for_unknown_jobs_expire() {
    let mut ends = PendingEnds::default();
    let store = store_with("known");
    ends.insert(Time(0), "known");
    ends.insert(Time(0), "unknown");
    ends.expire_unknown(Time(0) + Duration::from_secs(9), &store);
    assert!(ends.contains("unknown"));
    ends.expire_unknown(Time(0) + Duration::from_secs(10), &store);
    assert!(!ends.contains("unknown"));
    assert!(ends.contains("known"));
}

#[test]
fn oversized_request_is_rejected() {
    let mut ends = PendingEnds::default();
    assert!(!ends.insert(Time(0), "x".repeat(10_000).as_str()));
    assert!(ends.is_empty());
}

/// The owner of a job may be unknown when the request arrives.
#[test]
fn tenant_cannot_end_or_block_the_end_of_anothers_job() {
    let of = |tenant: &str| EndRequest {
        job: "job".into(),
        tenant: tenant.into(),
    };
    let mut store = JobStore::default();
    let mut ends = PendingEnds::default();
    assert!(ends.insert(Time(0), of("derby")));
    let accept = AcceptJob {
        job: "job".into(),
        tenant: "leeds".into(),
        ..AcceptJob::default()
    };
    apply(&mut store, OneOfbody::accept(accept));
    assert!(!ends.should_end(store.get("job").unwrap()));
    assert!(ends.take_unproposed(3, &store).is_empty());
    assert!(
        ends.insert(Time(0), of("leeds")),
        "the owner's request is new"
    );
    assert!(ends.should_end(store.get("job").unwrap()));
    assert_eq!(ends.take_unproposed(3, &store), ["job"]);
    ends.expire_unknown(Time(0) + Duration::from_secs(10), &store);
    assert!(
        !ends.contains(of("derby")),
        "an unauthorized request is dropped"
    );
    assert!(ends.remove_committed("job"));
    assert!(ends.is_empty());
}

/// Logs of older versions contain jobs without a tenant.
#[test]
fn any_tenant_may_end_a_job_without_a_tenant() {
    let store = store_with("job");
    let mut ends = PendingEnds::default();
    ends.insert(
        Time(0),
        EndRequest {
            job: "job".into(),
            tenant: "leeds".into(),
        },
    );
    assert_eq!(ends.take_unproposed(3, &store), ["job"]);
}
