//! The platform's store: objects with revisions, conditional writes, lists and watches.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{respond, serve, Next, Request};
use crate::json::Json;

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    /// Revision, kind, object, and whether it was deleted.
    history: Vec<(u64, String, Json, bool)>,
    /// Machines that get 503.
    busy_for: BTreeSet<String>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

pub fn map(fields: &[(&str, Json)]) -> Json {
    let fields = fields.iter();
    Json::Map(fields.map(|(k, v)| (k.to_string(), v.clone())).collect())
}

pub fn text(value: &str) -> Json {
    Json::Text(value.to_string())
}

pub fn number(value: u64) -> Json {
    Json::Number(value as f64)
}

impl Store {
    /// Returns the store's address for one machine, which can be turned away there.
    pub fn address_for(&self, machine: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a local address");
        let (store, machine) = (self.clone(), machine.to_string());
        serve(listener, move |request, stream| {
            store.handle(&machine, request, stream)
        });
        address
    }

    /// Answers these machines with 503 from now on, and no others.
    pub fn set_busy_for(&self, machines: &[String]) {
        let mut state = self.state.lock().expect("lock");
        state.busy_for = machines.iter().cloned().collect();
        self.changed.notify_all();
    }

    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut state = self.state.lock().expect("lock");
        state.write(kind, name, Some(spec), None);
        self.changed.notify_all();
    }

    fn handle(
        &self,
        machine: &str,
        request: &Request,
        stream: &mut TcpStream,
    ) -> std::io::Result<Next> {
        let prefix = "/peatgrade/objects/";
        let path = request.path_only().trim_start_matches(prefix).to_string();
        let mut parts = path.split('/');
        let (kind, name, part) = (parts.next().unwrap_or(""), parts.next(), parts.next());
        if self.is_busy_for(machine) {
            return respond(stream, 503, &[], b"{}");
        }
        let (status, body) = match (request.method.as_str(), name) {
            ("GET", None) if request.query("watch").is_some() => {
                match self.watch(machine, kind, request) {
                    Some(events) => (200, events),
                    None => return respond(stream, 503, &[], b"{}"),
                }
            }
            ("GET", None) => self.list(kind, request.query("after_rev")),
            ("GET", Some(name)) => self.get(kind, name),
            ("POST", None) => self.create(kind, request),
            ("PUT", Some(name)) => self.replace(kind, name, part, request),
            _ => (400, Json::Map(Vec::new())),
        };
        let headers = [("content-type", "application/json")];
        respond(stream, status, &headers, body.to_string().as_bytes())
    }

    fn is_busy_for(&self, machine: &str) -> bool {
        self.state.lock().expect("lock").busy_for.contains(machine)
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (u16, Json) {
        let state = self.state.lock().expect("lock");
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let objects = of_kind
            .filter(|((_, name), _)| after.is_none_or(|after| name.as_str() > after))
            .map(|(_, object)| object.clone());
        let page = map(&[
            ("requests", Json::List(objects.collect())),
            ("more", Json::Bool(false)),
            ("at", number(state.revision)),
        ]);
        (200, page)
    }

    fn get(&self, kind: &str, name: &str) -> (u16, Json) {
        let state = self.state.lock().expect("lock");
        match state.objects.get(&(kind.to_string(), name.to_string())) {
            Some(object) => (200, object.clone()),
            None => (404, Json::Map(Vec::new())),
        }
    }

    /// Waits for events; none if the machine is turned away meanwhile.
    fn watch(&self, machine: &str, kind: &str, request: &Request) -> Option<Json> {
        let parameter = |name| request.query(name).and_then(|v| v.parse::<u64>().ok());
        let after = parameter("watch").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(parameter("wait_ms").unwrap_or(0));
        let mut state = self.state.lock().expect("lock");
        loop {
            if state.busy_for.contains(machine) {
                return None;
            }
            let newer = state.history.iter();
            let newer = newer.filter(|(revision, k, _, _)| *revision > after && k == kind);
            let events: Vec<Json> = newer
                .map(|(_, _, object, gone)| {
                    map(&[("object", object.clone()), ("gone", Json::Bool(*gone))])
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = number(state.revision);
                return Some(map(&[("events", Json::List(events)), ("at", at)]));
            }
            state = self.changed.wait_timeout(state, left).expect("lock").0;
        }
    }

    fn create(&self, kind: &str, request: &Request) -> (u16, Json) {
        let document = Json::parse(&request.body);
        let name = document.get("metadata").get("name").text().to_string();
        let mut state = self.state.lock().expect("lock");
        if let Some(object) = state.objects.get(&(kind.to_string(), name.clone())) {
            return (409, object.clone());
        }
        let object = state.write(kind, &name, Some(document.get("spec").clone()), None);
        self.changed.notify_all();
        (200, object)
    }

    fn replace(
        &self,
        kind: &str,
        name: &str,
        part: Option<&str>,
        request: &Request,
    ) -> (u16, Json) {
        let document = Json::parse(&request.body);
        let mut state = self.state.lock().expect("lock");
        let held = state.objects.get(&(kind.to_string(), name.to_string()));
        let Some(held) = held.cloned() else {
            return (404, Json::Map(Vec::new()));
        };
        let expected = document.get("metadata").get("revision");
        if *expected != Json::Null && expected != held.get("metadata").get("revision") {
            return (409, held);
        }
        let object = match part {
            Some("status") => state.write(kind, name, None, Some(document.get("status").clone())),
            _ => state.write(kind, name, Some(document.get("spec").clone()), None),
        };
        self.changed.notify_all();
        (200, object)
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) -> Json {
        self.revision += 1;
        let key = (kind.to_string(), name.to_string());
        let old = self.objects.get(&key).cloned().unwrap_or(Json::Null);
        let metadata = map(&[("name", text(name)), ("revision", number(self.revision))]);
        let object = map(&[
            ("metadata", metadata),
            ("spec", spec.unwrap_or_else(|| old.get("spec").clone())),
            (
                "status",
                status.unwrap_or_else(|| old.get("status").clone()),
            ),
        ]);
        self.objects.insert(key, object.clone());
        let entry = (self.revision, kind.to_string(), object.clone(), false);
        self.history.push(entry);
        object
    }
}
