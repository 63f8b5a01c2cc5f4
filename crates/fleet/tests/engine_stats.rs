//! Event intervals measured from the generations of one engine.

use peatgrade_fleet::EngineStats;
use peatgrade_types::{Duration, Time};
use rstest::rstest;

/// Simulates `runs` generations that produce an event every `interval_ms` and are read every
/// `read_interval_ms`, and returns the end time.
fn generate(
    stats: &mut EngineStats,
    from: Time,
    runs: u64,
    interval_ms: u64,
    read_interval_ms: u64,
    duration_ms: u64,
) -> Time {
    let mut last = vec![from; runs as usize];
    let mut produced = vec![0; runs as usize];
    for millis in 1..=duration_ms {
        let now = from + Duration::from_millis(millis);
        for run in 0..runs {
            // Reads of different runs are staggered.
            if (millis + run * 7) % read_interval_ms != 0 {
                continue;
            }
            let events = millis / interval_ms;
            let unread = events - produced[run as usize];
            if unread > 0 {
                let since = last[run as usize];
                stats.record_events(now, now.since(since), unread as u32);
                produced[run as usize] = events;
                last[run as usize] = now;
            }
        }
    }
    from + Duration::from_millis(duration_ms)
}

#[rstest]
#[case::single_events(1)]
#[case::batches(140)]
fn event_interval_does_not_depend_on_read_batches(#[case] read_interval_ms: u64) {
    let mut stats = EngineStats::default();
    generate(&mut stats, Time(1_000_000), 7, 49, read_interval_ms, 1_500);
    let interval_ms = stats.event_interval_us().expect("events were recorded") / 1_000.0;
    assert!((46.0..=52.0).contains(&interval_ms), "{interval_ms} ms");
}

#[test]
fn recent_event_interval_follows_changes_quickly() {
    let mut stats = EngineStats::default();
    let now = generate(&mut stats, Time(1_000_000), 4, 40, 20, 2_000);
    let now = generate(&mut stats, now, 4, 140, 20, 500);
    let recent = stats
        .recent_event_interval_us(now)
        .expect("events were recorded")
        / 1_000.0;
    let long_term = stats.event_interval_us().expect("events were recorded") / 1_000.0;
    assert!(recent >= 75.0, "{recent} ms");
    assert!(long_term <= 65.0, "{long_term} ms");
}

#[test]
fn recent_event_interval_expires() {
    let mut stats = EngineStats::default();
    let now = generate(&mut stats, Time(1_000_000), 1, 140, 20, 2_000);
    assert!(stats.recent_event_interval_us(now).is_some());
    let later = now + Duration::from_secs(5);
    assert_eq!(stats.recent_event_interval_us(later), None);
    assert!(stats.event_interval_us().is_some());
}
