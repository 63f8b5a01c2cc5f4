//! How current a subscriber stays while its publishers fail in various ways.

mod simulation;

use rstest::rstest;
use simulation::{Fault, Simulation, BOUND_MS};

/// Maximum delay of a change without faults: a publisher's watch returns the changes of a
/// quarter of the bound together.
const MAX_NORMAL_DELAY_MS: u64 = BOUND_MS / 4 + 50;

#[test]
fn updates_arrive_without_store_calls() {
    let mut simulation = Simulation::new();
    simulation.run_for(10_000);
    assert!(
        simulation.max_delay() <= MAX_NORMAL_DELAY_MS,
        "{} ms",
        simulation.max_delay()
    );
    assert_eq!(simulation.direct_lists(), 0);
    assert!(simulation.is_up_to_date());
}

/// Guards against one faulty publisher delaying updates beyond the bound.
#[rstest]
#[case::crashed(Fault::Crashed)]
#[case::paused(Fault::Paused)]
#[case::store_watch_hangs(Fault::StoreWatchHangs)]
#[case::partitioned_from_the_subscriber(Fault::Partitioned)]
#[case::slow_replies(Fault::SlowReplies)]
#[case::drops_half_of_its_replies(Fault::DropsReplies)]
#[case::stale_connections(Fault::StaleConnections)]
fn a_failed_publisher_delays_updates_by_less_than_the_bound(#[case] fault: Fault) {
    let mut simulation = Simulation::new();
    simulation.run_for(2_000);
    let publisher = simulation.last_asked();
    simulation.set_fault(publisher, fault);
    simulation.run_for(8_000);
    assert!(
        simulation.max_delay() < BOUND_MS,
        "{} ms",
        simulation.max_delay()
    );
    assert_eq!(
        simulation.direct_lists(),
        0,
        "the other publishers serve it"
    );
    simulation.set_fault(publisher, Fault::None);
    simulation.run_for(4_000);
    assert!(simulation.is_up_to_date());
    assert!(!simulation.has_reverted());
}

/// Guards against a subscriber that stays stale while all publishers fail, or keeps watching
/// the store after they recover.
#[rstest]
#[case::crashed(Fault::Crashed)]
#[case::paused(Fault::Paused)]
#[case::store_watch_hangs(Fault::StoreWatchHangs)]
#[case::partitioned_from_the_subscriber(Fault::Partitioned)]
#[case::stale_connections(Fault::StaleConnections)]
fn a_subscriber_without_publishers_watches_the_store_within_the_bound(#[case] fault: Fault) {
    let mut simulation = Simulation::new();
    simulation.run_for(2_000);
    simulation.set_all_faults(fault);
    simulation.run_for(8_000);
    assert!(
        simulation.max_delay() < BOUND_MS,
        "{} ms",
        simulation.max_delay()
    );
    simulation.set_all_faults(Fault::None);
    simulation.run_for(4_000);
    let direct_lists = simulation.direct_lists();
    simulation.run_for(4_000);
    assert_eq!(
        simulation.direct_lists(),
        direct_lists,
        "publishers are used again"
    );
    assert!(simulation.is_up_to_date());
    assert!(!simulation.has_reverted());
}

/// Guards against reverting to the old state of a publisher that was paused.
#[test]
fn a_stale_publisher_does_not_revert_the_subscriber() {
    let mut simulation = Simulation::new();
    simulation.run_for(2_000);
    let publisher = simulation.last_asked();
    simulation.set_fault(publisher, Fault::Paused);
    simulation.run_for(6_000);
    // The publisher resumes, but its store watch hangs.
    simulation.set_fault(publisher, Fault::StoreWatchHangs);
    simulation.run_for(6_000);
    assert!(
        simulation.max_delay() < BOUND_MS,
        "{} ms",
        simulation.max_delay()
    );
    assert!(!simulation.has_reverted());
}

/// Guards against a subscriber that keeps watching the store, or stays stale, after an outage
/// of the store for all machines.
#[test]
fn a_subscriber_recovers_from_a_store_outage() {
    let mut simulation = Simulation::new();
    simulation.run_for(2_000);
    simulation.set_all_faults(Fault::StoreWatchHangs);
    simulation.set_store_partition(true);
    simulation.run_for(10_000);
    simulation.set_store_partition(false);
    simulation.set_all_faults(Fault::None);
    simulation.run_for(3_000);
    assert!(simulation.is_up_to_date());
    assert!(!simulation.watches_store());
}

/// Guards against combinations of overlapping faults.
#[rstest]
fn random_faults_neither_exceed_the_bound_nor_revert_state(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
) {
    let mut simulation = Simulation::with_seed(seed);
    simulation.run_for(2_000);
    for _ in 0..30 {
        simulation.random_fault();
        simulation.run_for(700);
    }
    simulation.set_all_faults(Fault::None);
    simulation.run_for(4_000);
    assert!(
        simulation.max_delay() < BOUND_MS,
        "{} ms",
        simulation.max_delay()
    );
    assert!(!simulation.has_reverted());
    assert!(simulation.is_up_to_date());
}

#[test]
fn member_changes_are_followed_and_the_leader_is_asked_last() {
    let mut simulation = Simulation::new();
    simulation.set_leader(0);
    simulation.run_for(3_000);
    assert_ne!(simulation.last_asked(), 0);
    simulation.replace_members(&[0, 3, 4]);
    simulation.run_for(3_000);
    assert!([3, 4].contains(&simulation.last_asked()));
    simulation.set_fault(3, Fault::Crashed);
    simulation.set_fault(4, Fault::Crashed);
    // The backoff of crashed publishers grows.
    simulation.run_for(12_000);
    assert_eq!(simulation.last_asked(), 0, "only the leader is left");
    assert!(simulation.is_up_to_date());
    assert!(simulation.max_delay() < BOUND_MS);
}

/// Guards against a backoff that grew during a partition and outlasts it.
#[test]
fn publishers_are_used_again_within_two_seconds_of_a_long_partition() {
    let mut simulation = Simulation::new();
    simulation.run_for(2_000);
    simulation.set_all_faults(Fault::Partitioned);
    simulation.run_for(60_000);
    assert!(simulation.watches_store());
    simulation.set_all_faults(Fault::None);
    simulation.run_for(2_000);
    assert!(!simulation.watches_store());
}

/// Guards against a slow start when all machines start together: callers are refused until
/// the subscriber has data.
#[test]
fn a_starting_subscriber_finds_the_first_available_publisher() {
    let mut simulation = Simulation::new();
    simulation.set_all_faults(Fault::Crashed);
    simulation.run_for(300);
    simulation.set_fault(1, Fault::None);
    simulation.run_for(500);
    assert!(simulation.has_data());
    assert_eq!(simulation.direct_lists(), 0);
}

/// Guards against a starting subscriber that waits as long as one that has data.
#[test]
fn a_starting_subscriber_without_publishers_watches_the_store_early() {
    let mut simulation = Simulation::new();
    simulation.set_all_faults(Fault::Crashed);
    simulation.run_for(BOUND_MS * 3 / 10);
    assert!(simulation.has_data());
    assert_eq!(simulation.direct_lists(), 1);
}
