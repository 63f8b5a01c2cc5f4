//! Requests end once, with a true answer, at once when nothing more can be done.

use bytes::Bytes;
use peatgrade_gateway::{CallId, Gateway, GatewayAction, GatewaySettings, HttpId};
use peatgrade_ports::{
    Answer, AnswerHead, BadRequest, CallerMessage, CallerRequest, Codec, Configuration, EngineCall,
    EngineRecord, EngineReport, EventReader, Instance, OrderAnswer, Refusal, Route, RouteKind,
    StoreCall, StoreReply, Submission, Target,
};
use peatgrade_schema::replication::{JobReply, JobStatus};
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, Time};
use rstest::rstest;
use std::rc::Rc;

/// Plain headers: `id`, `not-run`, `signed`.
struct PlainCodec;

fn status_of(refusal: Refusal) -> u16 {
    match refusal {
        Refusal::Malformed => 400,
        Refusal::NoRoute | Refusal::NotFound => 404,
        Refusal::NotRun => 503,
        Refusal::TimedOut => 504,
        Refusal::Unknown => 502,
    }
}

impl Codec for PlainCodec {
    fn is_ready_check(&self, _: &HttpRequest) -> bool {
        false
    }

    fn caller_message(&self, http: HttpRequest) -> CallerMessage {
        CallerMessage::Request(CallerRequest {
            http,
            ..CallerRequest::default()
        })
    }

    fn submission(&self, request: &CallerRequest) -> Result<Submission, BadRequest> {
        Ok(Submission {
            job: request.id.clone(),
            ..Submission::default()
        })
    }

    fn answer(&self, answer: &Answer) -> (ResponseHead, Bytes) {
        let (status, retry) = match answer {
            Answer::Refused {
                refusal,
                retry_after,
                ..
            } => (status_of(*refusal), *retry_after),
            Answer::JobAccepted => (202, None),
            _ => (200, None),
        };
        let mut head = ResponseHead::new(status, "text/plain");
        if let Some(span) = retry {
            let millis = span.as_millis().to_string();
            head.headers.push(("retry-ms".into(), millis));
        }
        (head, Bytes::new())
    }

    fn passed_head(&self, head: &ResponseHead, _: &CallerRequest) -> ResponseHead {
        head.clone()
    }

    fn engine_request(&self, call: &EngineCall) -> HttpRequest {
        let EngineCall::Run {
            instance,
            deadline,
            last_event,
            ..
        } = call
        else {
            panic!("a gateway only runs requests");
        };
        let left = deadline.map_or(0, Duration::as_millis);
        HttpRequest::new("POST", "/", "")
            .with_header("instance", instance.0.clone())
            .with_header("left", left.to_string())
            .with_header("after", format!("{last_event:?}"))
    }

    fn answer_head(&self, head: &ResponseHead) -> AnswerHead {
        AnswerHead {
            status: head.status,
            id: head.header("id").map(str::to_string),
            not_run: head.header("not-run").is_some(),
            misdirected: head.status == 421,
            signed: head.header("signed").is_some(),
            ..AnswerHead::default()
        }
    }

    fn event_reader(&self) -> Box<dyn EventReader> {
        panic!("a gateway reads no events")
    }

    fn report(&self, _: &[u8]) -> Option<EngineReport> {
        None
    }

    fn order_answer(&self, _: u16) -> OrderAnswer {
        OrderAnswer::Rejected
    }

    fn store_request(&self, _: &StoreCall) -> HttpRequest {
        HttpRequest::default()
    }

    fn store_reply(&self, _: &StoreCall, _: u16, _: &[u8]) -> StoreReply {
        StoreReply::Missing
    }
}

struct Sent {
    id: HttpId,
    engine: String,
    left: u64,
    after: String,
    fresh: bool,
}

struct Scene {
    now: Time,
    gateway: Gateway,
    sent: Vec<Sent>,
    cancelled: Vec<HttpId>,
    /// Heads that went to the caller, and whether the answer is over.
    heads: Vec<ResponseHead>,
    bodies: Vec<u8>,
    ended: bool,
    cut: bool,
    jobs: Vec<(String, u64)>,
}

impl Scene {
    fn new(kind: RouteKind, engines: usize) -> Self {
        let settings = GatewaySettings {
            zone: "z".into(),
            seed: 1,
        };
        let mut gateway = Gateway::new(settings, Rc::new(PlainCodec));
        let route = Route {
            name: "r".into(),
            host: "h".into(),
            prefix: "/p/".into(),
            kind,
            timeout: Duration::from_millis(1_500),
            target_latency: Duration::from_millis(150),
            priority: 1,
            targets: vec![Target {
                service: "s".into(),
                weight: 1,
            }],
            max_attempts: 2,
            resumable: kind == RouteKind::Streaming,
            max_queue: Duration::from_secs(40),
            result_deadline: Duration::from_secs(7),
            single_version: false,
        };
        gateway.configure(Configuration {
            version: 1,
            routes: vec![route],
            ..Configuration::default()
        });
        let records = (0..engines).map(|index| EngineRecord {
            instance: Instance(format!("e{index}")),
            service: "s".into(),
            address: format!("10.0.0.{index}:1"),
            zone: "z".into(),
            slots: 6,
            ..EngineRecord::default()
        });
        let now = Time(1_000_000);
        gateway.directory.replace(now, records.collect());
        Self {
            now,
            gateway,
            sent: Vec::new(),
            cancelled: Vec::new(),
            heads: Vec::new(),
            bodies: Vec::new(),
            ended: false,
            cut: false,
            jobs: Vec::new(),
        }
    }

    fn carry_out(&mut self, actions: Vec<GatewayAction>) {
        for action in actions {
            match action {
                GatewayAction::Respond { part, .. } => {
                    assert!(!self.ended, "a part after the end");
                    match part {
                        ResponsePart::Head(head) => self.heads.push(head),
                        ResponsePart::Data(data) => self.bodies.extend_from_slice(&data),
                        ResponsePart::End => self.ended = true,
                        ResponsePart::Failed(_) => (self.ended, self.cut) = (true, true),
                    }
                }
                GatewayAction::Http {
                    id, request, fresh, ..
                } => self.sent.push(Sent {
                    id,
                    engine: request.header("instance").unwrap().to_string(),
                    left: request.header("left").unwrap().parse().unwrap(),
                    after: request.header("after").unwrap().to_string(),
                    fresh,
                }),
                GatewayAction::CancelHttp(id) => self.cancelled.push(id),
                GatewayAction::Job { address, call } => self.jobs.push((address, call.call)),
            }
        }
    }

    fn call(&mut self) {
        self.call_on("/p/x");
    }

    fn call_on(&mut self, path: &str) {
        let request = CallerRequest {
            id: "r1".into(),
            host: "h".into(),
            deadline: Some(Duration::from_millis(1_000)),
            http: HttpRequest::new("POST", path, ""),
            ..CallerRequest::default()
        };
        let message = CallerMessage::Request(request);
        let actions = self.gateway.on_call(self.now, CallId(1), message);
        self.carry_out(actions);
    }

    fn part(&mut self, index: usize, part: ResponsePart) {
        let id = self.sent[index].id;
        let actions = self.gateway.on_part(self.now, id, part);
        self.carry_out(actions);
    }

    fn answer(&mut self, index: usize, status: u16, headers: &[&str], body: &str) {
        let mut head = ResponseHead::new(status, "text/plain");
        for name in headers {
            let value = if *name == "id" { "r1" } else { "1" };
            head.headers.push((name.to_string(), value.to_string()));
        }
        self.part(index, ResponsePart::Head(head));
        self.part(index, ResponsePart::Data(Bytes::from(body.to_string())));
        self.part(index, ResponsePart::End);
    }

    fn fail(&mut self, index: usize, step: HttpStep) {
        let failure = HttpFailure {
            peer: "e".into(),
            step,
            reason: "reset".into(),
        };
        self.part(index, ResponsePart::Failed(failure));
    }

    fn wait(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        let actions = self.gateway.tick(self.now);
        self.carry_out(actions);
    }

    fn status(&self) -> Option<u16> {
        assert!(self.heads.len() <= 1, "two answers");
        self.heads.first().map(|head| head.status)
    }

    fn reply(&mut self, from: &str, call: u64, status: JobStatus, leader: &str) {
        let reply = JobReply {
            call,
            status,
            leader_address: leader.into(),
            ..JobReply::default()
        };
        let actions = self.gateway.on_reply(self.now, from, reply);
        self.carry_out(actions);
    }
}

#[test]
fn a_whole_answer_goes_back() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    assert!(scene.sent[0].left <= 1_000);
    scene.answer(0, 200, &["id", "signed"], "body");
    assert_eq!(scene.status(), Some(200));
    assert_eq!(scene.bodies, b"body");
    assert!(scene.ended);
}

#[rstest]
#[case::safe(RouteKind::Safe, 2)]
#[case::not_repeatable(RouteKind::Unsafe, 1)]
fn what_may_have_run_is_repeated_only_if_it_may_be(#[case] kind: RouteKind, #[case] sends: usize) {
    let mut scene = Scene::new(kind, 3);
    scene.call();
    scene.fail(0, HttpStep::Head);
    assert_eq!(scene.sent.len(), sends);
    if sends == 1 {
        // It may have run: no promise, and the answer is not held back.
        assert_eq!(scene.status(), Some(502));
    } else {
        assert_ne!(scene.sent[0].engine, scene.sent[1].engine);
        scene.answer(1, 200, &["id", "signed"], "body");
        assert_eq!(scene.status(), Some(200));
    }
}

#[test]
fn only_a_request_that_may_be_repeated_uses_a_kept_connection() {
    for (kind, fresh) in [(RouteKind::Safe, false), (RouteKind::Unsafe, true)] {
        let mut scene = Scene::new(kind, 1);
        scene.call();
        assert_eq!(scene.sent[0].fresh, fresh);
    }
}

#[test]
fn a_request_that_no_engine_took_is_refused_at_once_with_when_to_come_back() {
    let mut scene = Scene::new(RouteKind::Unsafe, 3);
    scene.call();
    for index in 0..3 {
        assert_eq!(scene.status(), None);
        scene.answer(index, 503, &["id", "not-run"], "");
    }
    assert_eq!(scene.status(), Some(503));
    assert!(scene.heads[0].header("retry-ms").is_some());
}

#[test]
fn a_connection_that_was_never_made_proves_that_nothing_ran() {
    let mut scene = Scene::new(RouteKind::Unsafe, 2);
    scene.call();
    scene.fail(0, HttpStep::Connect);
    assert_eq!(scene.sent.len(), 2);
    scene.fail(1, HttpStep::Connect);
    assert_eq!(scene.status(), Some(503));
}

#[test]
fn an_answer_of_another_request_is_never_passed_on() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    let mut head = ResponseHead::new(200, "text/plain");
    head.headers.push(("id".into(), "other".into()));
    head.headers.push(("signed".into(), "1".into()));
    scene.part(0, ResponsePart::Head(head));
    assert!(scene.cancelled.contains(&scene.sent[0].id));
    scene.answer(1, 200, &["id", "signed"], "right");
    assert_eq!(scene.bodies, b"right");
}

#[test]
fn a_success_without_the_engines_signature_is_none() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    scene.answer(0, 200, &["id"], "forged");
    scene.answer(1, 200, &["id"], "forged");
    assert_eq!(scene.status(), Some(502));
    assert!(scene.bodies.is_empty());
}

#[test]
fn a_silent_engine_is_not_waited_for_alone() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    scene.wait(80);
    assert_eq!(scene.sent.len(), 2);
    scene.answer(1, 200, &["id", "signed"], "second");
    assert_eq!(scene.status(), Some(200));
    // The first one's answer comes late and goes nowhere.
    scene.answer(0, 200, &["id", "signed"], "first");
    assert_eq!(scene.bodies, b"second");
}

#[test]
fn no_more_engines_than_allowed_run_a_request() {
    let mut scene = Scene::new(RouteKind::Safe, 5);
    scene.call();
    scene.wait(80);
    scene.wait(80);
    scene.wait(80);
    assert_eq!(scene.sent.len(), 2);
}

#[test]
fn the_deadline_ends_a_request_and_its_work() {
    let mut scene = Scene::new(RouteKind::Unsafe, 3);
    scene.call();
    scene.wait(990);
    assert_eq!(scene.status(), Some(504));
    assert_eq!(scene.cancelled.len(), 1);
}

#[test]
fn work_for_a_caller_that_left_is_stopped() {
    let mut scene = Scene::new(RouteKind::Safe, 3);
    scene.call();
    let actions = scene.gateway.on_gone(CallId(1));
    scene.carry_out(actions);
    assert_eq!(scene.cancelled.len(), 1);
    assert_eq!(scene.gateway.in_flight(), 0);
}

#[test]
fn a_gateway_without_configuration_promises_that_nothing_ran() {
    let mut scene = Scene::new(RouteKind::Safe, 1);
    scene.gateway.configuration = None;
    scene.call();
    assert_eq!(scene.status(), Some(503));
}

#[test]
fn an_unknown_route_is_told_so_and_an_older_configuration_changes_nothing() {
    let mut scene = Scene::new(RouteKind::Safe, 1);
    assert!(!scene.gateway.configure(Configuration {
        version: 1,
        ..Configuration::default()
    }));
    scene.call_on("/q/x");
    assert_eq!(scene.status(), Some(404));
}

/// A list that was read before a change may arrive after it.
#[rstest]
#[case::same(5)]
#[case::older(4)]
#[case::much_older(1)]
fn a_configuration_never_goes_backwards(#[case] version: u64) {
    let mut scene = Scene::new(RouteKind::Safe, 1);
    let routes = scene.gateway.configuration.as_ref().unwrap().routes.clone();
    assert!(scene.gateway.configure(Configuration {
        version: 5,
        routes,
        ..Configuration::default()
    }));
    assert!(!scene.gateway.configure(Configuration {
        version,
        ..Configuration::default()
    }));
    scene.call();
    assert_eq!(scene.sent.len(), 1, "the route is still there");
}

#[test]
fn a_draining_engine_gets_nothing_new() {
    let mut scene = Scene::new(RouteKind::Safe, 1);
    let mut leaving = EngineRecord {
        instance: Instance("e0".into()),
        service: "s".into(),
        ..EngineRecord::default()
    };
    leaving.draining = true;
    scene.gateway.directory.replace(scene.now, vec![leaving]);
    scene.call();
    assert!(scene.sent.is_empty());
    assert_eq!(scene.status(), Some(503));
}

#[test]
fn a_job_call_follows_the_leader() {
    let mut scene = Scene::new(RouteKind::Batch, 0);
    scene
        .gateway
        .set_replicas(vec!["a:1".into(), "b:1".into(), "c:1".into()]);
    scene.call();
    let (first, call) = scene.jobs[0].clone();
    scene.reply(&first, call, JobStatus::NOT_LEADER, "z:1");
    assert_eq!(scene.jobs[1], ("z:1".to_string(), call));
    scene.reply("z:1", call, JobStatus::OK, "z:1");
    assert_eq!(scene.status(), Some(202));
}

#[test]
fn a_submission_that_was_sent_is_never_called_not_run() {
    let mut scene = Scene::new(RouteKind::Batch, 0);
    scene.gateway.set_replicas(vec!["a:1".into(), "b:1".into()]);
    scene.call();
    for _ in 0..40 {
        scene.wait(50);
    }
    assert!(scene.jobs.len() > 1, "sent again to others");
    assert_eq!(scene.status(), Some(502));
}

#[test]
fn a_submission_that_found_nobody_is_refused_as_not_run() {
    let mut scene = Scene::new(RouteKind::Batch, 0);
    scene.call();
    for _ in 0..40 {
        scene.wait(50);
    }
    assert_eq!(scene.status(), Some(503));
    assert!(scene.heads[0].header("retry-ms").is_some());
}

fn begin_stream(scene: &mut Scene, index: usize) {
    let mut head = ResponseHead::new(200, "text/event-stream");
    head.headers.push(("id".into(), "r1".into()));
    head.headers.push(("signed".into(), "1".into()));
    scene.part(index, ResponsePart::Head(head));
}

fn data(scene: &mut Scene, index: usize, text: &str) {
    scene.part(index, ResponsePart::Data(Bytes::from(text.to_string())));
}

#[test]
fn a_stream_that_breaks_off_goes_on_at_another_engine_after_its_last_whole_event() {
    let mut scene = Scene::new(RouteKind::Streaming, 3);
    scene.call();
    begin_stream(&mut scene, 0);
    data(&mut scene, 0, "id: 1\ndata: one\n\nid: 2\nda");
    assert_eq!(scene.bodies, b"id: 1\ndata: one\n\n", "each as it comes");
    scene.fail(0, HttpStep::Body);
    assert_eq!(scene.sent[1].after, "Some(1)");
    assert_ne!(scene.sent[1].engine, scene.sent[0].engine);
    begin_stream(&mut scene, 1);
    data(&mut scene, 1, "id: 2\ndata: two\n\n");
    scene.part(1, ResponsePart::End);
    assert_eq!(scene.heads.len(), 1);
    assert_eq!(scene.bodies, b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
    assert!(scene.ended && !scene.cut);
}

#[test]
fn half_a_stream_never_looks_whole() {
    let mut scene = Scene::new(RouteKind::Streaming, 2);
    scene.call();
    for index in 0..2 {
        begin_stream(&mut scene, index);
        data(&mut scene, index, "id: 1\ndata: one\n\n");
        scene.fail(index, HttpStep::Body);
    }
    assert!(scene.cut);
    assert_eq!(scene.heads.len(), 1);
}

#[test]
fn an_error_of_the_next_engine_is_not_mixed_into_a_stream() {
    let mut scene = Scene::new(RouteKind::Streaming, 2);
    scene.call();
    begin_stream(&mut scene, 0);
    data(&mut scene, 0, "id: 1\ndata: one\n\n");
    scene.fail(0, HttpStep::Body);
    scene.answer(1, 500, &["id", "signed"], "broken");
    assert!(scene.cut);
    assert_eq!(scene.bodies, b"id: 1\ndata: one\n\n");
    assert_eq!(scene.heads.len(), 1);
}

#[test]
fn a_stream_whose_time_is_over_is_cut() {
    let mut scene = Scene::new(RouteKind::Streaming, 2);
    scene.call();
    begin_stream(&mut scene, 0);
    scene.wait(1_000);
    assert!(scene.cut);
    assert_eq!(scene.cancelled.len(), 1);
}
