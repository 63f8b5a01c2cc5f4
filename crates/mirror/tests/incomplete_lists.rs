//! Lists of the store in which objects may be missing, from a publisher to a subscriber.

use peatgrade_mirror::{MirrorTiming, Publisher, PublisherReply, Subscriber, SubscriberAction};
use peatgrade_ports::{EngineRecord, Instance, ObjectKind, StoreObject, StoreUpdate};
use peatgrade_schema::replication::{MirrorReply, MirrorRequest};
use peatgrade_types::{Duration, Time};
use rstest::rstest;

const SUBSCRIBER: &str = "10.0.0.1:7700";

fn ms(at: u64) -> Time {
    Time(at * 1_000)
}

fn engines(revision: u64, names: &[&str], complete: bool) -> StoreUpdate {
    let engine = |name: &&str| {
        let record = EngineRecord {
            instance: Instance(name.to_string()),
            ..EngineRecord::default()
        };
        (name.to_string(), StoreObject::Engine(record))
    };
    StoreUpdate::Listed {
        kind: ObjectKind::Engines,
        at: ms(1_000),
        revision,
        objects: names.iter().map(engine).collect(),
        complete,
    }
}

/// A publisher with a configuration.
fn publisher() -> Publisher {
    let mut publisher = Publisher::default();
    publisher.apply(&StoreUpdate::Listed {
        kind: ObjectKind::Configuration,
        at: ms(1_000),
        revision: 1,
        objects: vec![("main".into(), StoreObject::Configuration(Box::default()))],
        complete: true,
    });
    publisher
}

fn subscriber() -> Subscriber {
    let timing = MirrorTiming::for_staleness_bound(Duration::from_secs(4));
    let mut subscriber = Subscriber::new(ms(1_000), "gateway", "z", timing, 7);
    subscriber.set_publishers(vec![("z".into(), "10.0.0.9:7700".into())], "");
    subscriber
}

fn next_request(subscriber: &mut Subscriber, at: u64) -> MirrorRequest {
    let mut actions = subscriber.tick(ms(at)).into_iter();
    let request = actions.find_map(|action| match action {
        SubscriberAction::SendRequest { request, .. } => Some(request),
        SubscriberAction::WatchStore(_) => None,
    });
    request.expect("request is due")
}

/// Sends the subscriber's next request, and returns the update of engines in the reply.
fn exchange(publisher: &mut Publisher, subscriber: &mut Subscriber, at: u64) -> StoreUpdate {
    publisher.on_request(ms(at), SUBSCRIBER, next_request(subscriber, at));
    let reply = publisher.due_replies(ms(at)).remove(0);
    receive(subscriber, reply, at)
}

/// Returns the update of engines in a reply.
fn receive(subscriber: &mut Subscriber, reply: PublisherReply, at: u64) -> StoreUpdate {
    let reply = MirrorReply {
        call: reply.call,
        kinds: reply.kinds,
        ..MirrorReply::default()
    };
    let updates = subscriber.on_reply(ms(at), reply, &mut Vec::new());
    let mut updates = updates.into_iter();
    let is_of_engines = |update: &StoreUpdate| {
        matches!(
            update,
            StoreUpdate::Listed { kind, .. } | StoreUpdate::Changed { kind, .. }
                if *kind == ObjectKind::Engines
        )
    };
    updates.find(is_of_engines).expect("update of engines")
}

fn listed(update: StoreUpdate) -> (Vec<String>, bool) {
    let StoreUpdate::Listed {
        objects, complete, ..
    } = update
    else {
        panic!("{update:?}");
    };
    let names = objects.into_iter().map(|(name, _)| name);
    (names.collect(), complete)
}

#[test]
fn subscriber_learns_that_a_list_is_incomplete() {
    let (mut publisher, mut subscriber) = (publisher(), subscriber());
    publisher.apply(&engines(5, &["a"], false));
    let update = exchange(&mut publisher, &mut subscriber, 1_100);
    assert_eq!(listed(update), (vec!["a".to_string()], false));
}

/// Guards against engines that stay unknown at a subscriber once its publisher knows them. The
/// store's revision may be the same.
#[rstest]
#[case::same_revision(5)]
#[case::newer_revision(6)]
fn complete_list_after_an_incomplete_one_is_sent_in_full(#[case] revision: u64) {
    let (mut publisher, mut subscriber) = (publisher(), subscriber());
    publisher.apply(&engines(5, &["a"], false));
    exchange(&mut publisher, &mut subscriber, 1_100);
    publisher.apply(&engines(revision, &["a", "b"], true));
    let update = exchange(&mut publisher, &mut subscriber, 1_200);
    let names = vec!["a".to_string(), "b".to_string()];
    assert_eq!(listed(update), (names, true));
}

/// Guards against full lists in every reply.
#[test]
fn request_is_held_while_the_publisher_has_no_more_objects() {
    let (mut publisher, mut subscriber) = (publisher(), subscriber());
    publisher.apply(&engines(5, &["a"], false));
    exchange(&mut publisher, &mut subscriber, 1_100);
    publisher.on_request(ms(1_200), SUBSCRIBER, next_request(&mut subscriber, 1_200));
    assert!(publisher.due_replies(ms(1_201)).is_empty());
    publisher.apply(&engines(5, &["a", "b"], true));
    let reply = publisher.due_replies(ms(1_202)).remove(0);
    receive(&mut subscriber, reply, 1_202);
    publisher.on_request(ms(1_300), SUBSCRIBER, next_request(&mut subscriber, 1_300));
    assert!(publisher.due_replies(ms(1_301)).is_empty());
}

#[test]
fn publisher_keeps_engines_outside_an_incomplete_list() {
    let (mut publisher, mut subscriber) = (publisher(), subscriber());
    publisher.apply(&engines(5, &["a", "b"], true));
    publisher.apply(&engines(6, &["a", "c"], false));
    let update = exchange(&mut publisher, &mut subscriber, 1_100);
    let names = ["a", "b", "c"].map(str::to_string).to_vec();
    assert_eq!(listed(update), (names, false));
}
