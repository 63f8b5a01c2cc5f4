//! One batch job: its items, results by position, and incomplete texts.

use peatgrade_schema::replication::{AcceptJob, JobItem, RewardCall};
use peatgrade_types::{hash_bytes, Duration, Time};
use std::collections::HashMap;
use std::rc::Rc;

use crate::listed_text::{ListedText, LoggedEvents};
use crate::text::PartialText;

/// A listed result. Its position and content never change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResult {
    /// Index of the item in its job.
    pub item: usize,
    /// Whether the text is complete; otherwise the item was given up.
    pub completed: bool,
    /// Its text, read with [`crate::JobStore::text_reader`].
    pub text: ListedText,
    /// Weights versions that generated its events.
    pub versions: Vec<u64>,
    /// Signature of the response to its reward call; empty if it has none.
    pub score: String,
    /// When this replica applied it.
    pub known_since: Time,
}

/// Number of engine responses that reported a failure of an item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Failures {
    /// Failed runs.
    pub runs: u32,
    /// Failed reward calls.
    pub reward_calls: u32,
}

#[derive(Clone, Debug)]
pub struct Job {
    /// The job as submitted; the items of an ended job keep only their id and reward call.
    pub spec: Rc<AcceptJob>,
    /// When this replica applied its acceptance.
    pub known_since: Time,
    /// Results by position.
    pub results: Vec<StoredResult>,
    /// Position of each item's result.
    pub positions: HashMap<usize, usize>,
    /// Partial texts in the log, by item.
    pub progress: HashMap<usize, PartialText>,
    /// Log entries that hold the events of `progress`, by item.
    pub(crate) logged: HashMap<usize, LoggedEvents>,
    /// Failures by item.
    pub failures: HashMap<usize, Failures>,
    /// Whether the job has ended; its items' headers and bodies are then in the log only.
    pub ended: bool,
    /// Hash of each item's body, once the bodies are in the log only.
    pub(crate) body_hashes: Vec<u64>,
    /// Index of the log entry that accepted the job.
    pub first_index: u64,
}

impl Job {
    pub(crate) fn new(spec: AcceptJob, known_since: Time, first_index: u64) -> Self {
        Self {
            spec: Rc::new(spec),
            known_since,
            results: Vec::new(),
            positions: HashMap::new(),
            progress: HashMap::new(),
            logged: HashMap::new(),
            failures: HashMap::new(),
            ended: false,
            body_hashes: Vec::new(),
            first_index,
        }
    }

    /// Whether this replica may serve reads from `position`: either no further results can
    /// follow, or the result there was applied at least `age` ago.
    pub fn is_settled(&self, now: Time, position: usize, age: Duration) -> bool {
        let complete = self.ended || self.results.len() == self.spec.items.len();
        let first = self.results.get(position);
        complete || first.is_some_and(|result| now.since(result.known_since) >= age)
    }

    /// Whether `tenant` may access the job. A job accepted without a tenant is accessible
    /// to all.
    pub fn is_accessible_to(&self, tenant: &str) -> bool {
        self.spec.tenant.is_empty() || self.spec.tenant == tenant
    }

    /// Bytes of its partial texts.
    pub(crate) fn progress_bytes(&self) -> usize {
        self.progress.values().map(PartialText::bytes).sum()
    }

    pub fn item_index(&self, id: &str) -> Option<usize> {
        self.spec.items.iter().position(|item| item.id == id)
    }
}

/// Text that another job holds of the same item.
#[derive(Clone, Copy, Debug)]
pub enum PriorText<'a> {
    /// The listed result, the id of its job, and the reward call that scored it.
    Complete(&'a StoredResult, &'a str, Option<&'a RewardCall>),
    /// The events generated so far.
    Partial(&'a PartialText),
}

impl Job {
    /// Drops the items' paths, headers and bodies, which only their runs need; an ended job
    /// is retained for its results.
    pub(crate) fn drop_request_payloads(&mut self) {
        let items = &self.spec.items;
        self.body_hashes = items.iter().map(|item| hash_bytes(&item.body)).collect();
        let items = items.iter().map(|item| JobItem {
            id: item.id.clone(),
            reward_call: item.reward_call.clone(),
            ..JobItem::default()
        });
        self.spec = Rc::new(AcceptJob {
            items: items.collect(),
            ..without_items(&self.spec)
        });
    }

    /// Whether an item has this body, by hash once the bodies are dropped.
    pub(crate) fn has_body(&self, item: usize, body: &[u8]) -> bool {
        match self.body_hashes.get(item) {
            Some(hash) => *hash == hash_bytes(body),
            None => self.spec.items[item].body == body,
        }
    }

    /// The text of an item, if its result is complete or it has progress.
    pub(crate) fn prior_text<'a>(&'a self, item: usize, job: &'a str) -> Option<PriorText<'a>> {
        if let Some(position) = self.positions.get(&item) {
            let result = self.results.get(*position)?;
            let reward_call = self.spec.items[item].reward_call.as_ref();
            return result
                .completed
                .then_some(PriorText::Complete(result, job, reward_call));
        }
        self.progress.get(&item).map(PriorText::Partial)
    }
}

/// Copies all fields of a job except its items.
fn without_items(spec: &AcceptJob) -> AcceptJob {
    AcceptJob {
        job: spec.job.clone(),
        host: spec.host.clone(),
        path: spec.path.clone(),
        step: spec.step,
        model: spec.model.clone(),
        min_version: spec.min_version,
        desired: spec.desired,
        tenant: spec.tenant.clone(),
        configuration: spec.configuration,
        items: Vec::new(),
    }
}
