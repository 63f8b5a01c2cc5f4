//! Estimates of text lengths, learned from completed texts.

use std::collections::HashMap;

/// Decay of earlier samples per new sample; the window covers about 100 texts.
const DECAY: f64 = 0.99;
/// Samples needed before an estimate is returned, so that a single long text does not
/// dominate it.
const MIN_SAMPLES: f64 = 8.0;
/// Expected remainder of a text that exceeded its estimate, as a fraction of its current
/// length. Text lengths are heavy-tailed, so the remainder grows with the length.
const OVERRUN_FRACTION: f64 = 0.25;
/// Upper bound of tracked models.
const MAX_MODELS: usize = 256;

/// Exponentially decayed ratio of generated events to the caller's length hint, with the
/// error of past estimates.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LengthEstimate {
    sample_weight: f64,
    event_sum: f64,
    hint_sum: f64,
    error_sum: f64,
}

impl LengthEstimate {
    /// Records the length of a completed text. A hint of 0 carries no information and is
    /// ignored.
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

    /// Expected number of events of a text, or `None` if there are too few samples.
    pub fn expected_events(&self, hint: u64) -> Option<f64> {
        (self.sample_weight >= MIN_SAMPLES).then(|| hint as f64 * self.event_sum / self.hint_sum)
    }

    /// Expected number of events that follow the first `generated` ones.
    pub fn remaining_events(&self, hint: u64, generated: usize) -> Option<f64> {
        let remaining = self.expected_events(hint)? - generated as f64;
        Some(remaining.max(generated as f64 * OVERRUN_FRACTION).max(1.0))
    }

    /// Mean absolute error of the estimates, relative to the mean length.
    pub fn relative_error(&self) -> f64 {
        if self.event_sum > 0.0 {
            self.error_sum / self.event_sum
        } else {
            0.0
        }
    }
}

/// Length estimates by model.
#[derive(Clone, Debug, Default)]
pub struct LengthEstimates(HashMap<String, LengthEstimate>);

impl LengthEstimates {
    /// Records the length of a completed text. New models are ignored once the maximum number
    /// of models is tracked.
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

    /// The estimate of a model, if any of its texts was recorded.
    pub fn get(&self, model: &str) -> Option<&LengthEstimate> {
        self.0.get(model)
    }

    /// The largest relative error over all models.
    pub fn relative_error(&self) -> f64 {
        let errors = self.0.values().map(LengthEstimate::relative_error);
        errors.fold(0.0, f64::max)
    }
}
