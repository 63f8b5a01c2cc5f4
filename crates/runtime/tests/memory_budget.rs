//! Whom a budget of bytes cuts off.

use peatgrade_runtime::memory_budget::{largest_stalled, BacklogState};
use rstest::rstest;
use std::time::Duration;

fn unread(bytes: usize, stalled_ms: Option<u64>) -> BacklogState {
    BacklogState {
        bytes,
        stalled_for: stalled_ms.map(Duration::from_millis),
    }
}

#[rstest]
#[case::nobody_waits(&[], None)]
#[case::who_reads_stays(&[unread(900_000, None), unread(10, Some(400))], None)]
#[case::most_of_the_stalled(
    &[unread(900_000, Some(100)), unread(500, Some(9_000)), unread(7_000, Some(501))],
    Some(2)
)]
#[case::nothing_to_gain(&[unread(0, Some(9_000))], None)]
fn the_largest_of_the_stalled_is_cut_off(
    #[case] answers: &[BacklogState],
    #[case] expected: Option<usize>,
) {
    assert_eq!(largest_stalled(answers), expected);
}
