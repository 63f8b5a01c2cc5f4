//! Safety and liveness of the replicated log under faults, checked against an oracle.

mod cluster;
mod member_series;
mod retirement;
mod slow_network;

use cluster::Cluster;
use peatgrade_replication::{voters_to_tolerate, ReplicaId};
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{AppendResponse, ReplicaMessage};
use peatgrade_types::Duration;
use rand::Rng;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);
const LEADER_TIME_LIMIT: Duration = Duration::from_secs(10);

fn write_for(cluster: &mut Cluster, duration: Duration) {
    let end = cluster.now + duration;
    while cluster.now < end {
        cluster.run(Duration::from_millis(10));
        cluster.propose();
    }
}

#[test]
fn a_bootstrapped_group_elects_one_leader_and_commits() {
    let mut cluster = Cluster::new(1, 0);
    cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
    write_for(&mut cluster, SECOND);
    cluster.run(SECOND);
    assert!(cluster.acknowledged.len() > 50);
    assert_eq!(cluster.acknowledged.len() as u64, cluster.proposed);
}

#[test]
fn a_failed_leader_is_replaced_within_half_a_second() {
    let mut times = Vec::new();
    for seed in 0..120 {
        let mut cluster = Cluster::new(seed, 0);
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        write_for(&mut cluster, Duration::from_millis(200));
        let leader = cluster.serving_leader.unwrap();
        cluster.stop(leader);
        cluster.serving_leader = None;
        times.push(
            cluster
                .run_until_leader_serves(LEADER_TIME_LIMIT)
                .as_millis(),
        );
    }
    times.sort_unstable();
    // A split vote takes a second election; most elections must succeed at once.
    assert!(times[60] < 500, "median {} ms", times[60]);
    assert!(times[119] < 1_500, "longest {} ms", times[119]);
}

/// Guards against resending the whole log after a restart of all replicas, when none of them
/// knows the commit index.
#[test]
fn only_missing_entries_are_sent_after_all_replicas_restart() {
    let mut longest_log_led = 0;
    for seed in 0..40 {
        let mut cluster = Cluster::new(seed, 0);
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        write_for(&mut cluster, Duration::from_secs(3));
        let leader = cluster.serving_leader.unwrap();
        for other in (0..3).filter(|other| *other != leader) {
            cluster.block_link(leader, other);
        }
        // These entries reach no other replica.
        write_for(&mut cluster, Duration::from_millis(80));
        for index in 0..3 {
            cluster.stop(index);
        }
        cluster.serving_leader = None;
        cluster.heal();
        cluster.entries_sent = 0;
        for index in 0..3 {
            cluster.start(index);
        }
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        longest_log_led += usize::from(cluster.serving_leader == Some(leader));
        cluster.run(SECOND);
        let written = cluster.proposed as usize;
        assert!(written > 250);
        let sent = cluster.entries_sent;
        assert!(sent <= 60, "seed {seed}: {sent} entries sent of {written}");
    }
    assert!(
        longest_log_led > 10,
        "the longest log led {longest_log_led} times of 40"
    );
}

#[test]
fn a_leader_serves_only_after_applying_all_acknowledged_commands() {
    // Guards against a leader that serves after a restart before it has applied its log.
    for seed in 0..40 {
        let mut cluster = Cluster::new(seed, 0);
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        write_for(&mut cluster, SECOND);
        for index in 0..3 {
            cluster.stop(index);
        }
        // Delivers messages in flight, which would carry the commit index to the restarted
        // replicas.
        cluster.run(SECOND);
        for index in 0..3 {
            cluster.start(index);
        }
        // The oracle checks the state of the serving leader at each step.
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        write_for(&mut cluster, Duration::from_millis(200));
    }
}

#[test]
fn a_wiped_machine_rejoins_as_a_new_voter() {
    for seed in 0..30 {
        let mut cluster = Cluster::new(seed, 0);
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        write_for(&mut cluster, SECOND);
        for round in 0..3 {
            let victim = (seed as usize + round) % 3;
            cluster.stop(victim);
            cluster.wipe(victim);
            cluster.run(SECOND);
            cluster.start(victim);
            write_for(&mut cluster, Duration::from_secs(5));
            assert_eq!(cluster.voters().len(), 3, "seed {seed} round {round}");
        }
    }
}

#[test]
fn a_stale_registration_does_not_undo_the_replacement_of_a_lost_disk() {
    for seed in 0..12 {
        let mut cluster = Cluster::new(seed, 0);
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        write_for(&mut cluster, SECOND);
        let members = (0..3).map(|index| cluster.member(index, false)).collect();
        cluster.stale_registrations = Some(members);
        for round in 0..3 {
            // Wipes the leader first, since the next one has received no self-reports yet.
            let victim = cluster.serving_leader.unwrap();
            cluster.stop(victim);
            cluster.wipe(victim);
            cluster.run(SECOND);
            cluster.start(victim);
            write_for(&mut cluster, Duration::from_secs(5));
            assert_eq!(cluster.voters().len(), 3, "seed {seed} round {round}");
        }
    }
}

#[test]
fn one_wiped_disk_and_a_full_restart_lose_nothing() {
    for seed in 0..60 {
        let mut cluster = Cluster::new(seed, 0);
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        write_for(&mut cluster, SECOND);
        let before = cluster.acknowledged.len();
        for index in 0..3 {
            cluster.stop(index);
        }
        let wiped = (seed % 3) as usize;
        cluster.wipe(wiped);
        cluster.run(SECOND);
        for index in 0..3 {
            cluster.start(index);
        }
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        cluster.run(Duration::from_secs(5));
        assert!(cluster.acknowledged.len() >= before);
        assert_eq!(cluster.voters().len(), 3);
    }
}

/// Guards against counting the leader's own copy of an entry before it is synced: entries are
/// sent before the sync, so a follower's response may come first.
#[test]
fn an_unsynced_copy_of_the_leader_does_not_count_towards_a_quorum() {
    let mut cluster = Cluster::new(21, 0);
    cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
    write_for(&mut cluster, Duration::from_millis(200));
    cluster.run(SECOND);
    let leader = cluster.serving_leader.unwrap();
    let follower = (leader + 1) % 3;
    let (from, address) = (cluster.member(follower, true).replica, follower.to_string());
    let to = cluster.member(leader, true).replica;
    let now = cluster.now;
    let replica = cluster.machines[leader].replica.as_mut().unwrap();
    let before = replica.commit_index();
    let index = replica.propose(now, vec![1, 2, 3]).unwrap();
    let ready = replica.ready();
    assert_eq!(ready.entries.len(), 1);
    assert!(!ready.immediate_messages.is_empty(), "sent before the sync");
    let answer = AppendResponse {
        success: true,
        match_index: index,
        sent_at: now.0,
        store_age: 0,
        ..AppendResponse::default()
    };
    let term = replica.term();
    replica.step(
        now,
        ReplicaMessage {
            from,
            to,
            term,
            from_address: address,
            body: OneOfbody::append_response(answer),
        },
    );
    assert_eq!(replica.commit_index(), before, "the leader has not synced");
    replica.on_persisted();
    assert_eq!(replica.commit_index(), index);
}

/// Guards against counting the previous incarnation of a wiped voter until its response
/// timeout, although the machine has reported its new incarnation.
#[test]
fn a_wiped_voter_is_replaced_before_it_times_out() {
    for seed in 0..10 {
        let mut cluster = Cluster::new(seed, 0);
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        write_for(&mut cluster, SECOND);
        let leader = cluster.serving_leader.unwrap();
        let victim = (leader + 1) % 3;
        cluster.stop(victim);
        cluster.wipe(victim);
        cluster.start(victim);
        write_for(&mut cluster, Duration::from_millis(1_000));
        let fresh = cluster.member(victim, true).replica;
        let replica = cluster.machines[leader].replica.as_ref().unwrap();
        let members = replica.members();
        let voter = members.iter().any(|m| m.voter && m.replica == fresh);
        assert!(voter, "seed {seed}: {members:?}");
    }
}

/// Guards against a group that is too small to tolerate two simultaneous losses.
#[test]
fn two_wiped_disks_and_a_full_restart_lose_nothing_in_a_group_of_five() {
    assert_eq!(voters_to_tolerate(2), 5);
    for seed in 0..30 {
        let mut cluster = Cluster::with_voters(seed, voters_to_tolerate(2), 2);
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        write_for(&mut cluster, SECOND);
        let before = cluster.acknowledged.len();
        for index in 0..7 {
            cluster.stop(index);
        }
        let first = (seed % 5) as usize;
        let second = (first + 1 + (seed / 5 % 4) as usize) % 5;
        cluster.wipe(first);
        cluster.wipe(second);
        cluster.run(SECOND);
        for index in 0..7 {
            cluster.start(index);
        }
        // The oracle checks the serving leader against all acknowledged commands.
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        cluster.run(Duration::from_secs(5));
        assert!(cluster.acknowledged.len() >= before);
        assert_eq!(cluster.voters().len(), 5, "seed {seed}");
    }
}

#[test]
fn a_learner_in_the_zone_with_the_fewest_voters_is_preferred() {
    // Machines 0 to 6 are in zones 0, 1, 2, 0, 1, 2, 0; the voters are 0 to 4.
    let mut cluster = Cluster::with_voters(3, 5, 2);
    cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
    write_for(&mut cluster, SECOND);
    cluster.stop(2);
    write_for(&mut cluster, Duration::from_secs(5));
    let voters = cluster.voters();
    assert!(voters.contains(&"machine-5".to_string()), "{voters:?}");
    assert_eq!(voters.len(), 5);
}

#[test]
fn a_wiped_replica_does_not_vote_under_its_previous_id() {
    // One follower misses all writes and the other one loses its disk. If the wiped replica
    // kept its previous vote, the two could elect a leader without the acknowledged entries.
    for seed in 0..40 {
        let mut cluster = Cluster::new(seed, 0);
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        let leader = cluster.serving_leader.unwrap();
        let (other, behind) = ((leader + 1) % 3, (leader + 2) % 3);
        cluster.block_link(leader, behind);
        cluster.block_link(other, behind);
        cluster.block_link(behind, leader);
        cluster.block_link(behind, other);
        write_for(&mut cluster, SECOND);
        cluster.stop(leader);
        cluster.stop(other);
        cluster.wipe(other);
        cluster.heal();
        cluster.start(other);
        cluster.serving_leader = None;
        cluster.run(Duration::from_secs(4));
        assert!(
            cluster.serving_leader.is_none(),
            "a leader serves without the acknowledged entries"
        );
        cluster.start(leader);
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
    }
}

#[test]
fn a_partitioned_replica_does_not_depose_the_leader_on_return() {
    let mut cluster = Cluster::new(3, 0);
    cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
    let leader = cluster.serving_leader.unwrap();
    let partitioned = (leader + 1) % 3;
    for other in 0..3 {
        cluster.block_link(partitioned, other);
        cluster.block_link(other, partitioned);
    }
    cluster.run(Duration::from_secs(5));
    cluster.heal();
    cluster.run(SECOND);
    assert_eq!(cluster.serving_leader, Some(leader));
}

#[test]
fn a_leader_without_responses_steps_down() {
    // A one-way partition: the leader's messages arrive, the responses do not.
    let mut cluster = Cluster::new(4, 0);
    cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
    let leader = cluster.serving_leader.unwrap();
    for other in 0..3 {
        cluster.block_link(other, leader);
    }
    cluster.run(Duration::from_secs(2));
    let next = cluster.serving_leader.expect("another leader serves");
    assert_ne!(next, leader);
}

#[test]
fn leadership_is_transferred_to_the_preferred_voter() {
    for preferred in [1, 2] {
        let mut cluster = Cluster::new(5, 0);
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        write_for(&mut cluster, Duration::from_millis(200));
        let leader = cluster.serving_leader.unwrap();
        let next = (leader + preferred) % 3;
        let id = ReplicaId(cluster.member(next, true).replica);
        let now = cluster.now;
        let replica = cluster.machines[leader].replica.as_mut().unwrap();
        assert!(replica.transfer_leadership(now, Some(id)));
        assert!(!replica.can_serve(now), "no lease during a transfer");
        cluster.run(Duration::from_millis(60));
        assert_eq!(cluster.serving_leader, Some(next));
    }
}

#[test]
fn a_retiring_machine_is_replaced_by_a_spare_one() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 1);
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        // The spare machine has been there for as long as a new one counts as lost.
        write_for(&mut cluster, Duration::from_secs(8));
        let retiring = cluster.machines[(seed % 3) as usize].name.clone();
        cluster.retire(std::slice::from_ref(&retiring));
        for _ in 0..60 {
            write_for(&mut cluster, Duration::from_millis(100));
            cluster.retire(std::slice::from_ref(&retiring));
        }
        let voters = cluster.voters();
        assert_eq!(voters.len(), 3, "seed {seed}: {voters:?}");
        assert!(!voters.contains(&retiring), "seed {seed}: {voters:?}");
    }
}

#[test]
fn a_permanently_lost_voter_is_replaced() {
    let mut cluster = Cluster::new(9, 1);
    cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
    write_for(&mut cluster, SECOND);
    let leader = cluster.serving_leader.unwrap();
    let gone = (leader + 1) % 3;
    cluster.stop(gone);
    write_for(&mut cluster, Duration::from_secs(5));
    let voters = cluster.voters();
    assert_eq!(voters.len(), 3);
    assert!(!voters.contains(&cluster.machines[gone].name));
}

#[test]
fn a_new_replica_catches_up_from_a_trimmed_log() {
    let mut cluster = Cluster::new(11, 0);
    cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
    write_for(&mut cluster, SECOND);
    let leader = cluster.serving_leader.unwrap();
    let victim = (leader + 1) % 3;
    cluster.stop(victim);
    cluster.wipe(victim);
    // Trimmed commands stay in the state machine of the oracle.
    let replica = cluster.machines[leader].replica.as_mut().unwrap();
    let half = replica.commit_index() / 2;
    assert!(replica.trim(half));
    cluster.start(victim);
    cluster.run(Duration::from_secs(3));
    assert_eq!(cluster.voters().len(), 3);
    let replica = cluster.machines[victim].replica.as_ref().unwrap();
    assert_eq!(replica.log().base().index, half);
}

/// Random crashes, pauses, partitions and disk losses. At most one disk is lost before its
/// replacement has been promoted, as a group of three tolerates.
#[rstest]
#[case::reliable_network(0.0, 0.0)]
#[case::lossy_network(0.08, 0.0)]
#[case::crashes_before_syncs(0.02, 0.0004)]
fn random_faults_lose_nothing(#[case] loss: f64, #[case] crash: f64) {
    for seed in 0..12 {
        let mut cluster = Cluster::new(1_000 + seed, 1);
        cluster.message_loss = loss;
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        for _ in 0..14 {
            inject_fault(&mut cluster, crash);
        }
        cluster.crash_before_sync = 0.0;
        cluster.message_loss = 0.0;
        cluster.heal();
        for index in 0..cluster.machines.len() {
            cluster.start(index);
        }
        cluster.run_until_leader_serves(LEADER_TIME_LIMIT);
        write_for(&mut cluster, SECOND);
        cluster.run(SECOND);
        assert!(cluster.acknowledged.len() > 100, "seed {seed}");
    }
}

fn inject_fault(cluster: &mut Cluster, crash: f64) {
    let count = cluster.machines.len();
    let victim = cluster.random.random_range(0..count);
    let span = Duration::from_millis(cluster.random.random_range(50..3_000));
    cluster.crash_before_sync = crash;
    match cluster.random.random_range(0..8) {
        0 => cluster.stop(victim),
        1 => (0..count).for_each(|index| cluster.stop(index)),
        2 => cluster.pause(victim, span),
        3 => {
            for other in 0..count {
                cluster.block_link(victim, other);
            }
        }
        4 => {
            for other in 0..count {
                cluster.block_link(other, victim);
            }
        }
        5 => (0..count).for_each(|index| {
            if index % 2 == 0 {
                cluster.block_link(index, victim);
                cluster.block_link(victim, index);
            }
        }),
        6 => {
            let leader = cluster.serving_leader.unwrap_or(victim);
            cluster.stop(leader);
        }
        _ => {
            // Loses a disk only if the group can tolerate the loss at this time.
            if cluster.voters().len() == 3 {
                let survivors = (0..count).filter(|index| *index != victim);
                let all_running = survivors.clone().all(|index| {
                    let machine = &cluster.machines[index];
                    machine.replica.is_some()
                });
                if all_running {
                    cluster.stop(victim);
                    cluster.wipe(victim);
                }
            }
        }
    }
    write_for(cluster, span);
    cluster.crash_before_sync = 0.0;
    cluster.heal();
    for index in 0..count {
        cluster.start(index);
    }
    // Allows the group to replace a lost voter before the next disk is lost.
    write_for(cluster, Duration::from_secs(4));
}
