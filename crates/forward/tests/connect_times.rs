//! A connection is waited for as long as connections there usually take.

use peatgrade_forward::connect_times::ConnectTimes;
use peatgrade_types::Duration;

const TARGET: Duration = Duration::from_millis(400);

fn millis(span: Duration) -> u64 {
    span.as_millis()
}

#[test]
fn an_unknown_zone_gets_a_share_of_the_target() {
    let times = ConnectTimes::default();
    assert_eq!(millis(times.timeout("far", 0, TARGET)), 60);
    let usual = Duration::from_millis(160);
    assert_eq!(millis(times.timeout("far", 0, usual)), 40);
    let short = Duration::from_millis(20);
    assert_eq!(
        millis(times.timeout("far", 0, short)),
        30,
        "a turn at least"
    );
}

#[test]
fn a_far_zone_is_waited_for_longer_than_a_near_one() {
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
fn an_uneven_path_is_given_more_time_and_a_lost_packet_no_more_than_a_second() {
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
fn the_table_of_zones_is_bounded() {
    let mut times = ConnectTimes::default();
    for zone in 0..1_000 {
        times.record(&format!("z{zone}"), Duration::from_millis(5));
    }
    let known = (0..1_000).filter(|zone| times.mean(&format!("z{zone}")).is_some());
    assert_eq!(known.count(), 32);
}

/// The path to an engine has become slow: its connections are measured again in time.
#[test]
fn an_engine_that_did_not_connect_is_given_longer_each_time() {
    let mut times = ConnectTimes::default();
    for _ in 0..50 {
        times.record("z", Duration::from_millis(1));
    }
    let waits = (0..8).map(|before| millis(times.timeout("z", before, TARGET)));
    let waits: Vec<u64> = waits.collect();
    assert_eq!(waits, [30, 60, 120, 240, 480, 480, 480, 480]);
    times.record("z", Duration::from_millis(200));
    assert!(millis(times.timeout("z", 0, TARGET)) > 200);
}
