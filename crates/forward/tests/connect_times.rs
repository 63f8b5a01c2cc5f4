//! Connect timeouts derived from measured connect times.

use peatgrade_forward::connect_times::ConnectTimes;
use peatgrade_types::Duration;

const TARGET: Duration = Duration::from_millis(400);

fn millis(duration: Duration) -> u64 {
    duration.as_millis()
}

#[test]
fn an_unmeasured_zone_gets_a_fraction_of_the_target_latency() {
    let times = ConnectTimes::default();
    assert_eq!(millis(times.timeout("far", 0, TARGET)), 60);
    let medium = Duration::from_millis(160);
    assert_eq!(millis(times.timeout("far", 0, medium)), 40);
    let short = Duration::from_millis(20);
    assert_eq!(
        millis(times.timeout("far", 0, short)),
        30,
        "minimum timeout"
    );
}

#[test]
fn a_distant_zone_gets_a_longer_timeout() {
    let mut times = ConnectTimes::default();
    for _ in 0..50 {
        times.record("near", Duration::from_millis(1));
        times.record("far", Duration::from_millis(90));
    }
    assert_eq!(millis(times.timeout("near", 0, TARGET)), 30);
    let far = millis(times.timeout("far", 0, TARGET));
    assert!((90..110).contains(&far), "{far}");
    assert_eq!(times.mean("far").map(millis), Some(90));
}

#[test]
fn jitter_raises_the_timeout_up_to_one_second() {
    let mut times = ConnectTimes::default();
    for round in 0..100 {
        let took = if round % 2 == 0 { 10 } else { 60 };
        times.record("far", Duration::from_millis(took));
    }
    assert!(millis(times.timeout("far", 0, TARGET)) > 100);
    for _ in 0..100 {
        times.record("far", Duration::from_secs(3));
    }
    assert_eq!(millis(times.timeout("far", 0, TARGET)), 1_000);
}

#[test]
fn the_number_of_tracked_zones_is_bounded() {
    let mut times = ConnectTimes::default();
    for zone in 0..1_000 {
        times.record(&format!("z{zone}"), Duration::from_millis(5));
    }
    let known = (0..1_000).filter(|zone| times.mean(&format!("z{zone}")).is_some());
    assert_eq!(known.count(), 32);
}

/// An engine whose path has become slow must be measured again eventually.
#[test]
fn the_timeout_doubles_after_each_failed_connection() {
    let mut times = ConnectTimes::default();
    for _ in 0..50 {
        times.record("z", Duration::from_millis(1));
    }
    let timeouts = (0..8).map(|failures| millis(times.timeout("z", failures, TARGET)));
    let timeouts: Vec<u64> = timeouts.collect();
    assert_eq!(timeouts, [30, 60, 120, 240, 480, 480, 480, 480]);
    times.record("z", Duration::from_millis(200));
    assert!(millis(times.timeout("z", 0, TARGET)) > 200);
}
