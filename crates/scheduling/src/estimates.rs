//! Expected lengths of texts, from those that were finished.

use std::collections::HashMap;

/// Weight of what was seen before when another text is finished: about the last 100 count.
const DECAY: f64 = 0.99;
/// Events per unit of a hint are known from so many texts on: before that one long text
/// among the first would shift all expectations.
const MIN_SAMPLES: f64 = 8.0;
/// A text that has outgrown its expectation goes on for this share of what it has: the
/// lengths of texts have a heavy tail, so the longer one is, the more is still to come.
const OVERRUN_FRACTION: f64 = 0.25;

/// Models whose lengths are kept: more than any service has.
const MAX_MODELS: usize = 256;

/// How many events a text has for each unit of the length that its caller expects, and how
/// far off single texts are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LengthEstimate {
    sample_weight: f64,
    event_sum: f64,
    hint_sum: f64,
    error_sum: f64,
}

impl LengthEstimate {
    /// Takes note of a finished text.
    pub fn record(&mut self, hint: u64, events: usize) {
        if hint == 0 {
            return;
        }
        let events = events as f64;
        let expected = self.expected_events(hint).unwrap_or(events);
        self.sample_weight = self.sample_weight * DECAY + 1.0;
        self.event_sum = self.event_sum * DECAY + events;
        self.hint_sum = self.hint_sum * DECAY + hint as f64;
        self.error_sum = self.error_sum * DECAY + (events - expected).abs();
    }

    /// Events that a text is expected to have; none before enough were finished.
    pub fn expected_events(&self, hint: u64) -> Option<f64> {
        (self.sample_weight >= MIN_SAMPLES).then(|| hint as f64 * self.event_sum / self.hint_sum)
    }

    /// Events that are expected after `made` ones.
    pub fn remaining_events(&self, hint: u64, generated: usize) -> Option<f64> {
        let remaining = self.expected_events(hint)? - generated as f64;
        Some(remaining.max(generated as f64 * OVERRUN_FRACTION).max(1.0))
    }

    /// How far single texts are from what was expected, as a share of it.
    pub fn relative_error(&self) -> f64 {
        if self.event_sum > 0.0 {
            self.error_sum / self.event_sum
        } else {
            0.0
        }
    }
}

/// Lengths of texts by model.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimates(HashMap<String, LengthEstimate>);

impl LengthEstimates {
    /// Takes note of a finished text. Beyond as many models as are kept, one more stays
    /// unknown.
    pub fn record(&mut self, model: &str, hint: u64, events: usize) {
        if let Some(estimate) = self.0.get_mut(model) {
            return estimate.record(hint, events);
        }
        if self.0.len() < MAX_MODELS {
            let mut estimate = LengthEstimate::default();
            estimate.record(hint, events);
            self.0.insert(model.to_string(), estimate);
        }
    }

    /// What is known of a model's texts.
    pub fn get(&self, model: &str) -> Option<&LengthEstimate> {
        self.0.get(model)
    }

    /// How far single texts are from what was expected, as a share of it: the largest of
    /// all models.
    pub fn relative_error(&self) -> f64 {
        let errors = self.0.values().map(LengthEstimate::relative_error);
        errors.fold(0.0, f64::max)
    }
}
