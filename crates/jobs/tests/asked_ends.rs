//! Ends that were asked for and are not committed.

use peatgrade_jobs::{AskedEnds, JobStore};
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody;
use peatgrade_schema::replication::{AcceptJob, EndJob, JobCommand};
use peatgrade_types::{Duration, Time};

#[test]
fn an_end_is_kept_until_it_is_committed() {
    let mut ends = AskedEnds::default();
    assert!(ends.ask(Time(0), "job"), "it is new");
    assert!(!ends.ask(Time(5), "job"), "it was asked for before");
    assert!(ends.is_asked("job"));
    assert!(!ends.is_asked("other"));
    assert!(!ends.committed("other"));
    assert!(ends.is_asked("job"));
    assert!(ends.committed("job"));
    assert!(ends.is_empty());
}

#[test]
fn an_end_is_forgotten_when_its_job_would_be() {
    let mut ends = AskedEnds::default();
    let keep = Duration::from_secs(120);
    ends.ask(Time(0), "old");
    ends.ask(Time(0) + Duration::from_secs(100), "young");
    ends.forget(Time(0) + Duration::from_secs(119), keep);
    assert!(ends.is_asked("old"));
    ends.forget(Time(0) + Duration::from_secs(120), keep);
    assert!(!ends.is_asked("old"));
    assert!(ends.is_asked("young"));
}

/// Memory is bounded, whatever callers ask for; the newest matter most.
#[test]
fn the_oldest_end_gives_way() {
    const MANY: u64 = 5_000;
    let mut ends = AskedEnds::default();
    for number in 0..MANY {
        ends.ask(Time(number), &format!("job-{number}"));
    }
    assert!(ends.len() < MANY as usize);
    assert!(!ends.is_asked("job-0"));
    assert!(ends.is_asked(&format!("job-{}", MANY - 1)));
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
    let mut ends = AskedEnds::default();
    ends.ask(Time(0), "job");
    assert_eq!(ends.take_unproposed(3, &store), ["job"]);
    assert!(ends.take_unproposed(3, &store).is_empty());
    assert_eq!(ends.take_unproposed(4, &store), ["job"]);
}

/// An end may be heard before the acceptance of its job is committed.
#[test]
fn an_end_waits_for_its_job_and_not_for_one_that_is_ended() {
    let mut ends = AskedEnds::default();
    ends.ask(Time(0), "job");
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
    let mut ends = AskedEnds::default();
    ends.ask(Time(0), "job");
    let mut times = Vec::new();
    for tick in 0..MINUTES * 600 {
        let now = Time(0) + Duration::from_millis(tick * 100);
        if !ends.take_to_pass_on(now).is_empty() {
            times.push(now.0 / 1_000);
        }
    }
    assert_eq!(times[0], 300, "the leader was told too");
    assert!((5..10).contains(&times.len()), "{times:?}");
    let pauses: Vec<u64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    assert!(ends.is_asked("job"), "and kept");
}

/// A machine that comes back with many ends does not flood the leader.
#[test]
fn few_ends_are_passed_on_at_once() {
    const MANY: usize = 200;
    let mut ends = AskedEnds::default();
    for number in 0..MANY {
        ends.ask(Time(0), &format!("job-{number}"));
    }
    let later = Time(0) + Duration::from_secs(1);
    let first = ends.take_to_pass_on(later);
    let second = ends.take_to_pass_on(later);
    assert!(first.len() < 20 && !first.is_empty());
    assert!(second.iter().all(|job| !first.contains(job)), "by turns");
}

/// A leader knows all jobs that there are, but for one that is being accepted.
#[test]
fn ends_of_jobs_that_there_are_not_are_forgotten_soon() {
    let mut ends = AskedEnds::default();
    let store = store_with("known");
    ends.ask(Time(0), "known");
    ends.ask(Time(0), "unknown");
    ends.forget_unknown(Time(0) + Duration::from_secs(9), &store);
    assert!(ends.is_asked("unknown"));
    ends.forget_unknown(Time(0) + Duration::from_secs(10), &store);
    assert!(!ends.is_asked("unknown"));
    assert!(ends.is_asked("known"));
}

#[test]
fn an_id_that_no_job_has_is_not_kept() {
    let mut ends = AskedEnds::default();
    assert!(!ends.ask(Time(0), &"x".repeat(10_000)));
    assert!(ends.is_empty());
}
