//! Pools, sealing and weights.

use peatgrade_schema::peer::{SealedStep, Span, TrainerRecord};
use peatgrade_training::{
    commit, extend_spans, fence, next_to_seal, seal, staleness, CommitOutcome, EngineProgress,
    Order, PoolPolicy, Prompt, Report, SamplePool, WeightPhase, WeightRollout,
};
use peatgrade_types::{Duration, EngineId, NodeId, Time};
use rstest::rstest;
use std::collections::BTreeSet;

const NOW: Time = Time(1_000_000_000);

fn policy() -> PoolPolicy {
    PoolPolicy {
        samples_per_step: 8,
        group_size: 4,
        staleness_bound: 1,
        oversample_percent: 50,
        lookahead: 0,
        ahead_percent: 0,
        carry_over: true,
    }
}

fn pool(policy: PoolPolicy) -> SamplePool {
    let mut pool = SamplePool::new(policy, 7);
    pool.offer_prompt(Prompt {
        text: b"prompt".to_vec(),
        seed: 1,
    });
    pool
}

fn finish(pool: &mut SamplePool, order: &Order, weights: u64) -> bool {
    let report = Report {
        sample: order.sample,
        attempt: order.attempt,
        spans: vec![Span { weights, tokens: 5 }],
        finished: Some((order.sample, vec![1, 2])),
    };
    pool.on_report(NOW, &report)
}

#[test]
fn a_step_is_selected_once_enough_whole_groups_are_finished() {
    let mut pool = pool(policy());
    let orders = pool.start_groups(NOW, 1, 0);
    assert_eq!(orders.len(), 12, "two groups and one to spare");
    for order in &orders[..7] {
        finish(&mut pool, order, 0);
    }
    assert_eq!(pool.select(1), None, "the second group lacks a sample");
    for order in &orders[8..] {
        finish(&mut pool, order, 0);
    }
    let entries = pool
        .select(1)
        .expect("the spare group stands in for the straggler's");
    let chosen: BTreeSet<u64> = entries.iter().map(|entry| entry.sample).collect();
    assert_eq!(chosen.len(), 8);
    assert!(!chosen.contains(&orders[7].sample));
}

#[test]
fn a_used_sample_is_never_selected_again() {
    let mut pool = pool(policy());
    for order in pool.start_groups(NOW, 1, 0) {
        finish(&mut pool, &order, 0);
    }
    let entries = pool.select(1).unwrap();
    pool.mark_used(entries.iter().map(|entry| entry.sample));
    assert_eq!(pool.complete_groups(), 1);
    for entry in entries {
        pool.restore(entry);
    }
    assert_eq!(pool.complete_groups(), 1, "restored from storage, but used");
}

#[rstest]
#[case(1, 0, 0)]
#[case(3, 1, 1)]
#[case(5, 4, 0)]
fn staleness_is_the_distance_to_the_trainer_at_that_step(
    #[case] step: u64,
    #[case] oldest: u64,
    #[case] distance: u64,
) {
    assert_eq!(staleness(step, oldest), distance);
}

#[test]
fn groups_too_old_for_the_next_step_are_dropped_and_counted() {
    let mut pool = pool(policy());
    let orders = pool.start_groups(NOW, 1, 0);
    for order in &orders[..4] {
        finish(&mut pool, order, 0);
    }
    assert!(pool.drop_stale(2).is_empty(), "one version old is allowed");
    let stopped = pool.drop_stale(3);
    assert_eq!(stopped.len(), 4);
    assert_eq!((pool.drops().stale, pool.drops().wasted_tokens), (4, 20));
}

#[test]
fn a_lost_worker_s_samples_are_given_out_again_and_its_late_reports_ignored() {
    let mut pool = pool(policy());
    let orders = pool.start_groups(NOW, 1, 0);
    for order in &orders {
        pool.assigned(NOW, order.sample, NodeId(9));
    }
    let again = pool.reassign(NOW, |node| node == NodeId(9));
    assert_eq!(again.len(), orders.len());
    assert!(again.iter().all(|order| order.attempt == 2));
    assert!(
        !finish(&mut pool, &orders[0], 0),
        "the first attempt is over"
    );
    assert!(finish(&mut pool, &again[0], 0));
    let silent = pool.reassign(NOW + Duration::from_secs(30), |_| false);
    assert_eq!(
        silent.len(),
        orders.len() - 1,
        "silence counts as loss, finished ones stay"
    );
}

/// A coordinator whose seal had no known outcome reads everything anew under the
/// same epoch.
#[test]
fn a_pool_that_is_read_anew_gives_out_no_name_twice() {
    let mut before = pool(policy());
    let names = |orders: Vec<Order>| -> BTreeSet<u64> {
        let both = orders.iter().flat_map(|order| [order.sample, order.group]);
        both.collect()
    };
    let given = names(before.start_groups(NOW, 1, 0));
    let mut after = before.anew();
    assert_eq!(after.complete_groups() + after.running(), 0);
    after.offer_prompt(Prompt {
        text: b"prompt".to_vec(),
        seed: 1,
    });
    let again = names(after.start_groups(NOW, 1, 0));
    assert_eq!(again.len(), given.len());
    assert!(again.is_disjoint(&given), "{again:?}");
}

#[test]
fn without_carry_over_surplus_is_dropped() {
    let mut pool = pool(PoolPolicy {
        carry_over: false,
        ..policy()
    });
    pool.start_groups(NOW, 1, 0);
    assert_eq!(pool.drop_surplus().len(), 12);
    assert_eq!(pool.drops().surplus, 12);
}

fn sealed(step: u64) -> SealedStep {
    SealedStep {
        step,
        hash: step * 10,
        samples: 8,
        ..SealedStep::default()
    }
}

#[test]
fn a_fenced_coordinator_seals_nothing() {
    let record = fence(&TrainerRecord::default(), 3).unwrap();
    assert_eq!(fence(&record, 2), None);
    assert_eq!(seal(&record, 2, &sealed(1)), None);
    let next = seal(&record, 3, &sealed(1)).unwrap();
    assert_eq!(seal(&next, 3, &sealed(1)), None, "sealed once");
    assert_eq!(seal(&next, 3, &sealed(3)), None, "no step is skipped");
    assert_eq!(next_to_seal(&next), 2);
}

#[test]
fn commits_are_in_order_and_idempotent() {
    let record = fence(&TrainerRecord::default(), 1).unwrap();
    assert_eq!(
        commit(&record, 1),
        CommitOutcome::OutOfOrder { expected: 1 }
    );
    let record = seal(&record, 1, &sealed(1)).unwrap();
    let CommitOutcome::Commit(record) = commit(&record, 1) else {
        panic!("a sealed step can be committed");
    };
    assert_eq!(commit(&record, 1), CommitOutcome::Already);
    assert_eq!(
        commit(&record, 3),
        CommitOutcome::OutOfOrder { expected: 2 }
    );
}

#[test]
fn spans_join_tokens_of_one_version() {
    let mut spans = Vec::new();
    for (weights, tokens) in [(1, 4), (1, 3), (2, 0), (2, 5)] {
        extend_spans(&mut spans, weights, tokens);
    }
    let expected = [
        Span {
            weights: 1,
            tokens: 7,
        },
        Span {
            weights: 2,
            tokens: 5,
        },
    ];
    assert_eq!(spans, expected);
}

#[test]
fn weights_are_activated_when_all_have_staged_or_the_wait_is_over() {
    let engines = [EngineId(1), EngineId(2)];
    let mut rollout = WeightRollout::default();
    rollout.aim(NOW, 4);
    rollout.on_progress(EngineId(1), 4, EngineProgress::Staged);
    rollout.advance(NOW + Duration::from_secs(1), &engines);
    assert_eq!(rollout.phase(), WeightPhase::Staging);
    rollout.on_progress(EngineId(2), 3, EngineProgress::Staged);
    rollout.advance(NOW + Duration::from_secs(2), &engines);
    assert_eq!(rollout.phase(), WeightPhase::Staging, "of another version");
    rollout.advance(NOW + Duration::from_secs(21), &engines);
    assert_eq!(rollout.phase(), WeightPhase::Activating);
    rollout.aim(NOW + Duration::from_secs(22), 3);
    assert_eq!(rollout.version(), 4, "never back");
}
