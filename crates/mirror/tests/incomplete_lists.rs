//! Lists of the store in which objects may be missing, from a publisher to a subscriber.

use peatgrade_mirror::{MirrorTiming, Publisher, Subscriber, SubscriberAction};
use peatgrade_ports::{EngineRecord, Instance, ObjectKind, StoreObject, StoreUpdate};
use peatgrade_schema::replication::MirrorReply;
use peatgrade_types::{Duration, Time};

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

/// Sends the subscriber's next request, and returns the update of engines in the reply.
fn exchange(publisher: &mut Publisher, subscriber: &mut Subscriber, at: u64) -> StoreUpdate {
    let mut actions = subscriber.tick(ms(at)).into_iter();
    let request = actions.find_map(|action| match action {
        SubscriberAction::SendRequest { request, .. } => Some(request),
        SubscriberAction::WatchStore(_) => None,
    });
    publisher.on_request(ms(at), "10.0.0.1:7700", request.expect("request is due"));
    let reply = publisher.due_replies(ms(at)).remove(0);
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

/// The subscriber may hold engines that were deleted before the publisher read them.
#[test]
fn complete_list_after_an_incomplete_one_is_sent_in_full() {
    let (mut publisher, mut subscriber) = (publisher(), subscriber());
    publisher.apply(&engines(5, &["a"], false));
    exchange(&mut publisher, &mut subscriber, 1_100);
    publisher.apply(&engines(6, &["a", "b"], true));
    let update = exchange(&mut publisher, &mut subscriber, 1_200);
    let names = vec!["a".to_string(), "b".to_string()];
    assert_eq!(listed(update), (names, true));
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
