//! One open item: what is known of its text and of its runs.

use peatgrade_fleet::Incarnation;
use peatgrade_ports::Instance;
use peatgrade_quarantine::{Fingerprint, RequestParts};
use peatgrade_schema::replication::{AcceptJob, ItemResult, JobItem};
use peatgrade_types::Time;
use std::cell::OnceCell;
use std::rc::Rc;

use crate::dispatcher::RunId;
use crate::job::Failures;
use crate::text::PartialText;
use crate::text_cache::TextCacheKey;

/// Names an item: its job and its index there.
pub type ItemKey = (Rc<str>, usize);

/// Names a group: its job and its name there.
pub(crate) type GroupKey = (Rc<str>, String);

/// Method by which items go to engines.
pub(crate) const ITEM_METHOD: &str = "POST";

/// An item that has no result yet.
#[derive(Clone, Debug)]
pub struct OpenItem {
    /// Its job.
    pub spec: Rc<AcceptJob>,
    /// Its index there.
    pub index: usize,
    /// When its job became known.
    pub known_since: Time,
    /// Events so far.
    pub text: PartialText,
    /// Events that the log holds, or will once what was proposed is committed.
    pub logged_events: usize,
    /// Answers of engines that it failed, under earlier leaders too.
    pub failures: Failures,
    /// Those of them that the log holds, or will once what was proposed is
    /// committed.
    pub logged_failures: Failures,
    /// The log holds that its text is whole, or will once what was proposed is
    /// committed.
    pub logged_complete: bool,
    /// Runs in a row that ended well without any event.
    pub empty_runs: u32,
    /// Its run, if it has one.
    pub run: Option<RunId>,
    /// Not tried before then.
    pub not_before: Time,
    /// Engine that its last run left in bad order.
    pub avoid: Option<(Instance, Incarnation)>,
    /// Engines that it was moved away from since others were faster.
    pub moved_from: Vec<Instance>,
    /// Runs so far.
    pub runs: u32,
    /// Moves from a slow engine so far.
    pub moves: u32,
    /// Whether one version must make all of its text.
    pub single_version: bool,
    /// Its text was begun anew: what the log holds of it belongs to another.
    pub restarted: bool,
    /// An earlier job had it too: its trainer waits for its group whichever others are
    /// whole.
    pub is_resubmitted: bool,
    /// Its result is on its way into the log.
    pub proposed: bool,
    /// What it asks for; worked out when it is first needed.
    fingerprint: OnceCell<Fingerprint>,
}

impl OpenItem {
    /// An item without any text.
    pub fn new(spec: Rc<AcceptJob>, index: usize, known_since: Time) -> Self {
        Self {
            spec,
            index,
            known_since,
            text: PartialText::default(),
            logged_events: 0,
            failures: Failures::default(),
            logged_failures: Failures::default(),
            logged_complete: false,
            empty_runs: 0,
            run: None,
            not_before: Time(0),
            avoid: None,
            moved_from: Vec::new(),
            runs: 0,
            moves: 0,
            single_version: false,
            restarted: false,
            is_resubmitted: false,
            proposed: false,
            fingerprint: OnceCell::new(),
        }
    }

    /// What it asks for: the same as of a caller's request with its path and body.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let spec = self.item();
            let headers = spec.headers.iter();
            let headers: Vec<(String, String)> = headers
                .map(|header| (header.name.to_ascii_lowercase(), header.value.clone()))
                .collect();
            Fingerprint::of(&RequestParts {
                method: ITEM_METHOD,
                host: &self.spec.host,
                path: &spec.path,
                headers: &headers,
                body: &spec.body,
                tenant: &self.spec.tenant,
            })
        })
    }

    /// Whether it waits for an engine to make more of its text.
    pub fn waits_for_engine(&self) -> bool {
        self.run.is_none() && !self.text.complete && !self.proposed
    }

    /// Whether the log lacks enough of it for a record of its own.
    pub fn is_record_due(&self, least_events: usize) -> bool {
        let events = self.text.events.len() >= self.logged_events + least_events;
        let ended = self.text.complete && !self.logged_complete;
        let texts = !self.restarted && (events || ended);
        !self.proposed && (texts || self.failures != self.logged_failures)
    }

    /// The version that must make the rest of its text, if only one may.
    pub fn exact_version(&self) -> Option<u64> {
        let first = self.text.events.first().filter(|_| self.single_version);
        first.map(|event| event.version)
    }

    /// Whether its text can stand as it is.
    pub fn is_consistent(&self) -> bool {
        !self.single_version || self.text.versions().len() <= 1
    }

    /// Begins its text anew.
    pub fn restart(&mut self) {
        self.restarted |= self.logged_events > 0;
        self.text = PartialText::default();
        self.logged_events = 0;
        self.logged_complete = false;
    }

    /// Its result, which is on its way into the log from now on.
    pub fn propose_result(&mut self, score: String) -> ItemResult {
        self.proposed = true;
        ItemResult {
            item: self.index as u64,
            completed: true,
            text: self.text.joined_after(self.logged_events),
            versions: self.text.versions(),
            logged_events: self.logged_events as u64,
            score,
        }
    }

    /// What its text is kept by for later jobs.
    pub fn cache_key(&self) -> TextCacheKey {
        TextCacheKey {
            tenant: self.spec.tenant.clone(),
            id: self.item().id.clone(),
        }
    }

    /// The item as it was handed in.
    pub fn item(&self) -> &JobItem {
        &self.spec.items[self.index]
    }
}
