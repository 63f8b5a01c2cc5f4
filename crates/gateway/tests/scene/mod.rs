//! A gateway with engines and replicas that answer as a test says.

use bytes::Bytes;
use peatgrade_forward::{CallId, ForwardAction, ForwarderSettings, HttpId};
use peatgrade_gateway::{Gateway, GatewayAction, GatewaySettings};
use peatgrade_ports::{
    Answer, AnswerHead, BadRequest, CallerMessage, CallerRequest, Codec, Configuration, DutyAnswer,
    EngineCall, EngineRecord, EngineReport, EventReader, Instance, OrderAnswer, Refusal, Route,
    RouteKind, StartedAt, StoreCall, StoreEvent, StoreObject, StoreReply, Submission, Target,
    UsageReport,
};
use peatgrade_schema::replication::{JobReply, JobStatus};
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, Time};
use std::rc::Rc;

/// Plain headers: `id`, `not-run`, `signed`.
struct PlainCodec;

fn status_of(refusal: Refusal) -> u16 {
    match refusal {
        Refusal::Malformed => 400,
        Refusal::Unauthorized => 401,
        Refusal::NoRoute | Refusal::NotFound => 404,
        Refusal::NotRun => 503,
        Refusal::TimedOut => 504,
        Refusal::Unknown | Refusal::EndsEngines => 502,
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
            tenant: request.tenant.clone(),
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
            tenant,
            ..
        } = call
        else {
            let EngineCall::Report(instance) = call else {
                panic!("a gateway orders nothing");
            };
            return HttpRequest::new("GET", "/", "").with_header("instance", instance.0.clone());
        };
        let left = deadline.map_or(0, Duration::as_millis);
        HttpRequest::new("POST", "/", "")
            .with_header("instance", instance.0.clone())
            .with_header("left", left.to_string())
            .with_header("after", format!("{last_event:?}"))
            .with_header("tenant", tenant.clone())
    }

    fn answer_head(&self, head: &ResponseHead) -> AnswerHead {
        AnswerHead {
            status: head.status,
            id: head.header("id").map(str::to_string),
            not_run: head.header("not-run").is_some(),
            misdirected: head.status == 421,
            signature: head.header("signed").map(str::to_string),
            instance: head.header("instance").map(|id| Instance(id.into())),
            ..AnswerHead::default()
        }
    }

    fn event_reader(&self) -> Box<dyn EventReader> {
        panic!("a gateway reads no events")
    }

    /// Reports are the number of the engine's start.
    fn report(&self, body: &[u8]) -> Option<EngineReport> {
        let started = std::str::from_utf8(body).ok()?.parse().ok()?;
        Some(EngineReport {
            started: Some(StartedAt(started)),
            ..EngineReport::default()
        })
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

    fn usage_request(&self, _: &UsageReport) -> HttpRequest {
        panic!("a gateway reports nothing")
    }

    fn duty_answer(&self, _: u16) -> DutyAnswer {
        DutyAnswer::Unknown
    }
}

pub struct Sent {
    pub id: HttpId,
    pub engine: String,
    pub left: u64,
    pub after: String,
    pub tenant: String,
    pub fresh: bool,
}

pub struct Scene {
    pub now: Time,
    pub gateway: Gateway,
    pub sent: Vec<Sent>,
    pub cancelled: Vec<HttpId>,
    /// Engines that were asked whether they are there.
    pub checks: Vec<(HttpId, String)>,
    /// Heads that went to the caller, and whether the answer is over.
    pub heads: Vec<ResponseHead>,
    pub bodies: Vec<u8>,
    pub ended: bool,
    pub cut: bool,
    pub jobs: Vec<(String, u64)>,
    /// Answers of engines that said that they failed.
    pub engine_failures: usize,
    /// Tenants whose requests engines began, and when.
    pub began: Vec<(String, Time)>,
    /// Whether connections to engines come up, at once.
    pub connects: bool,
}

impl Scene {
    pub fn new(kind: RouteKind, engines: usize) -> Self {
        Self::seeded(kind, engines, 1)
    }

    /// The same with other random choices.
    pub fn seeded(kind: RouteKind, engines: usize, seed: u64) -> Self {
        let forwarding = ForwarderSettings {
            zone: "z".into(),
            seed,
            rejects_unservable: true,
            retry_budget_percent: 20,
        };
        Self::with(kind, engines, forwarding)
    }

    /// A gateway that rejects nothing before it was sent.
    pub fn without_admission(kind: RouteKind, engines: usize) -> Self {
        let forwarding = ForwarderSettings {
            zone: "z".into(),
            seed: 1,
            rejects_unservable: false,
            retry_budget_percent: 20,
        };
        Self::with(kind, engines, forwarding)
    }

    fn with(kind: RouteKind, engines: usize, forwarding: ForwarderSettings) -> Self {
        let settings = GatewaySettings {
            forwarding,
            first_call_id: 1,
            max_key_staleness: Some(Duration::from_secs(5)),
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
            public: false,
        };
        gateway.apply_configuration(Configuration {
            version: 1,
            routes: vec![route].into(),
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
            checks: Vec::new(),
            heads: Vec::new(),
            bodies: Vec::new(),
            ended: false,
            cut: false,
            jobs: Vec::new(),
            engine_failures: 0,
            began: Vec::new(),
            connects: true,
        }
    }

    /// A newer configuration lets a request meet so many engines.
    pub fn allow_attempts(&mut self, max_attempts: u32) {
        let mut newer = (**self.gateway.configuration.as_ref().unwrap()).clone();
        newer.version += 1;
        let routes = newer.routes.iter().cloned();
        let routes = routes.map(|route| Route {
            max_attempts,
            ..route
        });
        newer.routes = routes.collect();
        assert!(self.gateway.apply_configuration(newer));
    }

    pub fn carry_out(&mut self, actions: Vec<GatewayAction>) {
        for action in actions {
            let action = match action {
                GatewayAction::Forward(action) => action,
                GatewayAction::SendJobCall { address, call } => {
                    self.jobs.push((address, call.call));
                    continue;
                }
            };
            match action {
                ForwardAction::Respond { part, .. } => {
                    assert!(!self.ended, "a part after the end");
                    match part {
                        ResponsePart::Head(head) => self.heads.push(head),
                        ResponsePart::Data(data) => self.bodies.extend_from_slice(&data),
                        ResponsePart::End => self.ended = true,
                        ResponsePart::Failed(_) => (self.ended, self.cut) = (true, true),
                    }
                }
                ForwardAction::SendHttp {
                    id,
                    request,
                    new_connection,
                    ..
                } => {
                    self.sent.push(Sent {
                        id,
                        engine: request.header("instance").unwrap().to_string(),
                        left: request.header("left").unwrap().parse().unwrap(),
                        after: request.header("after").unwrap().to_string(),
                        tenant: request.header("tenant").unwrap().to_string(),
                        fresh: new_connection,
                    });
                    if self.connects {
                        self.gateway.on_engine_connected(id, None);
                    }
                }
                ForwardAction::ProbeEngine { id, request, .. } => {
                    let engine = request.header("instance").unwrap().to_string();
                    self.checks.push((id, engine));
                }
                ForwardAction::CancelHttp(id) => self.cancelled.push(id),
                ForwardAction::EngineFailed(_) => self.engine_failures += 1,
                ForwardAction::ExecutionStarted { tenant, at } => self.began.push((tenant, at)),
            }
        }
    }

    pub fn call(&mut self) {
        self.call_on("/p/x");
    }

    pub fn call_on(&mut self, path: &str) {
        self.request(path, "");
    }

    /// Calls for a model.
    pub fn call_for(&mut self, model: &str) {
        self.request("/p/x", model);
    }

    /// Calls again, after the first answer is over.
    pub fn next_call(&mut self) {
        assert!(self.ended);
        self.heads.clear();
        self.ended = false;
        self.call();
    }

    /// Calls with so many milliseconds left.
    pub fn call_within(&mut self, millis: u64) {
        let mut request = lookup("/p/x", "");
        request.deadline = Some(Duration::from_millis(millis));
        self.send(CallId(1), request);
    }

    /// Calls under this name.
    pub fn call_as(&mut self, call: CallId) {
        self.send(call, lookup("/p/x", ""));
    }

    fn request(&mut self, path: &str, model: &str) {
        self.send(CallId(1), lookup(path, model));
    }

    fn send(&mut self, call: CallId, request: CallerRequest) {
        let message = CallerMessage::Request(request);
        let actions = self.gateway.on_caller_message(self.now, call, message);
        self.carry_out(actions);
    }

    pub fn part(&mut self, index: usize, part: ResponsePart) {
        let id = self.sent[index].id;
        let actions = self.gateway.on_response_part(self.now, id, part);
        self.carry_out(actions);
    }

    pub fn answer(&mut self, index: usize, status: u16, headers: &[&str], body: &str) {
        let mut head = ResponseHead::new(status, "text/plain");
        for name in headers {
            let value = if *name == "id" { "r1" } else { "1" };
            head.headers.push((name.to_string(), value.to_string()));
        }
        self.part(index, ResponsePart::Head(head));
        self.part(index, ResponsePart::Data(Bytes::from(body.to_string())));
        self.part(index, ResponsePart::End);
    }

    pub fn fail(&mut self, index: usize, step: HttpStep) {
        let failure = HttpFailure {
            peer: "e".into(),
            step,
            reason: "reset".into(),
        };
        self.part(index, ResponsePart::Failed(failure));
    }

    /// An engine says that it started at a time, in its entry.
    pub fn list_start(&mut self, engine: &str, started: u64) {
        let state = self.gateway.directory.get(&Instance(engine.into()));
        let record = EngineRecord {
            started: Some(StartedAt(started)),
            ..state.expect("it is listed").record.clone()
        };
        let event = StoreEvent {
            name: engine.into(),
            object: Some(StoreObject::Engine(record)),
        };
        self.gateway.directory.apply(self.now, event);
    }

    pub fn wait(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        let actions = self.gateway.tick(self.now);
        self.carry_out(actions);
    }

    /// Until a connection has not come up in time: its end is seen at the second look.
    pub fn wait_for_connection(&mut self) {
        self.wait(45);
        self.wait(0);
    }

    pub fn status(&self) -> Option<u16> {
        assert!(self.heads.len() <= 1, "two answers");
        self.heads.first().map(|head| head.status)
    }

    pub fn reply(&mut self, from: &str, call: u64, status: JobStatus, leader: &str) {
        let reply = JobReply {
            call,
            status,
            leader_address: leader.into(),
            ..JobReply::default()
        };
        let actions = self.gateway.on_job_reply(self.now, from, reply);
        self.carry_out(actions);
    }
}

fn lookup(path: &str, model: &str) -> CallerRequest {
    CallerRequest {
        id: "r1".into(),
        host: "h".into(),
        deadline: Some(Duration::from_millis(1_000)),
        model: model.into(),
        http: HttpRequest::new("POST", path, ""),
        ..CallerRequest::default()
    }
}
