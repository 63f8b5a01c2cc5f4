//! Replicas that lag behind constantly because of a slow network.

use super::cluster::Cluster;
use super::{write_for, LEADER_TIME_LIMIT, SECOND};
use peatgrade_types::Duration;

/// Guards against a conflict search that steps back one entry per round trip: on a slow
/// network, heartbeats overtake the entries and are rejected, so the search would not end.
#[test]
fn uncommitted_entries_of_a_partitioned_leader_do_not_delay_its_catch_up() {
    let mut cluster = Cluster::new(11, 0);
    cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
    write_for(&mut cluster, SECOND);
    let partitioned = cluster.serving_leader.unwrap();
    for other in (0..3).filter(|other| *other != partitioned) {
        cluster.block_link(partitioned, other);
        cluster.block_link(other, partitioned);
    }
    for _ in 0..80 {
        cluster.propose();
        cluster.run(Duration::from_millis(1));
    }
    cluster.run(SECOND);
    write_for(&mut cluster, SECOND);
    cluster
        .extra_delays
        .insert(partitioned, Duration::from_millis(60));
    cluster.heal();
    let begun = cluster.now;
    let writes = cluster.proposed;
    while cluster.now.since(begun) < Duration::from_millis(700) {
        cluster.run(Duration::from_millis(2));
        cluster.propose();
    }
    assert!(cluster.proposed > writes + 100, "writes continued");
    let applied = cluster.machines[partitioned].applied.len();
    let missing = cluster.acknowledged.len() - applied;
    assert!(missing <= 150, "{missing} entries missing");
}

/// Guards against waiting for a learner to catch up completely, which it never does on a
/// slow network under continuous writes.
#[test]
fn a_learner_with_constant_lag_is_promoted() {
    let mut cluster = Cluster::new(7, 0);
    cluster.run_until_leader_serves(Duration::from_secs(2));
    write_for(&mut cluster, Duration::from_secs(1));
    let wiped = (cluster.serving_leader.unwrap() + 1) % 3;
    cluster.stop(wiped);
    cluster.wipe(wiped);
    cluster
        .extra_delays
        .insert(wiped, Duration::from_millis(400));
    cluster.start(wiped);
    let begun = cluster.now;
    while cluster.now.since(begun) < Duration::from_secs(4) {
        cluster.propose();
        cluster.run(Duration::from_millis(2));
    }
    let leader = cluster.serving_leader.expect("a leader serves");
    let replica = cluster.machines[leader].replica.as_ref().unwrap();
    let joined = cluster.member(wiped, true);
    assert!(
        replica.members().contains(&joined),
        "{:?}",
        replica.members()
    );
}
