//! Each entry that can't be read is named once, and only so many are remembered.

use super::{UnreadableEntries, MAX_LOGGED_ENTRIES};
use peatgrade_ports::ObjectKind;

#[test]
fn an_entry_is_named_once() {
    let mut entries = UnreadableEntries::default();
    assert!(entries.mark_logged(ObjectKind::Engines, "a"));
    assert!(!entries.mark_logged(ObjectKind::Engines, "a"));
    assert!(entries.mark_logged(ObjectKind::Versions, "a"));
}

#[test]
fn only_so_many_are_remembered() {
    let mut entries = UnreadableEntries::default();
    for number in 0..2 * MAX_LOGGED_ENTRIES {
        entries.mark_logged(ObjectKind::Engines, &number.to_string());
    }
    assert_eq!(entries.logged.len(), MAX_LOGGED_ENTRIES);
    assert!(!entries.mark_logged(ObjectKind::Engines, "one more"));
}
