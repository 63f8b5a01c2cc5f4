//! Detection of low disk and memory.

use super::*;
use rstest::rstest;

const LIMITS: ResourceLimits = ResourceLimits {
    disk_mb: 400,
    memory_mb: 200,
};

#[rstest]
#[case::empty(0, 20, None)]
#[case::rewrite_fits(160, 20, None)]
#[case::rewrite_would_not_fit(170, 20, Some(ResourcePressure::Disk))]
#[case::memory(10, 171, Some(ResourcePressure::Memory))]
fn pressure_names_the_low_resource(
    #[case] kept_mb: u64,
    #[case] resident_mb: u64,
    #[case] expected: Option<ResourcePressure>,
) {
    let found = LIMITS.pressure(kept_mb * BYTES_PER_MB, resident_mb * BYTES_PER_MB);
    assert_eq!(found, expected);
}

#[test]
fn no_pressure_without_limits() {
    assert_eq!(
        ResourceLimits::default().pressure(u64::MAX / 4, u64::MAX / 4),
        None
    );
}

#[test]
fn rewrite_threshold_is_lower_on_a_small_disk() {
    let small = ResourceLimits {
        disk_mb: 40,
        ..LIMITS
    };
    assert_eq!(small.rewrite_threshold_bytes(), 10 * BYTES_PER_MB);
    assert_eq!(LIMITS.rewrite_threshold_bytes(), 64 * BYTES_PER_MB);
}
