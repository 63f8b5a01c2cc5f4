//! One batch job: its items, results by position, texts that are not whole.

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
    /// Whether it is whole; otherwise it was given up.
    pub completed: bool,
    /// Its text, to be read with [`crate::JobStore::text_reader`].
    pub text: ListedText,
    /// Versions that made an event of it.
    pub versions: Vec<u64>,
    /// Signature of the answer to its reward call; empty if it has none.
    pub score: String,
    /// When this replica learnt of it.
    pub known_since: Time,
}

/// Answers of engines that said that an item failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Failures {
    /// To its runs.
    pub runs: u32,
    /// To its reward call.
    pub reward_calls: u32,
}

/// A batch job.
#[derive(Clone, Debug)]
pub struct Job {
    /// As it was handed in.
    pub spec: Rc<AcceptJob>,
    /// When this replica first knew of it.
    pub known_since: Time,
    /// Results by position.
    pub results: Vec<StoredResult>,
    /// Position of each item's result.
    pub positions: HashMap<usize, usize>,
    /// Texts that are not whole, by item.
    pub progress: HashMap<usize, PartialText>,
    /// Where the log holds the events of `progress`.
    pub(crate) logged: HashMap<usize, LoggedEvents>,
    /// Answers that said that an item failed, by item.
    pub failures: HashMap<usize, Failures>,
    /// Whether it is ended. Headers and bodies of its items are left to the log then.
    pub ended: bool,
    /// Hash of each item's body, once bodies are left to the log.
    pub(crate) body_hashes: Vec<u64>,
    /// Index of its first log entry.
    pub first_index: u64,
}

impl Job {
    /// A job that was just accepted by the entry `first_index`.
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

    /// Whether all that will ever be read from a position on is known here, or
    /// what stands there was listed at least `age` ago.
    pub fn is_settled(&self, now: Time, position: usize, age: Duration) -> bool {
        let complete = self.ended || self.results.len() == self.spec.items.len();
        let first = self.results.get(position);
        complete || first.is_some_and(|result| now.since(result.known_since) >= age)
    }

    /// Whether a tenant may know of it. One that was accepted without a tenant, on a
    /// public route or before there were any, is open to all.
    pub fn is_accessible_to(&self, tenant: &str) -> bool {
        self.spec.tenant.is_empty() || self.spec.tenant == tenant
    }

    /// Bytes of its texts that are not whole.
    pub(crate) fn progress_bytes(&self) -> usize {
        self.progress.values().map(PartialText::bytes).sum()
    }

    /// Index of an item by its id.
    pub fn item_index(&self, id: &str) -> Option<usize> {
        self.spec.items.iter().position(|item| item.id == id)
    }
}

/// What a job holds of an item.
#[derive(Clone, Copy, Debug)]
pub enum PriorText<'a> {
    /// Its result, the job that has it, and the reward call that scored it.
    Complete(&'a StoredResult, &'a str, Option<&'a RewardCall>),
    /// Its beginning.
    Partial(&'a PartialText),
}

impl Job {
    /// Drops what only its items' runs need: an ended job is kept for its results.
    /// At 1.8 KB an item (600 of body, the rest headers) this is a quarter of what a
    /// job of 160 items with texts of 5 KB takes.
    pub(crate) fn drop_requests(&mut self) {
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

    /// Whether an item has this body.
    pub(crate) fn has_body(&self, item: usize, body: &[u8]) -> bool {
        match self.body_hashes.get(item) {
            Some(hash) => *hash == hash_bytes(body),
            None => self.spec.items[item].body == body,
        }
    }

    pub(crate) fn prior_text<'a>(&'a self, item: usize, name: &'a str) -> Option<PriorText<'a>> {
        if let Some(position) = self.positions.get(&item) {
            let result = self.results.get(*position)?;
            let reward_call = self.spec.items[item].reward_call.as_ref();
            return result
                .completed
                .then_some(PriorText::Complete(result, name, reward_call));
        }
        self.progress.get(&item).map(PriorText::Partial)
    }
}

/// A job's head.
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
        items: Vec::new(),
    }
}
