//! What is told of plans.

use super::*;

#[test]
fn a_plan_that_changes_all_the_time_is_told_once_a_second() {
    let mut plans = Plans::default();
    let job: Rc<str> = Rc::from("j");
    let at = |millis| Time(1_000_000) + Duration::from_millis(millis);
    assert!(!plans.should_log(at(0), &job, true), "what fits is no news");
    let logged = (0..30).filter(|tick| plans.should_log(at(tick * 100), &job, tick % 2 == 1));
    assert_eq!(logged.count(), 3);
    plans.remove_job(&job);
    assert!(plans.logged.is_empty());
}
