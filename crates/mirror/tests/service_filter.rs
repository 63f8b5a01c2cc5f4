//! Which engines a publisher sends to a subscriber with a service filter.

use peatgrade_mirror::{
    MirrorTiming, Publisher, PublisherReply, ServiceFilter, Subscriber, SubscriberAction,
};
use peatgrade_ports::{EngineRecord, Instance, ObjectKind, StoreEvent, StoreObject, StoreUpdate};
use peatgrade_schema::replication::{MirrorReply, MirrorRequest};
use peatgrade_schema::{decode, encode};
use peatgrade_types::{Duration, Time};
use rstest::rstest;
use std::collections::BTreeMap;

const PUBLISHER_ADDRESS: &str = "10.0.0.9:7700";

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

fn engine_list(revision: u64, engines: &[(&str, &str)]) -> StoreUpdate {
    let objects = engines.iter();
    StoreUpdate::Listed {
        kind: ObjectKind::Engines,
        at: ms(1_000),
        revision,
        complete: true,
        objects: objects
            .map(|(name, service)| (name.to_string(), engine(name, service)))
            .collect(),
    }
}

/// A change that the store confirmed later than any other time of the tests.
fn engine_change(revision: u64, name: &str, service: Option<&str>) -> StoreUpdate {
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
        complete: true,
        objects: vec![("main".into(), StoreObject::Configuration(Box::default()))],
    });
    publisher.apply(&engine_list(
        10,
        &[("a", "app"), ("b", "app"), ("m", "llm")],
    ));
    publisher
}

fn services(services: &[&str]) -> ServiceFilter {
    ServiceFilter::Services(services.iter().map(|name| name.to_string()).collect())
}

/// A gateway with the engines that it has received.
struct Gateway {
    subscriber: Subscriber,
    engines: BTreeMap<String, StoreObject>,
    /// Number of objects received in all replies.
    received_objects: usize,
    now: u64,
}

impl Gateway {
    fn new(filter: ServiceFilter) -> Self {
        let timing = MirrorTiming::for_staleness_bound(Duration::from_secs(4));
        let mut subscriber = Subscriber::new(ms(1_000), "gateway", "z", timing, 7);
        subscriber.set_publishers(vec![("z".into(), PUBLISHER_ADDRESS.into())], "");
        subscriber.set_filter(filter);
        Self {
            subscriber,
            engines: BTreeMap::new(),
            received_objects: 0,
            now: 1_000,
        }
    }

    /// The next request of the subscriber.
    fn request(&mut self) -> MirrorRequest {
        self.now += 50;
        let actions = self.subscriber.tick(ms(self.now));
        let request = actions.into_iter().find_map(|action| match action {
            SubscriberAction::SendRequest { request, .. } => Some(request),
            SubscriberAction::WatchStore(_) => None,
        });
        request.unwrap()
    }

    /// Sends a request and receives the reply after its hold time.
    fn poll(&mut self, publisher: &mut Publisher) {
        let request = self.request();
        publisher.on_request(ms(self.now), "gateway", request);
        self.now += 500;
        let reply = publisher.due_replies(ms(self.now)).remove(0);
        self.receive(reply);
    }

    fn receive(&mut self, reply: PublisherReply) {
        let message = MirrorReply {
            call: reply.call,
            held: reply.held.0,
            kinds: reply.kinds,
            ..MirrorReply::default()
        };
        let message: MirrorReply = decode(&encode(&message)).unwrap();
        let mut actions = Vec::new();
        let updates = self
            .subscriber
            .on_reply(ms(self.now), message, &mut actions);
        for update in updates {
            match update {
                StoreUpdate::Listed {
                    kind: ObjectKind::Engines,
                    objects,
                    ..
                } => {
                    self.received_objects += objects.len();
                    self.engines = objects.into_iter().collect();
                }
                StoreUpdate::Changed {
                    kind: ObjectKind::Engines,
                    events,
                    ..
                } => {
                    self.received_objects += events.len();
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

    fn engine_names(&self) -> Vec<&str> {
        self.engines.keys().map(String::as_str).collect()
    }
}

#[test]
fn engines_of_other_services_are_not_sent() {
    let (mut publisher, mut gateway) = (publisher(), Gateway::new(services(&["app"])));
    gateway.poll(&mut publisher);
    assert_eq!(gateway.engine_names(), ["a", "b"]);
    publisher.apply(&engine_change(11, "n", Some("llm")));
    publisher.apply(&engine_change(12, "c", Some("app")));
    publisher.apply(&engine_change(13, "m", None));
    gateway.poll(&mut publisher);
    assert_eq!(gateway.engine_names(), ["a", "b", "c"]);
    assert_eq!(gateway.received_objects, 3);
}

/// Guards against traffic to a gateway that grows with engines it does not need.
#[rstest]
#[case::few(100)]
#[case::many(400)]
fn reply_size_is_independent_of_engines_of_other_services(#[case] others: usize) {
    let mut publisher = publisher();
    let mut gateway = Gateway::new(services(&["app"]));
    gateway.poll(&mut publisher);
    for index in 0..others {
        let name = format!("n{index}");
        publisher.apply(&engine_change(11 + index as u64, &name, Some("llm")));
    }
    gateway.poll(&mut publisher);
    assert_eq!(gateway.received_objects, 2);
}

/// Guards against replies without content after changes outside the filter.
#[test]
fn changes_of_other_services_do_not_complete_a_held_request() {
    let mut publisher = publisher();
    let mut gateway = Gateway::new(services(&["app"]));
    gateway.poll(&mut publisher);
    let request = gateway.request();
    publisher.on_request(ms(gateway.now), "gateway", request);
    publisher.apply(&engine_change(11, "n", Some("llm")));
    assert!(publisher.due_replies(ms(gateway.now + 10)).is_empty());
    publisher.apply(&engine_change(12, "a", None));
    let due = publisher.due_replies(ms(gateway.now + 20));
    assert_eq!(due.len(), 1);
}

/// Guards against missing engines after a route moves to a service outside the filter.
#[test]
fn a_service_added_to_the_filter_is_sent_in_full() {
    let (mut publisher, mut gateway) = (publisher(), Gateway::new(services(&["app"])));
    gateway.poll(&mut publisher);
    gateway.subscriber.set_filter(services(&["app", "llm"]));
    assert!(!gateway.subscriber.is_synced());
    gateway.poll(&mut publisher);
    assert!(gateway.subscriber.is_synced());
    assert_eq!(gateway.engine_names(), ["a", "b", "m"]);
}

/// Guards against stale engines of a service that was out of the filter for a while.
#[test]
fn a_service_added_back_to_the_filter_is_sent_in_full() {
    let mut publisher = publisher();
    let mut gateway = Gateway::new(services(&["app", "llm"]));
    gateway.poll(&mut publisher);
    gateway.subscriber.set_filter(services(&["app"]));
    gateway.poll(&mut publisher);
    publisher.apply(&engine_change(11, "m", None));
    gateway.poll(&mut publisher);
    gateway.subscriber.set_filter(services(&["app", "llm"]));
    gateway.poll(&mut publisher);
    assert_eq!(gateway.engine_names(), ["a", "b"]);
}

/// Guards against keeping an engine whose entry was moved out of the filter's services.
#[test]
fn an_engine_that_changes_its_service_is_deleted_from_the_previous_one() {
    let (mut publisher, mut gateway) = (publisher(), Gateway::new(services(&["app"])));
    gateway.poll(&mut publisher);
    publisher.apply(&engine_change(11, "a", Some("llm")));
    publisher.apply(&engine_change(12, "a", Some("other")));
    gateway.poll(&mut publisher);
    assert_eq!(gateway.engine_names(), ["b"]);
}

/// Guards against counting as synced before the first configuration names the services.
#[test]
fn an_empty_filter_receives_no_engines() {
    let (mut publisher, mut gateway) = (publisher(), Gateway::new(services(&[])));
    gateway.poll(&mut publisher);
    assert!(gateway.engine_names().is_empty());
    gateway.subscriber.set_filter(services(&["app"]));
    assert!(!gateway.subscriber.is_synced());
    gateway.poll(&mut publisher);
    assert_eq!(gateway.engine_names(), ["a", "b"]);
}

/// Subscribers of versions without filters send none and need all engines.
#[test]
fn a_request_without_a_filter_receives_all_engines() {
    let (mut publisher, mut gateway) = (publisher(), Gateway::new(ServiceFilter::All));
    gateway.poll(&mut publisher);
    assert_eq!(gateway.engine_names(), ["a", "b", "m"]);
    let request = gateway.request();
    assert!(!request.only_services && request.services.is_empty());
}

/// Guards against treating engines as current that publishers do not update.
#[test]
fn a_direct_list_syncs_all_engines_until_the_next_publisher_reply() {
    let (mut publisher, mut gateway) = (publisher(), Gateway::new(services(&["app"])));
    gateway.poll(&mut publisher);
    gateway
        .subscriber
        .on_watch_update(&engine_list(11, &[("a", "app"), ("m", "llm")]));
    assert_eq!(gateway.subscriber.synced_filter(), &ServiceFilter::All);
    publisher.apply(&engine_change(12, "c", Some("app")));
    gateway.poll(&mut publisher);
    assert_eq!(gateway.subscriber.synced_filter(), &services(&["app"]));
}

/// Guards against all subscribers listing the store while their publishers still list it. A
/// subscriber that receives no replies lists it soon.
#[rstest]
#[case::publishers_answer(true)]
#[case::no_publisher_answers(false)]
fn a_starting_subscriber_waits_for_publishers_that_reply(#[case] is_answering: bool) {
    let timing = MirrorTiming::for_staleness_bound(Duration::from_secs(4));
    let mut publisher = Publisher::default();
    let mut gateway = Gateway::new(services(&[]));
    let mut watched_after = None;
    for now in (1_000..6_000).step_by(20) {
        gateway.now = now;
        for action in gateway.subscriber.tick(ms(now)) {
            match action {
                SubscriberAction::SendRequest { request, .. } if is_answering => {
                    publisher.on_request(ms(now), "gateway", request);
                    let reply = publisher.due_replies(ms(now)).remove(0);
                    gateway.receive(reply);
                }
                SubscriberAction::SendRequest { .. } => {}
                SubscriberAction::WatchStore(is_wanted) => {
                    assert!(is_wanted);
                    watched_after = watched_after.or(Some(Duration::from_millis(now - 1_000)));
                }
            }
        }
    }
    let expected = match is_answering {
        true => timing.initial_max_staleness_if_answered,
        false => timing.initial_max_staleness,
    };
    assert_eq!(watched_after, Some(expected));
}
