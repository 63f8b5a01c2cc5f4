//! Zone scopes, and the bounded cache of gateway zones.

use super::*;

#[test]
fn zone_scope_is_known_once_the_caller_zone_is() {
    let mut zones = CallerZones::default();
    let zone_scope = |zones: &CallerZones| ZoneScope::between("a", zones.get("10.0.0.1:1"));
    assert_eq!(zone_scope(&zones), ZoneScope::Unknown);
    zones.insert("10.0.0.1:1", "");
    assert_eq!(zone_scope(&zones), ZoneScope::Unknown);
    zones.insert("10.0.0.1:1", "b");
    assert_eq!(zone_scope(&zones), ZoneScope::OtherZone);
    // The address may be reassigned to a machine in another zone.
    zones.insert("10.0.0.1:1", "a");
    assert_eq!(zone_scope(&zones), ZoneScope::SameZone);
}

#[test]
fn cached_zones_are_bounded() {
    let mut zones = CallerZones::default();
    for number in 0..3 * MAX_CALLER_ZONES {
        zones.insert(&format!("10.0.0.1:{number}"), "a");
        assert!(zones.zones.len() <= MAX_CALLER_ZONES);
    }
}
