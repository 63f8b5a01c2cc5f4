//! Expected lengths of texts, from those that were finished.

use std::collections::HashMap;

/// Weight of what was seen before when another text is finished: about the last 100 count.
const FADE: f64 = 0.99;
/// Events per unit of a hint are known from so many texts on: before that one long text
/// among the first would shift all expectations.
const LEAST_TEXTS: f64 = 8.0;
/// A text that has outgrown its expectation goes on for this share of what it has: the
/// lengths of texts have a heavy tail, so the longer one is, the more is still to come.
const OUTGROWN_SHARE: f64 = 0.25;

/// Models whose lengths are kept: more than any service has.
const MAX_MODELS: usize = 256;

/// How many events a text has for each unit of the length that its caller expects, and how
/// far off single texts are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LengthEstimate {
    texts: f64,
    events: f64,
    hints: f64,
    off: f64,
}

impl LengthEstimate {
    /// Takes note of a finished text.
    pub fn finished(&mut self, hint: u64, events: usize) {
        if hint == 0 {
            return;
        }
        let events = events as f64;
        let expected = self.expected_events(hint).unwrap_or(events);
        self.texts = self.texts * FADE + 1.0;
        self.events = self.events * FADE + events;
        self.hints = self.hints * FADE + hint as f64;
        self.off = self.off * FADE + (events - expected).abs();
    }

    /// Events that a text is expected to have; none before enough were finished.
    pub fn expected_events(&self, hint: u64) -> Option<f64> {
        (self.texts >= LEAST_TEXTS).then(|| hint as f64 * self.events / self.hints)
    }

    /// Events that are expected after `made` ones.
    pub fn events_left(&self, hint: u64, made: usize) -> Option<f64> {
        let left = self.expected_events(hint)? - made as f64;
        Some(left.max(made as f64 * OUTGROWN_SHARE).max(1.0))
    }

    /// How far single texts are from what was expected, as a share of it.
    pub fn error(&self) -> f64 {
        if self.events > 0.0 {
            self.off / self.events
        } else {
            0.0
        }
    }
}

/// Lengths of texts by model.
#[derive(Clone, Debug, Default)]
pub struct Lengths(HashMap<String, LengthEstimate>);

impl Lengths {
    /// Takes note of a finished text. Beyond as many models as are kept, one more stays
    /// unknown.
    pub fn finished(&mut self, model: &str, hint: u64, events: usize) {
        if let Some(estimate) = self.0.get_mut(model) {
            return estimate.finished(hint, events);
        }
        if self.0.len() < MAX_MODELS {
            let mut estimate = LengthEstimate::default();
            estimate.finished(hint, events);
            self.0.insert(model.to_string(), estimate);
        }
    }

    /// What is known of a model's texts.
    pub fn of(&self, model: &str) -> Option<&LengthEstimate> {
        self.0.get(model)
    }

    /// How far single texts are from what was expected, as a share of it: the largest of
    /// all models.
    pub fn error(&self) -> f64 {
        let errors = self.0.values().map(LengthEstimate::error);
        errors.fold(0.0, f64::max)
    }
}
