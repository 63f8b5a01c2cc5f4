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
        wait: Span::from_millis(1_250),
        pace: Duration::from_millis(1_250),
        page: Duration::from_millis(400),
    };
    let wait = timing.wait_after_list(Duration::from_millis(took_ms));
    assert_eq!(wait, Span::from_millis(wait_ms));
}

#[test]
fn a_short_wait_stays_as_short_as_it_is() {
    let timing = WatchTiming {
        wait: Span::from_millis(60),
        pace: Duration::ZERO,
        page: Duration::from_millis(400),
    };
    assert_eq!(
        timing.wait_after_list(Duration::ZERO),
        Span::from_millis(60)
    );
}
