//! Paths between zones, and what is remembered of gateways.

use super::*;

#[test]
fn a_path_is_known_once_its_other_end_has_told_its_zone() {
    let mut zones = CallerZones::default();
    let zone_scope = |zones: &CallerZones| ZoneScope::between("a", zones.get("10.0.0.1:1"));
    assert_eq!(zone_scope(&zones), ZoneScope::Unknown);
    zones.insert("10.0.0.1:1", "");
    assert_eq!(zone_scope(&zones), ZoneScope::Unknown);
    zones.insert("10.0.0.1:1", "b");
    assert_eq!(zone_scope(&zones), ZoneScope::OtherZone);
    // The address may pass to a machine elsewhere.
    zones.insert("10.0.0.1:1", "a");
    assert_eq!(zone_scope(&zones), ZoneScope::SameZone);
}

#[test]
fn no_more_gateways_are_remembered_than_memory_is_meant_for() {
    let mut zones = CallerZones::default();
    for number in 0..3 * MAX_CALLER_ZONES {
        zones.insert(&format!("10.0.0.1:{number}"), "a");
        assert!(zones.zones.len() <= MAX_CALLER_ZONES);
    }
}
