use super::{PauseDetector, ProcessPause};
use peatgrade_types::{Duration, Time};

#[test]
fn pause_is_reported_once() {
    let mut now = Time(1_000_000);
    let not_suspended = Duration(0);
    let mut detector = PauseDetector::new(now, not_suspended);
    for _ in 0..10 {
        now += Duration::from_millis(100);
        assert_eq!(detector.on_iteration(now, not_suspended), None);
    }
    now += Duration::from_millis(7_700);
    let pause = ProcessPause {
        duration: Duration::from_millis(7_700),
        suspended: not_suspended,
    };
    assert_eq!(detector.on_iteration(now, not_suspended), Some(pause));
    now += Duration::from_millis(15);
    assert_eq!(detector.on_iteration(now, not_suspended), None);
}

#[test]
fn pause_includes_the_suspended_time() {
    let mut detector = PauseDetector::new(Time(1_000_000), Duration::from_secs(40));
    let pause = detector.on_iteration(Time(6_000_000), Duration::from_secs(44));
    let pause = pause.unwrap();
    assert_eq!(pause.duration, Duration::from_secs(5));
    assert_eq!(pause.suspended, Duration::from_secs(4));
}
