//! Randomized simulations of usage reporting with message loss, leader changes and delayed
//! reports.

mod simulation;

use rstest::rstest;
use simulation::{Faults, Simulation};

const RUN_SECONDS: u64 = 90;

#[rstest]
fn without_faults_every_report_is_correct_and_on_time(#[values(1, 2, 3)] seed: u64) {
    let mut simulation = Simulation::new(seed, Faults::default());
    simulation.run(RUN_SECONDS);
    let outcome = simulation.evaluate();
    assert!(outcome.windows >= 12, "{outcome:?}");
    assert_eq!(outcome.missed, Vec::<u64>::new());
    assert_eq!(outcome.wrong, Vec::<u64>::new());
}

#[rstest]
fn lost_and_duplicated_messages_do_not_change_counts(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let faults = Faults {
        loss: 0.2,
        duplication: 0.1,
        ..Faults::default()
    };
    let mut simulation = Simulation::new(seed, faults);
    simulation.run(RUN_SECONDS);
    let outcome = simulation.evaluate();
    assert_eq!((outcome.missed, outcome.wrong), (Vec::new(), Vec::new()));
}

/// Guards against conflicting reports when leaders change while reports are in flight,
/// reports are processed out of order and responses are lost.
#[rstest]
fn reports_of_a_window_never_conflict(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
    #[values(true, false)] fences_checked: bool,
) {
    let faults = Faults {
        loss: 0.1,
        duplication: 0.05,
        mean_leader_seconds: 9.0,
        delayed_reports: 0.3,
        lost_responses: 0.3,
        fences_checked,
    };
    let mut simulation = Simulation::new(seed, faults);
    simulation.run(RUN_SECONDS);
    let outcome = simulation.evaluate();
    assert!(outcome.windows >= 12, "{outcome:?}");
    assert_eq!(outcome.conflicting, Vec::<u64>::new());
    assert_eq!(
        outcome.alternations, 0,
        "reporters alternated within a lease"
    );
    assert_eq!(
        outcome.stale_fences, 0,
        "reports with a token lower than one already seen"
    );
    assert!(outcome.reports_after_fencing <= 3, "{outcome:?}");
    assert!(outcome.missed.len() <= 2, "{outcome:?}");
    assert_eq!(outcome.wrong, Vec::<u64>::new());
}
