//! Estimates the remaining events of a text from the lengths of complete texts.
//!
//! Callers submit a length hint with an item. Hints are imprecise and their unit need not
//! be events, so the estimator keeps a histogram of the ratio of events to hint for each
//! model. The events already produced rule out the shorter lengths.

use std::collections::BTreeMap;

/// Buckets of the histogram: from 2^-10 to 2^6 events per unit of the hint.
const BUCKETS: usize = 48;
const BUCKETS_PER_DOUBLING: f64 = 3.0;
/// Doublings from the lowest bucket's ratio to 1.
const DOUBLINGS_BELOW_ONE: f64 = 10.0;
/// Total weight at which all weights of a histogram are halved, so that it adapts to
/// changing lengths.
const MAX_WEIGHT: f64 = 1_024.0;
/// Number of complete texts before a histogram is used. The first texts to complete are
/// biased towards short ones.
const MIN_TEXTS: f64 = 24.0;
/// Events of a text with the mean hint, before a model's histogram is used.
const DEFAULT_EVENTS: f64 = 20.0;
/// Distribution of lengths before a model's histogram is used: multiple of the expected
/// length, and share of texts.
const DEFAULT_DISTRIBUTION: [(f64, f64); 5] = [
    (0.5, 0.2),
    (0.75, 0.25),
    (1.0, 0.25),
    (1.6, 0.22),
    (4.0, 0.08),
];
/// Quantile of the remaining length that is reported as its upper bound. Longer texts are moved to
/// a faster engine once they show.
const UPPER_QUANTILE: f64 = 0.9;
/// Maximum number of models with a histogram; texts of further models are not recorded.
const MAX_MODELS: usize = 64;
/// Remaining length of a text longer than nearly all recorded ones, as a fraction of its
/// length so far.
const TAIL_FRACTION: f64 = 0.5;
/// Minimum weight of recorded texts that are longer than a text for estimating its
/// remaining length from them.
const MIN_LONGER_WEIGHT: f64 = 1.0;

/// Estimated remaining events of a text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemainingEvents {
    pub mean_events: f64,
    /// Upper bound for nearly all such texts.
    pub upper_events: f64,
}

/// Histogram of the events per unit of hint of one model's texts.
#[derive(Clone, Debug)]
pub struct LengthHistogram {
    weights: [f64; BUCKETS],
    total_weight: f64,
    /// Mean of the base-2 logarithms of the hints of submitted items.
    mean_log2_hint: f64,
    hint_count: f64,
}

impl Default for LengthHistogram {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKETS],
            total_weight: 0.0,
            mean_log2_hint: 0.0,
            hint_count: 0.0,
        }
    }
}

impl LengthHistogram {
    /// Records the hint of a submitted item.
    pub fn record_hint(&mut self, hint: u64) {
        if hint > 0 {
            self.hint_count = (self.hint_count + 1.0).min(MAX_WEIGHT);
            self.mean_log2_hint += ((hint as f64).log2() - self.mean_log2_hint) / self.hint_count;
        }
    }

    /// Records the number of events of a complete text.
    pub fn record_length(&mut self, hint: u64, events: usize) {
        if hint == 0 || events == 0 {
            return;
        }
        let ratio = events as f64 / hint as f64;
        let bucket = (ratio.log2() + DOUBLINGS_BELOW_ONE) * BUCKETS_PER_DOUBLING;
        let bucket = bucket.clamp(0.0, (BUCKETS - 1) as f64) as usize;
        self.weights[bucket] += 1.0;
        self.total_weight += 1.0;
        if self.total_weight >= MAX_WEIGHT {
            self.weights.iter_mut().for_each(|weight| *weight /= 2.0);
            self.total_weight /= 2.0;
        }
    }

    /// Mean remaining events of a text with `produced` events.
    pub fn remaining_mean(&self, hint: u64, produced: usize) -> f64 {
        let longer = self.remaining_distribution(hint, produced);
        let weight: f64 = longer.iter().map(|(_, weight)| weight).sum();
        if weight < MIN_LONGER_WEIGHT {
            return (produced as f64 * TAIL_FRACTION).max(1.0);
        }
        let events: f64 = longer.iter().map(|(events, weight)| events * weight).sum();
        events / weight
    }

    /// Remaining events that a fraction `quantile` of such texts does not exceed.
    pub fn remaining_quantile(&self, hint: u64, produced: usize, quantile: f64) -> f64 {
        let mean = self.remaining_mean(hint, produced);
        let longer = self.remaining_distribution(hint, produced);
        let weight: f64 = longer.iter().map(|(_, weight)| weight).sum();
        let mut weight_left = weight * quantile;
        let found = longer.iter().find(|(_, weight)| {
            weight_left -= weight;
            weight_left <= 0.0
        });
        found.map_or(mean, |(events, _)| *events)
    }

    /// Distribution of the events beyond `produced`: events and weight.
    fn remaining_distribution(&self, hint: u64, produced: usize) -> Vec<(f64, f64)> {
        let hint = (hint as f64).max(1.0);
        let lengths: Vec<(f64, f64)> = if self.total_weight < MIN_TEXTS {
            let expected = DEFAULT_EVENTS * hint / self.mean_log2_hint.exp2();
            let distribution = DEFAULT_DISTRIBUTION.iter();
            distribution
                .map(|(multiple, share)| (multiple * expected, share * MIN_TEXTS))
                .collect()
        } else {
            let buckets = self.weights.iter().enumerate();
            let log2_ratio =
                |bucket| (bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING - DOUBLINGS_BELOW_ONE;
            buckets
                .map(|(bucket, weight)| (hint * f64::exp2(log2_ratio(bucket)), *weight))
                .collect()
        };
        let remaining = lengths
            .iter()
            .map(|(length, weight)| (length - produced as f64, *weight));
        remaining
            .filter(|(events, weight)| *events > 0.0 && *weight > 0.0)
            .collect()
    }
}

/// Estimates remaining lengths from one histogram per model.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimator {
    models: BTreeMap<String, LengthHistogram>,
    /// Empty histogram for models without recorded texts.
    unknown: LengthHistogram,
}

impl LengthEstimator {
    /// Records the hints of submitted items of a model.
    pub fn record_hints(&mut self, model: &str, hints: impl Iterator<Item = u64>) {
        if let Some(lengths) = self.entry(model) {
            hints.for_each(|hint| lengths.record_hint(hint));
        }
    }

    /// Records the number of events of a model's complete text.
    pub fn record_length(&mut self, model: &str, hint: u64, events: usize) {
        if let Some(lengths) = self.entry(model) {
            lengths.record_length(hint, events);
        }
    }

    /// Estimates the remaining events of a model's text with `produced` events.
    pub fn remaining(&self, model: &str, hint: u64, produced: usize) -> RemainingEvents {
        let lengths = self.models.get(model).unwrap_or(&self.unknown);
        RemainingEvents {
            mean_events: lengths.remaining_mean(hint, produced),
            upper_events: lengths.remaining_quantile(hint, produced, UPPER_QUANTILE),
        }
    }

    fn entry(&mut self, model: &str) -> Option<&mut LengthHistogram> {
        if !self.models.contains_key(model) {
            if self.models.len() >= MAX_MODELS {
                return None;
            }
            self.models
                .insert(model.to_string(), LengthHistogram::default());
        }
        self.models.get_mut(model)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/placement/length.rs"]
mod tests;
