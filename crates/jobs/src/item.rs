//! One open item: what is known of its text and of its runs.

use peatgrade_ports::Instance;
use peatgrade_schema::replication::{AcceptJob, JobItem};
use peatgrade_types::Time;
use std::rc::Rc;

use crate::dispatcher::RunId;
use crate::text::PartialText;

/// Names an item: its job and its index there.
pub type ItemKey = (Rc<str>, usize);

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
    /// Answers of 500.
    pub failures: u32,
    /// Runs in a row that ended well without any event.
    pub empty_ends: u32,
    /// Its run, if it has one.
    pub run: Option<RunId>,
    /// Not tried before then.
    pub not_before: Time,
    /// Engine that its last run left in bad order.
    pub avoid: Option<Instance>,
    /// Runs so far.
    pub runs: u32,
    /// Moves from a slow engine so far.
    pub moves: u32,
    /// Its result is on its way into the log.
    pub proposed: bool,
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
            failures: 0,
            empty_ends: 0,
            run: None,
            not_before: Time(0),
            avoid: None,
            runs: 0,
            moves: 0,
            proposed: false,
        }
    }

    /// The item as it was handed in.
    pub fn item(&self) -> &JobItem {
        &self.spec.items[self.index]
    }
}
