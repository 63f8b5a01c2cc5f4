//! The platform's metadata store: objects with revisions, conditional writes and watches.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{respond, serve, Request};
use crate::json::Json;

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    /// Revision, kind, object, and whether it is gone.
    history: Vec<(u64, String, Json, bool)>,
}

#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn object(fields: &[(&str, Json)]) -> Json {
    let fields = fields
        .iter()
        .map(|(name, value)| (name.to_string(), value.clone()));
    Json::Object(fields.collect())
}

impl Store {
    /// Serves the store at a new address.
    pub fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind store");
        let address = listener.local_addr().expect("address");
        let store = self.clone();
        serve(listener, move |request, stream| {
            store.handle(&request, stream)
        });
        address
    }

    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut state = self.shared.0.lock().expect("state");
        state.write(kind, name, Some(spec), None);
        self.shared.1.notify_all();
    }

    /// The `state` in the status of an object.
    pub fn status(&self, kind: &str, name: &str) -> String {
        let state = self.shared.0.lock().expect("state");
        let object = state.objects.get(&(kind.to_string(), name.to_string()));
        let status = object.map(|object| object.get("status").get("state").text().to_string());
        status.unwrap_or_default()
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> std::io::Result<()> {
        let path = request
            .path_only()
            .trim_start_matches("/peatgrade/objects/");
        let mut parts = path.split('/');
        let kind = parts.next().unwrap_or("").to_string();
        let name = parts.next().map(str::to_string);
        let status_part = parts.next() == Some("status");
        let (status, body) = match (request.method.as_str(), name) {
            ("GET", None) if request.query("watch").is_some() => self.watch(&kind, request),
            ("GET", None) => self.list(&kind, request.query("after_rev")),
            ("GET", Some(name)) => self.get(&kind, &name),
            ("POST", None) => self.create(&kind, request),
            ("PUT", Some(name)) => self.replace(&kind, &name, status_part, request),
            _ => (400, Json::Null),
        };
        let headers = [("Content-Type", "application/json")];
        respond(stream, status, &headers, body.to_string().as_bytes())
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (u16, Json) {
        let state = self.shared.0.lock().expect("state");
        let listed = state.objects.iter().filter(|((of, name), _)| {
            of == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let listed = listed.map(|(_, object)| object.clone()).collect();
        let page = object(&[
            ("requests", Json::List(listed)),
            ("more", Json::Bool(false)),
            ("at", Json::Number(state.revision as f64)),
        ]);
        (200, page)
    }

    fn get(&self, kind: &str, name: &str) -> (u16, Json) {
        let state = self.shared.0.lock().expect("state");
        match state.objects.get(&(kind.to_string(), name.to_string())) {
            Some(object) => (200, object.clone()),
            None => (404, Json::Null),
        }
    }

    fn watch(&self, kind: &str, request: &Request) -> (u16, Json) {
        let number = |name| {
            request
                .query(name)
                .and_then(|value| value.parse::<u64>().ok())
        };
        let after = number("watch").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.shared.0.lock().expect("state");
        loop {
            let news = state.history.iter();
            let news = news.filter(|(revision, of, ..)| *revision > after && of == kind);
            let events: Vec<Json> = news
                .map(|(_, _, changed, gone)| {
                    object(&[("object", changed.clone()), ("gone", Json::Bool(*gone))])
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = Json::Number(state.revision as f64);
                return (200, object(&[("events", Json::List(events)), ("at", at)]));
            }
            state = self.shared.1.wait_timeout(state, left).expect("state").0;
        }
    }

    fn create(&self, kind: &str, request: &Request) -> (u16, Json) {
        let document = Json::parse(&request.body).unwrap_or(Json::Null);
        let name = document.get("metadata").get("name").text().to_string();
        let mut state = self.shared.0.lock().expect("state");
        if let Some(found) = state.objects.get(&(kind.to_string(), name.clone())) {
            return (409, found.clone());
        }
        let made = state.write(kind, &name, Some(document.get("spec").clone()), None);
        self.shared.1.notify_all();
        (200, made)
    }

    fn replace(&self, kind: &str, name: &str, status: bool, request: &Request) -> (u16, Json) {
        let document = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.shared.0.lock().expect("state");
        let Some(held) = state
            .objects
            .get(&(kind.to_string(), name.to_string()))
            .cloned()
        else {
            return (404, Json::Null);
        };
        let expected = document.get("metadata").get("revision").number();
        if expected.is_some() && expected != held.get("metadata").get("revision").number() {
            return (409, held);
        }
        let written = match status {
            true => state.write(kind, name, None, Some(document.get("status").clone())),
            false => state.write(kind, name, Some(document.get("spec").clone()), None),
        };
        self.shared.1.notify_all();
        (200, written)
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) -> Json {
        self.revision += 1;
        let key = (kind.to_string(), name.to_string());
        let old = self.objects.get(&key).cloned().unwrap_or(Json::Null);
        let metadata = object(&[
            ("name", Json::Text(name.to_string())),
            ("revision", Json::Number(self.revision as f64)),
        ]);
        let written = object(&[
            ("metadata", metadata),
            ("spec", spec.unwrap_or_else(|| old.get("spec").clone())),
            (
                "status",
                status.unwrap_or_else(|| old.get("status").clone()),
            ),
        ]);
        self.objects.insert(key, written.clone());
        let entry = (self.revision, kind.to_string(), written.clone(), false);
        self.history.push(entry);
        written
    }
}
