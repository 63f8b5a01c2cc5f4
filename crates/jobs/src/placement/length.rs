//! How much of a text is still to come: a distribution learnt from whole texts.
//!
//! Callers guess the length of a text. The guess is right in the median and often far
//! off, and its unit need not be that of events. So what is learnt is the ratio of events
//! made to length guessed, for each model, as a histogram. What has come of a text rules
//! out the shorter lengths.

use std::collections::BTreeMap;

/// Steps of the histogram: from 2^-10 to 2^6 events for each unit of a hint.
const BUCKETS: usize = 48;
/// Steps for each doubling of the ratio: 26 % from one to the next, finer than guesses are.
const BUCKETS_PER_DOUBLING: f64 = 3.0;
/// Doublings from the least ratio to 1.
const DOUBLINGS_BELOW_ONE: f64 = 10.0;
/// Texts that a histogram rests on at most: then all count half, so that it follows
/// callers whose texts change.
const MAX_TEXTS: f64 = 1_024.0;
/// Whole texts from which on the histogram is believed. Short ones end first, so the
/// first few say too little.
const MIN_TEXTS: f64 = 24.0;
/// Events of a text of usual length while nothing is known of a model's texts: a leader that
/// is new learns enough within some seconds.
const DEFAULT_EVENTS: f64 = 20.0;
/// Lengths of texts of which that is the usual one, as a multiple of it, and the share of
/// texts that have them: guesses are right in the median, half of the texts within a
/// factor of 1.4 of it, and one in twelve is several times longer.
const DEFAULT_DISTRIBUTION: [(f64, f64); 5] = [
    (0.5, 0.2),
    (0.75, 0.25),
    (1.0, 0.25),
    (1.6, 0.22),
    (4.0, 0.08),
];
/// Share of texts that are to be no longer than the most that is expected: what is longer
/// is moved to a faster engine once it shows.
const UPPER_QUANTILE: f64 = 0.9;
/// Models that are told apart; texts of further ones are not learnt from.
const MAX_MODELS: usize = 64;
/// What remains of a text that is longer than nearly all before it, as a share of what has
/// come: lengths have a long tail.
const TAIL_FRACTION: f64 = 0.5;
/// Texts, of those learnt from, that must be as long for the histogram to say anything of
/// the rest.
const MIN_LONGER_TEXTS: f64 = 1.0;

/// Events still to come of a text.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemainingEvents {
    /// On average.
    pub mean_events: f64,
    /// At most, for nearly all such texts.
    pub upper_events: f64,
}

/// What is known of the lengths of one model's texts.
#[derive(Clone, Debug)]
pub struct LengthHistogram {
    texts: [f64; BUCKETS],
    total: f64,
    /// Mean of the logarithms of guesses for texts that were handed in, and their number.
    mean_log2_hint: f64,
    hints: f64,
}

impl Default for LengthHistogram {
    fn default() -> Self {
        Self {
            texts: [0.0; BUCKETS],
            total: 0.0,
            mean_log2_hint: 0.0,
            hints: 0.0,
        }
    }
}

impl LengthHistogram {
    /// Takes note of the guess for a text that was handed in.
    pub fn record_hint(&mut self, hint: u64) {
        if hint > 0 {
            self.hints = (self.hints + 1.0).min(MAX_TEXTS);
            self.mean_log2_hint += ((hint as f64).log2() - self.mean_log2_hint) / self.hints;
        }
    }

    /// Takes note of a whole text.
    pub fn record_length(&mut self, hint: u64, events: usize) {
        if hint == 0 || events == 0 {
            return;
        }
        let ratio = events as f64 / hint as f64;
        let bucket = (ratio.log2() + DOUBLINGS_BELOW_ONE) * BUCKETS_PER_DOUBLING;
        let bucket = bucket.clamp(0.0, (BUCKETS - 1) as f64) as usize;
        self.texts[bucket] += 1.0;
        self.total += 1.0;
        if self.total >= MAX_TEXTS {
            self.texts.iter_mut().for_each(|texts| *texts /= 2.0);
            self.total /= 2.0;
        }
    }

    /// Events still to come on average of a text of which `made` have come.
    pub fn remaining_mean(&self, hint: u64, produced: usize) -> f64 {
        let longer = self.remaining_distribution(hint, produced);
        let texts: f64 = longer.iter().map(|(_, texts)| texts).sum();
        if texts < MIN_LONGER_TEXTS {
            return (produced as f64 * TAIL_FRACTION).max(1.0);
        }
        let events: f64 = longer.iter().map(|(rest, texts)| rest * texts).sum();
        events / texts
    }

    /// Events still to come that a `share` of such texts do not exceed.
    pub fn remaining_quantile(&self, hint: u64, produced: usize, share: f64) -> f64 {
        let mean = self.remaining_mean(hint, produced);
        let longer = self.remaining_distribution(hint, produced);
        let texts: f64 = longer.iter().map(|(_, texts)| texts).sum();
        let mut left = texts * share;
        let found = longer.iter().find(|(_, texts)| {
            left -= texts;
            left <= 0.0
        });
        found.map_or(mean, |(rest, _)| *rest)
    }

    /// Lengths longer than `made`: events beyond it, and texts of that length.
    fn remaining_distribution(&self, hint: u64, produced: usize) -> Vec<(f64, f64)> {
        let hint = (hint as f64).max(1.0);
        let lengths: Vec<(f64, f64)> = if self.total < MIN_TEXTS {
            let usual = DEFAULT_EVENTS * hint / self.mean_log2_hint.exp2();
            let spread = DEFAULT_DISTRIBUTION.iter();
            spread
                .map(|(length, share)| (length * usual, share * MIN_TEXTS))
                .collect()
        } else {
            let buckets = self.texts.iter().enumerate();
            let middle =
                |bucket| (bucket as f64 + 0.5) / BUCKETS_PER_DOUBLING - DOUBLINGS_BELOW_ONE;
            buckets
                .map(|(bucket, texts)| (hint * f64::exp2(middle(bucket)), *texts))
                .collect()
        };
        let rests = lengths
            .iter()
            .map(|(length, texts)| (length - produced as f64, *texts));
        rests
            .filter(|(rest, texts)| *rest > 0.0 && *texts > 0.0)
            .collect()
    }
}

/// The same for each model.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimator {
    models: BTreeMap<String, LengthHistogram>,
    /// What is known of texts of any other model: nothing.
    unknown: LengthHistogram,
}

impl LengthEstimator {
    /// Takes note of the guesses for texts of a model that were handed in.
    pub fn record_hints(&mut self, model: &str, hints: impl Iterator<Item = u64>) {
        if let Some(lengths) = self.entry(model) {
            hints.for_each(|hint| lengths.record_hint(hint));
        }
    }

    /// Takes note of a whole text of a model.
    pub fn record_length(&mut self, model: &str, hint: u64, events: usize) {
        if let Some(lengths) = self.entry(model) {
            lengths.record_length(hint, events);
        }
    }

    /// What is expected to come of a model's text of which `made` events have come.
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
