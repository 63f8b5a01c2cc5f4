//! Ranks of engines by the expected end of a text.

use super::*;
use rstest::rstest;

const FAST: f64 = 29_000.0;
const MEDIAN: f64 = 46_000.0;
const SLOW: f64 = 72_000.0;

fn pace(us_per_event: f64) -> Pace {
    Pace {
        us_per_event,
        running: 2,
        slots: 6,
    }
}

/// A text with `events` expected events whose job ends in three seconds.
fn text(events: f64) -> TextForecast {
    TextForecast {
        mean_events: events,
        upper_events: 2.0 * events,
        us_until_job_end: 3e6,
    }
}

#[rstest]
#[case::long_text_takes_a_fast_slot(text(80.0), true, FAST)]
#[case::short_text_leaves_it(text(10.0), true, MEDIAN)]
#[case::short_text_takes_it_if_not_scarce(text(10.0), false, FAST)]
#[case::text_that_may_be_late_takes_it(text(40.0), true, FAST)]
fn scarce_fast_slots_are_reserved_for_texts_that_may_finish_last(
    #[case] text: TextForecast,
    #[case] is_scarce: bool,
    #[case] chosen: f64,
) {
    let engines = [SLOW, FAST, MEDIAN];
    let rank =
        |us_per_event: f64| text.rank(pace(us_per_event), is_scarce && us_per_event == FAST, false);
    let best = engines
        .into_iter()
        .min_by(|a, b| rank(*a).total_cmp(&rank(*b)));
    assert_eq!(best, Some(chosen));
}

#[rstest]
#[case::similar_pace(MEDIAN * 1.05, true)]
#[case::slower_engine(SLOW, false)]
fn cached_prompt_decides_among_similar_engines(
    #[case] us_per_event: f64,
    #[case] is_preferred: bool,
) {
    let text = text(60.0);
    let with = text.rank(pace(us_per_event), false, true);
    let without = text.rank(pace(MEDIAN), false, false);
    assert_eq!(with.total_cmp(&without).is_lt(), is_preferred);
}

#[test]
fn text_that_ends_in_time_cannot_finish_last() {
    assert!(!text(10.0).may_finish_last(pace(SLOW)));
    assert!(text(30.0).may_finish_last(pace(SLOW)));
}

#[test]
fn every_policy_name_is_recognized() {
    let known = ItemPlacement::NAMES.map(|name| ItemPlacement::from_name(name).is_some());
    assert_eq!(known, [true; 4]);
    assert_eq!(ItemPlacement::from_name("fastest"), None);
}

#[rstest]
#[case::three_speeds(FAST, MEDIAN, true)]
#[case::slow_third(39_000.0, 50_000.0, false)]
#[case::similar_engines(43_000.0, 44_000.0, false)]
fn service_is_heterogeneous_if_a_fifth_is_far_faster(
    #[case] quintile: f64,
    #[case] median: f64,
    #[case] expected: bool,
) {
    assert_eq!(is_heterogeneous(quintile, median), expected);
}
