//! A gateway whose engines and replicas are scripted by the test.

mod codec;

use bytes::Bytes;
use codec::PlainCodec;
use peatgrade_forward::{CallId, ForwardAction, ForwarderSettings, HttpId};
use peatgrade_gateway::{Gateway, GatewayAction, GatewaySettings};
use peatgrade_ports::{
    CallerMessage, CallerRequest, Configuration, EngineRecord, Instance, Route, RouteKind,
    StartedAt, StoreEvent, StoreObject, Target,
};
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{JobReply, JobStatus};
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, Time};
use std::rc::Rc;

pub struct SentRequest {
    pub id: HttpId,
    pub engine: String,
    pub remaining_ms: u64,
    pub last_event: String,
    pub tenant: String,
    pub new_connection: bool,
}

pub struct Harness {
    pub now: Time,
    pub gateway: Gateway,
    pub requests: Vec<SentRequest>,
    pub cancelled: Vec<HttpId>,
    /// Engines to which a probe was sent.
    pub probes: Vec<(HttpId, String)>,
    /// Response heads sent to the caller.
    pub response_heads: Vec<ResponseHead>,
    pub response_body: Vec<u8>,
    pub is_finished: bool,
    pub is_truncated: bool,
    pub job_calls: Vec<(String, u64)>,
    /// Versions of the configuration named by the submissions that were sent.
    pub submitted_under: Vec<u64>,
    /// Number of reported engine failures.
    pub engine_failures: usize,
    /// Tenants of requests that engines started to run, with the start time.
    pub started_runs: Vec<(String, Time)>,
    /// Whether connections to engines succeed, without delay.
    pub accepts_connections: bool,
}

impl Harness {
    pub fn new(kind: RouteKind, engines: usize) -> Self {
        Self::with_seed(kind, engines, 1)
    }

    /// Applies a newer configuration with changed routes.
    pub fn change_routes(&mut self, change: impl Fn(&mut Route)) {
        let mut newer = (**self.gateway.configuration.as_ref().unwrap()).clone();
        newer.version += 1;
        let mut routes: Vec<Route> = newer.routes.iter().cloned().collect();
        routes.iter_mut().for_each(change);
        newer.routes = routes.into();
        assert!(self.gateway.apply_configuration(newer));
    }

    pub fn with_seed(kind: RouteKind, engines: usize, seed: u64) -> Self {
        let forwarding = ForwarderSettings {
            zone: "z".into(),
            seed,
            rejects_unservable: true,
            retry_budget_percent: 20,
        };
        Self::with_settings(kind, engines, forwarding)
    }

    /// A gateway that sends requests even if no engine seems able to serve them.
    pub fn without_admission_control(kind: RouteKind, engines: usize) -> Self {
        let forwarding = ForwarderSettings {
            zone: "z".into(),
            seed: 1,
            rejects_unservable: false,
            retry_budget_percent: 20,
        };
        Self::with_settings(kind, engines, forwarding)
    }

    fn with_settings(kind: RouteKind, engines: usize, forwarding: ForwarderSettings) -> Self {
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
            requests: Vec::new(),
            cancelled: Vec::new(),
            probes: Vec::new(),
            response_heads: Vec::new(),
            response_body: Vec::new(),
            is_finished: false,
            is_truncated: false,
            job_calls: Vec::new(),
            submitted_under: Vec::new(),
            engine_failures: 0,
            started_runs: Vec::new(),
            accepts_connections: true,
        }
    }

    /// Applies a newer configuration with another limit of attempts.
    pub fn set_max_attempts(&mut self, max_attempts: u32) {
        self.change_routes(|route| route.max_attempts = max_attempts);
    }

    pub fn execute(&mut self, actions: Vec<GatewayAction>) {
        for action in actions {
            let action = match action {
                GatewayAction::Forward(action) => action,
                GatewayAction::SendJobCall { address, call } => {
                    self.job_calls.push((address, call.call));
                    if let OneOfbody::submit(submit) = call.body {
                        self.submitted_under.push(submit.configuration);
                    }
                    continue;
                }
            };
            match action {
                ForwardAction::Respond { part, .. } => {
                    assert!(!self.is_finished, "a response part after the end");
                    match part {
                        ResponsePart::Head(head) => self.response_heads.push(head),
                        ResponsePart::Data(data) => self.response_body.extend_from_slice(&data),
                        ResponsePart::End => self.is_finished = true,
                        ResponsePart::Failed(_) => {
                            (self.is_finished, self.is_truncated) = (true, true)
                        }
                    }
                }
                ForwardAction::SendHttp {
                    id,
                    request,
                    new_connection,
                    ..
                } => {
                    self.requests.push(SentRequest {
                        id,
                        engine: request.header("instance").unwrap().to_string(),
                        remaining_ms: request.header("remaining-ms").unwrap().parse().unwrap(),
                        last_event: request.header("last-event").unwrap().to_string(),
                        tenant: request.header("tenant").unwrap().to_string(),
                        new_connection,
                    });
                    if self.accepts_connections {
                        self.gateway.on_engine_connected(id, None);
                    }
                }
                ForwardAction::ProbeEngine { id, request, .. } => {
                    let engine = request.header("instance").unwrap().to_string();
                    self.probes.push((id, engine));
                }
                ForwardAction::CancelHttp(id) => self.cancelled.push(id),
                ForwardAction::EngineFailed(_) => self.engine_failures += 1,
                ForwardAction::ExecutionStarted { tenant, at } => {
                    self.started_runs.push((tenant, at))
                }
            }
        }
    }

    pub fn call(&mut self) {
        self.call_path("/p/x");
    }

    pub fn call_path(&mut self, path: &str) {
        self.request(path, "");
    }

    pub fn call_with_body(&mut self, body: &[u8]) {
        let mut request = caller_request("/p/x", "");
        request.http.body = Bytes::copy_from_slice(body);
        self.send(CallId(1), request);
    }

    pub fn call_model(&mut self, model: &str) {
        self.request("/p/x", model);
    }

    /// Calls again after the previous answer is finished.
    pub fn next_call(&mut self) {
        assert!(self.is_finished);
        self.response_heads.clear();
        self.is_finished = false;
        self.call();
    }

    pub fn call_with_deadline(&mut self, millis: u64) {
        let mut request = caller_request("/p/x", "");
        request.deadline = Some(Duration::from_millis(millis));
        self.send(CallId(1), request);
    }

    pub fn call_as(&mut self, call: CallId) {
        self.send(call, caller_request("/p/x", ""));
    }

    fn request(&mut self, path: &str, model: &str) {
        self.send(CallId(1), caller_request(path, model));
    }

    fn send(&mut self, call: CallId, request: CallerRequest) {
        let message = CallerMessage::Request(request);
        let actions = self.gateway.on_caller_message(self.now, call, message);
        self.execute(actions);
    }

    pub fn respond_part(&mut self, index: usize, part: ResponsePart) {
        let id = self.requests[index].id;
        let actions = self.gateway.on_response_part(self.now, id, part);
        self.execute(actions);
    }

    pub fn respond(&mut self, index: usize, status: u16, headers: &[&str], body: &str) {
        let mut head = ResponseHead::new(status, "text/plain");
        for name in headers {
            let value = if *name == "id" { "r1" } else { "1" };
            head.headers.push((name.to_string(), value.to_string()));
        }
        self.respond_part(index, ResponsePart::Head(head));
        self.respond_part(index, ResponsePart::Data(Bytes::from(body.to_string())));
        self.respond_part(index, ResponsePart::End);
    }

    pub fn fail(&mut self, index: usize, step: HttpStep) {
        let failure = HttpFailure {
            peer: "e".into(),
            step,
            reason: "reset".into(),
        };
        self.respond_part(index, ResponsePart::Failed(failure));
    }

    /// Updates an engine's store entry with a new start time.
    pub fn set_engine_start(&mut self, engine: &str, started: u64) {
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

    pub fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        let actions = self.gateway.tick(self.now);
        self.execute(actions);
    }

    /// Advances past the connect timeout, which takes effect at the second tick.
    pub fn wait_for_connect_timeout(&mut self) {
        self.advance(45);
        self.advance(0);
    }

    pub fn status(&self) -> Option<u16> {
        assert!(self.response_heads.len() <= 1, "two answers");
        self.response_heads.first().map(|head| head.status)
    }

    pub fn job_reply(&mut self, from: &str, call: u64, status: JobStatus, leader: &str) {
        let reply = JobReply {
            call,
            status,
            leader_address: leader.into(),
            ..JobReply::default()
        };
        let actions = self.gateway.on_job_reply(self.now, from, reply);
        self.execute(actions);
    }
}

fn caller_request(path: &str, model: &str) -> CallerRequest {
    CallerRequest {
        id: "r1".into(),
        host: "h".into(),
        deadline: Some(Duration::from_millis(1_000)),
        model: model.into(),
        http: HttpRequest::new("POST", path, ""),
        ..CallerRequest::default()
    }
}
