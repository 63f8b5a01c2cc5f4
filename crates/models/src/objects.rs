//! The platform's object API: versions, watches, conflicts, status, anchors.

use peatgrade_config::{ObjectStatus, RawObject};
use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, Time};
use serde_json::{json, Value};
use std::collections::BTreeMap;

use crate::faults::{Fault, FaultState};
use crate::platform::RequestId;

/// Changes kept for watches; one that is further behind is told 410.
const CHANGES_KEPT: usize = 200;
/// Longest time a watch is held open.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Delay of every answer while the store is slow.
const SLOW_DELAY: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Watch {
    id: RequestId,
    since: u64,
    until: Time,
}

#[derive(Debug)]
struct Anchor {
    number: u64,
    body: Vec<u8>,
}

/// The store.
#[derive(Debug, Default)]
pub struct ObjectStore {
    version: u64,
    objects: BTreeMap<String, RawObject>,
    /// Version and key of each change, oldest first.
    changes: Vec<(u64, String)>,
    anchors: BTreeMap<String, Anchor>,
    watches: Vec<Watch>,
    faults: FaultState,
    out: Vec<(Time, RequestId, ResponsePart)>,
    requests: u64,
}

type Answer = (u16, Vec<u8>);

fn text(status: u16, body: impl Into<Vec<u8>>) -> Answer {
    (status, body.into())
}

impl ObjectStore {
    /// Requests served, to see how few readers the store has.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Number of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// One object.
    pub fn object(&self, key: &str) -> Option<&RawObject> {
        self.objects.get(key)
    }

    /// Every object.
    pub fn objects(&self) -> impl Iterator<Item = &RawObject> {
        self.objects.values()
    }

    /// Switches a fault on.
    pub fn apply(&mut self, now: Time, fault: &Fault) {
        self.faults.apply(now, fault);
        if self.faults.down(now) {
            let watches: Vec<RequestId> = self.watches.drain(..).map(|watch| watch.id).collect();
            for id in watches {
                self.fail(now, id, HttpStep::Head, "connection reset");
            }
        }
    }

    /// Stores an object directly, as an operator's earlier apply would have.
    pub fn put_at_start(&mut self, key: &str, body: Value) {
        self.store(key, body, "start");
    }

    fn fail(&mut self, now: Time, id: RequestId, step: HttpStep, reason: &str) {
        let failure = HttpFailure {
            peer: "store".into(),
            step,
            reason: reason.into(),
        };
        self.out.push((now, id, ResponsePart::Failed(failure)));
    }

    /// Takes in a request.
    pub fn request(&mut self, now: Time, id: RequestId, request: &HttpRequest) {
        if self.faults.down(now) {
            return self.fail(now, id, HttpStep::Connect, "connection refused");
        }
        if self.faults.hung(now) {
            return;
        }
        self.requests += 1;
        if request.method == "GET" && request.path_only() == "/watch" {
            return self.watch(now, id, request);
        }
        let answer = self.serve(request);
        let changes = request.method != "GET";
        if changes && self.faults.loses_answers(now) {
            return self.fail(now, id, HttpStep::Head, "connection reset");
        }
        self.answer(now, id, answer);
        self.wake_watches(now);
    }

    fn answer(&mut self, now: Time, id: RequestId, (status, body): Answer) {
        let at = if self.faults.slow(now) {
            now + SLOW_DELAY
        } else {
            now
        };
        let head = ResponseHead::new(status, "application/json");
        self.out.push((at, id, ResponsePart::Head(head)));
        self.out.push((at, id, ResponsePart::Data(body.into())));
        self.out.push((at, id, ResponsePart::End));
    }

    fn serve(&mut self, request: &HttpRequest) -> Answer {
        let path = request.path_only().trim_matches('/').to_string();
        let parts: Vec<&str> = path.split('/').collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["objects"]) => {
                let objects: Vec<&RawObject> = self.objects.values().collect();
                let list = json!({ "resource_version": self.version, "objects": objects });
                text(200, list.to_string())
            }
            ("GET", ["objects", kind, name]) => self.get(&format!("{kind}/{name}")),
            ("PUT", ["objects", kind, name]) => self.put(&format!("{kind}/{name}"), request),
            ("DELETE", ["objects", kind, name]) => self.delete(&format!("{kind}/{name}"), request),
            ("PUT", ["objects", kind, name, "status"]) => {
                self.put_status(&format!("{kind}/{name}"), request)
            }
            ("GET", ["anchors", name]) => match self.anchors.get(*name) {
                Some(anchor) => text(200, anchor.body.clone()),
                None => text(404, "{}"),
            },
            ("PUT", ["anchors", name]) => self.put_anchor(name, request),
            ("DELETE", ["anchors", name]) => {
                self.anchors.remove(*name);
                text(200, "{}")
            }
            _ => text(404, "{}"),
        }
    }

    fn get(&self, key: &str) -> Answer {
        match self.objects.get(key) {
            Some(object) => text(200, serde_json::to_vec(object).unwrap_or_default()),
            None => text(404, "{}"),
        }
    }

    /// Whether the version a client names is the current one (0: none).
    fn conflict(&self, key: &str, request: &HttpRequest) -> Option<Answer> {
        let expected: u64 = request.header("if-match")?.parse().ok()?;
        let current = self.objects.get(key);
        let version = current.map_or(0, |object| object.resource_version);
        (version != expected).then(|| text(409, json!({ "current": current }).to_string()))
    }

    fn put(&mut self, key: &str, request: &HttpRequest) -> Answer {
        if let Some(conflict) = self.conflict(key, request) {
            return conflict;
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return text(400, "{\"error\":\"not JSON\"}");
        };
        let author = request.header("x-author").unwrap_or("unknown").to_string();
        self.store(key, body, &author);
        self.get(key)
    }

    fn store(&mut self, key: &str, body: Value, author: &str) {
        self.version += 1;
        let status = self
            .objects
            .get(key)
            .and_then(|object| object.status.clone());
        let object = RawObject {
            key: key.to_string(),
            resource_version: self.version,
            body,
            author: author.to_string(),
            status,
        };
        self.objects.insert(key.to_string(), object);
        self.changed(key);
    }

    fn changed(&mut self, key: &str) {
        self.changes.push((self.version, key.to_string()));
        if self.changes.len() > CHANGES_KEPT {
            self.changes.remove(0);
        }
    }

    fn delete(&mut self, key: &str, request: &HttpRequest) -> Answer {
        if let Some(conflict) = self.conflict(key, request) {
            return conflict;
        }
        if self.objects.remove(key).is_none() {
            return text(404, "{}");
        }
        self.version += 1;
        self.changed(key);
        text(200, "{}")
    }

    /// Writes a status; it changes neither the object's version nor watches.
    fn put_status(&mut self, key: &str, request: &HttpRequest) -> Answer {
        if let Some(conflict) = self.conflict(key, request) {
            return conflict;
        }
        let Ok(status) = serde_json::from_slice::<ObjectStatus>(&request.body) else {
            return text(400, "{\"error\":\"not a status\"}");
        };
        match self.objects.get_mut(key) {
            Some(object) => {
                object.status = Some(status);
                text(200, "{}")
            }
            None => text(404, "{}"),
        }
    }

    /// Writes an anchor if its number is higher, or if there is none and only
    /// that is wanted. Answers with what the anchor holds in the end.
    fn put_anchor(&mut self, name: &str, request: &HttpRequest) -> Answer {
        let number: u64 = request
            .header("x-number")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let create_only = request.header("if-none-match").is_some();
        let known = self.anchors.get(name).map_or(0, |anchor| anchor.number);
        if number > known && !(create_only && known > 0) {
            let body = request.body.to_vec();
            self.anchors
                .insert(name.to_string(), Anchor { number, body });
        }
        match self.anchors.get(name) {
            Some(anchor) => text(200, anchor.body.clone()),
            None => text(404, "{}"),
        }
    }

    fn watch(&mut self, now: Time, id: RequestId, request: &HttpRequest) {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let since = number("since").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let oldest = self
            .changes
            .first()
            .map_or(self.version + 1, |(version, _)| *version);
        if since > self.version || since + 1 < oldest {
            return self.answer(now, id, text(410, "{\"error\":\"too old\"}"));
        }
        self.watches.push(Watch {
            id,
            since,
            until: now + wait,
        });
        self.wake_watches(now);
    }

    /// Answers watches that have news or have waited long enough; the latter
    /// get a bookmark, the number up to which there is no news.
    fn wake_watches(&mut self, now: Time) {
        let version = self.version;
        let due: Vec<Watch> = self
            .watches
            .extract_if(.., |watch| watch.since < version || watch.until <= now)
            .collect();
        for watch in due {
            let changed = self
                .changes
                .iter()
                .filter(|(version, _)| *version > watch.since);
            let keys: std::collections::BTreeSet<&String> = changed.map(|(_, key)| key).collect();
            let objects: Vec<&RawObject> = keys
                .iter()
                .filter_map(|key| self.objects.get(*key))
                .collect();
            let deleted: Vec<&&String> = keys
                .iter()
                .filter(|key| !self.objects.contains_key(**key))
                .collect();
            let news = json!({
                "resource_version": version,
                "objects": objects,
                "deleted": deleted,
            });
            self.answer(now, watch.id, text(200, news.to_string()));
        }
    }

    /// Gives up a watch, because its reader did.
    pub fn cancel(&mut self, id: RequestId) {
        self.watches.retain(|watch| watch.id != id);
    }

    /// What came out by `now`.
    pub fn advance(&mut self, now: Time) -> Vec<(RequestId, ResponsePart)> {
        if !self.silent(now) {
            self.wake_watches(now);
        }
        let due = self.out.extract_if(.., |(at, _, _)| *at <= now);
        due.map(|(_, id, part)| (id, part)).collect()
    }

    /// When it next has something to do.
    pub fn next_wake(&self) -> Option<Time> {
        let out = self.out.iter().map(|(at, _, _)| *at);
        let watches = self.watches.iter().map(|watch| watch.until);
        out.chain(watches).min()
    }

    /// Whether the store answers nothing.
    pub fn silent(&self, now: Time) -> bool {
        self.faults.down(now) || self.faults.hung(now)
    }
}
