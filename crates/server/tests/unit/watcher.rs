use super::*;
use rstest::rstest;

/// A list of 9,989 engines took 1.4 s, the watch after it waited for 1.25 s, and all gateways
/// watched the store themselves since what they were told was older than 2.75 s.
#[rstest]
#[case::short_list(20, 1_230)]
#[case::long_list(1_000, 250)]
#[case::longer_than_a_wait(1_400, 100)]
fn the_watch_after_a_long_list_proves_soon(#[case] took_ms: u64, #[case] wait_ms: u64) {
    let timing = WatchTiming {
        max_wait: Span::from_millis(1_250),
        min_interval: Duration::from_millis(1_250),
        page_timeout: Duration::from_millis(400),
    };
    let wait = timing.first_wait_after_list(Duration::from_millis(took_ms));
    assert_eq!(wait, Span::from_millis(wait_ms));
}

#[test]
fn a_short_wait_stays_as_short_as_it_is() {
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

/// With 9,989 engines a lost watch and the list after it took longer than the 2.75 s that
/// gateways wait for news: 835 of them read the list themselves, 23,655 calls on a day.
#[rstest]
#[case::short_lists(10, 1_240)]
#[case::long_lists(700, 550)]
#[case::very_long_lists(5_000, 416)]
fn the_longer_lists_take_the_shorter_is_a_watch(#[case] took_ms: u64, #[case] wait_ms: u64) {
    let timing = WatchTiming {
        max_wait: Span::from_millis(1_250),
        min_interval: Duration::from_millis(1_250),
        page_timeout: Duration::from_millis(400),
    };
    let beside = timing.adjusted_for_list_time(Duration::from_millis(took_ms));
    assert_eq!(beside.max_wait.as_millis(), wait_ms);
    assert_eq!(beside.min_interval.as_millis() as u64, wait_ms);
    assert_eq!(beside.page_timeout, timing.page_timeout);
}

#[test]
fn a_watch_without_a_pace_has_none_beside_long_lists() {
    let timing = WatchTiming {
        max_wait: Span::from_millis(1_250),
        min_interval: Duration::ZERO,
        page_timeout: Duration::from_millis(400),
    };
    let beside = timing.adjusted_for_list_time(Duration::from_millis(700));
    assert_eq!(beside.min_interval, Duration::ZERO);
}

/// A list that was short when the process began says nothing of one of thousands later.
#[test]
fn the_time_of_a_list_is_expected_by_what_is_known() {
    let mut list_time = ListTimeEstimate::default();
    list_time.observe(Duration::from_millis(20), 97);
    assert_eq!(list_time.estimate(10_000), Duration::from_millis(700));
    list_time.observe(Duration::from_millis(1_400), 10_000);
    assert_eq!(list_time.estimate(5_000), Duration::from_millis(700));
}
