//! Paths between zones, and what is remembered of gateways.

use super::*;

#[test]
fn a_path_is_known_once_its_other_end_has_told_its_zone() {
    let mut zones = CallerZones::default();
    let path = |zones: &CallerZones| Path::between("a", zones.get("10.0.0.1:1"));
    assert_eq!(path(&zones), Path::Unknown);
    zones.learn("10.0.0.1:1", "");
    assert_eq!(path(&zones), Path::Unknown);
    zones.learn("10.0.0.1:1", "b");
    assert_eq!(path(&zones), Path::Across);
    // The address may pass to a machine elsewhere.
    zones.learn("10.0.0.1:1", "a");
    assert_eq!(path(&zones), Path::Inside);
}

#[test]
fn no_more_gateways_are_remembered_than_memory_is_meant_for() {
    let mut zones = CallerZones::default();
    for number in 0..3 * MAX_CALLERS {
        zones.learn(&format!("10.0.0.1:{number}"), "a");
        assert!(zones.zones.len() <= MAX_CALLERS);
    }
}
