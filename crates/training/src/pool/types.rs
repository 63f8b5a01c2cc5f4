//! What a pool holds, is told and asks for.

use peatgrade_schema::peer::{ManifestEntry, Span};
use peatgrade_types::{NodeId, Time};
use std::collections::BTreeMap;

use super::SampleId;

/// How a pool is run; from the tenant's declaration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolPolicy {
    /// Samples in each step.
    pub samples_per_step: u32,
    /// Samples drawn from one prompt, all in the same step.
    pub group_size: u32,
    /// Largest staleness at use, in versions.
    pub staleness_bound: u64,
    /// Extra groups in flight, in percent of a step.
    pub oversample_percent: u32,
    /// Steps sealed ahead of the trainer.
    pub lookahead: u32,
    /// Share of a step's groups started before the step may be sealed.
    pub ahead_percent: u32,
    /// Whether surplus samples are kept for the next step.
    pub carry_over: bool,
}

impl PoolPolicy {
    /// Groups in one step.
    pub fn groups_per_step(&self) -> usize {
        (self.samples_per_step / self.group_size.max(1)) as usize
    }

    /// Groups kept in work while no further step may be sealed.
    pub(super) fn groups_ahead(&self) -> usize {
        let share = self.groups_per_step() * self.ahead_percent as usize / 100;
        share + self.groups_in_flight() - self.groups_per_step()
    }

    pub(super) fn groups_in_flight(&self) -> usize {
        let percent = 100 + self.oversample_percent as usize;
        (self.groups_per_step() * percent).div_ceil(100)
    }
}

/// A prompt of live traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The text.
    pub text: Vec<u8>,
    /// Seed of the request that brought it.
    pub seed: u64,
}

/// Work for a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Which sample.
    pub sample: SampleId,
    /// Its group.
    pub group: u64,
    /// Raised each time the sample is given to another node.
    pub attempt: u32,
    /// The prompt.
    pub prompt: Prompt,
    /// Whether it is expected to be long and should go to an idle engine.
    pub favoured: bool,
}

/// News of a sample from its worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Which sample.
    pub sample: SampleId,
    /// Attempt the news is about.
    pub attempt: u32,
    /// Tokens by weight version, so far.
    pub spans: Vec<Span>,
    /// Where it is stored and the hash of the record, once finished.
    pub finished: Option<(u64, Vec<u32>)>,
}

/// Samples given up on, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// Too old for every step still to come.
    pub stale: u64,
    /// Finished, but not kept because the tenant does not carry over.
    pub surplus: u64,
    /// Tokens of the dropped samples and of attempts that were lost.
    pub wasted_tokens: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Sample {
    pub attempt: u32,
    pub worker: Option<NodeId>,
    pub heard: Time,
    pub tokens: u32,
    pub oldest: Option<u64>,
    pub finished: Option<ManifestEntry>,
}

#[derive(Clone, Debug)]
pub(super) struct Group {
    pub prompt: Prompt,
    pub samples: BTreeMap<SampleId, Sample>,
    pub favoured: bool,
}

impl Group {
    pub fn complete(&self) -> bool {
        self.samples
            .values()
            .all(|sample| sample.finished.is_some())
    }

    pub fn oldest(&self) -> Option<u64> {
        self.samples
            .values()
            .filter_map(|sample| sample.oldest)
            .min()
    }

    pub fn tokens(&self) -> u64 {
        self.samples
            .values()
            .map(|sample| u64::from(sample.tokens))
            .sum()
    }
}
