//! Steps given to trainers: provenance, staleness, exactly once.

use peatgrade_models::{text, DeliveredStep};
use peatgrade_schema::engine::StepSample;
use peatgrade_schema::peer::Span;
use std::collections::BTreeMap;

use crate::promise::{Promise, Violation};
use crate::TrainerTerms;

/// Steps and samples seen by all trainers.
#[derive(Debug, Default)]
pub(crate) struct SampleLedger {
    terms: BTreeMap<String, TrainerTerms>,
    /// Hash of each step's bytes.
    steps: BTreeMap<(String, u64), u64>,
    /// Step of each sample.
    used: BTreeMap<(String, String), u64>,
    /// Step of each sample's text, to find one sample under two names.
    texts: BTreeMap<(String, String), String>,
}

impl SampleLedger {
    pub fn new(terms: BTreeMap<String, TrainerTerms>) -> Self {
        Self {
            terms,
            ..Self::default()
        }
    }

    pub fn on_step(&mut self, step: &DeliveredStep) -> Vec<Violation> {
        let mut found = Vec::new();
        let key = (step.trainer.clone(), step.step);
        if let Some(hash) = self.steps.get(&key) {
            if *hash != step.hash {
                found.push(violation(
                    step,
                    Promise::ExactlyOnce,
                    "the same step has other bytes".into(),
                ));
            }
            return found;
        }
        self.steps.insert(key, step.hash);
        let Some(terms) = self.terms.get(&step.trainer).cloned() else {
            return found;
        };
        let count = step.document.samples.len();
        if count != terms.samples_per_step {
            let what = format!("{count} samples instead of {}", terms.samples_per_step);
            found.push(violation(step, Promise::ExactlyOnce, what));
        }
        for sample in &step.document.samples {
            self.check_once(step, sample, &mut found);
            check_truth(step, sample, &terms, &mut found);
        }
        found
    }

    fn check_once(
        &mut self,
        step: &DeliveredStep,
        sample: &StepSample,
        found: &mut Vec<Violation>,
    ) {
        let key = (step.trainer.clone(), sample.sample.clone());
        if let Some(earlier) = self.used.insert(key, step.step) {
            let what = format!("sample {} was in step {earlier} already", sample.sample);
            found.push(violation(step, Promise::ExactlyOnce, what));
        }
        let key = (step.trainer.clone(), sample.text.clone());
        if let Some(other) = self.texts.insert(key, sample.sample.clone()) {
            if other != sample.sample {
                let what = format!("samples {other} and {} are the same text", sample.sample);
                found.push(violation(step, Promise::ExactlyOnce, what));
            }
        }
    }
}

/// Compares what a sample says of itself with what its text shows.
fn check_truth(
    step: &DeliveredStep,
    sample: &StepSample,
    terms: &TrainerTerms,
    found: &mut Vec<Violation>,
) {
    let seed = u64::from_str_radix(&sample.sample, 16).unwrap_or(0);
    let expected = text::expected(
        &sample.prompt,
        seed,
        terms.shortest_answer,
        terms.max_tokens,
    );
    let truth = match text::check(&sample.text, &expected) {
        Ok(truth) => truth,
        Err(error) => {
            let what = format!("sample {}: {error}", sample.sample);
            return found.push(violation(step, Promise::WholeAnswer, what));
        }
    };
    let claimed: Vec<Span> = sample
        .spans
        .iter()
        .map(|span| Span {
            weights: span.weights,
            tokens: span.tokens,
        })
        .collect();
    if claimed != truth {
        let what = format!("sample {} claims {claimed:?}, has {truth:?}", sample.sample);
        found.push(violation(step, Promise::Provenance, what));
    }
    let oldest = truth.iter().map(|span| span.weights).min().unwrap_or(0);
    let staleness = (step.step - 1).saturating_sub(oldest);
    if staleness > terms.staleness_bound {
        let what = format!(
            "sample {} is {staleness} versions old, {} are allowed",
            sample.sample, terms.staleness_bound
        );
        found.push(violation(step, Promise::Staleness, what));
    }
}

fn violation(step: &DeliveredStep, promise: Promise, what: String) -> Violation {
    Violation {
        at: step.at,
        promise,
        what: format!("{} step {}: {what}", step.trainer, step.step),
    }
}
