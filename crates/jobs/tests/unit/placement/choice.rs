//! Where a text goes, by when it would end there.

use super::*;
use rstest::rstest;

const FAST: f64 = 29_000.0;
const USUAL: f64 = 46_000.0;
const SLOW: f64 = 72_000.0;

fn pace(us_per_event: f64) -> Pace {
    Pace {
        us_per_event,
        running: 2,
        slots: 6,
    }
}

/// A text of which `events` are expected, and three seconds until its job ends anyway.
fn text(events: f64) -> TextForecast {
    TextForecast {
        mean_events: events,
        upper_events: 2.0 * events,
        us_until_job_end: 3e6,
    }
}

#[rstest]
#[case::long_takes_a_fast_place(text(80.0), true, FAST)]
#[case::short_leaves_it(text(10.0), true, USUAL)]
#[case::short_takes_it_while_there_are_many(text(10.0), false, FAST)]
#[case::uncertain_takes_it(text(40.0), true, FAST)]
fn fast_places_are_kept_for_texts_that_may_be_last(
    #[case] text: TextForecast,
    #[case] is_scarce: bool,
    #[case] chosen: f64,
) {
    let engines = [SLOW, FAST, USUAL];
    let rank =
        |us_per_event: f64| text.rank(pace(us_per_event), is_scarce && us_per_event == FAST, false);
    let best = engines
        .into_iter()
        .min_by(|a, b| rank(*a).total_cmp(&rank(*b)));
    assert_eq!(best, Some(chosen));
}

#[rstest]
#[case::among_alike(USUAL * 1.05, true)]
#[case::not_on_one_that_is_slower(SLOW, false)]
fn a_kept_prompt_decides_among_engines_that_are_alike(#[case] keeper: f64, #[case] wins: bool) {
    let text = text(60.0);
    let with = text.rank(pace(keeper), false, true);
    let without = text.rank(pace(USUAL), false, false);
    assert_eq!(with.total_cmp(&without).is_lt(), wins);
}

#[test]
fn a_text_that_ends_in_time_need_not_move() {
    assert!(!text(10.0).may_finish_last(pace(SLOW)));
    assert!(text(30.0).may_finish_last(pace(SLOW)));
}

#[test]
fn ways_have_names() {
    let ways = ItemPlacement::NAMES.map(|name| ItemPlacement::from_name(name).is_some());
    assert_eq!(ways, [true; 4]);
    assert_eq!(ItemPlacement::from_name("fastest"), None);
}

#[rstest]
#[case::engines_of_three_speeds(FAST, USUAL, true)]
#[case::median_among_a_slow_third(39_000.0, 50_000.0, false)]
#[case::engines_alike(43_000.0, 44_000.0, false)]
fn a_service_is_uneven_if_some_engines_are_far_faster(
    #[case] fifth: f64,
    #[case] median: f64,
    #[case] uneven: bool,
) {
    assert_eq!(is_heterogeneous(fifth, median), uneven);
}
