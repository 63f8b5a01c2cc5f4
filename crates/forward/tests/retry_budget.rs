//! Limits on repeats and hedges relative to first attempts.

use peatgrade_forward::retry_budget::{ExtraAttempt, RetryBudgets};
use peatgrade_types::{Duration, Time};

const START: Time = Time(1_000_000_000);

/// Makes `requests` first attempts in `span`, each followed by an extra attempt, and returns how
/// many of the extra attempts were granted.
fn granted_attempts(
    budgets: &mut RetryBudgets,
    requests: u32,
    span: Duration,
    attempt: ExtraAttempt,
) -> u32 {
    let interval = Duration(span.0 / u64::from(requests));
    let mut now = START;
    let mut granted = 0;
    for _ in 0..requests {
        now += interval;
        budgets.record_first_attempt("s");
        granted += u32::from(budgets.try_take(now, "s", attempt));
    }
    granted
}

/// Guards against doubled load when all requests of a traffic surge are hedged by many
/// gateways at once.
#[test]
fn a_surge_across_gateways_is_not_doubled() {
    let gateways = 67;
    let requests_each = 12 * 6 * 8 / gateways;
    let mut granted = 0;
    for _ in 0..gateways {
        let mut budgets = RetryBudgets::new(20);
        granted += granted_attempts(
            &mut budgets,
            requests_each,
            Duration::from_secs(8),
            ExtraAttempt::Hedge,
        );
    }
    let first_attempts = gateways * requests_each;
    // Two initial tokens per gateway plus 40 % of the first attempts.
    assert!(
        granted <= 2 * gateways + first_attempts * 2 / 5,
        "{granted} of {first_attempts}"
    );
}

#[test]
fn extra_attempts_of_a_busy_machine_match_the_percentage() {
    let mut budgets = RetryBudgets::new(20);
    let granted = granted_attempts(
        &mut budgets,
        1_000,
        Duration::from_secs(10),
        ExtraAttempt::Hedge,
    );
    assert!((195..=210).contains(&granted), "{granted}");
    assert_eq!(budgets.granted, u64::from(granted));
    assert_eq!(budgets.denied, 1_000 - u64::from(granted));
}

#[test]
fn a_mostly_idle_gateway_may_hedge() {
    let mut budgets = RetryBudgets::new(20);
    let granted = granted_attempts(
        &mut budgets,
        12,
        Duration::from_secs(60),
        ExtraAttempt::Hedge,
    );
    assert!(granted >= 8, "{granted} of 12");
}

#[test]
fn hedges_leave_a_token_for_a_repeat() {
    let mut budgets = RetryBudgets::new(20);
    while budgets.try_take(START, "s", ExtraAttempt::Hedge) {}
    assert!(budgets.try_take(START, "s", ExtraAttempt::Repeat));
    assert!(!budgets.try_take(START, "s", ExtraAttempt::Repeat));
}

#[test]
fn services_have_separate_budgets() {
    let mut budgets = RetryBudgets::new(20);
    while budgets.try_take(START, "s", ExtraAttempt::Repeat) {}
    assert!(budgets.try_take(START, "other", ExtraAttempt::Hedge));
}

/// Services beyond the limit share one budget.
#[test]
fn the_number_of_service_budgets_is_bounded() {
    let mut budgets = RetryBudgets::new(20);
    for number in 0..10_000 {
        budgets.try_take(START, &format!("s{number}"), ExtraAttempt::Repeat);
    }
    assert!(budgets.granted < 3 * 100, "{}", budgets.granted);
}

#[test]
fn zero_percent_disables_the_limit() {
    let mut budgets = RetryBudgets::new(0);
    let granted = granted_attempts(
        &mut budgets,
        100,
        Duration::from_secs(1),
        ExtraAttempt::Hedge,
    );
    assert_eq!(granted, 100);
}
