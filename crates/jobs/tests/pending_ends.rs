//! Ends that were asked for and are not committed.

use peatgrade_jobs::{EndRequest, JobStore, PendingEnds};
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody;
use peatgrade_schema::replication::{AcceptJob, EndJob, JobCommand};
use peatgrade_types::{Duration, Time};

#[test]
fn an_end_is_kept_until_it_is_committed() {
    let mut ends = PendingEnds::default();
    assert!(ends.insert(Time(0), "job"), "it is new");
    assert!(!ends.insert(Time(5), "job"), "it was asked for before");
    assert!(ends.contains("job"));
    assert!(!ends.contains("other"));
    assert!(!ends.remove_committed("other"));
    assert!(ends.contains("job"));
    assert!(ends.remove_committed("job"));
    assert!(ends.is_empty());
}

#[test]
fn an_end_is_forgotten_when_its_job_would_be() {
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

/// Memory is bounded, whatever callers ask for; the newest matter most.
#[test]
fn the_oldest_end_gives_way() {
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

/// What was proposed in a term is in that leader's log; the next leader may lack it.
#[test]
fn an_end_is_proposed_once_in_each_term() {
    let store = store_with("job");
    let mut ends = PendingEnds::default();
    ends.insert(Time(0), "job");
    assert_eq!(ends.take_unproposed(3, &store), ["job"]);
    assert!(ends.take_unproposed(3, &store).is_empty());
    assert_eq!(ends.take_unproposed(4, &store), ["job"]);
}

/// An end may be heard before the acceptance of its job is committed.
#[test]
fn an_end_waits_for_its_job_and_not_for_one_that_is_ended() {
    let mut ends = PendingEnds::default();
    ends.insert(Time(0), "job");
    assert!(ends.take_unproposed(3, &JobStore::default()).is_empty());
    let mut store = store_with("job");
    assert_eq!(ends.take_unproposed(3, &store), ["job"]);
    apply(&mut store, OneOfbody::end(EndJob { job: "job".into() }));
    assert!(ends.take_unproposed(4, &store).is_empty());
}

/// The leader may not have heard of it; one that does not want it is not asked for ever.
#[test]
fn an_end_is_passed_on_a_few_times_and_ever_more_rarely() {
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
    assert_eq!(times[0], 300, "the leader was told too");
    assert!((5..10).contains(&times.len()), "{times:?}");
    let pauses: Vec<u64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    assert!(ends.contains("job"), "and kept");
}

/// A machine that comes back with many ends does not flood the leader.
#[test]
fn few_ends_are_passed_on_at_once() {
    const MANY: usize = 200;
    let mut ends = PendingEnds::default();
    for number in 0..MANY {
        ends.insert(Time(0), format!("job-{number}").as_str());
    }
    let later = Time(0) + Duration::from_secs(1);
    let first = ends.take_due_forwards(later);
    let second = ends.take_due_forwards(later);
    assert!(first.len() < 20 && !first.is_empty());
    assert!(second.iter().all(|job| !first.contains(job)), "by turns");
}

/// A leader knows all jobs that there are, but for one that is being accepted.
#[test]
fn ends_of_jobs_that_there_are_not_are_forgotten_soon() {
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
fn an_id_that_no_job_has_is_not_kept() {
    let mut ends = PendingEnds::default();
    assert!(!ends.insert(Time(0), "x".repeat(10_000).as_str()));
    assert!(ends.is_empty());
}

/// Where an end is heard first, its job may not be known yet, nor whose it is.
#[test]
fn a_tenant_cannot_end_anothers_job_nor_keep_its_owner_from_that() {
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
    assert!(ends.insert(Time(0), of("leeds")), "the owner's is new");
    assert!(ends.should_end(store.get("job").unwrap()));
    assert_eq!(ends.take_unproposed(3, &store), ["job"]);
    ends.expire_unknown(Time(0) + Duration::from_secs(10), &store);
    assert!(!ends.contains(of("derby")), "it will never end the job");
    assert!(ends.remove_committed("job"));
    assert!(ends.is_empty());
}

/// A log from before there were tenants has jobs of nobody: they stay open to all.
#[test]
fn a_job_without_a_tenant_may_be_ended_by_any() {
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
