//! A subscriber is told the engines that it needs, and only those.

use peatgrade_mirror::{
    MirrorTiming, Publisher, PublisherReply, ServiceFilter, Subscriber, SubscriberAction,
};
use peatgrade_ports::{EngineRecord, Instance, ObjectKind, StoreEvent, StoreObject, StoreUpdate};
use peatgrade_schema::replication::{MirrorReply, MirrorRequest};
use peatgrade_schema::{decode, encode};
use peatgrade_types::{Duration, Time};
use rstest::rstest;
use std::collections::BTreeMap;

const PUBLISHER: &str = "10.0.0.9:7700";

fn ms(at: u64) -> Time {
    Time(at * 1_000)
}

fn engine(name: &str, service: &str) -> StoreObject {
    StoreObject::Engine(EngineRecord {
        instance: Instance(name.into()),
        service: service.into(),
        ..EngineRecord::default()
    })
}

fn list(revision: u64, engines: &[(&str, &str)]) -> StoreUpdate {
    let objects = engines.iter();
    StoreUpdate::Listed {
        kind: ObjectKind::Engines,
        at: ms(1_000),
        revision,
        objects: objects
            .map(|(name, service)| (name.to_string(), engine(name, service)))
            .collect(),
    }
}

/// A change that the store proved at the end of each test.
fn change(revision: u64, name: &str, service: Option<&str>) -> StoreUpdate {
    StoreUpdate::Changed {
        kind: ObjectKind::Engines,
        at: ms(9_000),
        revision,
        events: vec![StoreEvent {
            name: name.into(),
            object: service.map(|service| engine(name, service)),
        }],
    }
}

fn publisher() -> Publisher {
    let mut publisher = Publisher::default();
    publisher.apply(&StoreUpdate::Listed {
        kind: ObjectKind::Configuration,
        at: ms(1_000),
        revision: 10,
        objects: vec![("main".into(), StoreObject::Configuration(Box::default()))],
    });
    publisher.apply(&list(10, &[("a", "app"), ("b", "app"), ("m", "llm")]));
    publisher
}

fn only(services: &[&str]) -> ServiceFilter {
    ServiceFilter::Services(services.iter().map(|name| name.to_string()).collect())
}

/// A gateway: what it was told last of each engine.
struct Machine {
    subscriber: Subscriber,
    engines: BTreeMap<String, StoreObject>,
    /// Objects that came with answers.
    received: usize,
    now: u64,
}

impl Machine {
    fn new(interest: ServiceFilter) -> Self {
        let timing = MirrorTiming::for_staleness_bound(Duration::from_secs(4));
        let mut subscriber = Subscriber::new(ms(1_000), "gateway", "z", timing, 7);
        subscriber.set_publishers(vec![("z".into(), PUBLISHER.into())], "");
        subscriber.set_filter(interest);
        Self {
            subscriber,
            engines: BTreeMap::new(),
            received: 0,
            now: 1_000,
        }
    }

    /// The request that is sent now.
    fn request(&mut self) -> MirrorRequest {
        self.now += 50;
        let actions = self.subscriber.tick(ms(self.now));
        let request = actions.into_iter().find_map(|action| match action {
            SubscriberAction::SendRequest { request, .. } => Some(request),
            SubscriberAction::WatchStore(_) => None,
        });
        request.unwrap()
    }

    /// Asks, and takes the answer.
    fn ask(&mut self, publisher: &mut Publisher) {
        let request = self.request();
        publisher.on_request(ms(self.now), "gateway", request);
        self.now += 500;
        let told = publisher.due_replies(ms(self.now)).remove(0);
        self.take(told);
    }

    fn take(&mut self, told: PublisherReply) {
        let reply = MirrorReply {
            call: told.call,
            held: told.held.0,
            kinds: told.kinds,
            ..MirrorReply::default()
        };
        let reply: MirrorReply = decode(&encode(&reply)).unwrap();
        let mut actions = Vec::new();
        let updates = self.subscriber.on_reply(ms(self.now), reply, &mut actions);
        for update in updates {
            match update {
                StoreUpdate::Listed {
                    kind: ObjectKind::Engines,
                    objects,
                    ..
                } => {
                    self.received += objects.len();
                    self.engines = objects.into_iter().collect();
                }
                StoreUpdate::Changed {
                    kind: ObjectKind::Engines,
                    events,
                    ..
                } => {
                    self.received += events.len();
                    for event in events {
                        match event.object {
                            Some(object) => self.engines.insert(event.name, object),
                            None => self.engines.remove(&event.name),
                        };
                    }
                }
                _ => {}
            }
        }
    }

    fn names(&self) -> Vec<&str> {
        self.engines.keys().map(String::as_str).collect()
    }
}

#[test]
fn engines_of_other_services_are_not_told() {
    let (mut publisher, mut machine) = (publisher(), Machine::new(only(&["app"])));
    machine.ask(&mut publisher);
    assert_eq!(machine.names(), ["a", "b"]);
    publisher.apply(&change(11, "n", Some("llm")));
    publisher.apply(&change(12, "c", Some("app")));
    publisher.apply(&change(13, "m", None));
    machine.ask(&mut publisher);
    assert_eq!(machine.names(), ["a", "b", "c"]);
    assert_eq!(machine.received, 3);
}

/// With 835 gateways each of which was told all of 10,000 engines, one look at 600 that
/// were replaced made 8,350,000 objects; what a gateway receives does not grow with engines
/// that it does not need.
#[rstest]
#[case::some(100)]
#[case::four_times_as_many(400)]
fn what_is_told_does_not_grow_with_engines_of_other_services(#[case] others: usize) {
    let mut publisher = publisher();
    let mut machine = Machine::new(only(&["app"]));
    machine.ask(&mut publisher);
    for index in 0..others {
        let name = format!("n{index}");
        publisher.apply(&change(11 + index as u64, &name, Some("llm")));
    }
    machine.ask(&mut publisher);
    assert_eq!(machine.received, 2);
}

/// A change that concerns it wakes a subscriber, another one does not.
#[test]
fn news_of_other_services_wake_nobody() {
    let mut publisher = publisher();
    let mut machine = Machine::new(only(&["app"]));
    machine.ask(&mut publisher);
    let request = machine.request();
    publisher.on_request(ms(machine.now), "gateway", request);
    publisher.apply(&change(11, "n", Some("llm")));
    assert!(publisher.due_replies(ms(machine.now + 10)).is_empty());
    publisher.apply(&change(12, "a", None));
    let due = publisher.due_replies(ms(machine.now + 20));
    assert_eq!(due.len(), 1);
}

/// A route moves to a service of which nothing was told so far.
#[test]
fn a_service_that_is_needed_later_is_told_whole() {
    let (mut publisher, mut machine) = (publisher(), Machine::new(only(&["app"])));
    machine.ask(&mut publisher);
    machine.subscriber.set_filter(only(&["app", "llm"]));
    assert!(!machine.subscriber.is_synced());
    machine.ask(&mut publisher);
    assert!(machine.subscriber.is_synced());
    assert_eq!(machine.names(), ["a", "b", "m"]);
}

/// What a service did while it was not needed was not told: it is told whole again.
#[test]
fn a_service_that_was_not_needed_for_a_while_is_told_whole() {
    let mut publisher = publisher();
    let mut machine = Machine::new(only(&["app", "llm"]));
    machine.ask(&mut publisher);
    machine.subscriber.set_filter(only(&["app"]));
    machine.ask(&mut publisher);
    publisher.apply(&change(11, "m", None));
    machine.ask(&mut publisher);
    machine.subscriber.set_filter(only(&["app", "llm"]));
    machine.ask(&mut publisher);
    assert_eq!(machine.names(), ["a", "b"]);
}

/// An entry that another writer gave to another service is gone for those who need the one
/// that it had.
#[test]
fn an_engine_that_changes_its_service_is_gone_from_the_one_it_had() {
    let (mut publisher, mut machine) = (publisher(), Machine::new(only(&["app"])));
    machine.ask(&mut publisher);
    publisher.apply(&change(11, "a", Some("llm")));
    publisher.apply(&change(12, "a", Some("other")));
    machine.ask(&mut publisher);
    assert_eq!(machine.names(), ["b"]);
}

/// Before the first configuration no engine is needed, and none is said to be known.
#[test]
fn who_knows_no_service_yet_is_told_no_engine() {
    let (mut publisher, mut machine) = (publisher(), Machine::new(only(&[])));
    machine.ask(&mut publisher);
    assert!(machine.names().is_empty());
    machine.subscriber.set_filter(only(&["app"]));
    assert!(!machine.subscriber.is_synced());
    machine.ask(&mut publisher);
    assert_eq!(machine.names(), ["a", "b"]);
}

/// A subscriber of the build before names no services: it is told all.
#[test]
fn who_names_no_services_is_told_all() {
    let (mut publisher, mut machine) = (publisher(), Machine::new(ServiceFilter::All));
    machine.ask(&mut publisher);
    assert_eq!(machine.names(), ["a", "b", "m"]);
    let request = machine.request();
    assert!(!request.only_services && request.services.is_empty());
}

/// What an own watch of the store told is everything, until a publisher goes on with less.
#[test]
fn an_own_list_covers_all_until_a_publisher_goes_on() {
    let (mut publisher, mut machine) = (publisher(), Machine::new(only(&["app"])));
    machine.ask(&mut publisher);
    machine
        .subscriber
        .on_watch_update(&list(11, &[("a", "app"), ("m", "llm")]));
    assert_eq!(machine.subscriber.synced_filter(), &ServiceFilter::All);
    publisher.apply(&change(12, "c", Some("app")));
    machine.ask(&mut publisher);
    assert_eq!(machine.subscriber.synced_filter(), &only(&["app"]));
}

/// All machines start together: while publishers that answer are still reading the list, a
/// subscriber does not read all of it too. One that nobody answers does so soon.
#[rstest]
#[case::publishers_answer(true)]
#[case::nobody_answers(false)]
fn who_starts_beside_its_publishers_waits_for_their_lists(#[case] is_answered: bool) {
    let timing = MirrorTiming::for_staleness_bound(Duration::from_secs(4));
    let mut publisher = Publisher::default();
    let mut machine = Machine::new(only(&[]));
    let mut watched_at = None;
    for now in (1_000..6_000).step_by(20) {
        machine.now = now;
        for action in machine.subscriber.tick(ms(now)) {
            match action {
                SubscriberAction::SendRequest { request, .. } if is_answered => {
                    publisher.on_request(ms(now), "gateway", request);
                    let told = publisher.due_replies(ms(now)).remove(0);
                    machine.take(told);
                }
                SubscriberAction::SendRequest { .. } => {}
                SubscriberAction::WatchStore(is_wanted) => {
                    assert!(is_wanted);
                    watched_at = watched_at.or(Some(Duration::from_millis(now - 1_000)));
                }
            }
        }
    }
    let expected = match is_answered {
        true => timing.initial_max_staleness_if_answered,
        false => timing.initial_max_staleness,
    };
    assert_eq!(watched_at, Some(expected));
}
