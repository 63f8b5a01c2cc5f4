//! Which turns are worth a line, and what they tell.

use super::{IterationMonitor, IterationWork};
use crate::metrics::Metrics;
use peatgrade_types::{Duration, Time};

#[test]
fn a_turn_longer_than_two_heartbeats_is_named() {
    let metrics = Metrics::new();
    let mut turns = IterationMonitor::new(Time(0));
    let begin = Time(1_000_000);
    turns.begin(begin);
    let short = turns.end(begin + Duration::from_millis(89), &metrics);
    assert_eq!(short, None);
    let long = turns.end(begin + Duration::from_millis(90), &metrics);
    assert_eq!(long, Some(Duration::from_millis(90)));
    assert_eq!(metrics.iteration_seconds.get_sample_count(), 2);
}

#[test]
fn each_turn_counts_its_own_work() {
    let mut turns = IterationMonitor::new(Time(0));
    turns.work.started = 7;
    turns.begin(Time(1));
    assert_eq!(turns.work, IterationWork::default());
}
