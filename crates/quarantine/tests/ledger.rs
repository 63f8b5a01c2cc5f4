//! Which request is blamed for crashes, and which was only there.

use peatgrade_quarantine::{
    CrashLedger, Fingerprint, RetryScope, Verdict, MAX_CRASHES_PER_REQUEST, MAX_TRACKED_REQUESTS,
    RECORD_TTL,
};
use peatgrade_types::{Duration, Time};
use rstest::rstest;

const GUILTY: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);
const ANY: RetryScope = RetryScope::AnyNode;

fn seconds(at: u64) -> Time {
    Time(at * 1_000_000)
}

/// A ledger in which engines crashed under requests, one each second.
fn ledger(crashes: &[(u64, &[Fingerprint])]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for (second, (engine, requests)) in (0..).zip(crashes) {
        for request in *requests {
            ledger.record_crash(seconds(second), *request, *engine, ANY);
        }
    }
    ledger
}

fn alone(engines: u64) -> Vec<(u64, &'static [Fingerprint])> {
    (0..engines).map(|engine| (engine, &[GUILTY][..])).collect()
}

#[rstest]
#[case::none(0, Verdict::Clear)]
#[case::one(1, Verdict::Clear)]
#[case::two(2, Verdict::Suspected { crashes: 2 })]
#[case::three(3, Verdict::Convicted { crashes: 3 })]
#[case::many(6, Verdict::Convicted { crashes: 6 })]
fn crashes_of_different_engines_add_up(#[case] engines: u64, #[case] verdict: Verdict) {
    assert_eq!(ledger(&alone(engines)).verdict(GUILTY), verdict);
}

#[test]
fn one_engine_counts_once_however_many_tell_of_it() {
    let crashes: [(u64, &[Fingerprint]); 4] = [
        (7, &[GUILTY]),
        (7, &[GUILTY]),
        (7, &[GUILTY]),
        (7, &[GUILTY]),
    ];
    assert_eq!(ledger(&crashes).verdict(GUILTY), Verdict::Clear);
}

#[test]
fn two_that_were_always_together_get_one_more_run_to_tell_them_apart() {
    let both: &[Fingerprint] = &[GUILTY, OTHER];
    let mut ledger = ledger(&[(0, both), (1, both), (2, both)]);
    for request in [GUILTY, OTHER] {
        assert_eq!(ledger.verdict(request), Verdict::Suspected { crashes: 3 });
    }
    ledger.record_crash(seconds(9), GUILTY, 3, ANY);
    assert_eq!(ledger.verdict(GUILTY), Verdict::Convicted { crashes: 4 });
    assert_eq!(
        ledger.verdict(OTHER),
        Verdict::Clear,
        "explained by the other"
    );
}

#[test]
fn a_request_that_ran_to_its_end_is_clear_of_what_was_before() {
    let mut ledger = ledger(&alone(2));
    assert!(ledger.record_completed_run(seconds(5), GUILTY));
    assert_eq!(ledger.verdict(GUILTY), Verdict::Clear);
    assert!(
        !ledger.record_crash(seconds(4), GUILTY, 40, ANY),
        "told late"
    );
    ledger.record_crash(seconds(6), GUILTY, 41, ANY);
    ledger.record_crash(seconds(7), GUILTY, 42, ANY);
    ledger.record_crash(seconds(8), GUILTY, 43, ANY);
    assert_eq!(ledger.verdict(GUILTY), Verdict::Convicted { crashes: 3 });
}

#[test]
fn a_verdict_ends_some_time_after_the_last_crash() {
    let mut ledger = ledger(&alone(3));
    let last = seconds(2);
    ledger.evict_expired(last + Duration(RECORD_TTL.0 - 1));
    assert_eq!(ledger.verdict(GUILTY), Verdict::Convicted { crashes: 3 });
    ledger.evict_expired(last + RECORD_TTL);
    assert_eq!(ledger.verdict(GUILTY), Verdict::Clear);
    assert_eq!(ledger.len(), 0);
}

#[test]
fn a_flood_of_requests_that_end_engines_stays_within_bounds_and_loses_no_verdict() {
    let mut ledger = ledger(&alone(3));
    for number in 0..5 * MAX_TRACKED_REQUESTS as u64 {
        let request = Fingerprint(100 + u128::from(number));
        ledger.record_crash(seconds(10 + number), request, 1_000 + number, ANY);
    }
    assert_eq!(ledger.len(), MAX_TRACKED_REQUESTS);
    assert_eq!(ledger.verdict(GUILTY), Verdict::Convicted { crashes: 3 });
    let newest = Fingerprint(99 + 5 * MAX_TRACKED_REQUESTS as u128);
    assert_eq!(ledger.crash_count(newest), 1);
}

#[test]
fn crashes_of_one_request_stay_within_bounds() {
    let ledger = ledger(&alone(3 * MAX_CRASHES_PER_REQUEST as u64));
    assert_eq!(ledger.crash_count(GUILTY), MAX_CRASHES_PER_REQUEST);
}

#[test]
fn ledgers_with_the_same_crashes_have_the_same_digest() {
    let there = ledger(&[(1, &[GUILTY]), (2, &[OTHER, GUILTY])]);
    let mut back = CrashLedger::default();
    for (engine, request) in [(2, GUILTY), (2, OTHER), (1, GUILTY)] {
        back.record_crash(seconds(50), request, engine, ANY);
    }
    assert_eq!(there.digest(), back.digest());
    assert_ne!(there.digest(), ledger(&[(1, &[GUILTY])]).digest());
    assert_eq!(CrashLedger::default().digest(), 0);
}

#[test]
fn the_first_crash_of_what_only_the_leader_runs_is_told_to_nobody() {
    let mut ledger = CrashLedger::default();
    ledger.record_crash(seconds(1), GUILTY, 1, RetryScope::LeaderOnly);
    assert_eq!((ledger.digest(), ledger.crash_count(GUILTY)), (0, 1));
    ledger.record_crash(seconds(2), GUILTY, 2, RetryScope::LeaderOnly);
    assert_ne!(ledger.digest(), 0);
}
