//! A gateway's news of the store, whatever becomes of those it takes them from.
//!
//! A store whose engines change each 100 ms, three publishers that follow it, and one
//! subscriber, on a virtual clock of 5 ms.

mod world;

use rstest::rstest;
use world::{Fault, World, BOUND_MS};

/// Longest time from a change to the subscriber, without trouble: publishers take
/// changes of a quarter of the bound together.
const USUAL_MS: u64 = BOUND_MS / 4 + 50;

#[test]
fn news_arrive_without_a_call_to_the_store() {
    let mut world = World::new();
    world.run_for(10_000);
    assert!(
        world.longest_delay() <= USUAL_MS,
        "{} ms",
        world.longest_delay()
    );
    assert_eq!(world.own_lists(), 0);
    assert!(world.has_newest());
}

/// One publisher fails in each way; the subscriber's own path to the store is sound, so
/// it must know of each change within the bound.
#[rstest]
#[case::dies(Fault::Dead)]
#[case::freezes(Fault::Frozen)]
#[case::loses_the_store_without_a_sign(Fault::StoreSilent)]
#[case::is_cut_off_from_the_subscriber(Fault::CutFromSubscriber)]
#[case::answers_late(Fault::Slow)]
#[case::loses_half_of_its_answers(Fault::LosesAnswers)]
#[case::its_connections_are_dead(Fault::ConnectionsSilent)]
fn one_publisher_that_fails_delays_news_by_less_than_the_bound(#[case] fault: Fault) {
    let mut world = World::new();
    world.run_for(2_000);
    let publisher = world.asked_last();
    world.set(publisher, fault);
    world.run_for(8_000);
    assert!(
        world.longest_delay() < BOUND_MS,
        "{} ms",
        world.longest_delay()
    );
    assert_eq!(world.own_lists(), 0, "the others publish");
    world.set(publisher, Fault::None);
    world.run_for(4_000);
    assert!(world.has_newest());
    assert!(!world.went_back());
}

/// All of them fail together, and come back.
#[rstest]
#[case::die(Fault::Dead)]
#[case::freeze(Fault::Frozen)]
#[case::lose_the_store_without_a_sign(Fault::StoreSilent)]
#[case::are_cut_off_from_the_subscriber(Fault::CutFromSubscriber)]
#[case::their_connections_are_dead(Fault::ConnectionsSilent)]
fn without_any_publisher_the_subscriber_watches_the_store_in_time(#[case] fault: Fault) {
    let mut world = World::new();
    world.run_for(2_000);
    world.set_all(fault);
    world.run_for(8_000);
    assert!(
        world.longest_delay() < BOUND_MS,
        "{} ms",
        world.longest_delay()
    );
    world.set_all(Fault::None);
    world.run_for(4_000);
    let lists = world.own_lists();
    world.run_for(4_000);
    assert_eq!(world.own_lists(), lists, "publishers are heard again");
    assert!(world.has_newest());
    assert!(!world.went_back());
}

/// A publisher that comes back with an old state must not be believed: its age tells,
/// and what is older than what is known is left out.
#[test]
fn a_publisher_that_comes_back_old_takes_nothing_back() {
    let mut world = World::new();
    world.run_for(2_000);
    let publisher = world.asked_last();
    world.set(publisher, Fault::Frozen);
    world.run_for(6_000);
    // It goes on with the store still silent for it.
    world.set(publisher, Fault::StoreSilent);
    world.run_for(6_000);
    assert!(
        world.longest_delay() < BOUND_MS,
        "{} ms",
        world.longest_delay()
    );
    assert!(!world.went_back());
}

/// The store is away for all of them: nobody can know, and the subscriber does not keep
/// asking at a pace that only costs. Once it is back, it hears from the publishers.
#[test]
fn a_store_that_is_away_is_tried_and_its_return_is_heard() {
    let mut world = World::new();
    world.run_for(2_000);
    world.set_all(Fault::StoreSilent);
    world.cut_subscriber_from_store(true);
    world.run_for(10_000);
    world.cut_subscriber_from_store(false);
    world.set_all(Fault::None);
    world.run_for(3_000);
    assert!(world.has_newest());
    assert!(!world.watches_store());
}

/// Faults come in series and overlap.
#[rstest]
fn random_series_of_faults_keep_the_bound_and_never_go_back(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)] seed: u64,
) {
    let mut world = World::with_seed(seed);
    world.run_for(2_000);
    for _ in 0..30 {
        world.random_fault();
        world.run_for(700);
    }
    world.set_all(Fault::None);
    world.run_for(4_000);
    assert!(
        world.longest_delay() < BOUND_MS,
        "{} ms",
        world.longest_delay()
    );
    assert!(!world.went_back());
    assert!(world.has_newest());
}

/// Members change: the subscriber follows them, and the leader is asked last.
#[test]
fn new_members_are_followed_and_the_leader_is_spared() {
    let mut world = World::new();
    world.lead(0);
    world.run_for(3_000);
    assert_ne!(world.asked_last(), 0);
    world.replace_members(&[0, 3, 4]);
    world.run_for(3_000);
    assert!([3, 4].contains(&world.asked_last()));
    world.set(3, Fault::Dead);
    world.set(4, Fault::Dead);
    // Those that are gone are tried ever more rarely.
    world.run_for(12_000);
    assert_eq!(world.asked_last(), 0, "nobody else is left");
    assert!(world.has_newest());
    assert!(world.longest_delay() < BOUND_MS);
}

/// After a long cut the publishers are heard again soon, however often they were silent.
#[test]
fn after_a_long_cut_publishers_are_heard_again_within_two_seconds() {
    let mut world = World::new();
    world.run_for(2_000);
    world.set_all(Fault::CutFromSubscriber);
    world.run_for(60_000);
    assert!(world.watches_store());
    world.set_all(Fault::None);
    world.run_for(2_000);
    assert!(!world.watches_store());
}

/// All machines start together, after a loss of power: callers are refused until the
/// subscriber knows something, so it must not wait for one publisher that is not there.
#[test]
fn who_starts_hears_the_first_publisher_that_is_there_soon() {
    let mut world = World::new();
    world.set_all(Fault::Dead);
    world.run_for(300);
    world.set(1, Fault::None);
    world.run_for(500);
    assert!(world.knows_something());
    assert_eq!(world.own_lists(), 0);
}

/// None of them comes: it watches the store sooner than one that knows something.
#[test]
fn who_starts_and_hears_nobody_watches_the_store_soon() {
    let mut world = World::new();
    world.set_all(Fault::Dead);
    world.run_for(BOUND_MS * 3 / 10);
    assert!(world.knows_something());
    assert_eq!(world.own_lists(), 1);
}
