//! Samples of one trainer, from prompt to manifest.

use crate::{oldest_version, staleness};
use peatgrade_schema::peer::ManifestEntry;
use peatgrade_types::{Duration, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod types;

pub use types::{DropCounts, Order, PoolPolicy, Prompt, Report};
use types::{Group, Sample};

/// A sample: lease epoch in the high half, a counter in the low half, so that
/// no two coordinators give out the same.
pub type SampleId = u64;

/// Prompts remembered for new groups.
const PROMPTS: usize = 256;
/// Silence after which a worker is taken to have lost an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(6);

/// Samples in work and finished samples of one trainer.
#[derive(Debug)]
pub struct SamplePool {
    policy: PoolPolicy,
    epoch: u64,
    counter: u64,
    groups: BTreeMap<u64, Group>,
    prompts: VecDeque<Prompt>,
    next_prompt: usize,
    used: BTreeSet<SampleId>,
    drops: DropCounts,
    /// Length of recent finished samples, to foresee long ones.
    lengths: VecDeque<u32>,
    long_prompts: BTreeSet<u64>,
}

impl SamplePool {
    /// An empty pool of the coordinator with this lease epoch.
    pub fn new(policy: PoolPolicy, epoch: u64) -> Self {
        Self {
            policy,
            epoch,
            counter: 0,
            groups: BTreeMap::new(),
            prompts: VecDeque::new(),
            next_prompt: 0,
            used: BTreeSet::new(),
            drops: DropCounts::default(),
            lengths: VecDeque::new(),
            long_prompts: BTreeSet::new(),
        }
    }

    /// An empty pool of the same coordinator, which reads everything anew. It
    /// goes on counting, since names given out before may be in a sealed step.
    pub fn anew(&self) -> Self {
        Self {
            counter: self.counter,
            ..Self::new(self.policy.clone(), self.epoch)
        }
    }

    /// Policy in force.
    pub fn policy(&self) -> &PoolPolicy {
        &self.policy
    }

    /// Takes over a changed policy; samples in work stay.
    pub fn set_policy(&mut self, policy: PoolPolicy) {
        self.policy = policy;
    }

    /// Samples dropped so far.
    pub fn drops(&self) -> DropCounts {
        self.drops
    }

    /// Samples being generated.
    pub fn running(&self) -> usize {
        let samples = self
            .groups
            .values()
            .flat_map(|group| group.samples.values());
        samples.filter(|sample| sample.finished.is_none()).count()
    }

    /// Whole groups that wait for a step.
    pub fn complete_groups(&self) -> usize {
        self.groups
            .values()
            .filter(|group| group.complete())
            .count()
    }

    /// Marks samples of a sealed manifest, which no other step may use.
    pub fn mark_used(&mut self, samples: impl IntoIterator<Item = SampleId>) {
        for sample in samples {
            self.used.insert(sample);
            self.groups
                .retain(|_, group| !group.samples.contains_key(&sample));
        }
    }

    /// Adds a finished sample that an earlier coordinator left in storage.
    /// Call [`SamplePool::mark_used`] for sealed manifests first.
    pub fn restore(&mut self, entry: ManifestEntry) {
        if self.used.contains(&entry.sample) {
            return;
        }
        let group = self.groups.entry(entry.group).or_insert_with(|| Group {
            prompt: Prompt {
                text: Vec::new(),
                seed: 0,
            },
            samples: BTreeMap::new(),
            favoured: false,
        });
        let sample = Sample {
            attempt: 0,
            worker: None,
            heard: Time::default(),
            tokens: entry.tokens,
            oldest: Some(entry.oldest),
            finished: Some(entry.clone()),
        };
        group.samples.insert(entry.sample, sample);
    }

    /// Drops restored groups of which samples are missing.
    pub fn finish_restore(&mut self) {
        let size = self.policy.group_size as usize;
        let (whole, broken): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.groups)
            .into_iter()
            .partition(|(_, group)| group.samples.len() == size);
        self.groups = whole;
        self.drops.wasted_tokens += broken.values().map(Group::tokens).sum::<u64>();
    }

    /// Remembers a prompt of live traffic.
    pub fn offer_prompt(&mut self, prompt: Prompt) {
        self.prompts.push_back(prompt);
        if self.prompts.len() > PROMPTS {
            self.prompts.pop_front();
        }
    }

    /// Starts new groups until enough are in work for the steps that may be
    /// sealed: from `next_step` up to the lookahead beyond `committed`.
    pub fn start_groups(&mut self, now: Time, next_step: u64, committed: u64) -> Vec<Order> {
        let horizon = committed + 1 + u64::from(self.policy.lookahead);
        let steps = (horizon + 1).saturating_sub(next_step) as usize;
        let ahead = steps.saturating_sub(1) * self.policy.groups_per_step();
        let wanted = match steps {
            0 if self.policy.carry_over => self.policy.groups_ahead(),
            0 => 0,
            _ => self.policy.groups_in_flight() + ahead,
        };
        let mut orders = Vec::new();
        while self.groups.len() < wanted {
            let Some(prompt) = self.take_prompt() else {
                break;
            };
            orders.extend(self.add_group(now, prompt));
        }
        orders
    }

    fn take_prompt(&mut self) -> Option<Prompt> {
        if self.prompts.is_empty() {
            return None;
        }
        self.next_prompt = (self.next_prompt + 1) % self.prompts.len();
        self.prompts.get(self.next_prompt).cloned()
    }

    fn add_group(&mut self, now: Time, prompt: Prompt) -> Vec<Order> {
        let group = self.next_id();
        let favoured = self.long_prompts.contains(&prompt.seed);
        let mut samples = BTreeMap::new();
        for _ in 0..self.policy.group_size {
            let sample = Sample {
                attempt: 1,
                worker: None,
                heard: now,
                tokens: 0,
                oldest: None,
                finished: None,
            };
            samples.insert(self.next_id(), sample);
        }
        let ids: Vec<SampleId> = samples.keys().copied().collect();
        self.groups.insert(
            group,
            Group {
                prompt,
                samples,
                favoured,
            },
        );
        ids.into_iter()
            .filter_map(|id| self.order(group, id))
            .collect()
    }

    fn next_id(&mut self) -> u64 {
        self.counter += 1;
        (self.epoch << 32) | self.counter
    }

    fn order(&self, group: u64, sample: SampleId) -> Option<Order> {
        let found = self.groups.get(&group)?;
        Some(Order {
            sample,
            group,
            attempt: found.samples.get(&sample)?.attempt,
            prompt: found.prompt.clone(),
            favoured: found.favoured,
        })
    }

    /// Notes which node works on a sample.
    pub fn assigned(&mut self, now: Time, sample: SampleId, worker: NodeId) {
        if let Some(found) = self.find(sample) {
            found.worker = Some(worker);
            found.heard = now;
        }
    }

    /// Nodes and how many unfinished samples each has.
    pub fn load_by_worker(&self) -> BTreeMap<NodeId, usize> {
        let mut load = BTreeMap::new();
        for group in self.groups.values() {
            let running = group.samples.values().filter(|s| s.finished.is_none());
            for worker in running.filter_map(|sample| sample.worker) {
                *load.entry(worker).or_default() += 1;
            }
        }
        load
    }

    fn find(&mut self, sample: SampleId) -> Option<&mut Sample> {
        self.groups
            .values_mut()
            .find_map(|group| group.samples.get_mut(&sample))
    }

    fn group_of(&self, sample: SampleId) -> Option<u64> {
        let holds = |(_, group): &(&u64, &Group)| group.samples.contains_key(&sample);
        self.groups.iter().find(holds).map(|(&id, _)| id)
    }

    /// Takes in news. Returns false for news of an attempt that was given up
    /// or a sample that is not wanted, so that the worker can be told to stop.
    pub fn on_report(&mut self, now: Time, report: &Report) -> bool {
        let tokens: u32 = report.spans.iter().map(|span| span.tokens).sum();
        let group = self.group_of(report.sample);
        let Some(sample) = self.find(report.sample) else {
            return false;
        };
        if sample.finished.is_some() {
            return report.finished.is_some();
        }
        if sample.attempt != report.attempt {
            return false;
        }
        sample.heard = now;
        sample.tokens = tokens;
        sample.oldest = oldest_version(&report.spans);
        if let Some((hash, stored_on)) = &report.finished {
            sample.finished = Some(ManifestEntry {
                sample: report.sample,
                hash: *hash,
                stored_on: stored_on.clone(),
                oldest: sample.oldest.unwrap_or(0),
                group: group.unwrap_or(0),
                tokens,
            });
            self.note_length(report.sample, tokens);
        }
        true
    }

    /// Remembers prompts whose samples are longer than nine tenths of recent.
    fn note_length(&mut self, sample: SampleId, tokens: u32) {
        self.lengths.push_back(tokens);
        if self.lengths.len() > 200 {
            self.lengths.pop_front();
        }
        let mut sorted: Vec<u32> = self.lengths.iter().copied().collect();
        sorted.sort_unstable();
        let long = tokens > sorted[sorted.len() * 9 / 10];
        let group = self
            .groups
            .values()
            .find(|g| g.samples.contains_key(&sample));
        if let Some(seed) = group.filter(|_| long).map(|group| group.prompt.seed) {
            self.long_prompts.insert(seed);
            if self.long_prompts.len() > PROMPTS {
                self.long_prompts.pop_first();
            }
        }
    }

    /// Orders to give out again: those whose worker is gone, failed them or
    /// has been silent for too long.
    pub fn reassign(&mut self, now: Time, gone: impl Fn(NodeId) -> bool) -> Vec<Order> {
        let mut again = Vec::new();
        for (&group_id, group) in &mut self.groups {
            for (&id, sample) in &mut group.samples {
                let silent = now.since(sample.heard) >= ORDER_TIMEOUT;
                let lost = sample.worker.is_none_or(&gone);
                if sample.finished.is_some() || !(silent || (lost && sample.worker.is_some())) {
                    continue;
                }
                self.drops.wasted_tokens += u64::from(sample.tokens);
                sample.attempt += 1;
                sample.worker = None;
                sample.heard = now;
                sample.tokens = 0;
                sample.oldest = None;
                again.push((group_id, id));
            }
        }
        let orders = again.into_iter();
        orders
            .filter_map(|(group, id)| self.order(group, id))
            .collect()
    }

    /// Makes an order due at once, because its worker gave it back.
    pub fn give_back(&mut self, sample: SampleId, attempt: u32) {
        if let Some(found) = self.find(sample).filter(|found| found.attempt == attempt) {
            found.heard = Time::default();
        }
    }

    /// Drops groups that are too old for `next_step`, which is the freshest
    /// any unsealed step can be. Returns samples whose workers should stop.
    pub fn drop_stale(&mut self, next_step: u64) -> Vec<(SampleId, Option<NodeId>)> {
        let bound = self.policy.staleness_bound;
        let mut stopped = Vec::new();
        let drops = &mut self.drops;
        self.groups.retain(|_, group| {
            let fresh = group
                .oldest()
                .is_none_or(|oldest| staleness(next_step, oldest) <= bound);
            if !fresh {
                drops.stale += group.samples.len() as u64;
                drops.wasted_tokens += group.tokens();
                stopped.extend(
                    group
                        .samples
                        .iter()
                        .map(|(&id, sample)| (id, sample.worker)),
                );
            }
            fresh
        });
        stopped
    }

    /// The samples of a step, once enough whole groups are fresh enough:
    /// oldest groups first, so that little grows stale.
    pub fn select(&self, step: u64) -> Option<Vec<ManifestEntry>> {
        let bound = self.policy.staleness_bound;
        let fresh = self.groups.values().filter(|group| {
            let oldest = group.oldest().unwrap_or(0);
            group.complete() && staleness(step, oldest) <= bound
        });
        let chosen: Vec<&Group> = fresh.take(self.policy.groups_per_step()).collect();
        if chosen.len() < self.policy.groups_per_step() {
            return None;
        }
        let samples = chosen.into_iter().flat_map(|group| group.samples.values());
        samples.map(|sample| sample.finished.clone()).collect()
    }

    /// Drops what a sealed step left over, if the tenant does not carry over.
    pub fn drop_surplus(&mut self) -> Vec<(SampleId, Option<NodeId>)> {
        if self.policy.carry_over {
            return Vec::new();
        }
        let mut stopped = Vec::new();
        for group in std::mem::take(&mut self.groups).into_values() {
            self.drops.surplus += group.samples.len() as u64;
            self.drops.wasted_tokens += group.tokens();
            stopped.extend(
                group
                    .samples
                    .iter()
                    .map(|(&id, sample)| (id, sample.worker)),
            );
        }
        stopped
    }
}
