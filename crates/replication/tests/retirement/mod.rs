//! Machines that are to be drained, beside lost disks and planned replacements: the group always
//! works its way back to tolerating the loss of a disk.

use super::cluster::Cluster;
use super::{LEADER_TIME_LIMIT, SECOND};
use peatgrade_types::Duration;
use rstest::rstest;

/// Time within which a group tolerates the next loss of a disk.
const CATCH_UP: Duration = Duration::from_secs(5);
/// Time within which a request to drain a machine is done, if it can be.
const LONG: Duration = Duration::from_secs(15);
/// Time after which a leader counts on no machine that has stopped.
const NOTICED: Duration = Duration::from_millis(300);

fn write_for(cluster: &mut Cluster, duration: Duration) {
    let end = cluster.now + duration;
    while cluster.now < end {
        cluster.run(Duration::from_millis(10));
        cluster.take_drained_machines();
        cluster.propose();
    }
}

fn serving_cluster(seed: u64, spares: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, spares);
    cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
    write_for(&mut cluster, CATCH_UP + SECOND);
    cluster
}

/// Takes the disk of each voter in turn, each after the group had time to heal.
fn lose_each_disk(cluster: &mut Cluster) {
    for index in 0..cluster.machines.len() {
        if cluster.machines[index].is_gone {
            continue;
        }
        cluster.lose_disk(index);
        write_for(cluster, CATCH_UP + SECOND);
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
    }
}

#[rstest]
#[case::follower(1)]
#[case::leader(0)]
fn a_retiring_machine_that_lost_its_disk_is_taken_back_without_a_spare(#[case] offset: usize) {
    for seed in 0..10 {
        let mut cluster = serving_cluster(seed, 0);
        let leader = cluster.serving_leader.unwrap();
        let victim = (leader + offset) % 3;
        let name = cluster.machines[victim].name.clone();
        cluster.retire(std::slice::from_ref(&name));
        write_for(&mut cluster, SECOND);
        cluster.lose_disk(victim);
        write_for(&mut cluster, CATCH_UP);
        assert!(!cluster.machines[victim].is_gone, "seed {seed}: no spare");
        lose_each_disk(&mut cluster);
    }
}

#[rstest]
#[case::before_the_new_one_counts_as_there(2_000)]
#[case::when_the_new_one_counts_as_there(5_050)]
#[case::after_a_slow_stop(7_000)]
fn a_new_machine_does_not_release_a_retiring_one_in_a_planned_replacement(
    #[case] stopped_after_ms: u64,
) {
    for seed in 0..10 {
        let mut cluster = serving_cluster(seed, 0);
        let leader = cluster.serving_leader.unwrap();
        let (retiring, replaced) = ((leader + 1) % 3, (leader + 2) % 3);
        let name = cluster.machines[retiring].name.clone();
        cluster.retire(std::slice::from_ref(&name));
        write_for(&mut cluster, SECOND);
        // A planned replacement: the new machine starts first, then the old one stops.
        cluster.push_machine();
        write_for(&mut cluster, Duration::from_millis(stopped_after_ms));
        assert!(!cluster.machines[retiring].is_gone, "seed {seed}");
        cluster.take_away(replaced);
        write_for(&mut cluster, LONG);
        assert!(!cluster.machines[retiring].is_gone, "seed {seed}: no spare");
        lose_each_disk(&mut cluster);
    }
}

#[test]
fn a_spare_releases_a_retiring_machine_only_while_all_voters_answer() {
    for seed in 0..10 {
        let mut cluster = serving_cluster(seed, 1);
        let leader = cluster.serving_leader.unwrap();
        let (retiring, stopped) = ((leader + 1) % 3, (leader + 2) % 3);
        cluster.stop(stopped);
        cluster.run(NOTICED);
        let name = cluster.machines[retiring].name.clone();
        cluster.retire(std::slice::from_ref(&name));
        write_for(&mut cluster, LONG);
        assert!(!cluster.machines[retiring].is_gone, "seed {seed}: stopped");
        cluster.start(stopped);
        write_for(&mut cluster, LONG);
        assert!(cluster.machines[retiring].is_gone, "seed {seed}: spare");
        lose_each_disk(&mut cluster);
    }
}

#[test]
fn a_spare_outside_the_group_is_kept_while_the_group_lacks_a_voter() {
    for seed in 0..10 {
        let mut cluster = serving_cluster(seed, 1);
        let leader = cluster.serving_leader.unwrap();
        let lost = (leader + 1) % 3;
        let spare = (0..4).find(|i| !cluster.voters().contains(&cluster.machines[*i].name));
        let spare = spare.unwrap();
        cluster.take_away(lost);
        cluster.run(NOTICED);
        let name = cluster.machines[spare].name.clone();
        cluster.retire(std::slice::from_ref(&name));
        write_for(&mut cluster, LONG);
        assert!(!cluster.machines[spare].is_gone, "seed {seed}: needed");
        lose_each_disk(&mut cluster);
    }
}

#[test]
fn a_request_taken_back_between_promotion_and_removal_leaves_a_group_that_heals() {
    for seed in 0..10 {
        for wait_ms in [1, 4, 8, 12, 16, 24] {
            let mut cluster = serving_cluster(seed, 1);
            let leader = cluster.serving_leader.unwrap();
            let name = cluster.machines[(leader + 1) % 3].name.clone();
            cluster.retire(std::slice::from_ref(&name));
            let mut waited = 0;
            while cluster.voters().len() < 4 && waited < 1_000 {
                cluster.run(Duration::from_millis(1));
                waited += 1;
            }
            cluster.run(Duration::from_millis(wait_ms % 4));
            cluster.retire(&[]);
            write_for(&mut cluster, CATCH_UP + SECOND);
            lose_each_disk(&mut cluster);
            assert_eq!(cluster.voters().len(), 3, "seed {seed}");
        }
    }
}

#[test]
fn two_retiring_machines_leave_one_after_the_other() {
    for seed in 0..10 {
        let mut cluster = serving_cluster(seed, 2);
        let leader = cluster.serving_leader.unwrap();
        let names: Vec<String> = [leader, (leader + 1) % 3]
            .map(|index| cluster.machines[index].name.clone())
            .to_vec();
        cluster.retire(&names);
        write_for(&mut cluster, LONG);
        let voters = cluster.voters();
        assert_eq!(voters.len(), 3, "seed {seed}: {voters:?}");
        assert!(
            names.iter().all(|name| !voters.contains(name)),
            "{voters:?}"
        );
        assert_eq!(cluster.machines.iter().filter(|m| m.is_gone).count(), 2);
        lose_each_disk(&mut cluster);
    }
}
