//! Replicas at the end of a slow path: behind, but of use.

use super::cluster::Cluster;
use super::{write_for, LONG, SECOND};
use peatgrade_types::Duration;

/// A leader that was cut off has entries that nobody else got. Over a slow path,
/// going back through them one message at a time would never end, since
/// heartbeats overtake what is sent and are refused for what is still missing.
#[test]
fn entries_that_nobody_else_has_do_not_keep_a_replica_back() {
    let mut cluster = Cluster::new(11, 0);
    cluster.run_until_led(LONG);
    write_for(&mut cluster, SECOND);
    let cut_off = cluster.answering.unwrap();
    for other in (0..3).filter(|other| *other != cut_off) {
        cluster.cut(cut_off, other);
        cluster.cut(other, cut_off);
    }
    for _ in 0..80 {
        cluster.propose();
        cluster.run(Duration::from_millis(1));
    }
    cluster.run(SECOND);
    write_for(&mut cluster, SECOND);
    cluster
        .slow_paths
        .insert(cut_off, Duration::from_millis(60));
    cluster.heal();
    let begun = cluster.now;
    let writes = cluster.proposed;
    while cluster.now.since(begun) < Duration::from_millis(700) {
        cluster.run(Duration::from_millis(2));
        cluster.propose();
    }
    assert!(cluster.proposed > writes + 100, "writes went on");
    let applied = cluster.machines[cut_off].applied.len();
    let lacks = cluster.acknowledged.len() - applied;
    assert!(lacks <= 150, "it lacks {lacks} entries");
}

/// Over a slow path a replica stays a steady time behind: at 500 entries a second
/// and 0.4 s that is 200 of them, for as long as there are writes. Waiting for it
/// to come closer would leave two copies for good.
#[test]
fn a_replica_that_stays_a_little_behind_gets_its_vote() {
    let mut cluster = Cluster::new(7, 0);
    cluster.run_until_led(Duration::from_secs(2));
    write_for(&mut cluster, Duration::from_secs(1));
    let wiped = (cluster.answering.unwrap() + 1) % 3;
    cluster.stop(wiped);
    cluster.wipe(wiped);
    cluster.slow_paths.insert(wiped, Duration::from_millis(400));
    cluster.start(wiped);
    let begun = cluster.now;
    while cluster.now.since(begun) < Duration::from_secs(4) {
        cluster.propose();
        cluster.run(Duration::from_millis(2));
    }
    let leader = cluster.answering.expect("somebody leads");
    let replica = cluster.machines[leader].replica.as_ref().unwrap();
    let joined = cluster.member(wiped, true);
    assert!(
        replica.members().contains(&joined),
        "{:?}",
        replica.members()
    );
}
