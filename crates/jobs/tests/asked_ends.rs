//! Ends that were asked for and are not committed.

use peatgrade_jobs::AskedEnds;
use peatgrade_types::{Duration, Time};

#[test]
fn an_end_is_kept_until_it_is_committed() {
    let mut ends = AskedEnds::default();
    assert!(ends.ask(Time(0), "job"), "it is new");
    assert!(!ends.ask(Time(5), "job"), "it was asked for before");
    assert!(ends.is_asked("job"));
    assert!(!ends.is_asked("other"));
    ends.committed("other");
    assert!(ends.is_asked("job"));
    ends.committed("job");
    assert!(ends.is_empty());
}

#[test]
fn an_end_is_forgotten_when_its_job_would_be() {
    let mut ends = AskedEnds::default();
    let keep = Duration::from_secs(120);
    ends.ask(Time(0), "old");
    ends.ask(Time(0) + Duration::from_secs(100), "young");
    ends.forget(Time(0) + Duration::from_secs(119), keep);
    assert!(ends.is_asked("old"));
    ends.forget(Time(0) + Duration::from_secs(120), keep);
    assert!(!ends.is_asked("old"));
    assert!(ends.is_asked("young"));
}

/// Memory is bounded, whatever callers ask for; the newest matter most.
#[test]
fn the_oldest_end_gives_way() {
    const MANY: u64 = 5_000;
    let mut ends = AskedEnds::default();
    for number in 0..MANY {
        ends.ask(Time(number), &format!("job-{number}"));
    }
    assert!(ends.len() < MANY as usize);
    assert!(!ends.is_asked("job-0"));
    assert!(ends.is_asked(&format!("job-{}", MANY - 1)));
}
