//! Authentication of callers before a request is forwarded or relayed.

use crate::harness::Harness;
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
fn harness_with_tenant(kind: RouteKind, public: bool) -> Harness {
    let mut harness = Harness::new(kind, 3);
    let mut newer = (**harness.gateway.configuration.as_ref().unwrap()).clone();
    newer.version += 1;
    let routes = newer.routes.iter().cloned();
    newer.routes = routes.map(|route| Route { public, ..route }).collect();
    newer.tenants = Tenants::new(vec![Tenant {
        name: "leeds".into(),
        keys: digest("known").into_iter().collect(),
        priority: Some(0),
    }])
    .unwrap();
    assert!(harness.gateway.apply_configuration(newer));
    harness.gateway.set_replicas(vec!["10.0.0.9:1".into()]);
    harness
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
#[case::unsafe_route(RouteKind::Unsafe)]
#[case::streaming(RouteKind::Streaming)]
#[case::batch(RouteKind::Batch)]
fn requests_without_a_known_key_are_denied(#[case] kind: RouteKind) {
    for key in [None, digest("unknown")] {
        let mut harness = harness_with_tenant(kind, false);
        let actions = harness
            .gateway
            .on_caller_message(harness.now, CallId(1), request(key));
        harness.execute(actions);
        assert_eq!(harness.status(), Some(401));
        assert!(harness.is_finished && harness.requests.is_empty() && harness.job_calls.is_empty());
    }
}

#[rstest]
#[case::known_key(false, "known")]
#[case::public_route(true, "unknown")]
fn a_known_key_or_a_public_route_admits_a_request(#[case] public: bool, #[case] key: &str) {
    let mut harness = harness_with_tenant(RouteKind::Safe, public);
    let actions = harness
        .gateway
        .on_caller_message(harness.now, CallId(1), request(digest(key)));
    harness.execute(actions);
    assert_eq!(harness.requests.len(), 1);
    let tenant = if public { "" } else { "leeds" };
    assert_eq!(harness.requests[0].tenant, tenant);
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

fn relay_message(harness: &mut Harness, message: CallerMessage) -> Vec<JobCall> {
    let actions = harness
        .gateway
        .on_caller_message(harness.now, CallId(1), message);
    let mut calls = Vec::new();
    for action in actions {
        match action {
            GatewayAction::SendJobCall { call, .. } => calls.push(call),
            forward => harness.execute(vec![forward]),
        }
    }
    calls
}

#[test]
fn job_calls_are_relayed_with_their_tenant() {
    for message in job_messages(digest("known")) {
        let mut harness = harness_with_tenant(RouteKind::Batch, false);
        let calls = relay_message(&mut harness, message);
        assert_eq!(calls.len(), 1);
        assert_eq!(calls[0].tenant, "leeds");
    }
}

#[test]
fn job_calls_without_a_known_key_are_denied() {
    for key in [None, digest("unknown")] {
        for message in job_messages(key) {
            let mut harness = harness_with_tenant(RouteKind::Batch, false);
            assert!(relay_message(&mut harness, message).is_empty());
            assert_eq!(harness.status(), Some(401));
        }
    }
}

/// Without a key the job may belong to the public route, which only the leader can check.
#[test]
fn job_calls_without_a_key_are_relayed_if_a_batch_route_is_public() {
    for message in job_messages(None) {
        let mut harness = harness_with_tenant(RouteKind::Batch, true);
        assert_eq!(relay_message(&mut harness, message)[0].tenant, "");
    }
    for message in job_messages(digest("unknown")) {
        let mut harness = harness_with_tenant(RouteKind::Batch, true);
        assert!(relay_message(&mut harness, message).is_empty());
        assert_eq!(harness.status(), Some(401));
    }
}

/// Guards against aborting requests in flight when a key is revoked.
#[test]
fn a_revoked_key_denies_only_later_requests() {
    let mut harness = harness_with_tenant(RouteKind::Safe, false);
    let first = request(digest("known"));
    let actions = harness
        .gateway
        .on_caller_message(harness.now, CallId(1), first);
    harness.execute(actions);
    let mut newer = (**harness.gateway.configuration.as_ref().unwrap()).clone();
    newer.version += 1;
    newer.tenants = Tenants::new(vec![Tenant {
        name: "leeds".into(),
        keys: digest("newer").into_iter().collect(),
        priority: None,
    }])
    .unwrap();
    assert!(harness.gateway.apply_configuration(newer));
    let second = request(digest("known"));
    let denied = harness
        .gateway
        .on_caller_message(harness.now, CallId(2), second);
    let is_denied = |action: &GatewayAction| {
        let GatewayAction::Forward(ForwardAction::Respond { part, .. }) = action else {
            panic!("{action:?}");
        };
        matches!(part, ResponsePart::Head(head) if head.status == 401)
    };
    assert!(
        is_denied(&denied[0]),
        "the request is denied, not sent to an engine"
    );
    harness.respond(0, 200, &["id", "signed"], "body");
    assert_eq!(harness.status(), Some(200));
}

/// Guards against billing a request once for each attempt, or for an attempt that has not run.
#[test]
fn a_request_is_metered_once_across_attempts() {
    let mut harness = harness_with_tenant(RouteKind::Safe, false);
    let sent_at = harness.now;
    let actions =
        harness
            .gateway
            .on_caller_message(harness.now, CallId(1), request(digest("known")));
    harness.execute(actions);
    harness.respond(0, 503, &["id", "not-run"], "");
    assert!(
        harness.started_runs.is_empty(),
        "it has not run at the first engine"
    );
    harness.advance(5);
    harness.fail(1, HttpStep::Head);
    harness.respond(2, 200, &["id", "signed"], "body");
    assert_eq!(harness.started_runs, [("leeds".to_string(), sent_at)]);
}

/// Guards against accepting a revoked key while the gateway is cut off from the store.
#[rstest]
#[case::fresh(4_999, false, 200)]
#[case::stale(5_000, false, 503)]
#[case::stale_and_public(5_000, true, 200)]
fn keys_are_not_accepted_while_the_store_is_stale(
    #[case] store_staleness_ms: u64,
    #[case] public: bool,
    #[case] status: u16,
) {
    let mut harness = harness_with_tenant(RouteKind::Safe, public);
    harness.gateway.store_staleness = Duration::from_millis(store_staleness_ms);
    let actions =
        harness
            .gateway
            .on_caller_message(harness.now, CallId(1), request(digest("known")));
    harness.execute(actions);
    if status == 200 {
        harness.respond(0, 200, &["id", "signed"], "body");
    }
    assert_eq!(harness.status(), Some(status));
}

#[test]
fn job_calls_are_refused_while_the_store_is_stale() {
    for message in job_messages(digest("known")) {
        let mut harness = harness_with_tenant(RouteKind::Batch, false);
        harness.gateway.store_staleness = Duration::from_secs(5);
        assert!(relay_message(&mut harness, message).is_empty());
        assert_eq!(harness.status(), Some(503));
    }
}

fn unconfigured_harness() -> (Harness, Configuration) {
    let mut harness = harness_with_tenant(RouteKind::Batch, false);
    let configuration = (**harness.gateway.configuration.as_ref().unwrap()).clone();
    harness.gateway.configuration = None;
    (harness, configuration)
}

/// Guards against losing an EndJob call whose caller has disconnected and will not retry.
#[test]
fn an_end_call_before_the_first_configuration_is_relayed_later() {
    let (mut harness, configuration) = unconfigured_harness();
    let [_, _, end] = job_messages(digest("known"));
    assert!(relay_message(&mut harness, end).is_empty());
    assert_eq!(
        harness.gateway.in_flight(),
        1,
        "shutdown waits for the call"
    );
    harness
        .gateway
        .on_caller_disconnected(harness.now, CallId(1));
    harness.advance(700);
    assert!(harness.job_calls.is_empty());
    assert!(harness.gateway.apply_configuration(configuration));
    harness.advance(15);
    assert_eq!(harness.job_calls.len(), 1);
    assert_eq!(harness.status(), None, "the caller has disconnected");
}

/// Guards against refusing a deferred call as not run, since it may still be executed.
#[test]
fn a_deferred_call_is_answered_as_unknown_after_a_timeout() {
    let (mut harness, configuration) = unconfigured_harness();
    let [_, _, end] = job_messages(digest("known"));
    assert!(relay_message(&mut harness, end).is_empty());
    harness.advance(1_300);
    assert_eq!(harness.status(), Some(502));
    assert!(harness.gateway.apply_configuration(configuration));
    harness.advance(15);
    assert_eq!(harness.job_calls.len(), 1);
}

/// Guards against relaying a deferred call without checking its key.
#[test]
fn an_end_call_that_was_deferred_is_authenticated() {
    let (mut harness, configuration) = unconfigured_harness();
    let [_, _, end] = job_messages(digest("unknown"));
    assert!(relay_message(&mut harness, end).is_empty());
    assert!(harness.gateway.apply_configuration(configuration));
    harness.advance(15);
    assert_eq!(harness.status(), Some(401));
    assert!(harness.job_calls.is_empty());
}
