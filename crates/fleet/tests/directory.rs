//! Updates of the engine list, and the grace period after a store outage.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{EngineRecord, Instance, StoreEvent, StoreObject};
use peatgrade_types::{Duration, Time};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const START: Time = Time(10_000_000);

fn record(name: &str) -> EngineRecord {
    EngineRecord {
        instance: Instance(name.into()),
        service: "s".into(),
        ..EngineRecord::default()
    }
}

fn names(directory: &EngineDirectory) -> Vec<String> {
    let serving = directory.serving("s");
    serving
        .map(|state| state.record.instance.0.clone())
        .collect()
}

/// A directory of two engines, confirmed at the start.
fn directory() -> EngineDirectory {
    let mut directory = EngineDirectory::default();
    directory.relist(START, START, vec![record("a"), record("b")], HEARTBEAT);
    directory
}

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// All entries have lapsed during a store outage. Their engines must not be removed before
/// they had time to register again.
#[test]
fn engines_with_lapsed_entries_serve_during_grace_period() {
    let mut directory = directory();
    let reconnected = after(6_000);
    directory.relist(reconnected, reconnected, Vec::new(), HEARTBEAT);
    assert_eq!(names(&directory), ["a", "b"]);
    assert_eq!(directory.lapsed_count(), 2);
    // One engine is listed again; the grace period of the other continues.
    let later = after(6_900);
    directory.relist(later, later, vec![record("a")], HEARTBEAT);
    assert_eq!(names(&directory), ["a", "b"]);
    assert!(directory.drop_lapsed(after(7_900)).is_empty());
    assert_eq!(directory.drop_lapsed(after(8_000)), [Instance("b".into())]);
    assert_eq!(names(&directory), ["a"]);
    assert!(directory.drop_lapsed(after(60_000)).is_empty());
}

#[test]
fn reappearing_entry_ends_grace_period() {
    let mut directory = directory();
    let reconnected = after(6_000);
    directory.relist(reconnected, reconnected, Vec::new(), HEARTBEAT);
    let change = |name: &str, object| StoreEvent {
        name: name.into(),
        object,
    };
    directory.apply(START, change("a", Some(StoreObject::Engine(record("a")))));
    assert_eq!(directory.lapsed_count(), 1);
    // An explicit removal takes effect at once.
    assert!(directory.apply(START, change("b", None)).is_some());
    assert!(directory.drop_lapsed(after(60_000)).is_empty());
    assert_eq!(names(&directory), ["a"]);
}

/// Entries lapse after three heartbeat intervals, and the last heartbeat may have come up to
/// one interval before the outage: an entry missing after less than two was removed.
#[test]
fn engine_missing_after_short_outage_is_removed() {
    let mut directory = directory();
    let reconnected = after(2_300);
    directory.relist(reconnected, reconnected, vec![record("a")], HEARTBEAT);
    assert_eq!(names(&directory), ["a"]);
}

#[test]
fn engine_missing_after_two_heartbeat_intervals_gets_grace_period() {
    let mut directory = directory();
    let reconnected = after(2_400);
    directory.relist(reconnected, reconnected, vec![record("a")], HEARTBEAT);
    assert_eq!(names(&directory), ["a", "b"]);
    assert_eq!(directory.lapsed_count(), 1);
}

#[test]
fn engines_outside_an_incomplete_list_are_kept() {
    let mut directory = directory();
    directory.merge_list(after(2_300), vec![record("a"), record("c")]);
    assert_eq!(names(&directory), ["a", "b", "c"]);
    assert_eq!(directory.lapsed_count(), 0);
    assert!(directory.drop_lapsed(after(60_000)).is_empty());
}
