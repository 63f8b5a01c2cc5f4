use super::{PauseDetector, ProcessPause};
use peatgrade_types::{Duration, Time};

#[test]
fn a_pause_is_told_once_and_usual_rounds_are_none() {
    let mut now = Time(1_000_000);
    let never = Duration(0);
    let mut watch = PauseDetector::new(now, never);
    for _ in 0..10 {
        now += Duration::from_millis(100);
        assert_eq!(watch.on_iteration(now, never), None);
    }
    now += Duration::from_millis(7_700);
    let pause = ProcessPause {
        duration: Duration::from_millis(7_700),
        suspended: never,
    };
    assert_eq!(watch.on_iteration(now, never), Some(pause));
    now += Duration::from_millis(15);
    assert_eq!(watch.on_iteration(now, never), None);
}

#[test]
fn a_pause_tells_how_long_the_machine_was_suspended() {
    let mut watch = PauseDetector::new(Time(1_000_000), Duration::from_secs(40));
    let pause = watch.on_iteration(Time(6_000_000), Duration::from_secs(44));
    let pause = pause.unwrap();
    assert_eq!(pause.duration, Duration::from_secs(5));
    assert_eq!(pause.suspended, Duration::from_secs(4));
}
