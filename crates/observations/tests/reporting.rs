//! Which observations are reported, how often, in which order and within which limits.

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

const FIRST_SEQ: u64 = 7 << 31;
const SLOTS: u32 = 6;

#[test]
fn failure_and_recovery_are_reported_immediately() {
    let mut filter = ReportFilter::default();
    let classify = |filter: &mut ReportFilter, observation: &Observation| {
        filter.classify(observation.observed_at, observation, SLOTS, None)
    };
    let failing = failed("e", "me", after(0));
    assert_eq!(classify(&mut filter, &failing), Some(Urgency::Failure));
    let recovered = answered("e", "me", after(10));
    assert_eq!(classify(&mut filter, &recovered), Some(Urgency::Failure));
    assert_eq!(
        classify(&mut filter, &answered("e", "me", after(5_000))),
        None
    );
}

#[test]
fn persistent_failure_is_reported_periodically() {
    let mut filter = ReportFilter::default();
    let mut reports = 0;
    for millis in (0..4_000).step_by(50) {
        let observation = failed("e", "me", after(millis));
        let urgency = filter.classify(after(millis), &observation, SLOTS, None);
        reports += u64::from(urgency.is_some());
    }
    assert_eq!(reports, 4_000 / FAILURE_REPORT_INTERVAL.as_millis());
    let last = failed("e", "me", after(3_950));
    let urgency = filter.classify(after(4_000), &last, SLOTS, None);
    assert_eq!(urgency, Some(Urgency::Failure));
    // There is no newer observation.
    assert_eq!(filter.classify(after(9_000), &last, SLOTS, None), None);
}

#[test]
fn reported_failure_is_contradicted_once() {
    let mut filter = ReportFilter::default();
    let responding = answered("e", "me", after(100));
    assert_eq!(filter.classify(after(100), &responding, SLOTS, None), None);
    assert_eq!(
        filter.classify(after(100), &responding, SLOTS, Some(after(200))),
        None
    );
    let urgency = filter.classify(after(100), &responding, SLOTS, Some(after(50)));
    assert_eq!(urgency, Some(Urgency::Failure));
    // The same reported failure is contradicted only once.
    let later = answered("e", "me", after(2_000));
    assert_eq!(
        filter.classify(after(2_000), &later, SLOTS, Some(after(50))),
        None
    );
}

#[test]
fn load_is_reported_in_steps() {
    let mut filter = ReportFilter::default();
    let mut classify = |millis, running, waiting| {
        let observation = loaded("e", "me", after(millis), running, waiting);
        filter.classify(after(millis), &observation, SLOTS, None)
    };
    assert_eq!(classify(0, 4, 0), None, "below the reported slowdown");
    assert_eq!(classify(100, 6, 6), Some(Urgency::Load));
    assert_eq!(classify(200, 6, 30), None, "within the report interval");
    assert_eq!(classify(700, 6, 7), None, "same step");
    assert_eq!(classify(800, 6, 30), Some(Urgency::Load));
    assert_eq!(classify(1_500, 2, 0), Some(Urgency::Load), "idle again");
}

#[test]
fn messages_carry_ages_that_grow_with_each_hop() {
    let sent = to_message(NOW, &failed("e", "leader", before(300)));
    assert_eq!(sent.age, 300_000);
    // The clock of the receiving node is unrelated.
    let arrival = Time(5_000_000);
    let received = from_message(arrival, &sent).expect("not expired");
    assert_eq!(received.source, "leader");
    let relayed = to_message(arrival + Duration::from_millis(200), &received);
    assert_eq!((relayed.age, relayed.source.as_str()), (500_000, "leader"));
}

#[test]
fn unnamed_and_expired_messages_are_rejected() {
    let message = to_message(NOW, &failed("e", "leader", NOW));
    let mut unnamed = message.clone();
    unnamed.source.clear();
    let mut old = message.clone();
    old.age = MAX_AGE.0;
    assert!(from_message(NOW, &message).is_some());
    assert!(from_message(NOW, &unnamed).is_none());
    assert!(from_message(NOW, &old).is_none());
}

#[test]
fn failures_are_sent_first_in_bounded_messages() {
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
fn outbox_is_bounded_and_counts_drops() {
    let mut outbox = Outbox::default();
    for index in 0..MAX_PENDING + 10 {
        outbox.put(Urgency::Load, answered(&format!("e{index}"), "me", NOW));
    }
    assert_eq!(outbox.dropped(), 10);
    assert!(outbox.take(NOW + MAX_AGE, MAX_OBSERVATION_BYTES).is_empty());
    assert_eq!(outbox.dropped(), 10 + MAX_PENDING as u64);
}

/// A failure is reported once, so a dropped one would be lost.
#[test]
fn failure_evicts_load_from_full_outbox() {
    let mut outbox = Outbox::default();
    for index in 0..MAX_PENDING {
        outbox.put(Urgency::Load, answered(&format!("e{index}"), "me", NOW));
    }
    outbox.put(Urgency::Failure, failed("lost", "me", NOW));
    assert_eq!(outbox.dropped(), 1);
    let messages = outbox.take(NOW, MAX_OBSERVATION_BYTES);
    assert_eq!(messages[0].engine, "lost");
}

/// Otherwise an older load of another source would make the engine look full.
#[test]
fn idle_load_is_sent() {
    let mut idle = loaded("e", "me", NOW, 0, 0);
    idle.load = idle.load.map(|load| EngineLoad {
        slowdown_percent: None,
        ..load
    });
    let received = from_message(NOW, &to_message(NOW, &idle)).unwrap();
    assert_eq!(received.load, idle.load);
}

#[test]
fn updates_are_sent_once_unless_reply_is_lost() {
    let mut feed = ObservationFeed::new(FIRST_SEQ);
    feed.put(Urgency::Failure, failed("e1", "leader", NOW), "");
    feed.put(Urgency::Load, loaded("e2", "leader", NOW, 6, 6), "");
    let updates = |feed: &ObservationFeed, cursor| {
        feed.updates_since(NOW, cursor, "g1", &|_| true, MAX_OBSERVATION_BYTES)
    };
    let (received, cursor) = updates(&feed, FeedCursor::default());
    assert_eq!(received.len(), 2);
    assert_eq!(updates(&feed, cursor).0, []);
    // If the reply is lost, the subscriber sends its previous cursor.
    assert_eq!(updates(&feed, FeedCursor::default()).0.len(), 2);
    feed.put(Urgency::Failure, answered("e1", "leader", NOW), "");
    let (received, _) = updates(&feed, cursor);
    assert_eq!(received.len(), 1);
    assert!(!received[0].unreachable && received[0].failures == 0);
}

#[test]
fn foreign_cursor_restarts_feed() {
    let mut feed = ObservationFeed::new(FIRST_SEQ);
    feed.put(Urgency::Failure, failed("e1", "leader", NOW), "");
    let foreign = FeedCursor {
        failure: FIRST_SEQ + (9 << 40),
        load: 3,
    };
    let (received, _) = feed.updates_since(NOW, foreign, "g1", &|_| true, MAX_OBSERVATION_BYTES);
    assert_eq!(received.len(), 1);
}

#[test]
fn subscriber_does_not_receive_its_own_observations() {
    let mut feed = ObservationFeed::new(FIRST_SEQ);
    feed.put(Urgency::Failure, failed("e1", "g1", NOW), "g1");
    let (received, cursor) = feed.updates_since(
        NOW,
        FeedCursor::default(),
        "g1",
        &|_| true,
        MAX_OBSERVATION_BYTES,
    );
    assert_eq!(received, []);
    assert_eq!(cursor.failure, FIRST_SEQ + 1);
}

#[test]
fn remaining_updates_follow_in_next_reply() {
    let mut feed = ObservationFeed::new(FIRST_SEQ);
    for index in 0..100 {
        let engine = format!("application-engine-{index}");
        feed.put(Urgency::Failure, failed(&engine, "leader", NOW), "");
        feed.put(Urgency::Load, loaded(&engine, "gateway-1", NOW, 6, 9), "");
    }
    let (mut cursor, mut received, mut replies) = (FeedCursor::default(), Vec::new(), 0);
    loop {
        let (updates, reached) =
            feed.updates_since(NOW, cursor, "g1", &|_| true, MAX_OBSERVATION_BYTES);
        if updates.is_empty() {
            break;
        }
        cursor = reached;
        received.extend(updates);
        replies += 1;
    }
    assert_eq!(received.len(), 200);
    assert!(received[..100].iter().all(|update| update.failures == 1));
    assert!(replies <= 15, "{replies} replies for 200 observations");
}

#[test]
fn feed_is_bounded() {
    let mut feed = ObservationFeed::new(FIRST_SEQ);
    for index in 0..MAX_ENTRIES + 50 {
        feed.put(Urgency::Load, answered(&format!("e{index}"), "g1", NOW), "");
    }
    assert_eq!((feed.len(), feed.dropped()), (MAX_ENTRIES, 50));
    feed.remove_expired(NOW + MAX_AGE);
    assert!(feed.is_empty());
}
