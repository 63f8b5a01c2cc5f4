//! The engine list, and what is believed while the store has just come back.

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

/// All entries have lapsed while the store was away. Their engines serve on, and
/// write themselves again within two seconds.
#[test]
fn engines_whose_entries_lapsed_serve_on_until_they_are_back() {
    let mut directory = directory();
    let back = after(6_000);
    directory.relist(back, back, Vec::new(), HEARTBEAT);
    assert_eq!(names(&directory), ["a", "b"]);
    assert_eq!(directory.lapsed_count(), 2);
    // A list soon after shows one of them; the other has still its time.
    let later = after(6_900);
    directory.relist(later, later, vec![record("a")], HEARTBEAT);
    assert_eq!(names(&directory), ["a", "b"]);
    assert!(directory.drop_lapsed(after(7_900)).is_empty());
    assert_eq!(directory.drop_lapsed(after(8_000)), [Instance("b".into())]);
    assert_eq!(names(&directory), ["a"]);
    assert!(directory.drop_lapsed(after(60_000)).is_empty());
}

#[test]
fn an_entry_that_comes_back_by_a_change_is_as_good_as_ever() {
    let mut directory = directory();
    let back = after(6_000);
    directory.relist(back, back, Vec::new(), HEARTBEAT);
    let change = |name: &str, object| StoreEvent {
        name: name.into(),
        object,
    };
    directory.apply(START, change("a", Some(StoreObject::Engine(record("a")))));
    assert_eq!(directory.lapsed_count(), 1);
    // What the store says now counts at once.
    assert!(directory.apply(START, change("b", None)).is_some());
    assert!(directory.drop_lapsed(after(60_000)).is_empty());
    assert_eq!(names(&directory), ["a"]);
}

/// Entries lapse after three heartbeats, and the last one may have come one before the
/// store was heard last: what is missing after less than two has left.
#[test]
fn an_engine_that_is_missing_after_a_short_silence_is_gone() {
    let mut directory = directory();
    let back = after(2_300);
    directory.relist(back, back, vec![record("a")], HEARTBEAT);
    assert_eq!(names(&directory), ["a"]);
}

#[test]
fn an_engine_whose_last_heartbeat_was_before_the_silence_may_have_lapsed() {
    let mut directory = directory();
    let back = after(2_400);
    directory.relist(back, back, vec![record("a")], HEARTBEAT);
    assert_eq!(names(&directory), ["a", "b"]);
    assert_eq!(directory.lapsed_count(), 1);
}
