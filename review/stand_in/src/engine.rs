//! Engines: an application that answers lookups, and language models that stream events.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{respond, serve, Next, Request};
use crate::json::Json;
use crate::record::Record;
use crate::store::{map, number, text, Store};

/// What an engine does, other than to answer soundly.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Habit {
    Sound,
    /// Streams carry no length, and the engine ends in the middle of this event.
    EndsWithinEvent(u64),
    /// Streams carry no length and are whole.
    Unframed,
    /// One answer in this many is followed by a second, spoiled one: its id can't be read.
    SecondAnswer(u64),
}

/// Time after which a second answer follows the first.
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(6);

#[derive(Debug)]
struct State {
    version: u64,
    orders: u64,
    habit: Habit,
    answers: u64,
    /// Requests that the engine began to work on, by id.
    runs: BTreeMap<String, u32>,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    model: String,
    events: u64,
    event_time: Duration,
    state: Arc<Mutex<State>>,
    record: Record,
}

pub struct EngineSettings<'a> {
    pub id: &'a str,
    pub service: &'a str,
    /// Empty for an application.
    pub model: &'a str,
    pub slots: u64,
    /// Events of a text.
    pub events: u64,
    pub event_time: Duration,
}

/// Data of an event: depends only on the request's id and the event's number.
pub fn event_data(request: &str, event: u64) -> String {
    format!("{request} event {event}")
}

/// Body of an application's answer to a request.
pub fn answer_body(request: &str) -> String {
    format!("answer to {request}")
}

/// The whole text of an item.
pub fn whole_text(request: &str, events: u64) -> String {
    let data: Vec<String> = (1..=events)
        .map(|event| event_data(request, event))
        .collect();
    data.join("\n")
}

impl Engine {
    /// Starts an engine and enters it into the store.
    pub fn start(store: &Store, record: &Record, settings: &EngineSettings<'_>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let engine = Self {
            id: settings.id.to_string(),
            address,
            service: settings.service.to_string(),
            model: settings.model.to_string(),
            events: settings.events,
            event_time: settings.event_time,
            state: Arc::new(Mutex::new(State {
                version: 1,
                orders: 0,
                habit: Habit::Sound,
                answers: 0,
                runs: BTreeMap::new(),
            })),
            record: record.clone(),
        };
        let serving = engine.clone();
        serve(listener, move |request, stream| {
            serving.handle(request, stream)
        });
        store.put(
            "servers",
            settings.id,
            engine.entry(settings.slots, "ready"),
        );
        engine
    }

    /// The engine's entry in the store.
    pub fn entry(&self, slots: u64, state: &str) -> Json {
        let mut fields = vec![
            ("service", text(&self.service)),
            ("address", text(&self.address.to_string())),
            ("zone", text("zone-0")),
            ("version", text("1.0")),
            ("slots", number(slots)),
            ("state", text(state)),
            ("cold_remaining_ms", number(0)),
            ("seq", number(1)),
        ];
        if !self.model.is_empty() {
            fields.push(("stage", text("both")));
            fields.push(("models", self.models()));
        }
        map(&fields)
    }

    fn models(&self) -> Json {
        let version = self.state.lock().expect("lock").version;
        let adapters = Json::List(Vec::new());
        let model = [
            ("name", text(&self.model)),
            ("version", number(version)),
            ("adapters", adapters),
        ];
        Json::List(vec![map(&model)])
    }

    pub fn set_habit(&self, habit: Habit) {
        self.state.lock().expect("lock").habit = habit;
    }

    /// How often the engine began to work on a request.
    pub fn runs_of(&self, request: &str) -> u32 {
        let state = self.state.lock().expect("lock");
        state.runs.get(request).copied().unwrap_or(0)
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> std::io::Result<Next> {
        let id = request.header("x-attempt-id").to_string();
        let headers = [
            ("x-instance-id", self.id.as_str()),
            ("x-attempt-id", id.as_str()),
            ("x-not-run", "1"),
        ];
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return respond(stream, 421, &headers, b"");
        }
        match request.path_only() {
            "/healthz" => respond(stream, 200, &headers[..1], b""),
            "/peatgrade/report" => self.report(stream),
            "/peatgrade/order" => self.order(request, stream),
            _ if id.is_empty() => respond(stream, 400, &headers, b""),
            _ => {
                let version = self.state.lock().expect("lock").version.to_string();
                let wanted = request.header("x-expect-version");
                if !wanted.is_empty() && wanted != version {
                    return respond(stream, 421, &headers, b"");
                }
                self.run(request, &id, &version, stream)
            }
        }
    }

    fn report(&self, stream: &mut TcpStream) -> std::io::Result<Next> {
        let orders = self.state.lock().expect("lock").orders;
        let report = map(&[
            ("stage", text("both")),
            ("models", self.models()),
            ("busy", Json::Bool(false)),
            ("seq", number(orders)),
            ("waiting", number(0)),
            ("running", number(0)),
            ("kv_used", number(0)),
            ("kv_total", number(90_000)),
            ("handles", number(0)),
        ]);
        let headers = [("content-type", "application/json")];
        respond(stream, 200, &headers, report.to_string().as_bytes())
    }

    fn order(&self, request: &Request, stream: &mut TcpStream) -> std::io::Result<Next> {
        let order = Json::parse(&request.body);
        let (fence, holder) = (order.get("fence").number(), order.get("holder").text());
        let version = order.get("version").number().unwrap_or(0);
        let status = {
            let mut state = self.state.lock().expect("lock");
            let expected = order.get("expected").number();
            if fence.is_none() || holder.is_empty() {
                400
            } else if expected.is_some_and(|expected| expected != state.orders) {
                409
            } else if state.version == version {
                200
            } else {
                state.orders += 1;
                state.version = version;
                202
            }
        };
        self.record.line(format!(
            "engine {} gets an order: version {version} holder {holder} fence {fence:?}, answers {status}",
            self.id
        ));
        respond(stream, status, &[], b"")
    }

    fn run(
        &self,
        request: &Request,
        id: &str,
        version: &str,
        stream: &mut TcpStream,
    ) -> std::io::Result<Next> {
        let habit = {
            let mut state = self.state.lock().expect("lock");
            *state.runs.entry(id.to_string()).or_default() += 1;
            state.habit
        };
        let stamp = format!("stamp-{}-{id}", self.id);
        let second_answer = self.is_second_answer_due(habit);
        let method = &request.method;
        let after = request.header("last-event-id").parse::<u64>().unwrap_or(0);
        self.record.line(format!(
            "engine {} ({}) runs {method} {} id {id} after event {after}",
            self.id, self.service, request.path
        ));
        if self.model.is_empty() {
            std::thread::sleep(self.event_time);
            let body = answer_body(id);
            let headers = [("x-attempt-id", id), ("x-server-stamp", &stamp)];
            respond(stream, 200, &headers, body.as_bytes())?;
            if second_answer {
                std::thread::sleep(SECOND_ANSWER_DELAY);
                let spoiled = [("x-attempt-xd", id), ("x-server-stamp", stamp.as_str())];
                self.record
                    .line(format!("engine {} sends a second answer for {id}", self.id));
                respond(stream, 200, &spoiled, body.as_bytes())?;
            }
            return Ok(Next::Keep);
        }
        let framed = !matches!(habit, Habit::Unframed | Habit::EndsWithinEvent(_));
        let framing = match framed {
            true => "transfer-encoding: chunked\r\n",
            false => "connection: close\r\n",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{framing}x-attempt-id: {id}\r\n\
             x-server-stamp: {stamp}\r\nx-weight-versions: {version}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for event in after + 1..=self.events {
            std::thread::sleep(self.event_time);
            let block = format!("id: {event}\ndata: {}\n\n", event_data(id, event));
            if habit == Habit::EndsWithinEvent(event) {
                let part = &block[..block.len() / 2];
                stream.write_all(part.as_bytes())?;
                self.record.line(format!(
                    "engine {} ends in the middle of event {event} of {id}",
                    self.id
                ));
                return Ok(Next::Close);
            }
            match framed {
                true => stream.write_all(format!("{:x}\r\n{block}\r\n", block.len()).as_bytes())?,
                false => stream.write_all(block.as_bytes())?,
            }
        }
        self.record
            .line(format!("engine {} has made all of {id}", self.id));
        if !framed {
            return Ok(Next::Close);
        }
        stream.write_all(b"0\r\n\r\n")?;
        if second_answer {
            std::thread::sleep(SECOND_ANSWER_DELAY);
            self.record
                .line(format!("engine {} sends a second answer for {id}", self.id));
            let head = head.replace("x-attempt-id", "x-attempt-xd");
            stream.write_all(head.as_bytes())?;
            for event in after + 1..=self.events {
                let block = format!("id: {event}\ndata: {}\n\n", event_data(id, event));
                stream.write_all(format!("{:x}\r\n{block}\r\n", block.len()).as_bytes())?;
            }
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(Next::Keep)
    }

    fn is_second_answer_due(&self, habit: Habit) -> bool {
        let Habit::SecondAnswer(every) = habit else {
            return false;
        };
        let mut state = self.state.lock().expect("lock");
        state.answers += 1;
        state.answers.is_multiple_of(every)
    }
}
