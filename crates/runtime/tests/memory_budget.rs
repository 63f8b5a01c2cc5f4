//! Choice of the caller to disconnect when the memory budget is exhausted.

use peatgrade_runtime::memory_budget::{largest_stalled, BacklogState};
use rstest::rstest;
use std::time::Duration;

fn backlog(bytes: usize, stalled_ms: Option<u64>) -> BacklogState {
    BacklogState {
        bytes,
        stalled_for: stalled_ms.map(Duration::from_millis),
    }
}

#[rstest]
#[case::no_backlogs(&[], None)]
#[case::reading_callers_stay(&[backlog(900_000, None), backlog(10, Some(400))], None)]
#[case::largest_of_the_stalled(
    &[backlog(900_000, Some(100)), backlog(500, Some(9_000)), backlog(7_000, Some(501))],
    Some(2)
)]
#[case::empty_backlog(&[backlog(0, Some(9_000))], None)]
fn largest_stalled_backlog_is_selected(
    #[case] backlogs: &[BacklogState],
    #[case] expected: Option<usize>,
) {
    assert_eq!(largest_stalled(backlogs), expected);
}
