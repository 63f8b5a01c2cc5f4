//! Replies of a publisher to subscribers at various revisions.

use peatgrade_authentication::{ApiKey, Tenant, Tenants};
use peatgrade_mirror::{MirrorTiming, Publisher, PublisherReply, Subscriber, SubscriberAction};
use peatgrade_ports::{
    Configuration, EngineRecord, Instance, Limits, ObjectKind, Route, RouteKind, Service,
    StartedAt, StoreEvent, StoreObject, StoreUpdate, Target,
};
use peatgrade_schema::replication::{MirrorReply, MirrorRequest, MirroredKindName};
use peatgrade_types::{Duration, Time};
use rstest::rstest;

const SUBSCRIBER: &str = "10.0.0.1:7700";

fn ms(at: u64) -> Time {
    Time(at * 1_000)
}

fn engine(name: &str) -> StoreObject {
    StoreObject::Engine(EngineRecord {
        instance: Instance(name.into()),
        ..EngineRecord::default()
    })
}

fn list_update(kind: ObjectKind, at: u64, revision: u64, names: &[&str]) -> StoreUpdate {
    let object = |name: &str| match kind {
        ObjectKind::Engines => engine(name),
        _ => StoreObject::Configuration(Box::default()),
    };
    StoreUpdate::Listed {
        kind,
        at: ms(at),
        revision,
        complete: true,
        objects: names.iter().map(|n| (n.to_string(), object(n))).collect(),
    }
}

fn change_update(at: u64, revision: u64, events: &[(&str, bool)]) -> StoreUpdate {
    let events = events.iter().map(|(name, is_present)| StoreEvent {
        name: name.to_string(),
        object: is_present.then(|| engine(name)),
    });
    StoreUpdate::Changed {
        kind: ObjectKind::Engines,
        at: ms(at),
        revision,
        events: events.collect(),
    }
}

/// A publisher with both kinds at revision 10, confirmed at 1,000 ms.
fn publisher() -> Publisher {
    let mut publisher = Publisher::default();
    publisher.apply(&list_update(
        ObjectKind::Configuration,
        1_000,
        10,
        &["main"],
    ));
    publisher.apply(&list_update(ObjectKind::Engines, 1_000, 10, &["a", "b"]));
    publisher
}

fn request(configuration: u64, engines: u64) -> MirrorRequest {
    MirrorRequest {
        call: 7,
        configuration_revision: configuration,
        engines_revision: engines,
        wait_ms: 500,
        ..MirrorRequest::default()
    }
}

/// The reply to a request at 1,100 ms, which must come without being held.
fn reply_to(publisher: &mut Publisher, request: MirrorRequest) -> PublisherReply {
    publisher.on_request(ms(1_100), SUBSCRIBER, request);
    let mut due = publisher.due_replies(ms(1_100));
    assert_eq!(due.len(), 1, "replies without being held");
    due.remove(0)
}

/// Names of the engines in a reply, with a dash before deleted ones.
fn engine_names(reply: &PublisherReply) -> Vec<String> {
    let kinds = reply.kinds.iter();
    let engines = kinds.filter(|kind| kind.kind == MirroredKindName::ENGINES);
    let mut names: Vec<String> = engines
        .flat_map(|kind| &kind.objects)
        .map(|object| {
            let is_deleted = format!("{:?}", object.body) == "None";
            format!("{}{}", if is_deleted { "-" } else { "" }, object.name)
        })
        .collect();
    names.sort();
    names
}

#[test]
fn an_initial_request_receives_the_full_list() {
    let mut publisher = publisher();
    let reply = reply_to(&mut publisher, request(0, 0));
    assert_eq!(engine_names(&reply), ["a", "b"]);
    assert!(reply
        .kinds
        .iter()
        .all(|kind| kind.whole && kind.revision == 10));
    assert!(
        reply.kinds.iter().all(|kind| kind.age == 100_000),
        "time since the confirmation"
    );
}

#[test]
fn a_lagging_subscriber_receives_the_changes() {
    let mut publisher = publisher();
    publisher.apply(&change_update(1_040, 12, &[("c", true)]));
    publisher.apply(&change_update(1_060, 15, &[("a", false)]));
    let reply = reply_to(&mut publisher, request(10, 10));
    assert_eq!(engine_names(&reply), ["-a", "c"]);
    let reply = reply_to(&mut publisher, request(10, 12));
    assert_eq!(engine_names(&reply), ["-a"]);
    let reply = reply_to(&mut publisher, request(10, 0));
    assert_eq!(engine_names(&reply), ["b", "c"]);
}

/// Guards against replies without content before the requested hold time has passed.
#[test]
fn a_request_without_changes_is_held() {
    let mut publisher = publisher();
    publisher.on_request(ms(1_100), SUBSCRIBER, request(10, 10));
    assert!(publisher.due_replies(ms(1_500)).is_empty());
    publisher.apply(&change_update(1_500, 11, &[]));
    assert!(
        publisher.due_replies(ms(1_550)).is_empty(),
        "no object has changed"
    );
    let due = publisher.due_replies(ms(1_600));
    assert_eq!(due[0].held, Duration::from_millis(500));
    assert!(engine_names(&due[0]).is_empty());
    let engine_changes = due[0]
        .kinds
        .iter()
        .find(|kind| kind.revision == 11)
        .unwrap();
    assert_eq!(
        engine_changes.age, 100_000,
        "time since the watch without changes"
    );
    publisher.on_request(ms(1_700), SUBSCRIBER, request(10, 11));
    publisher.apply(&change_update(1_800, 12, &[("c", true)]));
    assert_eq!(engine_names(&publisher.due_replies(ms(1_800))[0]), ["c"]);
}

/// Guards against a lagging publisher that reverts its subscriber.
#[test]
fn a_kind_older_than_the_subscribers_is_left_out() {
    let mut publisher = publisher();
    publisher.on_request(ms(1_100), SUBSCRIBER, request(10, 11));
    let due = publisher.due_replies(ms(1_600));
    let kinds: Vec<MirroredKindName> = due[0].kinds.iter().map(|kind| kind.kind).collect();
    assert_eq!(kinds, [MirroredKindName::CONFIGURATION]);
}

/// Guards against a publisher that holds requests although it mirrors nothing.
#[test]
fn a_publisher_without_data_replies_at_once() {
    let mut publisher = Publisher::default();
    assert!(reply_to(&mut publisher, request(3, 3)).kinds.is_empty());
    let mut publisher = self::publisher();
    publisher.clear();
    assert!(reply_to(&mut publisher, request(3, 3)).kinds.is_empty());
}

fn is_whole(reply: &PublisherReply) -> bool {
    let mut kinds = reply.kinds.iter();
    let engines = kinds.find(|kind| kind.kind == MirroredKindName::ENGINES);
    engines.unwrap().whole
}

/// Guards against sending the full list after a release that replaces hundreds of engines.
#[test]
fn many_changes_are_sent_as_changes() {
    let mut publisher = publisher();
    let names: Vec<String> = (0..10_000).map(|index| format!("e{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    publisher.apply(&list_update(ObjectKind::Engines, 1_000, 11, &names));
    let events: Vec<(&str, bool)> = names[..600].iter().map(|n| (*n, false)).collect();
    publisher.apply(&change_update(1_040, 12, &events));
    let reply = reply_to(&mut publisher, request(10, 11));
    assert!(!is_whole(&reply));
    assert_eq!(engine_names(&reply).len(), 600);
}

/// Guards against replies that grow with the number of changes of one object.
#[test]
fn an_object_that_changed_often_is_sent_once() {
    let mut publisher = publisher();
    for revision in 11..=700 {
        publisher.apply(&change_update(1_040, revision, &[("a", revision % 2 == 0)]));
    }
    let reply = reply_to(&mut publisher, request(10, 10));
    assert!(!is_whole(&reply));
    assert_eq!(engine_names(&reply), ["a"]);
}

/// Guards against unbounded tombstones, and against lost deletions after old ones are dropped.
#[test]
fn a_subscriber_older_than_the_tombstones_receives_the_full_list() {
    let mut publisher = publisher();
    for revision in 11..=1_500 {
        let name = format!("e{revision}");
        publisher.apply(&change_update(1_040, revision, &[(&name, true)]));
        publisher.apply(&change_update(1_040, revision, &[(&name, false)]));
    }
    let (objects, tombstones) = publisher.object_and_tombstone_counts();
    assert_eq!((objects, tombstones), (3, 512));
    let reply = reply_to(&mut publisher, request(10, 10));
    assert!(is_whole(&reply));
    assert_eq!(engine_names(&reply), ["a", "b"]);
    let reply = reply_to(&mut publisher, request(10, 1_490));
    assert!(!is_whole(&reply));
    assert_eq!(engine_names(&reply).len(), 10);
}

/// Guards against missed deletions, and resent unchanged objects, after a lost watch.
#[test]
fn a_new_list_is_sent_as_a_difference() {
    let mut publisher = publisher();
    publisher.apply(&list_update(ObjectKind::Engines, 1_050, 20, &["b", "c"]));
    let reply = reply_to(&mut publisher, request(10, 10));
    assert!(!is_whole(&reply));
    assert_eq!(engine_names(&reply), ["-a", "c"]);
    let reply = reply_to(&mut publisher, request(10, 9));
    assert!(is_whole(&reply));
    assert_eq!(engine_names(&reply), ["b", "c"]);
    // Updates that arrive late, after a newer list.
    publisher.apply(&list_update(ObjectKind::Engines, 1_060, 19, &["a"]));
    publisher.apply(&change_update(1_060, 18, &[("b", false)]));
    assert_eq!(
        engine_names(&reply_to(&mut publisher, request(10, 0))),
        ["b", "c"]
    );
}

/// Guards against encoding so many large replies in one turn that heartbeats are late.
#[test]
fn large_replies_are_spread_over_several_turns() {
    let mut publisher = publisher();
    for number in 0..10 {
        publisher.on_request(ms(1_100), &format!("10.0.0.{number}:7700"), request(0, 0));
    }
    let mut turns = Vec::new();
    loop {
        turns.push(publisher.due_replies(ms(1_101)).len());
        if !publisher.has_backlog() {
            break;
        }
    }
    assert_eq!(turns, [4, 4, 2]);
}

/// Guards against answering a request that its subscriber has abandoned.
#[test]
fn a_newer_request_replaces_an_earlier_one() {
    let mut publisher = publisher();
    publisher.on_request(ms(1_100), SUBSCRIBER, request(10, 10));
    let newer = MirrorRequest {
        call: 8,
        ..request(10, 10)
    };
    publisher.on_request(ms(1_200), SUBSCRIBER, newer);
    let calls: Vec<u64> = publisher
        .due_replies(ms(1_700))
        .iter()
        .map(|p| p.call)
        .collect();
    assert_eq!(calls, [8]);
}

fn route(kind: RouteKind) -> Route {
    Route {
        name: "r".into(),
        host: "h.example".into(),
        prefix: "/p/".into(),
        kind,
        timeout: Duration::from_millis(901),
        target_latency: Duration::from_millis(152),
        priority: 3,
        targets: vec![Target {
            service: "s".into(),
            weight: 40,
        }],
        max_attempts: 5,
        resumable: true,
        max_queue: Duration::from_secs(61),
        result_deadline: Duration::from_millis(7_501),
        single_version: true,
        public: true,
    }
}

fn tenants() -> Tenants {
    let tenant = |name: &str, keys: &[&str], priority| Tenant {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| ApiKey::new(key.to_string()).digest())
            .collect(),
        priority,
    };
    Tenants::new(vec![
        tenant("leeds", &["key-a", "key-b"], None),
        tenant("derby", &["key-c"], Some(0)),
    ])
    .unwrap()
}

/// Guards against fields that are lost or changed in encoding.
#[rstest]
#[case::safe(RouteKind::Safe)]
#[case::not_repeatable(RouteKind::Unsafe)]
#[case::streaming(RouteKind::Streaming)]
#[case::batch(RouteKind::Batch)]
fn objects_round_trip_unchanged(#[case] kind: RouteKind) {
    let service = Service {
        name: "s".into(),
        health_path: "/health".into(),
        max_connections: 1_600,
        slots: 6,
        memory_tokens: 51_005,
        models: vec!["m0".into(), "m1".into()],
    };
    let configuration = StoreObject::Configuration(Box::new(Configuration {
        version: 42,
        routes: vec![route(kind)].into(),
        services: [("s".to_string(), service)].into(),
        limits: Limits {
            max_header_bytes: 1,
            max_body_bytes: 2,
            header_timeout: Duration(3),
            idle_timeout: Duration(4),
        },
        tenants: tenants(),
    }));
    let record = StoreObject::Engine(EngineRecord {
        instance: Instance("i-1".into()),
        started: Some(StartedAt(1_764_700_000_123)),
        service: "s".into(),
        address: "10.1.0.1:80".into(),
        zone: "z".into(),
        slots: 6,
        draining: true,
        models: [("m0".to_string(), 7)].into(),
    });
    let mut publisher = Publisher::default();
    for (of, name, object) in [
        (ObjectKind::Configuration, "main", configuration.clone()),
        (ObjectKind::Engines, "i-1", record.clone()),
    ] {
        publisher.apply(&StoreUpdate::Listed {
            kind: of,
            at: ms(1_000),
            revision: 5,
            complete: true,
            objects: vec![(name.to_string(), object)],
        });
    }
    let reply = reply_to(&mut publisher, request(0, 0));
    let expected = [
        ("main".to_string(), configuration),
        ("i-1".to_string(), record),
    ];
    assert_eq!(received_objects(reply), expected);
}

/// The objects that a subscriber receives with a reply.
fn received_objects(reply: PublisherReply) -> Vec<(String, StoreObject)> {
    let timing = MirrorTiming::for_staleness_bound(Duration::from_secs(4));
    let mut subscriber = Subscriber::new(ms(1_100), "gateway", "z", timing, 7);
    subscriber.set_publishers(vec![("z".into(), "10.0.0.9:7700".into())], "");
    subscriber.tick(ms(1_100));
    let reply = MirrorReply {
        call: reply.call,
        kinds: reply.kinds,
        ..MirrorReply::default()
    };
    let updates = subscriber.on_reply(ms(1_101), reply, &mut Vec::new());
    let lists = updates.into_iter().flat_map(|update| match update {
        StoreUpdate::Listed { objects, .. } => objects,
        StoreUpdate::Changed { .. } => Vec::new(),
    });
    lists.collect()
}

#[test]
fn engine_that_comes_and_goes_in_one_update_is_gone() {
    let mut publisher = publisher();
    publisher.apply(&change_update(1_050, 12, &[("new", true), ("new", false)]));
    assert_eq!(
        engine_names(&reply_to(&mut publisher, request(10, 10))),
        ["-new"]
    );
}

/// Guards against tombstones for each entry of another writer.
#[test]
fn deletion_of_an_unknown_name_leaves_no_tombstone() {
    let mut publisher = publisher();
    let earlier = publisher.object_and_tombstone_counts();
    publisher.apply(&change_update(1_050, 12, &[("unknown", false)]));
    assert_eq!(publisher.object_and_tombstone_counts(), earlier);
}

/// Guards against memory use that grows with the number of changes.
#[test]
fn superseded_states_use_no_memory() {
    let mut publisher = publisher();
    let before = publisher.cached_bytes();
    let long = "x".repeat(10_000);
    for revision in 11..=500 {
        publisher.apply(&change_update(1_040, revision, &[(&long, true)]));
    }
    assert!(publisher.cached_bytes() <= before + 2 * long.len() + 100);
    for since in [10, 499] {
        let reply = reply_to(&mut publisher, request(10, since));
        assert_eq!(engine_names(&reply), [long.as_str()]);
        assert!(reply.kinds.iter().all(|kind| !kind.whole));
    }
}

fn versions(revision: u64, version: u64) -> StoreUpdate {
    let object = StoreObject::Version {
        model: "m0".into(),
        version,
    };
    StoreUpdate::Listed {
        kind: ObjectKind::Versions,
        at: ms(1_000),
        revision,
        complete: true,
        objects: vec![("m0".to_string(), object)],
    }
}

/// Guards against sending model versions to subscribers that did not ask for them.
#[test]
fn versions_are_sent_only_on_request() {
    let mut publisher = publisher();
    publisher.apply(&versions(12, 7));
    let kinds = |reply: &PublisherReply| reply.kinds.len();
    assert_eq!(kinds(&reply_to(&mut publisher, request(0, 0))), 2);
    let with_versions = MirrorRequest {
        wants_versions: true,
        ..request(0, 0)
    };
    let reply = reply_to(&mut publisher, with_versions.clone());
    assert_eq!(kinds(&reply), 3);
    let versions = &reply.kinds[2];
    assert!(versions.whole && versions.revision == 12);
    let up_to_date = MirrorRequest {
        versions_revision: 12,
        configuration_revision: 10,
        engines_revision: 10,
        ..with_versions.clone()
    };
    publisher.on_request(ms(1_100), SUBSCRIBER, up_to_date);
    assert!(
        publisher.due_replies(ms(1_101)).is_empty(),
        "nothing has changed"
    );
    publisher.remove_kind(ObjectKind::Versions);
    assert_eq!(kinds(&reply_to(&mut publisher, with_versions)), 2);
}

/// Guards against older versions from a delayed watch that replace newer ones from a
/// publisher.
#[test]
fn a_subscriber_ignores_versions_older_than_a_publishers() {
    let timing = MirrorTiming::for_staleness_bound(Duration::from_secs(4));
    let subscriber = Subscriber::new(ms(1_000), "storage-1", "z", timing, 7);
    let mut subscriber = subscriber.with_versions();
    assert!(subscriber.on_watch_update(&versions(5, 3)));
    subscriber.set_publishers(vec![("z".into(), "10.0.0.9:7700".into())], "");
    let actions = subscriber.tick(ms(1_100));
    let SubscriberAction::SendRequest { request, .. } = &actions[0] else {
        panic!("{actions:?}");
    };
    assert!(request.wants_versions);
    assert_eq!(request.versions_revision, 5);
    let mut publisher = publisher();
    publisher.apply(&versions(12, 7));
    let reply = reply_to(&mut publisher, request.clone());
    let reply = MirrorReply {
        call: reply.call,
        kinds: reply.kinds,
        ..MirrorReply::default()
    };
    let updates = subscriber.on_reply(ms(1_150), reply, &mut Vec::new());
    let received = updates.iter().find_map(|update| match update {
        StoreUpdate::Listed {
            kind: ObjectKind::Versions,
            objects,
            ..
        } => Some(objects.clone()),
        _ => None,
    });
    let expected = StoreObject::Version {
        model: "m0".into(),
        version: 7,
    };
    assert_eq!(received, Some(vec![("m0".to_string(), expected)]));
    assert!(
        !subscriber.on_watch_update(&versions(11, 6)),
        "older than the received revision"
    );
    assert!(subscriber.on_watch_update(&versions(13, 8)));
}

/// Guards against API keys in messages between processes.
#[test]
fn messages_contain_no_api_key() {
    let configuration = Configuration {
        version: 1,
        tenants: tenants(),
        ..Configuration::default()
    };
    let mut publisher = Publisher::default();
    publisher.apply(&StoreUpdate::Listed {
        kind: ObjectKind::Configuration,
        at: ms(1_000),
        revision: 5,
        complete: true,
        objects: vec![(
            "main".into(),
            StoreObject::Configuration(Box::new(configuration)),
        )],
    });
    let reply = reply_to(&mut publisher, request(0, 0));
    let bytes = peatgrade_schema::encode(&MirrorReply {
        call: reply.call,
        kinds: reply.kinds,
        ..MirrorReply::default()
    });
    let contains = |text: &[u8]| bytes.windows(text.len()).any(|part| part == text);
    assert!(contains(b"leeds"));
    assert!(["key-a", "key-b", "key-c"]
        .iter()
        .all(|key| !contains(key.as_bytes())));
}

/// Guards against further use of an engine whose entry was corrupted by another writer.
#[test]
fn an_unreadable_entry_is_sent_as_deleted() {
    let mut publisher = publisher();
    let unreadable = StoreObject::Unreadable {
        name: "a".into(),
        revision: None,
        reason: "no service".into(),
    };
    publisher.apply(&StoreUpdate::Changed {
        kind: ObjectKind::Engines,
        at: ms(1_100),
        revision: 11,
        events: vec![StoreEvent {
            name: "a".into(),
            object: Some(unreadable),
        }],
    });
    assert_eq!(
        engine_names(&reply_to(&mut publisher, request(10, 10))),
        ["-a"]
    );
}

/// Guards against engine failures that wait for the hold time, and against more than five
/// such replies a second to one subscriber.
#[test]
fn engine_failures_are_sent_before_the_hold_ends_at_a_bounded_rate() {
    let mut publisher = publisher();
    publisher.set_failure_mark(8);
    let request_with_failure_mark = |mark| MirrorRequest {
        failure_mark: mark,
        ..request(10, 10)
    };
    let (mut now, mut replies) = (1_100, 0);
    publisher.on_request(ms(now), SUBSCRIBER, request_with_failure_mark(7));
    while now < 2_100 {
        now += 10;
        if !publisher.due_replies(ms(now)).is_empty() {
            replies += 1;
            // The reply is lost, so the subscriber repeats its request.
            publisher.on_request(ms(now), SUBSCRIBER, request_with_failure_mark(7));
        }
    }
    assert_eq!(replies, 5);
    publisher.on_request(ms(now), SUBSCRIBER, request_with_failure_mark(8));
    assert!(
        publisher.due_replies(ms(now + 490)).is_empty(),
        "the subscriber has it"
    );
}
