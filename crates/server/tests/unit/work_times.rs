use super::*;

#[test]
fn time_is_counted_by_kind_and_pauses_are_left_out() {
    let mut shares = WorkTimes::default();
    shares.start_turn(Time(100));
    shares.record(WorkKind::Items, Time(130));
    shares.record(WorkKind::Versions, Time(135));
    shares.start_turn(Time(1_000));
    shares.record(WorkKind::Items, Time(1_007));
    let counted: Vec<(&str, u64)> = shares.metrics().filter(|(_, us)| *us > 0).collect();
    assert_eq!(counted, [("work_versions_us", 5), ("work_items_us", 37)]);
}

#[test]
fn shares_are_told_each_five_seconds() {
    let mut shares = WorkTimes::default();
    shares.start_turn(Time(6_000_000));
    shares.record(WorkKind::Items, Time(8_000_000));
    let logged = shares.take_shares(Time(10_000_000)).unwrap();
    assert_eq!(logged[WorkKind::Items as usize], (WorkKind::Items, 200));
    assert_eq!(shares.take_shares(Time(14_999_999)), None);
    shares.record(WorkKind::Items, Time(9_000_000));
    let logged = shares.take_shares(Time(15_000_000)).unwrap();
    assert_eq!(logged[WorkKind::Items as usize].1, 200);
}
