//! Unreadable entries are logged once each, up to a limit.

use super::{UnreadableEntries, MAX_LOGGED_ENTRIES};
use peatgrade_ports::ObjectKind;

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
