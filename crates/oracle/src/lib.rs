//! The nine promises as one single-threaded model.
//!
//! It is fed only with what callers, trainers, engines and operators saw:
//! nothing is asked of the nodes that a user could not see. Each observation
//! is checked against everything before it; [`Oracle::finish`] checks what can
//! only be judged at the end. Both the simulation and the experiments on real
//! processes use it.

mod promise;
mod samples;
mod terms;

pub use promise::{Promise, Violation};
pub use terms::terms_of;

use peatgrade_models::workload::Ending;
use peatgrade_models::{DeliveredStep, Execution, WorkloadEvent};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use samples::SampleLedger;

/// Time in which engines on their way out may still get new work.
pub const LEAVING_GRACE: Duration = Duration::from_secs(6);
/// Time in which an accepted configuration must be in force everywhere.
pub const CONFIG_LIMIT: Duration = Duration::from_secs(5);

/// What is known of one caller's request.
#[derive(Clone, Debug, Default)]
struct RequestView {
    key: Option<String>,
    non_repeatable: bool,
    tries: u32,
    refused_not_run: u32,
    executions: u32,
}

/// Terms under which a trainer's samples are delivered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrainerTerms {
    /// Largest staleness, in versions.
    pub staleness_bound: u64,
    /// Samples in a step.
    pub samples_per_step: usize,
    /// Shortest answer of the pool's engines, to read texts.
    pub shortest_answer: u32,
    /// Longest answer, as the tenant declares it.
    pub max_tokens: u32,
}

/// The model of the promises.
#[derive(Debug, Default)]
pub struct Oracle {
    requests: BTreeMap<String, RequestView>,
    key_executions: BTreeMap<String, Vec<String>>,
    samples: SampleLedger,
    config_seen: BTreeMap<(String, u64), u64>,
    violations: Vec<Violation>,
    /// Observations taken in.
    pub observations: u64,
}

impl Oracle {
    /// A model that has seen nothing.
    pub fn new(terms: BTreeMap<String, TrainerTerms>) -> Self {
        Self {
            samples: SampleLedger::new(terms),
            ..Self::default()
        }
    }

    /// Violations found so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    fn violated(&mut self, at: Time, promise: Promise, what: String) {
        self.violations.push(Violation { at, promise, what });
    }

    /// A caller saw something.
    pub fn on_caller(&mut self, at: Time, event: &WorkloadEvent) {
        self.observations += 1;
        match event {
            WorkloadEvent::Sent {
                request_id,
                key,
                non_repeatable,
            } => {
                let view = self.requests.entry(request_id.clone()).or_default();
                view.key.clone_from(key);
                view.non_repeatable = *non_repeatable;
                view.tries += 1;
            }
            WorkloadEvent::RefusedNotRun { request_id, .. } => {
                let view = self.requests.entry(request_id.clone()).or_default();
                view.refused_not_run += 1;
            }
            WorkloadEvent::Ended {
                request_id, ending, ..
            } => {
                if let Ending::Invalid(status) = ending {
                    // Callers ask only for tenants that were accepted, in the
                    // form that was accepted.
                    let what =
                        format!("{request_id} was told {status}, though its tenant is accepted");
                    self.violated(at, Promise::Configuration, what);
                }
                if let Ending::Wrong(reason) = ending {
                    let what = format!("{request_id}: {reason}");
                    let promise = if reason.starts_with("claims versions") {
                        Promise::Provenance
                    } else {
                        Promise::WholeAnswer
                    };
                    self.violated(at, promise, what);
                }
            }
        }
    }

    /// An engine began to run something.
    pub fn on_execution(&mut self, execution: &Execution) {
        self.observations += 1;
        if let Some(since) = execution.leaving_since {
            if execution.at.since(since) > LEAVING_GRACE {
                let what = format!(
                    "engine {} got {} {} ms after it began to leave",
                    execution.engine.0,
                    execution.request_id,
                    execution.at.since(since).as_millis()
                );
                self.violated(execution.at, Promise::LeavingEngine, what);
            }
        }
        if execution.sample {
            return;
        }
        let view = self
            .requests
            .entry(execution.request_id.clone())
            .or_default();
        view.executions += 1;
        let (once, key) = (view.non_repeatable, view.key.clone());
        if !once {
            return;
        }
        let name = key.unwrap_or_else(|| execution.request_id.clone());
        let runs = self.key_executions.entry(name.clone()).or_default();
        runs.push(execution.engine.0.to_string());
        if runs.len() > 1 {
            let what = format!("{name} ran {} times, on {}", runs.len(), runs.join(", "));
            self.violated(execution.at, Promise::AtMostOnce, what);
        }
    }

    /// A trainer was given a step.
    pub fn on_step(&mut self, step: &DeliveredStep) {
        self.observations += 1;
        let found = self.samples.on_step(step);
        self.violations.extend(found);
    }

    /// A caller lost its connection to a node that stopped as planned.
    pub fn on_cut_by_planned_stop(&mut self, at: Time, what: &str) {
        self.observations += 1;
        self.violated(at, Promise::PlannedStop, what.to_string());
    }

    /// Someone read the configuration number that a life of a node has in
    /// force.
    pub fn on_config_seen(&mut self, at: Time, node: &str, generation: u64, number: u64) {
        self.observations += 1;
        let seen = self
            .config_seen
            .entry((node.to_string(), generation))
            .or_default();
        if number < *seen {
            let what = format!("{node} went from configuration {seen} back to {number}");
            self.violated(at, Promise::Configuration, what);
            return;
        }
        *seen = number;
    }

    /// A node that could have known better had an old configuration in force
    /// longer than allowed after the newer one was accepted.
    pub fn on_config_late(&mut self, at: Time, node: &str, number: u64, accepted: u64) {
        self.observations += 1;
        let what = format!("{node} still has configuration {number}, {accepted} was accepted");
        self.violated(at, Promise::Configuration, what);
    }

    /// Judges what can be judged only when everything has ended.
    pub fn finish(&mut self, at: Time) {
        let lies: Vec<String> = self
            .requests
            .iter()
            .filter(|(_, view)| view.tries > 0 && view.refused_not_run >= view.tries)
            .filter(|(_, view)| view.executions > 0)
            .map(|(id, view)| {
                format!(
                    "{id} was refused as not run and ran {} times",
                    view.executions
                )
            })
            .collect();
        for what in lies {
            self.violated(at, Promise::NotRun, what);
        }
    }
}
