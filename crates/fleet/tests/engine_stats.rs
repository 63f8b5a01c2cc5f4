//! What is concluded from the answers and events of one engine.

use peatgrade_fleet::EngineStats;
use peatgrade_types::{Duration, Time};
use rstest::rstest;

/// Lets `runs` generations make an event each `pace` milliseconds for `span`
/// milliseconds, read each `gather`; returns when it ends.
fn generate(
    experience: &mut EngineStats,
    from: Time,
    runs: u64,
    pace: u64,
    gather: u64,
    span: u64,
) -> Time {
    let mut last = vec![from; runs as usize];
    let mut made = vec![0; runs as usize];
    for millis in 1..=span {
        let now = from + Duration::from_millis(millis);
        for run in 0..runs {
            // Runs begin one after another, and so are their reads.
            if (millis + run * 7) % gather != 0 {
                continue;
            }
            let events = millis / pace;
            let fresh = events - made[run as usize];
            if fresh > 0 {
                let since = last[run as usize];
                experience.record_events(now, now.since(since), fresh as u32);
                made[run as usize] = events;
                last[run as usize] = now;
            }
        }
    }
    from + Duration::from_millis(span)
}

#[rstest]
#[case::each_event_is_read_by_itself(1)]
#[case::reads_bring_several(140)]
fn the_usual_pace_is_exact_however_events_are_read(#[case] gather: u64) {
    let mut experience = EngineStats::default();
    generate(&mut experience, Time(1_000_000), 7, 49, gather, 1_500);
    let pace = experience.event_interval_us().expect("events were seen") / 1_000.0;
    assert!((46.0..=52.0).contains(&pace), "{pace} ms");
}

#[test]
fn a_change_of_pace_shows_at_once_in_the_recent_one() {
    let mut experience = EngineStats::default();
    let now = generate(&mut experience, Time(1_000_000), 4, 40, 20, 2_000);
    let now = generate(&mut experience, now, 4, 140, 20, 500);
    let recent = experience
        .recent_event_interval_us(now)
        .expect("events were seen")
        / 1_000.0;
    let usual = experience.event_interval_us().expect("events were seen") / 1_000.0;
    assert!(recent >= 75.0, "{recent} ms");
    assert!(usual <= 65.0, "{usual} ms");
}

#[test]
fn nothing_is_known_of_the_recent_pace_after_a_silence() {
    let mut experience = EngineStats::default();
    let now = generate(&mut experience, Time(1_000_000), 1, 140, 20, 2_000);
    assert!(experience.recent_event_interval_us(now).is_some());
    let later = now + Duration::from_secs(5);
    assert_eq!(experience.recent_event_interval_us(later), None);
    assert!(experience.event_interval_us().is_some());
}
