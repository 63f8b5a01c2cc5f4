//! Gateways, leaders that change, a log and a platform, by seed: messages are lost, late
//! and doubled, gateways are killed, calls are done seconds later.

mod world;

use rstest::rstest;
use world::{Faults, World};

const SECONDS: u64 = 90;

#[rstest]
fn without_faults_each_window_is_reported_once_in_time_and_right(#[values(1, 2, 3)] seed: u64) {
    let mut world = World::new(seed, Faults::default());
    world.play(SECONDS);
    let judged = world.judge();
    assert!(judged.windows >= 12, "{judged:?}");
    assert_eq!(judged.missed, Vec::<u64>::new());
    assert_eq!(judged.wrong, Vec::<u64>::new());
}

#[rstest]
fn lost_and_doubled_messages_change_no_count(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let faults = Faults {
        loss: 0.2,
        doubled: 0.1,
        ..Faults::default()
    };
    let mut world = World::new(seed, faults);
    world.play(SECONDS);
    let judged = world.judge();
    assert_eq!((judged.missed, judged.wrong), (Vec::new(), Vec::new()));
}

/// Leaders change every few seconds, also while a report is on its way; reports are done
/// late, behind newer ones, and their answers are lost.
#[rstest]
fn a_window_never_has_two_reports_that_differ(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
    #[values(true, false)] fences_checked: bool,
) {
    let faults = Faults {
        loss: 0.1,
        doubled: 0.05,
        leader_every: 9.0,
        late_calls: 0.3,
        lost_answers: 0.3,
        fences_checked,
    };
    let mut world = World::new(seed, faults);
    world.play(SECONDS);
    let judged = world.judge();
    assert!(judged.windows >= 12, "{judged:?}");
    assert_eq!(judged.differing, Vec::<u64>::new());
    assert_eq!(
        judged.took_turns, 0,
        "holders acted in turns within a lease"
    );
    assert_eq!(
        judged.lower_fences, 0,
        "calls with a token lower than one that was seen"
    );
    assert!(judged.calls_after_refusal <= 3, "{judged:?}");
    assert!(judged.missed.len() <= 2, "{judged:?}");
    assert_eq!(judged.wrong, Vec::<u64>::new());
}
