//! Copies are a share of first tries, with an allowance for a machine that sees few.

use peatgrade_forward::retry_budget::{ExtraAttempt, RetryBudgets};
use peatgrade_types::{Duration, Time};

const START: Time = Time(1_000_000_000);

/// Requests in `span`, each of which asks for a copy; how many it gets.
fn copies(budgets: &mut RetryBudgets, requests: u32, span: Duration, attempt: ExtraAttempt) -> u32 {
    let gap = Duration(span.0 / u64::from(requests));
    let mut now = START;
    let mut sent = 0;
    for _ in 0..requests {
        now += gap;
        budgets.record_first_attempt("s");
        sent += u32::from(budgets.try_take(now, "s", attempt));
    }
    sent
}

/// 67 gateways share 12 requests a second, six times as many for eight of ten seconds,
/// and each request would be sent once more: half of the engines are silent, or all of
/// them slow.
#[test]
fn a_surge_at_all_gateways_is_not_doubled() {
    let gateways = 67;
    let each = 12 * 6 * 8 / gateways;
    let mut sent = 0;
    for _ in 0..gateways {
        let mut budgets = RetryBudgets::new(20);
        sent += copies(
            &mut budgets,
            each,
            Duration::from_secs(8),
            ExtraAttempt::Hedge,
        );
    }
    let first_tries = gateways * each;
    // Two of the allowance of each, and a fifth.
    assert!(
        sent <= 2 * gateways + first_tries * 2 / 5,
        "{sent} of {first_tries}"
    );
}

#[test]
fn at_one_busy_machine_copies_are_a_fifth() {
    let mut budgets = RetryBudgets::new(20);
    let sent = copies(
        &mut budgets,
        1_000,
        Duration::from_secs(10),
        ExtraAttempt::Hedge,
    );
    assert!((195..=210).contains(&sent), "{sent}");
    assert_eq!(budgets.granted, u64::from(sent));
    assert_eq!(budgets.denied, 1_000 - u64::from(sent));
}

#[test]
fn a_gateway_with_one_request_in_five_seconds_may_hedge() {
    let mut budgets = RetryBudgets::new(20);
    let sent = copies(
        &mut budgets,
        12,
        Duration::from_secs(60),
        ExtraAttempt::Hedge,
    );
    assert!(sent >= 8, "{sent} of 12");
}

#[test]
fn hedges_leave_one_for_a_repeat() {
    let mut budgets = RetryBudgets::new(20);
    while budgets.try_take(START, "s", ExtraAttempt::Hedge) {}
    assert!(budgets.try_take(START, "s", ExtraAttempt::Repeat));
    assert!(!budgets.try_take(START, "s", ExtraAttempt::Repeat));
}

#[test]
fn a_service_takes_nothing_from_another() {
    let mut budgets = RetryBudgets::new(20);
    while budgets.try_take(START, "s", ExtraAttempt::Repeat) {}
    assert!(budgets.try_take(START, "other", ExtraAttempt::Hedge));
}

/// Services beyond the bound of the table share one budget.
#[test]
fn the_table_of_services_is_bounded() {
    let mut budgets = RetryBudgets::new(20);
    for number in 0..10_000 {
        budgets.try_take(START, &format!("s{number}"), ExtraAttempt::Repeat);
    }
    assert!(budgets.granted < 3 * 100, "{}", budgets.granted);
}

#[test]
fn without_a_share_nothing_is_bounded() {
    let mut budgets = RetryBudgets::new(0);
    let sent = copies(
        &mut budgets,
        100,
        Duration::from_secs(1),
        ExtraAttempt::Hedge,
    );
    assert_eq!(sent, 100);
}
