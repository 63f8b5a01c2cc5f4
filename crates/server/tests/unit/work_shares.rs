use super::*;

#[test]
fn time_is_accounted_by_kind_without_idle_time() {
    let mut times = WorkTimes::default();
    times.start_iteration(Time(100));
    times.record(WorkKind::Items, Time(130));
    times.record(WorkKind::Versions, Time(135));
    times.start_iteration(Time(1_000));
    times.record(WorkKind::Items, Time(1_007));
    let accounted: Vec<(&str, u64)> = times.metrics().filter(|(_, us)| *us > 0).collect();
    assert_eq!(accounted, [("work_versions_us", 5), ("work_items_us", 37)]);
}

#[test]
fn shares_are_returned_every_five_seconds() {
    let mut times = WorkTimes::default();
    times.start_iteration(Time(6_000_000));
    times.record(WorkKind::Items, Time(8_000_000));
    let shares = times.take_shares(Time(10_000_000)).unwrap();
    assert_eq!(shares[WorkKind::Items as usize], (WorkKind::Items, 200));
    assert_eq!(times.take_shares(Time(14_999_999)), None);
    times.record(WorkKind::Items, Time(9_000_000));
    let shares = times.take_shares(Time(15_000_000)).unwrap();
    assert_eq!(shares[WorkKind::Items as usize].1, 200);
}
