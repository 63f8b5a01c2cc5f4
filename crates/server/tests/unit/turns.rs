//! Detection of slow iterations and accounting of their work.

use super::{IterationMonitor, IterationWork};
use crate::metrics::Metrics;
use peatgrade_types::{Duration, Time};

#[test]
fn iteration_of_two_heartbeat_intervals_is_reported() {
    let metrics = Metrics::new();
    let mut monitor = IterationMonitor::new(Time(0));
    let begin = Time(1_000_000);
    monitor.begin(begin);
    let short = monitor.end(begin + Duration::from_millis(89), &metrics);
    assert_eq!(short, None);
    let long = monitor.end(begin + Duration::from_millis(90), &metrics);
    assert_eq!(long, Some(Duration::from_millis(90)));
    assert_eq!(metrics.iteration_seconds.get_sample_count(), 2);
}

#[test]
fn work_counters_are_reset_for_each_iteration() {
    let mut monitor = IterationMonitor::new(Time(0));
    monitor.work.started = 7;
    monitor.begin(Time(1));
    assert_eq!(monitor.work, IterationWork::default());
}
