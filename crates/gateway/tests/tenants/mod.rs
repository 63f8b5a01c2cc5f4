//! Who is asking is settled before anything of a request goes further.

use crate::scene::Scene;
use peatgrade_authentication::{ApiKey, KeyDigest, Tenant, Tenants};
use peatgrade_forward::{CallId, ForwardAction};
use peatgrade_gateway::GatewayAction;
use peatgrade_ports::{CallerMessage, CallerRequest, Configuration, JobRead, Route, RouteKind};
use peatgrade_schema::replication::JobCall;
use peatgrade_types::http::{HttpRequest, HttpStep, ResponsePart};
use peatgrade_types::Duration;
use rstest::rstest;

fn digest(key: &str) -> Option<KeyDigest> {
    Some(ApiKey::new(key.into()).digest())
}

/// A gateway whose configuration has the tenant `leeds` with one key.
fn scene(kind: RouteKind, public: bool) -> Scene {
    let mut scene = Scene::new(kind, 3);
    let mut newer = (**scene.gateway.configuration.as_ref().unwrap()).clone();
    newer.version += 1;
    let routes = newer.routes.iter().cloned();
    newer.routes = routes.map(|route| Route { public, ..route }).collect();
    newer.tenants = Tenants::new(vec![Tenant {
        name: "leeds".into(),
        keys: digest("known").into_iter().collect(),
        priority: Some(0),
    }])
    .unwrap();
    assert!(scene.gateway.apply_configuration(newer));
    scene.gateway.set_replicas(vec!["10.0.0.9:1".into()]);
    scene
}

fn request(key: Option<KeyDigest>) -> CallerMessage {
    CallerMessage::Request(CallerRequest {
        id: "r1".into(),
        host: "h".into(),
        deadline: Some(Duration::from_millis(1_000)),
        key,
        http: HttpRequest::new("POST", "/p/x", ""),
        ..CallerRequest::default()
    })
}

#[rstest]
#[case::safe(RouteKind::Safe)]
#[case::not_repeatable(RouteKind::Unsafe)]
#[case::streaming(RouteKind::Streaming)]
#[case::batch(RouteKind::Batch)]
fn without_a_known_key_nothing_is_passed_on(#[case] kind: RouteKind) {
    for key in [None, digest("unknown")] {
        let mut scene = scene(kind, false);
        let actions = scene
            .gateway
            .on_caller_message(scene.now, CallId(1), request(key));
        scene.carry_out(actions);
        assert_eq!(scene.status(), Some(401));
        assert!(scene.ended && scene.sent.is_empty() && scene.jobs.is_empty());
    }
}

#[rstest]
#[case::known_key(false, "known")]
#[case::public_route(true, "unknown")]
fn a_known_key_or_a_public_route_lets_a_request_in(#[case] public: bool, #[case] key: &str) {
    let mut scene = scene(RouteKind::Safe, public);
    let actions = scene
        .gateway
        .on_caller_message(scene.now, CallId(1), request(digest(key)));
    scene.carry_out(actions);
    assert_eq!(scene.sent.len(), 1);
    let tenant = if public { "" } else { "leeds" };
    assert_eq!(scene.sent[0].tenant, tenant);
}

fn job_messages(key: Option<KeyDigest>) -> [CallerMessage; 3] {
    let job = || "j".to_string();
    [
        CallerMessage::ReadJob(JobRead {
            job: job(),
            key,
            ..JobRead::default()
        }),
        CallerMessage::ReadItem {
            job: job(),
            item: "i".into(),
            key,
        },
        CallerMessage::EndJob { job: job(), key },
    ]
}

fn calls(scene: &mut Scene, message: CallerMessage) -> Vec<JobCall> {
    let actions = scene
        .gateway
        .on_caller_message(scene.now, CallId(1), message);
    let mut calls = Vec::new();
    for action in actions {
        match action {
            GatewayAction::SendJobCall { call, .. } => calls.push(call),
            forward => scene.carry_out(vec![forward]),
        }
    }
    calls
}

#[test]
fn each_call_about_a_job_is_passed_on_in_the_name_of_its_tenant() {
    for message in job_messages(digest("known")) {
        let mut scene = scene(RouteKind::Batch, false);
        let calls = calls(&mut scene, message);
        assert_eq!(calls.len(), 1);
        assert_eq!(calls[0].tenant, "leeds");
    }
}

#[test]
fn a_call_about_a_job_without_a_known_key_is_denied() {
    for key in [None, digest("unknown")] {
        for message in job_messages(key) {
            let mut scene = scene(RouteKind::Batch, false);
            assert!(calls(&mut scene, message).is_empty());
            assert_eq!(scene.status(), Some(401));
        }
    }
}

/// Its job may be one of the public route: the leader knows.
#[test]
fn a_call_without_a_key_goes_on_where_a_batch_route_is_public() {
    for message in job_messages(None) {
        let mut scene = scene(RouteKind::Batch, true);
        assert_eq!(calls(&mut scene, message)[0].tenant, "");
    }
    for message in job_messages(digest("unknown")) {
        let mut scene = scene(RouteKind::Batch, true);
        assert!(calls(&mut scene, message).is_empty());
        assert_eq!(scene.status(), Some(401));
    }
}

/// A key that is taken away ends no request that is under way.
#[test]
fn a_key_that_is_gone_denies_the_next_request_only() {
    let mut scene = scene(RouteKind::Safe, false);
    let first = request(digest("known"));
    let actions = scene.gateway.on_caller_message(scene.now, CallId(1), first);
    scene.carry_out(actions);
    let mut newer = (**scene.gateway.configuration.as_ref().unwrap()).clone();
    newer.version += 1;
    newer.tenants = Tenants::new(vec![Tenant {
        name: "leeds".into(),
        keys: digest("newer").into_iter().collect(),
        priority: None,
    }])
    .unwrap();
    assert!(scene.gateway.apply_configuration(newer));
    let second = request(digest("known"));
    let denied = scene
        .gateway
        .on_caller_message(scene.now, CallId(2), second);
    let is_head = |action: &GatewayAction| {
        let GatewayAction::Forward(ForwardAction::Respond { part, .. }) = action else {
            panic!("{action:?}");
        };
        matches!(part, ResponsePart::Head(head) if head.status == 401)
    };
    assert!(is_head(&denied[0]), "and nothing is sent to an engine");
    scene.answer(0, 200, &["id", "signed"], "body");
    assert_eq!(scene.status(), Some(200));
}

/// An answer, a failure of the engine or a broken answer: it ran. A refusal: it did not.
#[test]
fn a_request_counts_once_however_many_engines_it_meets() {
    let mut scene = scene(RouteKind::Safe, false);
    let sent_at = scene.now;
    let actions = scene
        .gateway
        .on_caller_message(scene.now, CallId(1), request(digest("known")));
    scene.carry_out(actions);
    scene.answer(0, 503, &["id", "not-run"], "");
    assert!(scene.began.is_empty(), "it has not run there");
    scene.wait(5);
    scene.fail(1, HttpStep::Head);
    scene.answer(2, 200, &["id", "signed"], "body");
    assert_eq!(scene.began, [("leeds".to_string(), sent_at)]);
}

/// Where a key must not serve after it may have been taken away, old news is no news; a
/// public route and a gateway that hears the store go on.
#[rstest]
#[case::young(4_999, false, 200)]
#[case::old(5_000, false, 503)]
#[case::old_and_public(5_000, true, 200)]
fn keys_are_not_believed_for_ever(
    #[case] news_age_ms: u64,
    #[case] public: bool,
    #[case] status: u16,
) {
    let mut scene = scene(RouteKind::Safe, public);
    scene.gateway.store_staleness = Duration::from_millis(news_age_ms);
    let actions = scene
        .gateway
        .on_caller_message(scene.now, CallId(1), request(digest("known")));
    scene.carry_out(actions);
    if status == 200 {
        scene.answer(0, 200, &["id", "signed"], "body");
    }
    assert_eq!(scene.status(), Some(status));
}

#[test]
fn with_old_news_no_call_about_a_job_is_passed_on() {
    for message in job_messages(digest("known")) {
        let mut scene = scene(RouteKind::Batch, false);
        scene.gateway.store_staleness = Duration::from_secs(5);
        assert!(calls(&mut scene, message).is_empty());
        assert_eq!(scene.status(), Some(503));
    }
}

fn starting_gateway() -> (Scene, Configuration) {
    let mut scene = scene(RouteKind::Batch, false);
    let configuration = (**scene.gateway.configuration.as_ref().unwrap()).clone();
    scene.gateway.configuration = None;
    (scene, configuration)
}

/// Its caller has gone and does not ask again; engines would go on with the job.
#[test]
fn an_end_that_came_before_the_first_configuration_is_carried_on() {
    let (mut scene, configuration) = starting_gateway();
    let [_, _, end] = job_messages(digest("known"));
    assert!(calls(&mut scene, end).is_empty());
    assert_eq!(scene.gateway.in_flight(), 1, "a stop waits for it");
    scene.gateway.on_caller_disconnected(scene.now, CallId(1));
    scene.wait(700);
    assert!(scene.jobs.is_empty());
    assert!(scene.gateway.apply_configuration(configuration));
    scene.wait(15);
    assert_eq!(scene.jobs.len(), 1);
    assert_eq!(scene.status(), None, "there is nobody to be answered");
}

/// It may be carried out yet, so its caller is not told that it will not.
#[test]
fn a_caller_that_waits_for_the_first_configuration_is_answered_without_a_promise() {
    let (mut scene, configuration) = starting_gateway();
    let [_, _, end] = job_messages(digest("known"));
    assert!(calls(&mut scene, end).is_empty());
    scene.wait(1_300);
    assert_eq!(scene.status(), Some(502));
    assert!(scene.gateway.apply_configuration(configuration));
    scene.wait(15);
    assert_eq!(scene.jobs.len(), 1);
}

/// Once keys can be looked up, an end with none that is known is denied as ever.
#[test]
fn an_end_that_was_kept_is_checked() {
    let (mut scene, configuration) = starting_gateway();
    let [_, _, end] = job_messages(digest("unknown"));
    assert!(calls(&mut scene, end).is_empty());
    assert!(scene.gateway.apply_configuration(configuration));
    scene.wait(15);
    assert_eq!(scene.status(), Some(401));
    assert!(scene.jobs.is_empty());
}
