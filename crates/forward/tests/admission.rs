//! Who is offered, who is rejected, and when a rejected caller may come back.

use peatgrade_forward::admission::{
    decide, Admission, Candidate, Rejection, RejectionRate, RejectionReason, RetryAfter,
};
use peatgrade_types::{Duration, Time};

const LEFT: Duration = Duration::from_millis(1_000);

fn listening(answer_ms: Option<u64>) -> Candidate {
    Candidate {
        is_listening: true,
        retry_in: Duration(0),
        expected_latency: answer_ms.map(Duration::from_millis),
    }
}

fn dark(tried_again_ms: u64) -> Candidate {
    Candidate {
        is_listening: false,
        retry_in: Duration::from_millis(tried_again_ms),
        expected_latency: None,
    }
}

fn rejected(reason: RejectionReason, room_ms: u64) -> Admission {
    let available_in = Duration::from_millis(room_ms);
    Admission::Reject(Rejection {
        reason,
        available_in,
    })
}

#[test]
fn one_engine_that_may_serve_it_is_enough() {
    for servable in [listening(None), listening(Some(40)), listening(Some(1_000))] {
        let prospects = [dark(400), listening(Some(3_000)), servable];
        assert_eq!(decide(LEFT, &prospects), Admission::Admit);
    }
}

#[test]
fn what_cannot_be_served_is_rejected_with_the_time_until_it_can() {
    assert_eq!(decide(LEFT, &[]), rejected(RejectionReason::NoEngine, 50));
    let all_dark = [dark(900), dark(300)];
    assert_eq!(
        decide(LEFT, &all_dark),
        rejected(RejectionReason::NoneListens, 300)
    );
    let full = [dark(2_000), listening(Some(1_800)), listening(Some(1_400))];
    assert_eq!(decide(LEFT, &full), rejected(RejectionReason::TooLate, 400));
}

/// The last moment of an avoidance must not look like an engine that can serve.
#[test]
fn no_rejection_asks_for_an_immediate_return() {
    assert_eq!(
        decide(LEFT, &[dark(0)]),
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
fn those_who_are_rejected_together_come_back_spread() {
    let few = retry_after(1.0);
    assert_eq!(few.delay(0.0), Duration::from_millis(100));
    assert_eq!(few.delay(1.0), Duration::from_millis(150));
    // Sixty need 300 ms of the places there are.
    let many = retry_after(60.0);
    assert_eq!(many.delay(0.0), Duration::from_millis(100));
    assert_eq!(many.delay(1.0), Duration::from_millis(400));
}

#[test]
fn a_caller_is_left_time_for_its_answer() {
    let hurried = RetryAfter {
        time_remaining: Duration::from_millis(240),
        ..retry_after(60.0)
    };
    for draw in [0.0, 0.5, 1.0] {
        assert!(hurried.delay(draw) <= Duration::from_millis(80));
    }
}

#[test]
fn rejections_of_long_ago_count_for_nothing() {
    let mut rate = RejectionRate::default();
    let start = Time(1_000_000);
    let burst = (0..30).map(|_| rate.record(start)).last().unwrap();
    assert!((29.9..30.1).contains(&burst), "{burst}");
    let later = rate.record(start + Duration::from_secs(10));
    assert!(later < 1.01, "{later}");
}
