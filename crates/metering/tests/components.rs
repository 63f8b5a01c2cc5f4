//! Tests of the meter, the cluster clock, the ledger and the term history.

use peatgrade_metering::{ClusterClock, Meter, TermHistory, UsageLedger};
use peatgrade_schema::replication::{
    CountUsage, CountedBatch, DecideUsage, TenantCount, WindowCount,
};
use peatgrade_types::{Duration, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const START: Time = Time(3_600_000_000);

fn ms(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

#[test]
fn a_batch_is_resent_until_it_is_acknowledged() {
    let mut meter = Meter::new(7);
    meter.record_start(ms(0), "leeds");
    let first = meter.next_batch(ms(10), 0).unwrap();
    assert_eq!((first.sequence, first.starts.len()), (1, 1));
    assert!(
        meter.next_batch(ms(20), 0).is_none(),
        "the batch is in flight"
    );
    meter.record_start(ms(30), "derby");
    let again = meter.next_batch(ms(700), 0).unwrap();
    assert_eq!((again.sequence, &again.starts), (1, &first.starts));
    assert_eq!(again.sent_at, ms(700).0);
    meter.on_ack(8, 1);
    assert_eq!(
        meter.unacknowledged_starts(),
        2,
        "the ack is for another meter"
    );
    meter.on_ack(7, 1);
    let second = meter.next_batch(ms(710), 0).unwrap();
    assert_eq!(
        (second.sequence, second.starts[0].tenant.as_str()),
        (2, "derby")
    );
    meter.on_ack(7, 2);
    assert_eq!(meter.unacknowledged_starts(), 0);
}

#[test]
fn an_idle_gateway_reports_its_clock_periodically() {
    let mut meter = Meter::new(7);
    let sent = (0..100).filter(|tick| meter.next_batch(ms(tick * 100), 5).is_some());
    assert_eq!(sent.count(), 5, "within 10 s");
}

/// Memory must stay bounded while there is no leader; the oldest starts are dropped.
#[test]
fn queued_starts_are_bounded() {
    let mut meter = Meter::new(7);
    for number in 0..20_000 {
        meter.record_start(ms(number), "leeds");
    }
    assert_eq!(meter.unacknowledged_starts(), 8_192);
    let batch = meter.next_batch(ms(20_000), 0).unwrap();
    assert_eq!(batch.starts.len(), 512);
    assert_eq!(batch.starts[0].at, ms(20_000 - 8_192).0);
}

/// Clocks that are seconds off and delayed messages must not shift the estimate.
#[rstest]
fn a_minority_of_wrong_clocks_does_not_affect_the_time_of_day(#[values(1, 2, 3, 4, 5)] seed: u64) {
    const TRUE_OFFSET: u64 = 1_700_000_000_000_000;
    let mut random = SmallRng::seed_from_u64(seed);
    let mut clock = ClusterClock::default();
    for round in 0..16 {
        for machine in 1..=68_u64 {
            let sent = ms(round * 500 + machine);
            let skew = 40_000 * machine / 68;
            let jump = if machine % 100 < 19 { 2_400_000 } else { 0 };
            let time_of_day = TRUE_OFFSET + sent.0 - 20_000 + skew + jump;
            let received = sent + Duration::from_millis(random.random_range(1..200));
            let monotonic = Time(sent.0 - 1_000_000_000);
            clock.record_sample(received, machine, monotonic, time_of_day);
        }
    }
    let now = ms(8_000);
    let error = clock
        .time_of_day_at(now)
        .unwrap()
        .abs_diff(TRUE_OFFSET + now.0);
    assert!(error < 45_000, "estimate is {error} us off");
    let remote = Time(now.0 - 1_000_000_000);
    let error = clock
        .time_of_day_at_remote(40, remote)
        .unwrap()
        .abs_diff(TRUE_OFFSET + now.0);
    assert!(
        error < 60_000,
        "estimate for a remote machine is {error} us off"
    );
}

#[test]
fn machines_without_recent_samples_are_ignored() {
    let mut clock = ClusterClock::default();
    assert_eq!(clock.time_of_day_at(ms(0)), None);
    for machine in 1..=9 {
        clock.record_sample(ms(0), machine, ms(0), 1_000);
    }
    clock.record_sample(ms(11_000), 10, ms(11_000), 9_000_000_000);
    assert_eq!(clock.machine_count(), 1);
    assert_eq!(clock.time_of_day_at(ms(11_000)), Some(9_000_000_000));
}

fn batch(sequence: u64, counts: &[(u64, &str, u64)]) -> CountUsage {
    let counts = counts.iter().map(|(window, tenant, requests)| WindowCount {
        window: *window,
        count: Some(TenantCount {
            tenant: tenant.to_string(),
            requests: *requests,
        }),
    });
    CountUsage {
        batches: vec![CountedBatch {
            meter: 7,
            sequence,
            counts: counts.collect(),
        }],
    }
}

fn decision(window: u64, holder: &str, counts: Vec<TenantCount>) -> DecideUsage {
    DecideUsage {
        window,
        counts,
        holder: holder.into(),
    }
}

#[test]
fn a_repeated_batch_is_counted_once() {
    let mut ledger = UsageLedger::default();
    ledger.apply_batches(ms(0), 1, batch(1, &[(5, "leeds", 2)]));
    ledger.apply_batches(ms(0), 2, batch(1, &[(5, "leeds", 2)]));
    ledger.apply_batches(ms(0), 3, batch(2, &[(5, "leeds", 1), (6, "derby", 4)]));
    ledger.apply_batches(ms(0), 4, batch(1, &[(5, "leeds", 2)]));
    assert_eq!(ledger.counts(5)[0].requests, 3);
    assert_eq!(ledger.counts(6)[0].requests, 4);
    assert!(ledger.is_counted(7, 2) && !ledger.is_counted(7, 3));
}

#[test]
fn a_decided_window_does_not_change() {
    let mut ledger = UsageLedger::default();
    ledger.apply_batches(ms(0), 1, batch(1, &[(5, "leeds", 2)]));
    let counts = ledger.counts(5);
    ledger.apply_decision(2, 1, decision(5, "a", counts.clone()));
    ledger.apply_batches(ms(0), 3, batch(2, &[(5, "leeds", 1)]));
    ledger.apply_decision(4, 2, decision(5, "b", Vec::new()));
    let (window, decided) = ledger.first_unreported().unwrap();
    assert_eq!((window, &decided.counts), (5, &counts));
    assert_eq!(ledger.late_requests(), 1);
    let holder = ledger.last_holder().unwrap();
    assert_eq!((holder.name.as_str(), holder.term), ("b", 2));
    ledger.mark_reported(5);
    assert!(ledger.first_unreported().is_none());
    assert_eq!(ledger.last_decided(), Some(5));
}

/// A decision missing from the retained log would be made again, with other counts.
#[test]
fn log_entries_that_are_needed_are_retained() {
    let mut ledger = UsageLedger::default();
    assert_eq!(ledger.first_needed_index(ms(0)), None);
    ledger.apply_batches(ms(0), 11, batch(1, &[(5, "leeds", 2)]));
    ledger.apply_batches(ms(0), 12, batch(2, &[(6, "leeds", 2)]));
    assert_eq!(ledger.first_needed_index(ms(0)), Some(11));
    ledger.apply_decision(20, 1, decision(5, "a", Vec::new()));
    assert_eq!(ledger.first_needed_index(ms(0)), Some(12));
    ledger.apply_decision(30, 1, decision(6, "a", Vec::new()));
    ledger.mark_reported(5);
    assert_eq!(
        ledger.first_needed_index(ms(0)),
        Some(12),
        "the batch may be resent"
    );
    assert_eq!(ledger.first_needed_index(ms(60_000)), Some(30));
    ledger.mark_reported(6);
    assert_eq!(
        ledger.first_needed_index(ms(60_000)),
        Some(30),
        "the latest decision is retained"
    );
}

#[test]
fn the_number_of_windows_is_bounded() {
    let mut ledger = UsageLedger::default();
    for window in 1..=1_000 {
        ledger.apply_batches(ms(0), window, batch(window, &[(window, "leeds", 1)]));
    }
    assert_eq!(ledger.first_open_window(), Some(1_000 - 255));
    for window in 2_000..3_000 {
        ledger.apply_decision(window, 1, decision(window, "a", Vec::new()));
    }
    assert_eq!(ledger.unreported_count(), 256);
}

#[test]
fn a_term_ends_when_a_later_one_is_first_observed() {
    let mut terms = TermHistory::default();
    for (at, term) in [(0, 1), (10, 1), (20, 4), (30, 3), (40, 6)] {
        terms.record(ms(at), term);
    }
    assert_eq!(terms.first_seen_after(1), Some(ms(20)));
    assert_eq!(terms.first_seen_after(4), Some(ms(40)));
    assert_eq!(terms.first_seen_after(6), None);
}
