//! Reservations for jobs that are on their way to the members.

use super::*;
use rstest::rstest;

const MB: u64 = 1024 * 1024;
const LIMIT: u64 = 300 * MB;
const SECOND: Duration = Duration::from_secs(1);

#[rstest]
#[case::small(1, 100, true)]
#[case::copies_fit(20, 100, true)]
#[case::copies_do_not_fit(21, 100, false)]
#[case::bodies_do_not_fit(136, 10_000, false)]
fn a_job_fits_with_all_its_copies(#[case] mb: u64, #[case] spare_mb: u64, #[case] fits: bool) {
    let reservations = JobReservations::default();
    assert_eq!(reservations.fits(mb * MB, spare_mb * MB, LIMIT), fits);
}

#[test]
fn jobs_on_their_way_count_until_the_members_report_them() {
    let mut reservations = JobReservations::default();
    let spare = 100 * MB;
    let now = Time(0) + SECOND;
    reservations.reserve(7, 15 * MB);
    assert!(!reservations.fits(10 * MB, spare, LIMIT));
    // A member lacks the entry.
    reservations.release(now, 6);
    assert!(!reservations.fits(10 * MB, spare, LIMIT));
    reservations.release(now, 7);
    assert!(reservations.fits(17 * MB, spare, LIMIT));
    assert!(!reservations.fits(18 * MB, spare, LIMIT));
    reservations.release(now + REPORT_DELAY, 7);
    assert!(reservations.fits(20 * MB, spare, LIMIT));
}

#[test]
fn open_jobs_leave_room_for_a_member_that_reads_its_log() {
    let mut reservations = JobReservations::default();
    reservations.set_open_bytes(130 * MB);
    assert!(reservations.fits(5 * MB, LIMIT, LIMIT));
    assert!(!reservations.fits(6 * MB, LIMIT, LIMIT));
}

#[test]
fn without_a_limit_nothing_is_accounted() {
    assert_eq!(spare_bytes(0, 5 * MB), None);
    assert_eq!(spare_bytes(LIMIT, LIMIT), Some(0));
    assert_eq!(spare_bytes(LIMIT, 70 * MB), Some(200 * MB));
}
