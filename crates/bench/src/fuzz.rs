//! Many simulated runs with drawn faults; failures are shrunk.

use peatgrade_models::Deployment;
use peatgrade_node_core::Mutation;
use peatgrade_simulation::{run, FaultPlan, PlanSettings, RunReport, RunSettings};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Which runs to make.
#[derive(Clone, Debug)]
pub struct FuzzSettings {
    /// First seed.
    pub first: u64,
    /// Seed after the last one.
    pub end: u64,
    /// Seconds of traffic in each run.
    pub seconds: u64,
    /// Faults in each run.
    pub faults: usize,
    /// Threads; each makes one run at a time.
    pub threads: usize,
    /// A deliberate break.
    pub mutation: Option<Mutation>,
    /// Stop after the first run that breaks a promise.
    pub stop_at_first: bool,
}

/// A run that broke a promise, with the smallest plan that still does.
#[derive(Clone, Debug, Serialize)]
pub struct Failure {
    /// Seed.
    pub seed: u64,
    /// Broken promises of the run as drawn.
    pub violations: Vec<String>,
    /// Faults left after shrinking.
    pub shrunk: FaultPlan,
    /// Command that makes the run again.
    pub replay: String,
}

/// What came of all runs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FuzzReport {
    /// Runs made.
    pub runs: u64,
    /// Simulated hours.
    pub simulated_hours: f64,
    /// Observations that the oracle checked.
    pub observations: u64,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Requests of callers by how they ended.
    pub endings: BTreeMap<String, u64>,
    /// Training steps committed.
    pub steps: u64,
    /// Runs that broke a promise.
    pub failures: Vec<Failure>,
}

/// Settings of one run.
pub fn run_settings(seed: u64, settings: &FuzzSettings) -> RunSettings {
    RunSettings {
        seed,
        seconds: settings.seconds,
        mutation: settings.mutation,
        ..RunSettings::default()
    }
}

/// The plan that a seed draws.
pub fn draw_plan(deployment: &Deployment, seed: u64, settings: &FuzzSettings) -> FaultPlan {
    let plan = PlanSettings {
        from_ms: 15_000,
        until_ms: settings.seconds * 1_000 * 8 / 10,
        steps: settings.faults,
    };
    FaultPlan::draw(deployment, seed, &plan)
}

impl FuzzReport {
    fn add(&mut self, report: &RunReport) {
        self.runs += 1;
        self.simulated_hours += report.seconds / 3_600.0;
        self.observations += report.observations;
        for (kind, count) in &report.faults {
            *self.faults.entry(kind.clone()).or_default() += count;
        }
        for stream in report.streams.values() {
            for (ending, count) in &stream.endings {
                *self.endings.entry(ending.clone()).or_default() += count;
            }
        }
        self.steps += report
            .trainers
            .values()
            .map(|trainer| trainer.steps)
            .sum::<u64>();
    }
}

/// Makes all runs; `progress` is told the seed of each finished run and
/// whether it kept every promise.
pub fn fuzz(
    deployment: &Deployment,
    settings: &FuzzSettings,
    progress: impl Fn(u64, bool) + Send + Sync,
) -> FuzzReport {
    let next = AtomicU64::new(settings.first);
    let total = Arc::new(Mutex::new(FuzzReport::default()));
    std::thread::scope(|scope| {
        for _ in 0..settings.threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= settings.end {
                    return;
                }
                let plan = draw_plan(deployment, seed, settings);
                let report = run(deployment, &run_settings(seed, settings), &plan);
                progress(seed, report.violations.is_empty());
                let failure = (!report.violations.is_empty())
                    .then(|| shrink(deployment, seed, settings, plan, &report));
                let mut total = total
                    .lock()
                    .unwrap_or_else(|poisoned| poisoned.into_inner());
                total.add(&report);
                if let Some(failure) = failure {
                    total.failures.push(failure);
                    if settings.stop_at_first {
                        next.store(settings.end, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let mut report = total
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
        .clone();
    report.failures.sort_by_key(|failure| failure.seed);
    report
}

/// Leaves faults out as long as the same promise is still broken.
fn shrink(
    deployment: &Deployment,
    seed: u64,
    settings: &FuzzSettings,
    mut plan: FaultPlan,
    report: &RunReport,
) -> Failure {
    let promise = report.violations[0].promise;
    let mut index = 0;
    while index < plan.steps.len() && settings.mutation.is_none() {
        let smaller = plan.without(index);
        let again = run(deployment, &run_settings(seed, settings), &smaller);
        if again
            .violations
            .iter()
            .any(|violation| violation.promise == promise)
        {
            plan = smaller;
        } else {
            index += 1;
        }
    }
    let violations = report
        .violations
        .iter()
        .map(|violation| violation.to_string());
    Failure {
        seed,
        violations: violations.take(20).collect(),
        shrunk: plan,
        replay: format!(
            "peatgrade bench fuzz --seeds {seed}..{} --seconds {} --faults {} <deployment>",
            seed + 1,
            settings.seconds,
            settings.faults
        ),
    }
}
