//! Engines: one kind answers single requests, one kind generates texts of items.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{respond, serve, Request};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

#[derive(Default)]
pub struct EngineState {
    pub version: u64,
    pub seq: u64,
    pub fence: u64,
    /// Runs that have begun, by request id.
    pub begun: BTreeMap<String, u32>,
    /// Runs that have ended well, by request id.
    pub finished: BTreeMap<String, u32>,
    /// Time until which work takes `SLOW_FACTOR` times as long.
    pub slow_until: Option<Instant>,
    /// Requests that were run: id, method and path, tenant.
    pub requests: Vec<(String, String, String)>,
    /// Whether two in five single requests fail after they were run.
    pub fails_some: bool,
    count: u32,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub state: Arc<Mutex<EngineState>>,
    record: Record,
}

/// How much longer work takes while an engine is slow.
const SLOW_FACTOR: f64 = 3.3;
const STEP: Duration = Duration::from_millis(20);

impl Engine {
    /// Starts an engine and enters it in the store. It generates texts if it has a model.
    pub fn start(store: &Store, record: &Record, id: &str, service: &str, model: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind engine");
        let state = EngineState {
            version: 1,
            ..EngineState::default()
        };
        let engine = Self {
            id: id.to_string(),
            address: listener.local_addr().expect("address"),
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let models = match model {
            "" => String::new(),
            model => format!(
                ",\"stage\":\"both\",\"models\":[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}]"
            ),
        };
        let spec = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"zone-0\",\"version\":\"v1\",\
             \"slots\":12,\"state\":\"ready\",\"cold_remaining_ms\":0{models},\"seq\":1}}",
            engine.address
        );
        store.put("servers", id, Json::parse(spec.as_bytes()).expect("entry"));
        let (handler, model) = (engine.clone(), model.to_string());
        serve(listener, move |request, stream| {
            handler.handle(&request, stream, &model)
        });
        engine
    }

    /// Works for `work` of an engine at full speed.
    fn work(&self, work: Duration) {
        let mut done = Duration::ZERO;
        while done < work {
            let before = Instant::now();
            std::thread::sleep(STEP.min(work - done));
            let slow_until = self.state.lock().expect("state").slow_until;
            let is_slow = slow_until.is_some_and(|until| before < until);
            done += before
                .elapsed()
                .div_f64(if is_slow { SLOW_FACTOR } else { 1.0 });
        }
    }

    fn handle(
        &self,
        request: &Request,
        stream: &mut TcpStream,
        model: &str,
    ) -> std::io::Result<()> {
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            let headers = [("X-Not-Run", "1"), ("X-Instance-Id", self.id.as_str())];
            return respond(stream, 421, &headers, b"");
        }
        if !["/healthz", "/peatgrade/report", "/peatgrade/order"].contains(&request.path_only()) {
            let text = |name: &str| request.header(name).unwrap_or("none").to_string();
            let what = format!("{} {}", request.method, request.path);
            let entry = (text("x-attempt-id"), what, text("x-tenant"));
            self.record.line(&format!(
                "engine {} runs id {}, {}, tenant {}",
                self.id, entry.0, entry.1, entry.2
            ));
            self.state.lock().expect("state").requests.push(entry);
        }
        match request.path_only() {
            "/healthz" => respond(stream, 200, &[("X-Instance-Id", &self.id)], b""),
            "/peatgrade/report" => {
                let state = self.state.lock().expect("state");
                let report = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"{model}\",\"version\":{},\
                     \"adapters\":[]}}],\"busy\":false,\"seq\":{},\"waiting\":0,\"running\":0,\
                     \"kv_used\":0,\"kv_total\":90000,\"handles\":0}}",
                    state.version, state.seq
                );
                respond(stream, 200, &[], report.as_bytes())
            }
            "/peatgrade/order" => self.order(request, stream),
            _ if model.is_empty() => self.answer(request, stream),
            _ => self.generate(request, stream),
        }
    }

    fn order(&self, request: &Request, stream: &mut TcpStream) -> std::io::Result<()> {
        let order = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.state.lock().expect("state");
        let fence = order.get("fence").number().unwrap_or(0);
        let expected = order.get("expected").number();
        let status = if fence < state.fence {
            412
        } else if expected.is_some_and(|expected| expected != state.seq) {
            409
        } else {
            state.fence = fence;
            state.seq += 1;
            state.version = order.get("version").number().unwrap_or(state.version);
            202
        };
        drop(state);
        respond(stream, status, &[], b"")
    }

    /// A single request: its header `Work` tells how long a sound engine works on it.
    fn answer(&self, request: &Request, stream: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("x-attempt-id").unwrap_or("").to_string();
        let work = request
            .header("x-work-ms")
            .and_then(|value| value.parse().ok());
        let begun = Instant::now();
        self.record.line(&format!(
            "engine {} begins {id}, deadline {} ms",
            self.id,
            request.header("x-deadline-ms").unwrap_or("none")
        ));
        *self
            .state
            .lock()
            .expect("state")
            .begun
            .entry(id.clone())
            .or_insert(0) += 1;
        self.work(Duration::from_millis(work.unwrap_or(25)));
        let fails = {
            let mut state = self.state.lock().expect("state");
            state.count += 1;
            state.fails_some && state.count % 5 % 2 == 1
        };
        let stamp = format!("stamp.{id}");
        let headers = [("X-Attempt-Id", id.as_str()), ("X-Server-Stamp", &stamp)];
        // It has run the request, so its failure has no `X-Not-Run`.
        let status = if fails { 503 } else { 200 };
        let sent = respond(stream, status, &headers, &request.body);
        *self
            .state
            .lock()
            .expect("state")
            .finished
            .entry(id.clone())
            .or_insert(0) += 1;
        let took = begun.elapsed().as_millis();
        self.record.line(&format!(
            "engine {} has run {id} in {took} ms, answer sent: {}",
            self.id,
            sent.is_ok()
        ));
        sent
    }

    /// An item: a stream of numbered events.
    fn generate(&self, request: &Request, stream: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("x-attempt-id").unwrap_or("").to_string();
        let after = request
            .header("last-event-id")
            .and_then(|value| value.parse::<u64>().ok());
        self.record.line(&format!(
            "engine {} begins item {id} after event {after:?}",
            self.id
        ));
        let version = {
            let mut state = self.state.lock().expect("state");
            *state.begun.entry(id.clone()).or_insert(0) += 1;
            state.version
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Attempt-Id: {id}\r\nX-Server-Stamp: stamp.{id}\r\nX-Weight-Versions: {version}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in after.unwrap_or(0) + 1..=EVENTS {
            self.work(Duration::from_millis(20));
            let block = format!("id: {event}\ndata: {}\n\n", event_text(&id, event));
            stream.write_all(format!("{:x}\r\n{block}\r\n", block.len()).as_bytes())?;
        }
        *self
            .state
            .lock()
            .expect("state")
            .finished
            .entry(id)
            .or_insert(0) += 1;
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Events of each text.
pub const EVENTS: u64 = 12;

pub fn event_text(item: &str, event: u64) -> String {
    format!("{item}/{event}")
}
