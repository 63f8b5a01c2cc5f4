//! Who is offered, who is rejected, and when a rejected caller may come back.

use peatgrade_forward::admission::{
    decide, Admission, Prospect, Reason, Rejection, RejectionRate, Return,
};
use peatgrade_types::{Duration, Time};

const LEFT: Duration = Duration::from_millis(1_000);

fn listening(answer_ms: Option<u64>) -> Prospect {
    Prospect {
        is_listening: true,
        tried_again_in: Duration(0),
        answer_in: answer_ms.map(Duration::from_millis),
    }
}

fn dark(tried_again_ms: u64) -> Prospect {
    Prospect {
        is_listening: false,
        tried_again_in: Duration::from_millis(tried_again_ms),
        answer_in: None,
    }
}

fn rejected(reason: Reason, room_ms: u64) -> Admission {
    let room_in = Duration::from_millis(room_ms);
    Admission::Reject(Rejection { reason, room_in })
}

#[test]
fn one_engine_that_may_serve_it_is_enough() {
    for servable in [listening(None), listening(Some(40)), listening(Some(1_000))] {
        let prospects = [dark(400), listening(Some(3_000)), servable];
        assert_eq!(decide(LEFT, &prospects), Admission::Offer);
    }
}

#[test]
fn what_cannot_be_served_is_rejected_with_the_time_until_it_can() {
    assert_eq!(decide(LEFT, &[]), rejected(Reason::NoEngine, 50));
    let all_dark = [dark(900), dark(300)];
    assert_eq!(decide(LEFT, &all_dark), rejected(Reason::NoneListens, 300));
    let full = [dark(2_000), listening(Some(1_800)), listening(Some(1_400))];
    assert_eq!(decide(LEFT, &full), rejected(Reason::TooLate, 400));
}

/// The last moment of an avoidance must not look like an engine that can serve.
#[test]
fn no_rejection_asks_for_an_immediate_return() {
    assert_eq!(decide(LEFT, &[dark(0)]), rejected(Reason::NoneListens, 50));
}

fn come_back(rejected: f64) -> Return {
    Return {
        room_in: Duration::from_millis(100),
        rejected,
        place_time: Duration::from_millis(5),
        left: Duration::from_millis(1_500),
    }
}

#[test]
fn those_who_are_rejected_together_come_back_spread() {
    let few = come_back(1.0);
    assert_eq!(few.after(0.0), Duration::from_millis(100));
    assert_eq!(few.after(1.0), Duration::from_millis(150));
    // Sixty need 300 ms of the places there are.
    let many = come_back(60.0);
    assert_eq!(many.after(0.0), Duration::from_millis(100));
    assert_eq!(many.after(1.0), Duration::from_millis(400));
}

#[test]
fn a_caller_is_left_time_for_its_answer() {
    let hurried = Return {
        left: Duration::from_millis(240),
        ..come_back(60.0)
    };
    for draw in [0.0, 0.5, 1.0] {
        assert!(hurried.after(draw) <= Duration::from_millis(80));
    }
}

#[test]
fn rejections_of_long_ago_count_for_nothing() {
    let mut rate = RejectionRate::default();
    let start = Time(1_000_000);
    let burst = (0..30).map(|_| rate.add(start)).last().unwrap();
    assert!((29.9..30.1).contains(&burst), "{burst}");
    let later = rate.add(start + Duration::from_secs(10));
    assert!(later < 1.01, "{later}");
}
