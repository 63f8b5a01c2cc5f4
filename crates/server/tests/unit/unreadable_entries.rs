//! Each entry that can't be read is named once, and only so many are remembered.

use super::{UnreadableEntries, MAX_REMEMBERED};
use peatgrade_ports::ObjectKind;

#[test]
fn an_entry_is_named_once() {
    let mut entries = UnreadableEntries::default();
    assert!(entries.is_new(ObjectKind::Engines, "a"));
    assert!(!entries.is_new(ObjectKind::Engines, "a"));
    assert!(entries.is_new(ObjectKind::Versions, "a"));
}

#[test]
fn only_so_many_are_remembered() {
    let mut entries = UnreadableEntries::default();
    for number in 0..2 * MAX_REMEMBERED {
        entries.is_new(ObjectKind::Engines, &number.to_string());
    }
    assert_eq!(entries.named.len(), MAX_REMEMBERED);
    assert!(!entries.is_new(ObjectKind::Engines, "one more"));
}
