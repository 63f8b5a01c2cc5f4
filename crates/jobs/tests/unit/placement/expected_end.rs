//! Which moves pay.

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
#[case::long_text_from_a_usual_to_a_fast_engine(60.0, pace(46.0, 3), pace(29.0, 3), true)]
#[case::the_same_nearly_at_its_end(5.0, pace(46.0, 3), pace(29.0, 3), false)]
#[case::from_an_engine_that_turned_slow(10.0, pace(160.0, 3), pace(46.0, 3), true)]
#[case::its_last_event(1.0, pace(160.0, 3), pace(46.0, 3), false)]
#[case::engines_alike_within_their_error(200.0, pace(46.0, 3), pace(41.0, 3), false)]
#[case::to_a_slower_one(200.0, pace(29.0, 3), pace(46.0, 0), false)]
fn a_move_must_gain_more_than_it_costs(
    #[case] remaining: f64,
    #[case] here: Pace,
    #[case] there: Pace,
    #[case] pays: bool,
) {
    let estimate = MoveEstimate::new(remaining, here, there);
    assert_eq!(estimate.is_worthwhile(), pays, "{estimate:?}");
}

#[test]
fn the_price_is_the_way_there_its_risk_and_the_first_event() {
    let estimate = MoveEstimate::new(50.0, pace(46.0, 1), pace(29.0, 0));
    let first_event = pace(29.0, 0).with_additional_run();
    assert_eq!(estimate.cost_us, 56_000.0 + first_event);
}

#[test]
fn one_run_more_slows_all_a_little() {
    let idle = pace(40.0, 0).with_additional_run();
    let nearly_full = pace(40.0, 5).with_additional_run();
    assert!(idle > 40_000.0 && idle < 41_000.0, "{idle}");
    assert!(
        nearly_full > 44_000.0 && nearly_full < 45_000.0,
        "{nearly_full}"
    );
}
