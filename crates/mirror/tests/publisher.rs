//! What a machine that watches the store tells others.

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

fn listed(kind: ObjectKind, at: u64, revision: u64, names: &[&str]) -> StoreUpdate {
    let object = |name: &str| match kind {
        ObjectKind::Engines => engine(name),
        _ => StoreObject::Configuration(Box::default()),
    };
    StoreUpdate::Listed {
        kind,
        at: ms(at),
        revision,
        objects: names.iter().map(|n| (n.to_string(), object(n))).collect(),
    }
}

fn changed(at: u64, revision: u64, events: &[(&str, bool)]) -> StoreUpdate {
    let events = events.iter().map(|(name, is_there)| StoreEvent {
        name: name.to_string(),
        object: is_there.then(|| engine(name)),
    });
    StoreUpdate::Changed {
        kind: ObjectKind::Engines,
        at: ms(at),
        revision,
        events: events.collect(),
    }
}

/// Both kinds at revision 10, as of 1,000 ms.
fn publisher() -> Publisher {
    let mut publisher = Publisher::default();
    publisher.apply(&listed(ObjectKind::Configuration, 1_000, 10, &["main"]));
    publisher.apply(&listed(ObjectKind::Engines, 1_000, 10, &["a", "b"]));
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

/// The answer to a request at 1,100 ms, which must come at once.
fn ask(publisher: &mut Publisher, request: MirrorRequest) -> PublisherReply {
    publisher.on_request(ms(1_100), SUBSCRIBER, request);
    let mut due = publisher.due_replies(ms(1_100));
    assert_eq!(due.len(), 1, "there is news");
    due.remove(0)
}

/// Names of the engines told; a dash before those that are gone.
fn engines(published: &PublisherReply) -> Vec<String> {
    let told = published.kinds.iter();
    let engines = told.filter(|kind| kind.kind == MirroredKindName::ENGINES);
    let mut names: Vec<String> = engines
        .flat_map(|kind| &kind.objects)
        .map(|object| {
            let is_gone = format!("{:?}", object.body) == "None";
            format!("{}{}", if is_gone { "-" } else { "" }, object.name)
        })
        .collect();
    names.sort();
    names
}

#[test]
fn who_has_nothing_is_told_all() {
    let mut publisher = publisher();
    let told = ask(&mut publisher, request(0, 0));
    assert_eq!(engines(&told), ["a", "b"]);
    assert!(told
        .kinds
        .iter()
        .all(|kind| kind.whole && kind.revision == 10));
    assert!(
        told.kinds.iter().all(|kind| kind.age == 100_000),
        "since the proof"
    );
}

#[test]
fn who_lacks_the_newest_is_told_the_changes() {
    let mut publisher = publisher();
    publisher.apply(&changed(1_040, 12, &[("c", true)]));
    publisher.apply(&changed(1_060, 15, &[("a", false)]));
    let told = ask(&mut publisher, request(10, 10));
    assert_eq!(engines(&told), ["-a", "c"]);
    let told = ask(&mut publisher, request(10, 12));
    assert_eq!(engines(&told), ["-a"]);
    let told = ask(&mut publisher, request(10, 0));
    assert_eq!(engines(&told), ["b", "c"]);
}

/// A request is held until something is newer, for as long as it says.
#[test]
fn who_has_the_newest_waits_for_news() {
    let mut publisher = publisher();
    publisher.on_request(ms(1_100), SUBSCRIBER, request(10, 10));
    assert!(publisher.due_replies(ms(1_500)).is_empty());
    publisher.apply(&changed(1_500, 11, &[]));
    assert!(
        publisher.due_replies(ms(1_550)).is_empty(),
        "no object has changed"
    );
    let due = publisher.due_replies(ms(1_600));
    assert_eq!(due[0].held, Duration::from_millis(500));
    assert!(engines(&due[0]).is_empty());
    let engines_told = due[0]
        .kinds
        .iter()
        .find(|kind| kind.revision == 11)
        .unwrap();
    assert_eq!(
        engines_told.age, 100_000,
        "since the watch that brought nothing"
    );
    publisher.on_request(ms(1_700), SUBSCRIBER, request(10, 11));
    publisher.apply(&changed(1_800, 12, &[("c", true)]));
    assert_eq!(engines(&publisher.due_replies(ms(1_800))[0]), ["c"]);
}

/// A publisher that is behind its subscriber must not make it go back.
#[test]
fn who_is_ahead_is_told_nothing_of_that_kind() {
    let mut publisher = publisher();
    publisher.on_request(ms(1_100), SUBSCRIBER, request(10, 11));
    let due = publisher.due_replies(ms(1_600));
    let kinds: Vec<MirroredKindName> = due[0].kinds.iter().map(|kind| kind.kind).collect();
    assert_eq!(kinds, [MirroredKindName::CONFIGURATION]);
}

/// Who follows nothing says so at once, so that others are asked.
#[test]
fn who_follows_nothing_does_not_let_wait() {
    let mut publisher = Publisher::default();
    assert!(ask(&mut publisher, request(3, 3)).kinds.is_empty());
    let mut publisher = self::publisher();
    publisher.clear();
    assert!(ask(&mut publisher, request(3, 3)).kinds.is_empty());
}

fn is_whole(told: &PublisherReply) -> bool {
    let mut kinds = told.kinds.iter();
    let engines = kinds.find(|kind| kind.kind == MirroredKindName::ENGINES);
    engines.unwrap().whole
}

/// A release replaces hundreds of engines in one look at the store. With 512 changes kept,
/// each subscriber was told all engines for 513 of them: 10,000 instead of 600.
#[test]
fn many_changes_are_told_as_changes() {
    let mut publisher = publisher();
    let names: Vec<String> = (0..10_000).map(|index| format!("e{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    publisher.apply(&listed(ObjectKind::Engines, 1_000, 11, &names));
    let events: Vec<(&str, bool)> = names[..600].iter().map(|n| (*n, false)).collect();
    publisher.apply(&changed(1_040, 12, &events));
    let told = ask(&mut publisher, request(10, 11));
    assert!(!is_whole(&told));
    assert_eq!(engines(&told).len(), 600);
}

/// Who lacks changes of one object hears its newest state alone.
#[test]
fn an_object_that_changed_often_is_told_once() {
    let mut publisher = publisher();
    for revision in 11..=700 {
        publisher.apply(&changed(1_040, revision, &[("a", revision % 2 == 0)]));
    }
    let told = ask(&mut publisher, request(10, 10));
    assert!(!is_whole(&told));
    assert_eq!(engines(&told), ["a"]);
}

/// Ends are remembered within a bound; who lacks older ones is told all.
#[test]
fn more_ends_than_objects_are_told_as_a_list() {
    let mut publisher = publisher();
    for revision in 11..=1_500 {
        let name = format!("e{revision}");
        publisher.apply(&changed(1_040, revision, &[(&name, true)]));
        publisher.apply(&changed(1_040, revision, &[(&name, false)]));
    }
    let (objects, ends) = publisher.object_and_tombstone_counts();
    assert_eq!((objects, ends), (3, 512));
    let told = ask(&mut publisher, request(10, 10));
    assert!(is_whole(&told));
    assert_eq!(engines(&told), ["a", "b"]);
    let told = ask(&mut publisher, request(10, 1_490));
    assert!(!is_whole(&told));
    assert_eq!(engines(&told).len(), 10);
}

/// A list after a lost watch tells also what has gone meanwhile, and nothing that is as it
/// was.
#[test]
fn a_new_list_replaces_what_was_known() {
    let mut publisher = publisher();
    publisher.apply(&listed(ObjectKind::Engines, 1_050, 20, &["b", "c"]));
    let told = ask(&mut publisher, request(10, 10));
    assert!(!is_whole(&told));
    assert_eq!(engines(&told), ["-a", "c"]);
    let told = ask(&mut publisher, request(10, 9));
    assert!(is_whole(&told));
    assert_eq!(engines(&told), ["b", "c"]);
    // An answer that was on its way for long.
    publisher.apply(&listed(ObjectKind::Engines, 1_060, 19, &["a"]));
    publisher.apply(&changed(1_060, 18, &[("b", false)]));
    assert_eq!(engines(&ask(&mut publisher, request(10, 0))), ["b", "c"]);
}

/// A large answer for each of many must not keep heartbeats waiting.
#[test]
fn news_for_many_is_told_over_several_turns() {
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

/// One request of a machine is under way: it has given up an earlier one.
#[test]
fn a_newer_request_takes_the_place_of_an_earlier_one() {
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

/// Whatever an object holds arrives as it was read.
#[rstest]
#[case::safe(RouteKind::Safe)]
#[case::not_repeatable(RouteKind::Unsafe)]
#[case::streaming(RouteKind::Streaming)]
#[case::batch(RouteKind::Batch)]
fn objects_arrive_as_they_were_read(#[case] kind: RouteKind) {
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
            head_bytes: 1,
            body_bytes: 2,
            head_time: Duration(3),
            idle_time: Duration(4),
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
            objects: vec![(name.to_string(), object)],
        });
    }
    let told = ask(&mut publisher, request(0, 0));
    let expected = [
        ("main".to_string(), configuration),
        ("i-1".to_string(), record),
    ];
    assert_eq!(received(told), expected);
}

/// What a subscriber takes from an answer.
fn received(told: PublisherReply) -> Vec<(String, StoreObject)> {
    let timing = MirrorTiming::for_staleness_bound(Duration::from_secs(4));
    let mut subscriber = Subscriber::new(ms(1_100), "gateway", "z", timing, 7);
    subscriber.set_publishers(vec![("z".into(), "10.0.0.9:7700".into())], "");
    subscriber.tick(ms(1_100));
    let reply = MirrorReply {
        call: told.call,
        kinds: told.kinds,
        ..MirrorReply::default()
    };
    let updates = subscriber.on_reply(ms(1_101), reply, &mut Vec::new());
    let lists = updates.into_iter().flat_map(|update| match update {
        StoreUpdate::Listed { objects, .. } => objects,
        StoreUpdate::Changed { .. } => Vec::new(),
    });
    lists.collect()
}

/// 512 changes of a configuration of 140 KB took 70 MB.
#[test]
fn states_that_are_over_take_no_memory() {
    let mut publisher = publisher();
    let before = publisher.cached_bytes();
    let long = "x".repeat(10_000);
    for revision in 11..=500 {
        publisher.apply(&changed(1_040, revision, &[(&long, true)]));
    }
    assert!(publisher.cached_bytes() <= before + 2 * long.len() + 100);
    for since in [10, 499] {
        let told = ask(&mut publisher, request(10, since));
        assert_eq!(engines(&told), [long.as_str()]);
        assert!(told.kinds.iter().all(|kind| !kind.whole));
    }
}

fn versions(revision: u64, version: u64) -> StoreUpdate {
    let told = StoreObject::Version {
        model: "m0".into(),
        version,
    };
    StoreUpdate::Listed {
        kind: ObjectKind::Versions,
        at: ms(1_000),
        revision,
        objects: vec![("m0".to_string(), told)],
    }
}

/// Only a leader that the store turns away asks for versions, and only while it does are
/// they followed for it.
#[test]
fn versions_are_told_to_those_who_want_them() {
    let mut publisher = publisher();
    publisher.apply(&versions(12, 7));
    let kinds = |told: &PublisherReply| told.kinds.len();
    assert_eq!(kinds(&ask(&mut publisher, request(0, 0))), 2);
    let wanting = MirrorRequest {
        wants_versions: true,
        ..request(0, 0)
    };
    let told = ask(&mut publisher, wanting.clone());
    assert_eq!(kinds(&told), 3);
    let versions = &told.kinds[2];
    assert!(versions.whole && versions.revision == 12);
    let known = MirrorRequest {
        versions_revision: 12,
        configuration_revision: 10,
        engines_revision: 10,
        ..wanting.clone()
    };
    publisher.on_request(ms(1_100), SUBSCRIBER, known);
    assert!(
        publisher.due_replies(ms(1_101)).is_empty(),
        "nothing is new"
    );
    publisher.remove_kind(ObjectKind::Versions);
    assert_eq!(kinds(&ask(&mut publisher, wanting)), 2);
}

/// With the store silent for it alone, a subscriber of versions has them from a publisher;
/// what its own watch tells later is older and changes nothing.
#[test]
fn a_subscriber_takes_versions_and_never_goes_back() {
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
    let told = ask(&mut publisher, request.clone());
    let reply = MirrorReply {
        call: told.call,
        kinds: told.kinds,
        ..MirrorReply::default()
    };
    let updates = subscriber.on_reply(ms(1_150), reply, &mut Vec::new());
    let told = updates.iter().find_map(|update| match update {
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
    assert_eq!(told, Some(vec![("m0".to_string(), expected)]));
    assert!(
        !subscriber.on_watch_update(&versions(11, 6)),
        "older than what is known"
    );
    assert!(subscriber.on_watch_update(&versions(13, 8)));
}

/// What passes between processes lets nobody tell a key.
#[test]
fn no_message_holds_a_key() {
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
        objects: vec![(
            "main".into(),
            StoreObject::Configuration(Box::new(configuration)),
        )],
    });
    let told = ask(&mut publisher, request(0, 0));
    let bytes = peatgrade_schema::encode(&MirrorReply {
        call: told.call,
        kinds: told.kinds,
        ..MirrorReply::default()
    });
    let contains = |text: &[u8]| bytes.windows(text.len()).any(|part| part == text);
    assert!(contains(b"leeds"));
    assert!(["key-a", "key-b", "key-c"]
        .iter()
        .all(|key| !contains(key.as_bytes())));
}

/// An engine whose entry another writer has spoilt is not to be used any more.
#[test]
fn an_entry_that_can_no_longer_be_read_is_told_as_gone() {
    let mut publisher = publisher();
    let unreadable = StoreObject::Unreadable {
        name: "a".into(),
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
    assert_eq!(engines(&ask(&mut publisher, request(10, 10))), ["-a"]);
}

/// News that an engine fails does not wait as long as a request may be held, and costs no
/// subscriber more than five replies a second.
#[test]
fn a_failure_of_an_engine_is_told_early_but_not_at_once() {
    let mut publisher = publisher();
    publisher.set_failure_mark(8);
    let told_up_to = |mark| MirrorRequest {
        failure_mark: mark,
        ..request(10, 10)
    };
    let (mut now, mut replies) = (1_100, 0);
    publisher.on_request(ms(now), SUBSCRIBER, told_up_to(7));
    while now < 2_100 {
        now += 10;
        if !publisher.due_replies(ms(now)).is_empty() {
            replies += 1;
            // It was lost: the subscriber asks again as before.
            publisher.on_request(ms(now), SUBSCRIBER, told_up_to(7));
        }
    }
    assert_eq!(replies, 5);
    publisher.on_request(ms(now), SUBSCRIBER, told_up_to(8));
    assert!(
        publisher.due_replies(ms(now + 490)).is_empty(),
        "it is known there"
    );
}
