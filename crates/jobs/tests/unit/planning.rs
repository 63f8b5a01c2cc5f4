//! Tests of the log lines about plans.

use super::*;

#[test]
fn a_plan_that_keeps_changing_is_logged_once_per_second() {
    let mut plans = PlanState::default();
    let job: Rc<str> = Rc::from("j");
    let at = |millis| Time(1_000_000) + Duration::from_millis(millis);
    assert!(
        !plans.should_log(at(0), &job, true),
        "a feasible plan is not logged first"
    );
    let logged = (0..30).filter(|tick| plans.should_log(at(tick * 100), &job, tick % 2 == 1));
    assert_eq!(logged.count(), 3);
    plans.remove_job(&job);
    assert!(plans.logged.is_empty());
}
