//! Verdicts on requests that were running when engines crashed.

use peatgrade_quarantine::{
    CrashLedger, Fingerprint, RetryScope, Verdict, MAX_CRASHES_PER_REQUEST, MAX_TRACKED_REQUESTS,
    RECORD_TTL,
};
use peatgrade_types::{Duration, Time};
use rstest::rstest;

const CRASHING: Fingerprint = Fingerprint(1);
const OTHER: Fingerprint = Fingerprint(2);
const ANY: RetryScope = RetryScope::AnyNode;

fn seconds(at: u64) -> Time {
    Time(at * 1_000_000)
}

/// A ledger with one crash per second, each with the requests that were running.
fn ledger(crashes: &[(u64, &[Fingerprint])]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for (second, (engine, requests)) in (0..).zip(crashes) {
        for request in *requests {
            ledger.record_crash(seconds(second), *request, *engine, ANY);
        }
    }
    ledger
}

fn crashes_of_single_request(engines: u64) -> Vec<(u64, &'static [Fingerprint])> {
    (0..engines)
        .map(|engine| (engine, &[CRASHING][..]))
        .collect()
}

#[rstest]
#[case::none(0, Verdict::Clear)]
#[case::one(1, Verdict::Clear)]
#[case::two(2, Verdict::Suspected { crashes: 2 })]
#[case::three(3, Verdict::Convicted { crashes: 3 })]
#[case::many(6, Verdict::Convicted { crashes: 6 })]
fn crashes_of_different_engines_accumulate(#[case] engines: u64, #[case] verdict: Verdict) {
    assert_eq!(
        ledger(&crashes_of_single_request(engines)).verdict(CRASHING),
        verdict
    );
}

#[test]
fn repeated_reports_of_one_crash_count_once() {
    let crashes: [(u64, &[Fingerprint]); 4] = [
        (7, &[CRASHING]),
        (7, &[CRASHING]),
        (7, &[CRASHING]),
        (7, &[CRASHING]),
    ];
    assert_eq!(ledger(&crashes).verdict(CRASHING), Verdict::Clear);
}

#[test]
fn correlated_requests_need_one_more_crash_for_a_conviction() {
    let both: &[Fingerprint] = &[CRASHING, OTHER];
    let mut ledger = ledger(&[(0, both), (1, both), (2, both)]);
    for request in [CRASHING, OTHER] {
        assert_eq!(ledger.verdict(request), Verdict::Suspected { crashes: 3 });
    }
    ledger.record_crash(seconds(9), CRASHING, 3, ANY);
    assert_eq!(ledger.verdict(CRASHING), Verdict::Convicted { crashes: 4 });
    assert_eq!(
        ledger.verdict(OTHER),
        Verdict::Clear,
        "explained by the other request"
    );
}

#[test]
fn a_completed_run_clears_earlier_crashes() {
    let mut ledger = ledger(&crashes_of_single_request(2));
    assert!(ledger.record_completed_run(seconds(5), CRASHING));
    assert_eq!(ledger.verdict(CRASHING), Verdict::Clear);
    assert!(
        !ledger.record_crash(seconds(4), CRASHING, 40, ANY),
        "crash before the completion"
    );
    ledger.record_crash(seconds(6), CRASHING, 41, ANY);
    ledger.record_crash(seconds(7), CRASHING, 42, ANY);
    ledger.record_crash(seconds(8), CRASHING, 43, ANY);
    assert_eq!(ledger.verdict(CRASHING), Verdict::Convicted { crashes: 3 });
}

#[test]
fn a_verdict_expires_after_the_last_crash() {
    let mut ledger = ledger(&crashes_of_single_request(3));
    let last = seconds(2);
    ledger.evict_expired(last + Duration(RECORD_TTL.0 - 1));
    assert_eq!(ledger.verdict(CRASHING), Verdict::Convicted { crashes: 3 });
    ledger.evict_expired(last + RECORD_TTL);
    assert_eq!(ledger.verdict(CRASHING), Verdict::Clear);
    assert_eq!(ledger.len(), 0);
}

#[test]
fn many_crashing_requests_do_not_evict_a_conviction() {
    let mut ledger = ledger(&crashes_of_single_request(3));
    for number in 0..5 * MAX_TRACKED_REQUESTS as u64 {
        let request = Fingerprint(100 + u128::from(number));
        ledger.record_crash(seconds(10 + number), request, 1_000 + number, ANY);
    }
    assert_eq!(ledger.len(), MAX_TRACKED_REQUESTS);
    assert_eq!(ledger.verdict(CRASHING), Verdict::Convicted { crashes: 3 });
    let newest = Fingerprint(99 + 5 * MAX_TRACKED_REQUESTS as u128);
    assert_eq!(ledger.crash_count(newest), 1);
}

#[test]
fn the_number_of_crashes_per_request_is_bounded() {
    let ledger = ledger(&crashes_of_single_request(
        3 * MAX_CRASHES_PER_REQUEST as u64,
    ));
    assert_eq!(ledger.crash_count(CRASHING), MAX_CRASHES_PER_REQUEST);
}

#[test]
fn ledgers_with_the_same_crashes_have_the_same_digest() {
    let first = ledger(&[(1, &[CRASHING]), (2, &[OTHER, CRASHING])]);
    let mut reordered = CrashLedger::default();
    for (engine, request) in [(2, CRASHING), (2, OTHER), (1, CRASHING)] {
        reordered.record_crash(seconds(50), request, engine, ANY);
    }
    assert_eq!(first.digest(), reordered.digest());
    assert_ne!(first.digest(), ledger(&[(1, &[CRASHING])]).digest());
    assert_eq!(CrashLedger::default().digest(), 0);
}

#[test]
fn the_first_crash_of_a_job_item_is_not_shared() {
    let mut ledger = CrashLedger::default();
    ledger.record_crash(seconds(1), CRASHING, 1, RetryScope::LeaderOnly);
    assert_eq!((ledger.digest(), ledger.crash_count(CRASHING)), (0, 1));
    ledger.record_crash(seconds(2), CRASHING, 2, RetryScope::LeaderOnly);
    assert_ne!(ledger.digest(), 0);
}

/// Engines that crash at the same time for another reason are no evidence against a request.
#[test]
fn crashes_beside_those_of_other_engines_are_not_isolated() {
    let mut ledger = ledger(&crashes_of_single_request(4));
    assert_eq!(ledger.isolated_crashes(CRASHING), 4);
    let after = |millis: u64| Time(seconds(3).0 + 1_000 * millis);
    ledger.record_engine_crash(after(1_001), 90);
    assert_eq!(ledger.isolated_crashes(CRASHING), 4, "too late");
    ledger.record_engine_crash(after(900), 91);
    assert_eq!(ledger.isolated_crashes(CRASHING), 3);
    // The verdict is that on a caller's request, which the coincidence does not change.
    assert_eq!(ledger.verdict(CRASHING), Verdict::Convicted { crashes: 4 });
    ledger.record_completed_run(seconds(9), CRASHING);
    assert_eq!(ledger.isolated_crashes(CRASHING), 0);
}

/// Requests that were running on the same engine explain each other by the verdict only.
#[test]
fn crashes_of_engines_that_ran_several_requests_are_isolated() {
    let both: &[Fingerprint] = &[CRASHING, OTHER];
    let ledger = ledger(&[(0, both), (1, both), (2, both)]);
    assert_eq!(ledger.isolated_crashes(CRASHING), 3);
    assert_eq!(ledger.isolated_crashes(OTHER), 3);
}

#[test]
fn the_number_of_kept_engine_crashes_is_bounded() {
    let mut ledger = ledger(&crashes_of_single_request(1));
    ledger.record_engine_crash(seconds(0), 50);
    assert_eq!(ledger.isolated_crashes(CRASHING), 0);
    for engine in 1_000..1_300 {
        ledger.record_engine_crash(seconds(60), engine);
    }
    assert_eq!(
        ledger.isolated_crashes(CRASHING),
        1,
        "the oldest are dropped"
    );
}
