//! A machine takes no job that it could not keep.

use super::*;
use rstest::rstest;

const ROOM: Room = Room {
    disk_mb: 400,
    memory_mb: 200,
};

#[rstest]
#[case::empty(0, 20, None)]
#[case::rewrite_fits(160, 20, None)]
#[case::rewrite_would_not_fit(170, 20, Some(Pressure::Disk))]
#[case::memory(10, 171, Some(Pressure::Memory))]
fn pressure_is_named(
    #[case] kept_mb: u64,
    #[case] resident_mb: u64,
    #[case] expected: Option<Pressure>,
) {
    let found = ROOM.pressure(kept_mb * MEGABYTE, resident_mb * MEGABYTE);
    assert_eq!(found, expected);
}

#[test]
fn without_limits_there_is_none() {
    assert_eq!(Room::default().pressure(u64::MAX / 4, u64::MAX / 4), None);
}

#[test]
fn a_small_disk_is_rewritten_sooner() {
    let small = Room {
        disk_mb: 40,
        ..ROOM
    };
    assert_eq!(small.rewrite_bytes(), 10 * MEGABYTE);
    assert_eq!(ROOM.rewrite_bytes(), 64 * MEGABYTE);
}
