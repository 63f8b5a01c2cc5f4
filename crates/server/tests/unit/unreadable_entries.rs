//! Unreadable entries are logged once each, up to a limit.

use super::{UnreadableEntries, MAX_REMEMBERED};
use peatgrade_ports::ObjectKind;

#[test]
fn entry_is_logged_once() {
    let mut entries = UnreadableEntries::default();
    assert!(entries.is_new(ObjectKind::Engines, "a"));
    assert!(!entries.is_new(ObjectKind::Engines, "a"));
    assert!(entries.is_new(ObjectKind::Versions, "a"));
}

#[test]
fn logged_entries_are_bounded() {
    let mut entries = UnreadableEntries::default();
    for number in 0..2 * MAX_REMEMBERED {
        entries.is_new(ObjectKind::Engines, &number.to_string());
    }
    assert_eq!(entries.named.len(), MAX_REMEMBERED);
    assert!(!entries.is_new(ObjectKind::Engines, "one more"));
}
