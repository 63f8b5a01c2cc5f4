use super::PauseWatch;
use peatgrade_types::{Duration, Time};

#[test]
fn a_pause_is_told_once_and_usual_rounds_are_none() {
    let mut now = Time(1_000_000);
    let mut watch = PauseWatch::new(now);
    for _ in 0..10 {
        now += Duration::from_millis(100);
        assert_eq!(watch.round(now), None);
    }
    now += Duration::from_millis(7_700);
    assert_eq!(watch.round(now), Some(Duration::from_millis(7_700)));
    now += Duration::from_millis(15);
    assert_eq!(watch.round(now), None);
}
