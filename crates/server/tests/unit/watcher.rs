use super::*;
use rstest::rstest;

/// Guards against subscribers falling back to the store because a long list and the watch
/// after it exceed the staleness limit.
#[rstest]
#[case::short_list(20, 1_230)]
#[case::long_list(1_000, 250)]
#[case::longer_than_a_wait(1_400, 100)]
fn watch_after_a_long_list_is_shorter(#[case] took_ms: u64, #[case] wait_ms: u64) {
    let timing = WatchTiming {
        max_wait: Span::from_millis(1_250),
        min_interval: Duration::from_millis(1_250),
        page_timeout: Duration::from_millis(400),
    };
    let wait = timing.first_wait_after_list(Duration::from_millis(took_ms));
    assert_eq!(wait, Span::from_millis(wait_ms));
}

#[test]
fn short_wait_is_unchanged_after_a_list() {
    let timing = WatchTiming {
        max_wait: Span::from_millis(60),
        min_interval: Duration::ZERO,
        page_timeout: Duration::from_millis(400),
    };
    assert_eq!(
        timing.first_wait_after_list(Duration::ZERO),
        Span::from_millis(60)
    );
}

/// Guards against subscribers falling back to the store because detecting a lost watch and
/// listing again exceed the staleness limit.
#[rstest]
#[case::short_lists(10, 1_240)]
#[case::long_lists(700, 550)]
#[case::very_long_lists(5_000, 416)]
fn watches_are_shorter_the_longer_lists_take(#[case] took_ms: u64, #[case] wait_ms: u64) {
    let timing = WatchTiming {
        max_wait: Span::from_millis(1_250),
        min_interval: Duration::from_millis(1_250),
        page_timeout: Duration::from_millis(400),
    };
    let adjusted = timing.adjusted_for_list_time(Duration::from_millis(took_ms));
    assert_eq!(adjusted.max_wait.as_millis(), wait_ms);
    assert_eq!(adjusted.min_interval.as_millis() as u64, wait_ms);
    assert_eq!(adjusted.page_timeout, timing.page_timeout);
}

#[test]
fn zero_min_interval_stays_zero_with_long_lists() {
    let timing = WatchTiming {
        max_wait: Span::from_millis(1_250),
        min_interval: Duration::ZERO,
        page_timeout: Duration::from_millis(400),
    };
    let adjusted = timing.adjusted_for_list_time(Duration::from_millis(700));
    assert_eq!(adjusted.min_interval, Duration::ZERO);
}

/// The duration of a short list must not be used as is for a much longer one.
#[test]
fn expected_list_time_scales_with_the_object_count() {
    let mut list_time_estimate = ListTimeEstimate::default();
    list_time_estimate.observe(Duration::from_millis(20), 97);
    assert_eq!(
        list_time_estimate.estimate(10_000),
        Duration::from_millis(700)
    );
    list_time_estimate.observe(Duration::from_millis(1_400), 10_000);
    assert_eq!(
        list_time_estimate.estimate(5_000),
        Duration::from_millis(700)
    );
}
