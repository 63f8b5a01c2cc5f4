//! A trainer: fetches a step, trains, publishes weights, commits.

use peatgrade_schema::engine::StepDocument;
use peatgrade_types::http::{HttpFailure, HttpRequest};
use peatgrade_types::{hash_bytes, Duration, Time};
use serde::{Deserialize, Serialize};

use crate::client::{ClientRequest, Target, WholeResponse};

const FETCH_TIMEOUT: Duration = Duration::from_secs(25);
const SHORT_TIMEOUT: Duration = Duration::from_secs(6);
/// Wait after a request that failed.
const RETRY: Duration = Duration::from_millis(400);
/// Wait that the trainer asks a node to make for a step.
const WAIT_MS: u64 = 15_000;

/// What a trainer is like.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrainerSettings {
    /// Name, as the tenant's declaration has it.
    pub name: String,
    /// Model whose weights it publishes.
    pub model: String,
    /// Time to train on one step.
    pub train_ms: u64,
}

/// A step that a trainer was given.
#[derive(Clone, Debug, PartialEq)]
pub struct DeliveredStep {
    /// Trainer.
    pub trainer: String,
    /// Step.
    pub step: u64,
    /// When it arrived.
    pub at: Time,
    /// Hash of the bytes.
    pub hash: u64,
    /// What it holds.
    pub document: StepDocument,
}

/// What a trainer counts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrainerStats {
    /// Steps committed.
    pub steps: u64,
    /// Time waiting for samples, in seconds.
    pub idle_seconds: f64,
    /// Time training, in seconds.
    pub train_seconds: f64,
    /// Staleness of each sample used, in versions.
    pub staleness: Vec<u64>,
}

impl TrainerStats {
    /// Share of the time spent waiting.
    pub fn idle_share(&self) -> f64 {
        let whole = self.idle_seconds + self.train_seconds;
        if whole > 0.0 {
            self.idle_seconds / whole
        } else {
            0.0
        }
    }

    /// The figures of a report.
    pub fn figures(&self) -> TrainerFigures {
        let count = self.staleness.len().max(1) as f64;
        TrainerFigures {
            steps: self.steps,
            idle_share: self.idle_share(),
            staleness_p50: self.staleness_quantile(0.5),
            staleness_p99: self.staleness_quantile(0.99),
            staleness_mean: self.staleness.iter().sum::<u64>() as f64 / count,
        }
    }

    /// A quantile of staleness.
    pub fn staleness_quantile(&self, quantile: f64) -> u64 {
        let mut sorted = self.staleness.clone();
        sorted.sort_unstable();
        let index = ((sorted.len() as f64 - 1.0) * quantile).max(0.0) as usize;
        sorted.get(index).copied().unwrap_or(0)
    }
}

/// What a trainer got.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrainerFigures {
    /// Steps committed.
    pub steps: u64,
    /// Share of its time spent waiting.
    pub idle_share: f64,
    /// Median staleness, in versions.
    pub staleness_p50: u64,
    /// Staleness of the oldest hundredth.
    pub staleness_p99: u64,
    /// Mean staleness.
    pub staleness_mean: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Fetching,
    Training { until: Time },
    Publishing,
    Committing,
}

/// A trainer.
#[derive(Debug)]
pub struct TrainerModel {
    settings: TrainerSettings,
    phase: Phase,
    step: u64,
    /// Request under way.
    open: Option<u64>,
    next_try: Time,
    next_id: u64,
    node: usize,
    waiting_since: Option<Time>,
    delivered: Vec<DeliveredStep>,
    stats: TrainerStats,
    /// Fetches the first time a step arrives again, to check its bytes.
    refetch_every: u64,
    refetched: bool,
}

impl TrainerModel {
    /// A trainer at its first step; `node` is the node it asks first.
    pub fn new(settings: TrainerSettings, node: usize) -> Self {
        Self {
            settings,
            phase: Phase::Fetching,
            step: 1,
            open: None,
            next_try: Time::default(),
            next_id: 1,
            node,
            waiting_since: None,
            delivered: Vec::new(),
            stats: TrainerStats::default(),
            refetch_every: 4,
            refetched: false,
        }
    }

    /// Name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// Step it works on.
    pub fn step(&self) -> u64 {
        self.step
    }

    /// What it has counted.
    pub fn stats(&self) -> &TrainerStats {
        &self.stats
    }

    /// Time it has waited for the current step.
    pub fn waiting(&self, now: Time) -> Duration {
        self.waiting_since
            .map_or(Duration(0), |since| now.since(since))
    }

    /// Steps given since the last call.
    pub fn take_delivered(&mut self) -> Vec<DeliveredStep> {
        std::mem::take(&mut self.delivered)
    }

    /// The next request, if one is due.
    pub fn poll(&mut self, now: Time) -> Option<ClientRequest> {
        if let Phase::Training { until } = self.phase {
            if now < until {
                return None;
            }
            self.stats.train_seconds += self.settings.train_ms as f64 / 1e3;
            self.phase = Phase::Publishing;
        }
        if self.open.is_some() || now < self.next_try {
            return None;
        }
        self.next_id += 1;
        self.open = Some(self.next_id);
        let (name, step) = (&self.settings.name, self.step);
        let (target, request, timeout) = match self.phase {
            Phase::Fetching => {
                self.waiting_since = self.waiting_since.or(Some(now));
                let path = format!("/trainers/{name}/steps/{step}?wait_ms={WAIT_MS}");
                (
                    Target::Node(self.node),
                    HttpRequest::new("GET", path, ""),
                    FETCH_TIMEOUT,
                )
            }
            Phase::Publishing => {
                let path = format!("/weights/{}/{step}", self.settings.model);
                (
                    Target::Platform,
                    HttpRequest::new("PUT", path, ""),
                    SHORT_TIMEOUT,
                )
            }
            _ => {
                let path = format!("/trainers/{name}/steps/{step}/commit");
                (
                    Target::Node(self.node),
                    HttpRequest::new("POST", path, ""),
                    SHORT_TIMEOUT,
                )
            }
        };
        Some(ClientRequest {
            id: self.next_id,
            target,
            request,
            timeout,
        })
    }

    /// When it next has something to do by itself.
    pub fn next_wake(&self) -> Time {
        match self.phase {
            Phase::Training { until } => until,
            _ => self.next_try,
        }
    }

    /// Takes in the end of a request.
    pub fn on_response(&mut self, now: Time, id: u64, result: Result<WholeResponse, HttpFailure>) {
        if self.open != Some(id) {
            return;
        }
        self.open = None;
        let good = result.ok().filter(|response| response.head.status == 200);
        let Some(response) = good else {
            // Another node may do better.
            self.node += 1;
            self.next_try = now + RETRY;
            return;
        };
        match self.phase {
            Phase::Fetching => self.on_step(now, &response),
            Phase::Publishing => self.phase = Phase::Committing,
            Phase::Committing => {
                self.stats.steps += 1;
                self.step += 1;
                self.refetched = false;
                self.phase = Phase::Fetching;
            }
            Phase::Training { .. } => {}
        }
    }

    fn on_step(&mut self, now: Time, response: &WholeResponse) {
        let Ok(document) = serde_json::from_slice::<StepDocument>(&response.body) else {
            self.next_try = now + RETRY;
            return;
        };
        self.delivered.push(DeliveredStep {
            trainer: self.settings.name.clone(),
            step: self.step,
            at: now,
            hash: hash_bytes(&response.body),
            document: document.clone(),
        });
        // Now and then a trainer restarts between fetch and training and
        // fetches again, from another node; the bytes must be the same.
        if self.step.is_multiple_of(self.refetch_every) && !self.refetched {
            self.refetched = true;
            self.node += 1;
            return;
        }
        let waited = self
            .waiting_since
            .take()
            .map_or(Duration(0), |since| now.since(since));
        self.stats.idle_seconds += waited.as_secs_f64();
        for sample in &document.samples {
            let oldest = sample
                .spans
                .iter()
                .map(|span| span.weights)
                .min()
                .unwrap_or(0);
            self.stats
                .staleness
                .push((self.step - 1).saturating_sub(oldest));
        }
        let length = Duration::from_millis(self.settings.train_ms);
        self.phase = Phase::Training {
            until: now + length,
        };
    }
}
