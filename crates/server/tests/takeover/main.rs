//! Leadership under load: a replica group on a virtual clock, with machines that are busy
//! while they handle a message or start a run.

mod cluster;
mod engines;
mod machine;

use cluster::Cluster;
use peatgrade_types::Duration;

/// More items in total than the engines have slots.
const JOB_COUNT: usize = 6;
const ITEMS_PER_JOB: usize = 83;

fn submit_jobs(cluster: &mut Cluster) -> Vec<String> {
    let jobs: Vec<String> = (0..JOB_COUNT).map(|job| format!("job-{job}")).collect();
    for job in &jobs {
        cluster.submit(job, ITEMS_PER_JOB);
    }
    jobs
}

/// Guards against election loops: starting all open runs takes a leader longer than the
/// election timeout, so heartbeats must be sent in between.
#[test]
fn leader_keeps_leadership_while_starting_hundreds_of_runs() {
    let mut cluster = Cluster::new(5);
    cluster.run_until_leader_elected();
    let jobs = submit_jobs(&mut cluster);
    cluster.run(Duration::from_secs(15));
    assert_eq!(cluster.terms_since_first_leader(), 0, "the leader changed");
    for job in &jobs {
        assert_eq!(cluster.result_count(job), ITEMS_PER_JOB, "{job}");
    }
}

/// Guards against election loops after a leader loss, when all runs are restarted.
#[test]
fn new_leader_keeps_leadership_while_taking_over_hundreds_of_items() {
    let mut cluster = Cluster::new(5);
    cluster.run_until_leader_elected();
    let jobs = submit_jobs(&mut cluster);
    cluster.run(Duration::from_secs(1));
    cluster.stop_leader();
    cluster.run(Duration::from_secs(15));
    let terms = cluster.terms_since_first_leader();
    assert!(terms <= 2, "{terms} new terms after one leader loss");
    for job in &jobs {
        assert_eq!(cluster.result_count(job), ITEMS_PER_JOB, "{job}");
    }
}

/// An end requested right after a leader loss is committed within 2 s, and no item of the
/// job reaches an engine afterwards.
#[test]
fn end_requested_during_takeover_is_committed() {
    let mut cluster = Cluster::new(5);
    cluster.run_until_leader_elected();
    submit_jobs(&mut cluster);
    cluster.run(Duration::from_secs(1));
    cluster.stop_leader();
    cluster.request_end("job-3");
    cluster.run(Duration::from_secs(2));
    assert!(
        cluster.is_ended("job-3"),
        "end was not committed within 2 s"
    );
    let ended = cluster.now;
    cluster.run(Duration::from_secs(10));
    let later_arrivals = cluster.arrivals_after("job-3", ended);
    assert_eq!(later_arrivals, 0, "runs started after the job ended");
}

/// Guards against election loops on machines that are uniformly slow.
#[test]
fn slow_machines_do_not_elect_leaders_repeatedly() {
    let mut cluster = Cluster::new(5);
    cluster.run_until_leader_elected();
    submit_jobs(&mut cluster);
    cluster.run(Duration::from_secs(1));
    cluster.slow_down();
    cluster.stop_leader();
    cluster.run(Duration::from_secs(15));
    let terms = cluster.terms_since_first_leader();
    assert!(terms <= 3, "{terms} new terms after one leader loss");
}
