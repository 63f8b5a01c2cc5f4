//! The role that reads the platform's store, held by one node of a region.
//!
//! A change passes through three steps, so that nothing goes back and what is
//! accepted spreads, whichever reader dies when:
//!
//! 1. its status is written with the document that will be in force, not yet
//!    accepted: the next reader falls back to the same document;
//! 2. it is pushed: from here on nodes repair each other without the store;
//! 3. once a majority of the roster has confirmed it, its status is written
//!    again, accepted.

use peatgrade_config::{reconcile, Machine, ObjectStatus, RawObject};
use peatgrade_schema::peer::Channel;
use peatgrade_types::http::{HttpRequest, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, NodeId, Time};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

use crate::acceptance::Acceptance;
use crate::context::{Context, HttpPurpose};
use crate::distribution::{changed, push_to_roots};

/// Longest time the store may hold a watch open.
const WATCH_WAIT_MS: u64 = 10_000;
const WATCH_TIMEOUT: Duration = Duration::from_secs(13);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Wait after a failed request to the store.
const RETRY: Duration = Duration::from_millis(500);
/// Time between two reads of the machine list.
const MACHINES_INTERVAL: Duration = Duration::from_secs(1);

/// Objects as the store lists them, or changes as it reports them.
#[derive(Debug, Deserialize)]
struct ObjectList {
    /// Number of the last change of any object.
    resource_version: u64,
    #[serde(default)]
    objects: Vec<RawObject>,
    /// Objects that were removed; only in a watch.
    #[serde(default)]
    deleted: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct MachineList {
    version: u64,
    machines: Vec<Machine>,
}

/// The reader's state; dropped when the lease is lost.
#[derive(Debug, Default)]
pub(crate) struct Reader {
    active: bool,
    /// Number up to which `objects` is known; none before the first list.
    version: Option<u64>,
    objects: BTreeMap<String, RawObject>,
    watching: bool,
    next_watch: Time,
    next_machines: Time,
    machines_pending: bool,
    /// Statuses to be written before `publish` may happen.
    unwritten: BTreeMap<String, ObjectStatus>,
    writing: BTreeSet<String>,
    publish: Option<u64>,
    /// Statuses that will say "accepted" once `acceptance` is reached.
    to_accept: BTreeMap<String, ObjectStatus>,
    acceptance: Option<Acceptance>,
    bodies: BTreeMap<HttpPurposeKey, (u16, Vec<u8>)>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum HttpPurposeKey {
    Objects,
    Status(String),
    Machines,
}

impl Reader {
    pub fn tick(&mut self, ctx: &mut Context, holds: bool) {
        if !holds {
            if self.active {
                *self = Reader::default();
            }
            self.read_machines_at_start(ctx);
            return;
        }
        if !self.active {
            log::info!("step=reader-start node={}", ctx.settings.name);
            self.active = true;
            self.version = None;
        }
        if !self.watching && ctx.now >= self.next_watch {
            self.watch(ctx);
        }
        self.read_machines(ctx);
        self.accept_if_due(ctx);
        self.write_statuses(ctx);
    }

    fn accept_if_due(&mut self, ctx: &mut Context) {
        let reached = self
            .acceptance
            .as_mut()
            .is_some_and(|acceptance| acceptance.poll(ctx));
        if reached {
            self.acceptance = None;
            self.unwritten.append(&mut self.to_accept);
        }
    }

    /// A node said which configuration it has in force.
    pub fn on_config_number(&mut self, node: NodeId, number: u64) {
        if let Some(acceptance) = &mut self.acceptance {
            acceptance.on_number(node, number);
        }
    }

    /// A node that knows nobody reads the machine list itself, once a second,
    /// until others tell it.
    fn read_machines_at_start(&mut self, ctx: &mut Context) {
        let known = ctx
            .swim
            .others()
            .any(|member| member.identity.generation > 0);
        if !known || ctx.machines.number() == 0 {
            self.read_machines(ctx);
        }
    }

    fn read_machines(&mut self, ctx: &mut Context) {
        if self.machines_pending || ctx.now < self.next_machines {
            return;
        }
        self.machines_pending = true;
        self.next_machines = ctx.now + MACHINES_INTERVAL;
        let request = HttpRequest::new("GET", "/machines", "");
        ctx.platform(request, REQUEST_TIMEOUT, HttpPurpose::Machines);
    }

    fn watch(&mut self, ctx: &mut Context) {
        self.watching = true;
        let (path, timeout, purpose) = match self.version {
            None => (
                "/objects".to_string(),
                REQUEST_TIMEOUT,
                HttpPurpose::ListObjects,
            ),
            Some(version) => (
                format!("/watch?since={version}&wait_ms={WATCH_WAIT_MS}"),
                WATCH_TIMEOUT,
                HttpPurpose::Watch,
            ),
        };
        ctx.platform(HttpRequest::new("GET", path, ""), timeout, purpose);
    }

    fn write_statuses(&mut self, ctx: &mut Context) {
        let due: Vec<(String, ObjectStatus)> = self
            .unwritten
            .iter()
            .filter(|(key, _)| !self.writing.contains(*key))
            .map(|(key, status)| (key.clone(), status.clone()))
            .collect();
        if ctx.now < self.next_watch && !due.is_empty() {
            return;
        }
        for (key, status) in due {
            self.writing.insert(key.clone());
            let body = serde_json::to_vec(&status).unwrap_or_default();
            let request = HttpRequest::new("PUT", format!("/objects/{key}/status"), body)
                .with_header("if-match", status.observed_version.to_string());
            ctx.platform(request, REQUEST_TIMEOUT, HttpPurpose::WriteStatus(key));
        }
        self.try_publish(ctx);
    }

    /// Takes in a part of a response of the store.
    pub fn on_http(&mut self, ctx: &mut Context, purpose: &HttpPurpose, part: ResponsePart) {
        let key = match purpose {
            HttpPurpose::Machines => HttpPurposeKey::Machines,
            HttpPurpose::WriteStatus(key) => HttpPurposeKey::Status(key.clone()),
            _ => HttpPurposeKey::Objects,
        };
        match part {
            ResponsePart::Head(ResponseHead { status, .. }) => {
                self.bodies.insert(key, (status, Vec::new()));
            }
            ResponsePart::Data(data) => {
                if let Some((_, body)) = self.bodies.get_mut(&key) {
                    body.extend_from_slice(&data);
                }
            }
            ResponsePart::End => {
                let (status, body) = self.bodies.remove(&key).unwrap_or_default();
                self.on_answer(ctx, key, status, &body);
            }
            ResponsePart::Failed(failure) => {
                log::debug!("step=platform error={failure}");
                self.bodies.remove(&key);
                self.on_answer(ctx, key, 0, &[]);
            }
        }
    }

    fn on_answer(&mut self, ctx: &mut Context, key: HttpPurposeKey, status: u16, body: &[u8]) {
        match key {
            HttpPurposeKey::Machines => self.on_machines(ctx, status, body),
            HttpPurposeKey::Status(key) => self.on_status_written(ctx, key, status),
            HttpPurposeKey::Objects => self.on_objects(ctx, status, body),
        }
    }

    fn on_machines(&mut self, ctx: &mut Context, status: u16, body: &[u8]) {
        self.machines_pending = false;
        let Ok(list) = serde_json::from_slice::<MachineList>(body) else {
            return;
        };
        if status != 200 {
            return;
        }
        let documents = list.machines.iter().map(|machine| {
            let document = serde_json::to_vec(machine).unwrap_or_default();
            (machine.name.clone(), document)
        });
        let base = ctx.machines.number();
        if ctx.machines.advance(list.version, documents.collect()) {
            changed(ctx, Channel::MACHINES);
            if self.active {
                push_to_roots(ctx, Channel::MACHINES, base);
            }
        }
    }

    fn on_objects(&mut self, ctx: &mut Context, status: u16, body: &[u8]) {
        self.watching = false;
        if !self.active {
            return;
        }
        if status == 410 {
            // The store no longer has the changes since then: list anew.
            self.version = None;
            return;
        }
        let parsed = serde_json::from_slice::<ObjectList>(body);
        let Some(list) = parsed.ok().filter(|_| status == 200) else {
            self.next_watch = ctx.now + RETRY;
            return;
        };
        if self.version.is_none() {
            self.objects.clear();
        }
        for key in list.deleted {
            self.objects.remove(&key);
        }
        for object in list.objects {
            self.objects.insert(object.key.clone(), object);
        }
        self.version = Some(list.resource_version);
        self.settle();
    }

    /// Works out what is in force, and which statuses must say so first.
    fn settle(&mut self) {
        let reconciled = reconcile(self.objects.values());
        self.unwritten.clear();
        self.to_accept.clear();
        // What was pushed but not yet accepted is accepted after this change's
        // push; accepting it now would run ahead of that.
        self.acceptance = None;
        for (key, status) in reconciled.statuses {
            let object = self.objects.get(&key);
            let known = object.and_then(|object| object.status.as_ref());
            if known == Some(&status) {
                continue;
            }
            let pending = ObjectStatus {
                accepted: false,
                ..status.clone()
            };
            if known != Some(&pending) {
                self.unwritten.insert(key.clone(), pending);
            }
            if status.accepted {
                self.to_accept.insert(key, status);
            }
        }
        self.publish = self.version;
    }

    fn on_status_written(&mut self, ctx: &mut Context, key: String, status: u16) {
        self.writing.remove(&key);
        match status {
            200 => {
                if let Some(written) = self.unwritten.remove(&key) {
                    if let Some(object) = self.objects.get_mut(&key) {
                        object.status = Some(written);
                    }
                }
            }
            // The object has changed since; the watch brings the change.
            404 | 409 => {
                self.unwritten.remove(&key);
                self.publish = None;
            }
            // The write may have taken effect; writing it again is harmless.
            _ => self.next_watch = ctx.now + RETRY,
        }
        self.try_publish(ctx);
    }

    fn try_publish(&mut self, ctx: &mut Context) {
        if !self.unwritten.is_empty() || !self.writing.is_empty() {
            return;
        }
        let Some(number) = self.publish.take() else {
            return;
        };
        self.acceptance = Some(Acceptance::new(number));
        let documents = reconcile(self.objects.values()).documents;
        let base = ctx.config.number();
        if ctx.config.advance(number, documents) {
            changed(ctx, Channel::CONFIG);
            push_to_roots(ctx, Channel::CONFIG, base);
        }
    }
}
