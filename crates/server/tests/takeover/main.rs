//! Leaders whose work takes time: the whole group on a virtual clock, each machine
//! busy while it handles a message or starts a run, as on a fraction of a core.

mod cluster;
mod engines;
mod machine;

use cluster::Cluster;
use peatgrade_types::Duration;

/// Jobs and items that are open at once: six steps of 83, about what three
/// trainers have open before 416 places of engines.
const JOBS: usize = 6;
const ITEMS: usize = 83;

fn submit_all(cluster: &mut Cluster) -> Vec<String> {
    let jobs: Vec<String> = (0..JOBS).map(|job| format!("job-{job}")).collect();
    for job in &jobs {
        cluster.submit(job, ITEMS);
    }
    jobs
}

/// Starting all that is open takes a leader longer than the others wait for a
/// heartbeat. It must go on being heard meanwhile, or the next one takes its place
/// and meets the same work.
#[test]
fn a_leader_that_starts_hundreds_of_runs_stays_in_office() {
    let mut cluster = Cluster::new(5);
    cluster.run_until_led();
    let jobs = submit_all(&mut cluster);
    cluster.run(Duration::from_secs(15));
    assert_eq!(cluster.terms_since_first_leader(), 0, "the leader changed");
    for job in &jobs {
        assert_eq!(cluster.listed(job), ITEMS, "{job}");
    }
}

/// The same after the loss of a leader, when all runs must start again.
#[test]
fn a_leader_that_takes_over_hundreds_of_items_stays_in_office() {
    let mut cluster = Cluster::new(5);
    cluster.run_until_led();
    let jobs = submit_all(&mut cluster);
    cluster.run(Duration::from_secs(1));
    cluster.stop_leader();
    cluster.run(Duration::from_secs(15));
    let terms = cluster.terms_since_first_leader();
    assert!(terms <= 2, "{terms} elections for one lost leader");
    for job in &jobs {
        assert_eq!(cluster.listed(job), ITEMS, "{job}");
    }
}

/// An end that is asked right after the loss of a leader is committed soon, and
/// nothing of its job reaches an engine afterwards.
#[test]
fn an_end_that_is_asked_during_a_takeover_holds() {
    let mut cluster = Cluster::new(5);
    cluster.run_until_led();
    submit_all(&mut cluster);
    cluster.run(Duration::from_secs(1));
    cluster.stop_leader();
    cluster.ask_end("job-3");
    cluster.run(Duration::from_secs(2));
    assert!(
        cluster.is_ended("job-3"),
        "no leader took the end within 2 s"
    );
    let ended = cluster.now;
    cluster.run(Duration::from_secs(10));
    let late = cluster.arrivals_after("job-3", ended);
    assert_eq!(late, 0, "items arrived after the end");
}

/// Machines that are seven times slower start runs seven times slower, and are heard.
#[test]
fn slow_machines_elect_no_leader_after_leader() {
    let mut cluster = Cluster::new(5);
    cluster.run_until_led();
    submit_all(&mut cluster);
    cluster.run(Duration::from_secs(1));
    cluster.slow_down();
    cluster.stop_leader();
    cluster.run(Duration::from_secs(15));
    let terms = cluster.terms_since_first_leader();
    assert!(terms <= 3, "{terms} elections for one lost leader");
}
