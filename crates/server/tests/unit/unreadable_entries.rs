//! Unreadable entries are logged once each, up to a limit.

use super::{UnreadableEntries, MAX_LOGGED_ENTRIES};
use crate::metrics::Metrics;
use peatgrade_ports::{ObjectKind, StoreObject};

#[test]
fn entry_is_logged_once() {
    let mut entries = UnreadableEntries::default();
    assert!(entries.mark_logged(ObjectKind::Engines, "a"));
    assert!(!entries.mark_logged(ObjectKind::Engines, "a"));
    assert!(entries.mark_logged(ObjectKind::Versions, "a"));
}

#[test]
fn logged_entries_are_bounded() {
    let mut entries = UnreadableEntries::default();
    for number in 0..2 * MAX_LOGGED_ENTRIES {
        entries.mark_logged(ObjectKind::Engines, &number.to_string());
    }
    assert_eq!(entries.logged.len(), MAX_LOGGED_ENTRIES);
    assert!(!entries.mark_logged(ObjectKind::Engines, "one more"));
}

/// Guards against names as long as an entry in memory and in the log.
#[test]
fn long_names_are_shortened() {
    let metrics = Metrics::new();
    let mut entries = UnreadableEntries::default();
    let object = StoreObject::Unreadable {
        name: "é".repeat(1_000_000),
        revision: None,
        reason: "test".into(),
    };
    entries.record(&metrics, ObjectKind::Engines, &object);
    let (_, logged) = entries.logged.first().unwrap();
    assert!(logged.len() < 1_000, "{}", logged.len());
}
