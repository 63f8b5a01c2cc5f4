//! Tests of planning, ordering, length estimates and admission.

use peatgrade_scheduling::{
    admit, max_min_shares, order_items, plan, Admission, AdmissionRequest, Capacity, Group,
    GroupStatus, ItemOrder, LengthEstimate, LengthEstimates, Step, WaitingItem,
};
use peatgrade_types::{Duration, Time};
use rstest::rstest;

const NOW: Time = Time(100_000_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn step(flow: usize, priority: u32, deadline_ms: u64, wanted_groups: Option<usize>) -> Step {
    Step {
        flow,
        priority,
        time_allowed: ms(8_000),
        deadline: NOW + ms(deadline_ms),
        expires_at: NOW + ms(2 * deadline_ms),
        wanted_groups,
    }
}

fn group(step: usize, unfinished_items: usize, longest_ms: u64) -> Group {
    Group {
        step,
        is_required: false,
        unfinished_items,
        waiting_work: ms(unfinished_items as u64 * longest_ms),
        longest_item: ms(longest_ms),
    }
}

fn capacity(slots: u32) -> Capacity {
    Capacity {
        slots,
        busy: Duration(0),
    }
}

fn count(statuses: &[GroupStatus], status: GroupStatus) -> usize {
    statuses.iter().filter(|s| **s == status).count()
}

#[test]
fn an_overload_completes_as_many_groups_as_fit() {
    // 12 slots, of which a tenth is guaranteed to flows, have room for 17 s of work within
    // 1.7 s: four groups of 4 s each.
    let steps = [step(0, 0, 2_000, None)];
    let groups: Vec<Group> = (0..8).map(|_| group(0, 8, 500)).collect();
    let statuses = plan(NOW, &capacity(12), &steps, &groups);
    assert_eq!(count(&statuses, GroupStatus::InTime), 4);
    assert_eq!(count(&statuses, GroupStatus::Late), 4);
}

#[test]
fn a_single_slot_is_available_to_the_plan() {
    let steps = [step(0, 0, 2_000, None)];
    let statuses = plan(NOW, &capacity(1), &steps, &[group(0, 1, 500)]);
    assert_eq!(statuses, [GroupStatus::InTime]);
}

#[test]
fn a_large_group_is_dropped_in_favor_of_two_small_ones() {
    let steps = [step(0, 0, 2_000, None), step(1, 0, 2_100, None)];
    let groups = [group(0, 30, 500), group(1, 16, 500), group(1, 14, 500)];
    let statuses = plan(NOW, &capacity(10), &steps, &groups);
    let expected = [GroupStatus::Late, GroupStatus::InTime, GroupStatus::InTime];
    assert_eq!(statuses, expected);
}

#[test]
fn a_group_is_not_dropped_in_favor_of_a_lower_priority() {
    let steps = [step(0, 0, 2_000, None), step(1, 1, 1_000, None)];
    let groups = [group(0, 30, 500), group(1, 8, 500)];
    let statuses = plan(NOW, &capacity(10), &steps, &groups);
    assert_eq!(statuses, [GroupStatus::InTime, GroupStatus::Late]);
    // With sufficient capacity, both are in time.
    let statuses = plan(NOW, &capacity(20), &steps, &groups);
    assert_eq!(statuses, [GroupStatus::InTime, GroupStatus::InTime]);
}

#[test]
fn groups_beyond_the_wanted_number_are_surplus() {
    let steps = [step(0, 0, 9_000, Some(2))];
    let mut groups = [group(0, 8, 500), group(0, 1, 500), group(0, 8, 400)];
    let statuses = plan(NOW, &capacity(100), &steps, &groups);
    let expected = [
        GroupStatus::Surplus,
        GroupStatus::InTime,
        GroupStatus::InTime,
    ];
    assert_eq!(statuses, expected);
    // A required group is never surplus.
    groups[0].is_required = true;
    let statuses = plan(NOW, &capacity(100), &steps, &groups);
    let expected = [
        GroupStatus::InTime,
        GroupStatus::InTime,
        GroupStatus::Surplus,
    ];
    assert_eq!(statuses, expected);
}

#[rstest]
#[case::in_time(1_500, GroupStatus::InTime)]
#[case::complete_but_not_delivered_in_time(1_800, GroupStatus::CatchUp)]
#[case::complete_after_expiry(4_100, GroupStatus::Infeasible)]
fn the_longest_item_decides_the_status_of_a_group(
    #[case] longest_ms: u64,
    #[case] expected: GroupStatus,
) {
    let steps = [step(0, 0, 2_000, None)];
    let groups = [group(0, 1, longest_ms)];
    assert_eq!(plan(NOW, &capacity(50), &steps, &groups), [expected]);
}

#[test]
fn active_runs_reduce_the_capacity_for_waiting_items() {
    let steps = [step(0, 0, 2_000, None)];
    let groups = [group(0, 20, 500)];
    let busy = Capacity {
        slots: 10,
        busy: ms(8_000),
    };
    assert_eq!(
        plan(NOW, &capacity(10), &steps, &groups),
        [GroupStatus::InTime]
    );
    assert_eq!(plan(NOW, &busy, &steps, &groups), [GroupStatus::CatchUp]);
}

/// Late groups run first as long as that delays no group in time, the most overdue step first.
#[rstest]
#[case::both_steps_catch_up(40, [GroupStatus::CatchUp, GroupStatus::CatchUp])]
#[case::the_most_overdue_step_catches_up(12, [GroupStatus::CatchUp, GroupStatus::Late])]
#[case::no_step_catches_up(10, [GroupStatus::Late, GroupStatus::Late])]
fn late_groups_run_first_if_no_group_in_time_is_delayed(
    #[case] slots: u32,
    #[case] expected: [GroupStatus; 2],
) {
    let steps = [
        step(0, 0, 500, None),
        step(1, 0, 400, None),
        step(2, 0, 2_000, None),
    ];
    let late = [group(1, 4, 600), group(0, 4, 600)];
    // The last group needs 14.4 s of work within 1.7 s.
    let groups = [late[0].clone(), late[1].clone(), group(2, 24, 600)];
    let statuses = plan(NOW, &capacity(slots), &steps, &groups);
    assert_eq!(statuses[..2], expected);
    assert_eq!(statuses[2], GroupStatus::InTime);
}

fn item(group: usize, remaining_ms: u64) -> WaitingItem {
    WaitingItem {
        group,
        is_started: false,
        is_long: false,
        remaining: ms(remaining_ms),
    }
}

#[test]
fn items_are_ordered_by_priority_then_unfinished_items_then_remaining_time() {
    let steps = [step(0, 1, 9_000, None), step(1, 0, 9_000, None)];
    let groups = [group(0, 4, 500), group(1, 4, 500), group(1, 1, 500)];
    let items = [item(0, 400), item(1, 100), item(1, 500), item(2, 200)];
    let statuses = [GroupStatus::InTime; 3];
    // Both flows exceed their guaranteed slots, so priority decides.
    let order = order_items(100, &steps, &groups, &statuses, &[20, 20], &items);
    assert_eq!(order, [3, 2, 1, 0]);
}

#[test]
fn groups_in_time_precede_late_groups_of_any_priority() {
    let steps = [step(0, 1, 9_000, None), step(1, 0, 9_000, None)];
    let groups = [group(0, 1, 500), group(1, 1, 500)];
    let items = [item(0, 500), item(1, 500)];
    let statuses = [GroupStatus::InTime, GroupStatus::Late];
    let order = order_items(100, &steps, &groups, &statuses, &[20, 20], &items);
    assert_eq!(order, [0, 1]);
}

/// A tenth of all slots is guaranteed to flows with waiting items, in equal parts.
#[rstest]
#[case::without_slots(0, 5)]
#[case::with_some_of_its_slots(3, 2)]
#[case::with_all_of_its_slots(5, 0)]
fn a_low_priority_gets_its_guaranteed_slots(#[case] running: u32, #[case] prioritized: usize) {
    let steps = [step(0, 0, 9_000, None), step(1, 7, 9_000, None)];
    let groups = [group(0, 100, 500), group(1, 100, 500)];
    let items: Vec<WaitingItem> = (0..200).map(|index| item(index / 100, 500)).collect();
    let statuses = [GroupStatus::InTime, GroupStatus::Late];
    let order = order_items(100, &steps, &groups, &statuses, &[90, running], &items);
    let first_urgent = order.iter().position(|index| *index < 100).unwrap();
    assert_eq!(first_urgent, prioritized);
    assert_eq!(order.len(), items.len());
}

#[test]
fn shares_are_max_min_and_weighted() {
    let shares = max_min_shares(100.0, &[(10.0, 1.0), (200.0, 1.0), (200.0, 2.0)]);
    assert_eq!(shares, [10.0, 30.0, 60.0]);
    assert_eq!(max_min_shares(9.0, &[(2.0, 1.0), (3.0, 1.0)]), [2.0, 3.0]);
    assert_eq!(max_min_shares(9.0, &[(2.0, 0.0)]), [0.0]);
}

#[test]
fn length_estimates_track_their_error() {
    let mut lengths = LengthEstimate::default();
    assert_eq!(lengths.expected_events(100), None);
    for index in 0..200 {
        lengths.record(100, if index % 2 == 0 { 10 } else { 30 });
    }
    let expected = lengths.expected_events(100).unwrap();
    assert!((19.0..21.0).contains(&expected), "{expected}");
    assert!(
        (0.4..0.6).contains(&lengths.relative_error()),
        "{}",
        lengths.relative_error()
    );
    // A text beyond its estimate is expected to grow by a fraction of its length.
    assert_eq!(lengths.remaining_events(100, 40), Some(10.0));
}

#[test]
fn the_number_of_tracked_models_is_bounded() {
    let mut lengths = LengthEstimates::default();
    for model in 0..1_000 {
        for _ in 0..20 {
            lengths.record(&format!("m{model}"), 10, 5);
        }
    }
    let known = (0..1_000).filter(|model| lengths.get(&format!("m{model}")).is_some());
    assert_eq!(known.count(), 256);
    let first = lengths.get("m0").and_then(|m| m.expected_events(10));
    assert_eq!(first, Some(5.0));
}

#[rstest]
#[case::fits(20_000, 10_000, 0.0, true)]
#[case::fits_within_the_error(20_000, 4_000, 0.5, true)]
#[case::fits_in_guaranteed_slots(20_000, 8_000, 0.0, true)]
#[case::does_not_fit(20_000, 2_000, 0.0, false)]
#[case::does_not_fit_within_the_error(20_000, 2_000, 0.5, false)]
fn only_infeasible_jobs_are_refused(
    #[case] work_ahead_ms: u64,
    #[case] time_limit_ms: u64,
    #[case] relative_error: f64,
    #[case] accepted: bool,
) {
    let request = AdmissionRequest {
        slots: 4,
        work_ahead: ms(work_ahead_ms),
        guaranteed_slots: 1,
        smallest_group_work: ms(7_000),
        longest_item: ms(1_000),
        time_limit: ms(time_limit_ms),
        relative_error,
    };
    let expected = match accepted {
        true => Admission::Accepted,
        // The first group completes after 6 s, but the job expires after 2 s.
        false => Admission::Refused {
            retry_after: ms(4_000),
        },
    };
    assert_eq!(admit(&request), expected);
    let without_slots = AdmissionRequest {
        slots: 0,
        ..request
    };
    assert_eq!(admit(&without_slots), Admission::Accepted);
}

#[test]
fn the_retry_delay_has_a_lower_bound() {
    let request = AdmissionRequest {
        slots: 4,
        work_ahead: ms(4_010),
        guaranteed_slots: 1,
        smallest_group_work: ms(9_000),
        longest_item: ms(1_000),
        time_limit: ms(2_000),
        relative_error: 0.0,
    };
    let retry_after = ms(200);
    assert_eq!(admit(&request), Admission::Refused { retry_after });
}

#[test]
fn item_orders_round_trip_through_their_names() {
    for order in [ItemOrder::Arrival, ItemOrder::GroupsInTime] {
        assert_eq!(ItemOrder::from_name(order.name()), Some(order));
    }
    assert_eq!(ItemOrder::from_name("random"), None);
}
