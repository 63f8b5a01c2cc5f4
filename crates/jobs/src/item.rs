//! The dispatcher's state of one open item.

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

/// Identifies an item by its job and its index in the job.
pub type ItemKey = (Rc<str>, usize);

/// Identifies a group by its job and its name in the job.
pub(crate) type GroupKey = (Rc<str>, String);

/// HTTP method of items' requests to engines.
pub(crate) const ITEM_HTTP_METHOD: &str = "POST";

/// An item without a listed result.
#[derive(Clone, Debug)]
pub struct OpenItem {
    /// The job that contains it.
    pub spec: Rc<AcceptJob>,
    /// Index of the item in its job.
    pub index: usize,
    /// When this replica applied the acceptance of its job.
    pub known_since: Time,
    /// Text generated so far.
    pub text: PartialText,
    /// Events in the log, including proposed entries.
    pub logged_events: usize,
    /// Failures reported by engines, including those under earlier leaders.
    pub failures: Failures,
    /// Failures in the log, including proposed entries.
    pub logged_failures: Failures,
    /// Whether the log, including proposed entries, records the text as complete.
    pub logged_complete: bool,
    /// Consecutive runs that succeeded without producing an event.
    pub empty_runs: u32,
    /// The run under way.
    pub run: Option<RunId>,
    /// Since when no engine has it.
    pub waiting_since: Time,
    /// When its wait for an engine was last logged.
    pub wait_logged_at: Option<Time>,
    /// Earliest time of the next run.
    pub not_before: Time,
    /// Engine that its last run failed on or was moved from, and its incarnation.
    pub avoid: Option<(Instance, Incarnation)>,
    /// Engines that it was moved away from because others were faster.
    pub moved_from: Vec<Instance>,
    /// Number of runs started.
    pub runs: u32,
    /// Number of moves to another engine, except those after an engine restart.
    pub moves: u32,
    /// Whether a single weights version must generate the whole text.
    pub single_version: bool,
    /// Whether the text was restarted: the events in the log belong to a discarded text.
    pub restarted: bool,
    /// Whether an earlier job contained the item: its trainer waits for this group even if
    /// enough other groups are complete.
    pub is_resubmitted: bool,
    /// Whether its result has been proposed to the log.
    pub proposed: bool,
    /// Fingerprint of its request, computed on first use.
    fingerprint: OnceCell<Fingerprint>,
}

impl OpenItem {
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
            waiting_since: known_since,
            wait_logged_at: None,
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

    /// Fingerprint of its request, equal to that of a caller's request with the same path
    /// and body.
    pub fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let spec = self.item();
            let headers = spec.headers.iter();
            let headers: Vec<(String, String)> = headers
                .map(|header| (header.name.to_ascii_lowercase(), header.value.clone()))
                .collect();
            Fingerprint::of(&RequestParts {
                method: ITEM_HTTP_METHOD,
                host: &self.spec.host,
                path: &spec.path,
                headers: &headers,
                body: &spec.body,
                tenant: &self.spec.tenant,
            })
        })
    }

    /// Records that its run has ended and that it waits for an engine again.
    pub fn end_run(&mut self, now: Time) {
        self.run = None;
        self.waiting_since = now;
        self.wait_logged_at = None;
    }

    /// Whether it waits for an engine to continue its text.
    pub fn waits_for_engine(&self) -> bool {
        self.run.is_none() && !self.text.complete && !self.proposed
    }

    /// Whether unlogged progress is large enough for a progress record.
    pub fn is_record_due(&self, min_events: usize) -> bool {
        let events = self.text.events.len() >= self.logged_events + min_events;
        let ended = self.text.complete && !self.logged_complete;
        let texts = !self.restarted && (events || ended);
        !self.proposed && (texts || self.failures != self.logged_failures)
    }

    /// The weights version required for the rest of the text, if a single version must
    /// generate it.
    pub fn exact_version(&self) -> Option<u64> {
        let first = self.text.events.first().filter(|_| self.single_version);
        first.map(|event| event.version)
    }

    /// Whether the text satisfies the single-version requirement.
    pub fn is_consistent(&self) -> bool {
        !self.single_version || self.text.versions().len() <= 1
    }

    /// Discards the text.
    pub fn restart(&mut self) {
        self.restarted |= self.logged_events > 0;
        self.text = PartialText::default();
        self.logged_events = 0;
        self.logged_complete = false;
    }

    /// Builds its result and marks it as proposed.
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

    /// Key of its text in the cache for later jobs.
    pub fn cache_key(&self) -> TextCacheKey {
        TextCacheKey {
            tenant: self.spec.tenant.clone(),
            id: self.item().id.clone(),
        }
    }

    /// The item as submitted.
    pub fn item(&self) -> &JobItem {
        &self.spec.items[self.index]
    }
}
