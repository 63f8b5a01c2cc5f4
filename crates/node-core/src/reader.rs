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
use peatgrade_types::http::HttpRequest;
use peatgrade_types::{Duration, NodeId, Time};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

use crate::acceptance::Acceptance;
use crate::context::{Context, HttpPurpose};
use crate::distribution::{changed, push_to_roots};
use crate::event::HttpId;
use crate::exchange::{Ended, Whole};

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
    /// Requests of this tenure under way.
    open: BTreeSet<HttpId>,
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
            .peers()
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
        let id = ctx.platform(request, REQUEST_TIMEOUT, HttpPurpose::Machines);
        self.open.insert(id);
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
        let id = ctx.platform(HttpRequest::new("GET", path, ""), timeout, purpose);
        self.open.insert(id);
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
            let id = ctx.platform(request, REQUEST_TIMEOUT, HttpPurpose::WriteStatus(key));
            self.open.insert(id);
        }
        self.try_publish(ctx);
    }

    /// Takes in the end of a request to the store. One that an earlier tenure
    /// of this reader sent is ignored: taking the answer to an old watch for
    /// the list would lose every object that had not changed.
    pub fn on_ended(&mut self, ctx: &mut Context, id: HttpId, purpose: &HttpPurpose, ended: Ended) {
        if !self.open.remove(&id) {
            return;
        }
        let whole = ended.unwrap_or_else(|failure| {
            log::debug!("step=platform error={failure}");
            Whole::default()
        });
        match purpose {
            HttpPurpose::Machines => self.on_machines(ctx, &whole),
            HttpPurpose::WriteStatus(key) => self.on_status_written(ctx, key.clone(), whole.status),
            _ => self.on_objects(ctx, &whole),
        }
    }

    fn on_machines(&mut self, ctx: &mut Context, whole: &Whole) {
        self.machines_pending = false;
        let Some(list) = whole.json::<MachineList>() else {
            return;
        };
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

    fn on_objects(&mut self, ctx: &mut Context, whole: &Whole) {
        self.watching = false;
        if !self.active {
            return;
        }
        if whole.status == 410 {
            // The store no longer has the changes since then: list anew.
            self.version = None;
            return;
        }
        let Some(list) = whole.json::<ObjectList>() else {
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
