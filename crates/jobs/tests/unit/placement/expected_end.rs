//! Which moves are worthwhile.

use super::*;
use rstest::rstest;

fn pace(millis: f64, running: u32) -> Pace {
    Pace {
        us_per_event: millis * 1_000.0,
        running,
        slots: 6,
    }
}

#[rstest]
#[case::long_text_to_a_fast_engine(60.0, pace(46.0, 3), pace(29.0, 3), true)]
#[case::nearly_complete_text_to_a_fast_engine(5.0, pace(46.0, 3), pace(29.0, 3), false)]
#[case::from_a_slow_engine(10.0, pace(160.0, 3), pace(46.0, 3), true)]
#[case::last_event_from_a_slow_engine(1.0, pace(160.0, 3), pace(46.0, 3), false)]
#[case::similar_within_the_pace_error(200.0, pace(46.0, 3), pace(41.0, 3), false)]
#[case::to_a_slower_engine(200.0, pace(29.0, 3), pace(46.0, 0), false)]
fn move_must_gain_more_than_it_costs(
    #[case] remaining_events: f64,
    #[case] here: Pace,
    #[case] there: Pace,
    #[case] is_worthwhile: bool,
) {
    let estimate = MoveEstimate::new(remaining_events, here, there);
    assert_eq!(estimate.is_worthwhile(), is_worthwhile, "{estimate:?}");
}

#[test]
fn move_cost_includes_reconnect_prefill_risk_and_first_event() {
    let estimate = MoveEstimate::new(50.0, pace(46.0, 1), pace(29.0, 0));
    let first_event = pace(29.0, 0).with_additional_run();
    assert_eq!(estimate.cost_us, 56_000.0 + first_event);
}

#[test]
fn additional_run_slows_all_runs() {
    let idle = pace(40.0, 0).with_additional_run();
    let nearly_full = pace(40.0, 5).with_additional_run();
    assert!(idle > 40_000.0 && idle < 41_000.0, "{idle}");
    assert!(
        nearly_full > 44_000.0 && nearly_full < 45_000.0,
        "{nearly_full}"
    );
}
