//! Who may order an engine after another holder, and when.

use peatgrade_fleet::{OrderHistory, OrderRules};
use peatgrade_ports::Instance;
use peatgrade_types::{Duration, Time};
use rstest::rstest;

const LEASE: Duration = Duration::from_millis(3_000);

fn ms(millis: u64) -> Time {
    Time(0) + Duration::from_millis(millis)
}

/// Orders to one engine, each as holder, token and time; from when on `holder` may order.
fn quiet(orders: &[(&str, u64, u64)], holder: &str, checked: bool) -> Option<u64> {
    let engine = Instance("e".into());
    let mut history = OrderHistory::default();
    for (holder, fence, at) in orders {
        history.record(ms(*at), &engine, holder, *fence);
    }
    let rules = OrderRules {
        lease: LEASE,
        fences_checked: checked,
    };
    let quiet = history.earliest_order_times(holder, 9, rules);
    quiet.get(&engine).map(|until| until.0 / 1_000)
}

#[rstest]
#[case::never_ordered(&[], None)]
#[case::own_last(&[("b", 1, 100), ("a", 2, 200)], None)]
#[case::another_only(&[("b", 1, 100)], None)]
#[case::turns(&[("a", 1, 100), ("b", 2, 500)], Some(3_100))]
#[case::turns_over_two(&[("a", 1, 100), ("b", 2, 500), ("c", 3, 900)], Some(3_100))]
#[case::own_newest_counts(&[("a", 1, 100), ("b", 2, 500), ("a", 3, 900), ("b", 4, 950)], Some(3_900))]
#[case::nameless(&[("", 1, 100)], Some(3_100))]
#[case::nameless_before(&[("", 1, 100), ("b", 2, 500)], Some(3_100))]
fn where_fences_are_checked_only_turns_wait(
    #[case] orders: &[(&str, u64, u64)],
    #[case] expected: Option<u64>,
) {
    assert_eq!(quiet(orders, "a", true), expected);
}

#[rstest]
#[case::never_ordered(&[], None)]
#[case::another(&[("b", 1, 100)], Some(3_100))]
#[case::own_in_an_earlier_term(&[("a", 1, 100)], Some(3_100))]
#[case::own_in_this_term(&[("b", 1, 100), ("a", 9, 200)], None)]
fn elsewhere_all_wait_for_the_lease_of_the_last(
    #[case] orders: &[(&str, u64, u64)],
    #[case] expected: Option<u64>,
) {
    assert_eq!(quiet(orders, "a", false), expected);
}

/// Whatever leaders follow each other, none orders an engine within a lease of its own
/// last order if another has ordered in between.
#[rstest]
fn no_holder_takes_turns_within_a_lease(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let engine = Instance("e".into());
    let rules = OrderRules {
        lease: LEASE,
        fences_checked: true,
    };
    let mut history = OrderHistory::default();
    // Holder, its first and its last order of each run of orders.
    let mut acts: Vec<(String, Time, Time)> = Vec::new();
    let mut draw = seed;
    let mut now = ms(0);
    for fence in 1..400 {
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let holder = format!("machine-{}", (draw >> 33) % 5);
        let led_for = Duration::from_millis((draw >> 40) % 2_500);
        let quiet = history.earliest_order_times(&holder, fence, rules);
        let may_from = quiet.get(&engine).copied().unwrap_or(now);
        let end = now + led_for;
        while now < end {
            if now >= may_from {
                history.record(now, &engine, &holder, fence);
                match acts.last_mut().filter(|(last, ..)| *last == holder) {
                    Some((_, _, last)) => *last = now,
                    None => acts.push((holder.clone(), now, now)),
                }
            }
            now += Duration::from_millis(300);
        }
    }
    assert!(acts.len() > 100);
    let mut turns = acts.windows(3).filter(|trio| trio[0].0 == trio[2].0);
    assert!(turns.all(|trio| trio[2].1.since(trio[0].2) >= LEASE));
}

#[test]
fn old_notes_are_dropped() {
    let mut history = OrderHistory::default();
    for number in 0..100 {
        let engine = Instance(format!("e{number}"));
        history.record(ms(number * 1_000), &engine, "a", 1);
    }
    history.remove_expired(ms(100_000), Duration::from_secs(60));
    assert_eq!(history.len(), 59);
}
