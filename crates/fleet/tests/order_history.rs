//! When a lease holder may send orders to an engine that received orders of another holder.

use peatgrade_fleet::{OrderHistory, OrderRules};
use peatgrade_ports::Instance;
use peatgrade_types::{Duration, Time};
use rstest::rstest;

const LEASE: Duration = Duration::from_millis(3_000);

fn ms(millis: u64) -> Time {
    Time(0) + Duration::from_millis(millis)
}

/// Earliest time in milliseconds at which `holder` may send an order after `orders`, given as
/// holder, token and time.
fn earliest_order_ms(orders: &[(&str, u64, u64)], holder: &str, checked: bool) -> Option<u64> {
    let engine = Instance("e".into());
    let mut history = OrderHistory::default();
    for (holder, fence, at) in orders {
        history.record(ms(*at), &engine, holder, *fence);
    }
    let rules = OrderRules {
        lease: LEASE,
        fences_checked: checked,
    };
    let earliest = history.earliest_order_times(holder, 9, rules);
    earliest.get(&engine).map(|at| at.0 / 1_000)
}

#[rstest]
#[case::never_ordered(&[], None)]
#[case::own_order_last(&[("b", 1, 100), ("a", 2, 200)], None)]
#[case::only_another_holder(&[("b", 1, 100)], None)]
#[case::alternating(&[("a", 1, 100), ("b", 2, 500)], Some(3_100))]
#[case::alternating_among_three(&[("a", 1, 100), ("b", 2, 500), ("c", 3, 900)], Some(3_100))]
#[case::latest_own_order_counts(&[("a", 1, 100), ("b", 2, 500), ("a", 3, 900), ("b", 4, 950)], Some(3_900))]
#[case::unnamed_holder(&[("", 1, 100)], Some(3_100))]
#[case::unnamed_holder_before_another(&[("", 1, 100), ("b", 2, 500)], Some(3_100))]
fn with_fence_checks_only_alternating_holders_wait(
    #[case] orders: &[(&str, u64, u64)],
    #[case] expected: Option<u64>,
) {
    assert_eq!(earliest_order_ms(orders, "a", true), expected);
}

#[rstest]
#[case::never_ordered(&[], None)]
#[case::another_holder(&[("b", 1, 100)], Some(3_100))]
#[case::own_in_an_earlier_term(&[("a", 1, 100)], Some(3_100))]
#[case::own_in_this_term(&[("b", 1, 100), ("a", 9, 200)], None)]
fn without_fence_checks_previous_lease_must_expire(
    #[case] orders: &[(&str, u64, u64)],
    #[case] expected: Option<u64>,
) {
    assert_eq!(earliest_order_ms(orders, "a", false), expected);
}

/// For any sequence of holders, none sends an order within a lease of its own last one if
/// another holder has sent one in between.
#[rstest]
fn holders_never_alternate_within_a_lease(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let engine = Instance("e".into());
    let rules = OrderRules {
        lease: LEASE,
        fences_checked: true,
    };
    let mut history = OrderHistory::default();
    // Holder, first and last order of each uninterrupted series of orders.
    let mut terms: Vec<(String, Time, Time)> = Vec::new();
    let mut random = seed;
    let mut now = ms(0);
    for fence in 1..400 {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let holder = format!("machine-{}", (random >> 33) % 5);
        let term_length = Duration::from_millis((random >> 40) % 2_500);
        let deferred = history.earliest_order_times(&holder, fence, rules);
        let earliest = deferred.get(&engine).copied().unwrap_or(now);
        let end = now + term_length;
        while now < end {
            if now >= earliest {
                history.record(now, &engine, &holder, fence);
                match terms.last_mut().filter(|(last, ..)| *last == holder) {
                    Some((_, _, last)) => *last = now,
                    None => terms.push((holder.clone(), now, now)),
                }
            }
            now += Duration::from_millis(300);
        }
    }
    assert!(terms.len() > 100);
    let mut alternations = terms.windows(3).filter(|window| window[0].0 == window[2].0);
    assert!(alternations.all(|window| window[2].1.since(window[0].2) >= LEASE));
}

#[test]
fn expired_orders_are_removed() {
    let mut history = OrderHistory::default();
    for number in 0..100 {
        let engine = Instance(format!("e{number}"));
        history.record(ms(number * 1_000), &engine, "a", 1);
    }
    history.remove_expired(ms(100_000), Duration::from_secs(60));
    assert_eq!(history.len(), 59);
}
