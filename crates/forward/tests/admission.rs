//! Admission decisions and retry delays of rejected callers.

use peatgrade_forward::admission::{
    decide, Admission, Candidate, Rejection, RejectionRate, RejectionReason, RetryAfter,
};
use peatgrade_types::{Duration, Time};

const TIME_REMAINING: Duration = Duration::from_millis(1_000);

fn listening(latency_ms: Option<u64>) -> Candidate {
    Candidate {
        is_listening: true,
        retry_in: Duration(0),
        expected_latency: latency_ms.map(Duration::from_millis),
    }
}

fn unreachable(retry_in_ms: u64) -> Candidate {
    Candidate {
        is_listening: false,
        retry_in: Duration::from_millis(retry_in_ms),
        expected_latency: None,
    }
}

fn rejected(reason: RejectionReason, available_in_ms: u64) -> Admission {
    let available_in = Duration::from_millis(available_in_ms);
    Admission::Reject(Rejection {
        reason,
        available_in,
    })
}

#[test]
fn admits_a_request_if_any_engine_can_serve_it() {
    for servable in [listening(None), listening(Some(40)), listening(Some(1_000))] {
        let candidates = [unreachable(400), listening(Some(3_000)), servable];
        assert_eq!(decide(TIME_REMAINING, &candidates), Admission::Admit);
    }
}

#[test]
fn rejects_an_unservable_request_with_the_time_until_an_engine_is_available() {
    assert_eq!(
        decide(TIME_REMAINING, &[]),
        rejected(RejectionReason::NoEngine, 50)
    );
    let all_unreachable = [unreachable(900), unreachable(300)];
    assert_eq!(
        decide(TIME_REMAINING, &all_unreachable),
        rejected(RejectionReason::NoneListens, 300)
    );
    let full = [
        unreachable(2_000),
        listening(Some(1_800)),
        listening(Some(1_400)),
    ];
    assert_eq!(
        decide(TIME_REMAINING, &full),
        rejected(RejectionReason::TooLate, 400)
    );
}

/// Guards against a zero retry delay when an engine's backoff is about to expire.
#[test]
fn a_rejection_never_allows_an_immediate_retry() {
    assert_eq!(
        decide(TIME_REMAINING, &[unreachable(0)]),
        rejected(RejectionReason::NoneListens, 50)
    );
}

fn retry_after(recent_rejections: f64) -> RetryAfter {
    RetryAfter {
        available_in: Duration::from_millis(100),
        recent_rejections,
        time_per_slot: Duration::from_millis(5),
        time_remaining: Duration::from_millis(1_500),
    }
}

#[test]
fn retries_of_callers_rejected_together_are_spread() {
    let single = retry_after(1.0);
    assert_eq!(single.delay(0.0), Duration::from_millis(100));
    assert_eq!(single.delay(1.0), Duration::from_millis(150));
    // Sixty rejected requests need 300 ms at 5 ms per slot.
    let many = retry_after(60.0);
    assert_eq!(many.delay(0.0), Duration::from_millis(100));
    assert_eq!(many.delay(1.0), Duration::from_millis(400));
}

#[test]
fn the_retry_delay_leaves_time_for_the_response() {
    let short_deadline = RetryAfter {
        time_remaining: Duration::from_millis(240),
        ..retry_after(60.0)
    };
    for draw in [0.0, 0.5, 1.0] {
        assert!(short_deadline.delay(draw) <= Duration::from_millis(80));
    }
}

#[test]
fn old_rejections_decay() {
    let mut rate = RejectionRate::default();
    let start = Time(1_000_000);
    let burst = (0..30).map(|_| rate.record(start)).last().unwrap();
    assert!((29.9..30.1).contains(&burst), "{burst}");
    let later = rate.record(start + Duration::from_secs(10));
    assert!(later < 1.01, "{later}");
}
