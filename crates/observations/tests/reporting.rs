//! What is told, how often, in which order and within which bounds.

mod common;

use common::{after, answered, before, failed, loaded, NOW};
use peatgrade_observations::{
    from_message, to_message, FeedCursor, Observation, ObservationFeed, Outbox, ReportFilter,
    Urgency, FAILURE_REPORT_INTERVAL, MAX_AGE, MAX_ENTRIES, MAX_OBSERVATION_BYTES, MAX_PENDING,
};
use peatgrade_ports::EngineLoad;
use peatgrade_schema::encode;
use peatgrade_schema::replication::MirrorReply;
use peatgrade_types::{Duration, Time};

const FIRST: u64 = 7 << 31;
const SLOTS: u32 = 6;

#[test]
fn a_failure_and_its_end_are_told_at_once() {
    let mut teller = ReportFilter::default();
    let weigh = |teller: &mut ReportFilter, observation: &Observation| {
        teller.classify(observation.observed_at, observation, SLOTS, None)
    };
    let fails = failed("e", "me", after(0));
    assert_eq!(weigh(&mut teller, &fails), Some(Urgency::Failure));
    let well = answered("e", "me", after(10));
    assert_eq!(weigh(&mut teller, &well), Some(Urgency::Failure));
    assert_eq!(weigh(&mut teller, &answered("e", "me", after(5_000))), None);
}

#[test]
fn an_engine_that_goes_on_failing_is_told_again_but_not_each_time() {
    let mut teller = ReportFilter::default();
    let mut told = 0;
    for millis in (0..4_000).step_by(50) {
        let observation = failed("e", "me", after(millis));
        let urgency = teller.classify(after(millis), &observation, SLOTS, None);
        told += u64::from(urgency.is_some());
    }
    assert_eq!(told, 4_000 / FAILURE_REPORT_INTERVAL.as_millis());
    let last = failed("e", "me", after(3_950));
    let urgency = teller.classify(after(4_000), &last, SLOTS, None);
    assert_eq!(urgency, Some(Urgency::Failure));
    // Nothing was seen since.
    assert_eq!(teller.classify(after(9_000), &last, SLOTS, None), None);
}

#[test]
fn an_accusation_is_answered_by_whom_the_engine_answers() {
    let mut teller = ReportFilter::default();
    let well = answered("e", "me", after(100));
    assert_eq!(teller.classify(after(100), &well, SLOTS, None), None);
    assert_eq!(
        teller.classify(after(100), &well, SLOTS, Some(after(200))),
        None
    );
    let urgency = teller.classify(after(100), &well, SLOTS, Some(after(50)));
    assert_eq!(urgency, Some(Urgency::Failure));
    // Once said, it is not said again for the same accusation.
    let later = answered("e", "me", after(2_000));
    assert_eq!(
        teller.classify(after(2_000), &later, SLOTS, Some(after(50))),
        None
    );
}

#[test]
fn a_load_is_told_by_steps_and_not_each_time() {
    let mut teller = ReportFilter::default();
    let mut weigh = |millis, running, waiting| {
        let observation = loaded("e", "me", after(millis), running, waiting);
        teller.classify(after(millis), &observation, SLOTS, None)
    };
    assert_eq!(weigh(0, 4, 0), None, "nothing unusual");
    assert_eq!(weigh(100, 6, 6), Some(Urgency::Load));
    assert_eq!(weigh(200, 6, 30), None, "told a moment ago");
    assert_eq!(weigh(700, 6, 7), None, "no other step");
    assert_eq!(weigh(800, 6, 30), Some(Urgency::Load));
    assert_eq!(weigh(1_500, 2, 0), Some(Urgency::Load), "free again");
}

#[test]
fn ages_travel_and_each_hop_adds_to_them() {
    let sent = to_message(NOW, &failed("e", "leader", before(300)));
    assert_eq!(sent.age, 300_000);
    // The next machine's clock has nothing to do with it.
    let arrival = Time(5_000_000);
    let held = from_message(arrival, &sent).expect("it is young");
    assert_eq!(held.source, "leader");
    let relayed = to_message(arrival + Duration::from_millis(200), &held);
    assert_eq!((relayed.age, relayed.source.as_str()), (500_000, "leader"));
}

#[test]
fn what_names_nobody_or_is_too_old_is_not_taken() {
    let message = to_message(NOW, &failed("e", "leader", NOW));
    let mut nameless = message.clone();
    nameless.source.clear();
    let mut old = message.clone();
    old.age = MAX_AGE.0;
    assert!(from_message(NOW, &message).is_some());
    assert!(from_message(NOW, &nameless).is_none());
    assert!(from_message(NOW, &old).is_none());
}

#[test]
fn failures_leave_first_and_a_message_is_bounded() {
    let mut outbox = Outbox::default();
    for index in 0..60 {
        let engine = format!("application-engine-{index}");
        outbox.put(Urgency::Load, loaded(&engine, "gateway-1", NOW, 6, 9));
    }
    outbox.put(Urgency::Failure, failed("lost", "gateway-1", NOW));
    let first = outbox.take(NOW, MAX_OBSERVATION_BYTES);
    assert_eq!(first[0].engine, "lost");
    let message = MirrorReply {
        observations: first,
        ..MirrorReply::default()
    };
    assert!(encode(&message).len() <= MAX_OBSERVATION_BYTES);
    let mut messages = 1;
    while !outbox.is_empty() {
        assert!(!outbox.take(NOW, MAX_OBSERVATION_BYTES).is_empty());
        messages += 1;
    }
    assert!(messages <= 5, "{messages} messages for 61 engines");
    assert_eq!(outbox.dropped(), 0);
}

#[test]
fn what_waits_is_bounded_and_what_is_left_out_counted() {
    let mut outbox = Outbox::default();
    for index in 0..MAX_PENDING + 10 {
        outbox.put(Urgency::Load, answered(&format!("e{index}"), "me", NOW));
    }
    assert_eq!(outbox.dropped(), 10);
    assert!(outbox.take(NOW + MAX_AGE, MAX_OBSERVATION_BYTES).is_empty());
    assert_eq!(outbox.dropped(), 10 + MAX_PENDING as u64);
}

/// A machine tells a failure once: one that is dropped is never told again.
#[test]
fn a_failure_finds_room_among_loads_that_wait() {
    let mut outbox = Outbox::default();
    for index in 0..MAX_PENDING {
        outbox.put(Urgency::Load, answered(&format!("e{index}"), "me", NOW));
    }
    outbox.put(Urgency::Failure, failed("lost", "me", NOW));
    assert_eq!(outbox.dropped(), 1);
    let told = outbox.take(NOW, MAX_OBSERVATION_BYTES);
    assert_eq!(told[0].engine, "lost");
}

/// Otherwise an older load of another source would make an engine count as full.
#[test]
fn an_engine_that_is_free_again_is_told_as_such() {
    let mut free = loaded("e", "me", NOW, 0, 0);
    free.load = free.load.map(|load| EngineLoad {
        slowdown_percent: None,
        ..load
    });
    let told = from_message(NOW, &to_message(NOW, &free)).unwrap();
    assert_eq!(told.load, free.load);
}

#[test]
fn a_subscriber_is_told_each_thing_once_and_again_if_it_was_lost() {
    let mut board = ObservationFeed::new(FIRST);
    board.put(Urgency::Failure, failed("e1", "leader", NOW), "");
    board.put(Urgency::Load, loaded("e2", "leader", NOW, 6, 6), "");
    let news = |board: &ObservationFeed, marks| {
        board.updates_since(NOW, marks, "g1", &|_| true, MAX_OBSERVATION_BYTES)
    };
    let (told, marks) = news(&board, FeedCursor::default());
    assert_eq!(told.len(), 2);
    assert_eq!(news(&board, marks).0, []);
    // The reply was lost: the subscriber names what it had before.
    assert_eq!(news(&board, FeedCursor::default()).0.len(), 2);
    board.put(Urgency::Failure, answered("e1", "leader", NOW), "");
    let (told, _) = news(&board, marks);
    assert_eq!(told.len(), 1);
    assert!(!told[0].unreachable && told[0].failures == 0);
}

#[test]
fn a_subscriber_of_another_publisher_is_told_all() {
    let mut board = ObservationFeed::new(FIRST);
    board.put(Urgency::Failure, failed("e1", "leader", NOW), "");
    let foreign = FeedCursor {
        failure: FIRST + (9 << 40),
        load: 3,
    };
    let (told, _) = board.updates_since(NOW, foreign, "g1", &|_| true, MAX_OBSERVATION_BYTES);
    assert_eq!(told.len(), 1);
}

#[test]
fn nobody_is_told_what_it_said_itself() {
    let mut board = ObservationFeed::new(FIRST);
    board.put(Urgency::Failure, failed("e1", "g1", NOW), "g1");
    let (told, marks) = board.updates_since(
        NOW,
        FeedCursor::default(),
        "g1",
        &|_| true,
        MAX_OBSERVATION_BYTES,
    );
    assert_eq!(told, []);
    assert_eq!(marks.failure, FIRST + 1);
}

#[test]
fn what_does_not_fit_follows_with_the_next_reply() {
    let mut board = ObservationFeed::new(FIRST);
    for index in 0..100 {
        let engine = format!("application-engine-{index}");
        board.put(Urgency::Failure, failed(&engine, "leader", NOW), "");
        board.put(Urgency::Load, loaded(&engine, "gateway-1", NOW, 6, 9), "");
    }
    let (mut marks, mut told, mut replies) = (FeedCursor::default(), Vec::new(), 0);
    loop {
        let (news, reached) =
            board.updates_since(NOW, marks, "g1", &|_| true, MAX_OBSERVATION_BYTES);
        if news.is_empty() {
            break;
        }
        marks = reached;
        told.extend(news);
        replies += 1;
    }
    assert_eq!(told.len(), 200);
    assert!(told[..100].iter().all(|told| told.failures == 1));
    assert!(replies <= 15, "{replies} replies for 200 observations");
}

#[test]
fn a_board_is_bounded() {
    let mut board = ObservationFeed::new(FIRST);
    for index in 0..MAX_ENTRIES + 50 {
        board.put(Urgency::Load, answered(&format!("e{index}"), "g1", NOW), "");
    }
    assert_eq!((board.len(), board.dropped()), (MAX_ENTRIES, 50));
    board.remove_expired(NOW + MAX_AGE);
    assert!(board.is_empty());
}
