//! The system against simpler ways of doing its work, on the same seeds.

use peatgrade_models::Deployment;
use peatgrade_routing::SelectorPolicy;
use peatgrade_simulation::{run, RunReport, RunSettings};
use serde::Serialize;
use std::collections::BTreeMap;

use crate::fuzz::{draw_plan, run_settings, FuzzSettings};

/// One way of doing the work.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    /// Name in reports.
    pub name: &'static str,
    /// How engines are chosen.
    pub selector: SelectorPolicy,
    /// Whether a step waits for all of exactly its own samples.
    pub wait_for_all: bool,
}

/// The system itself first, then the baselines.
pub const VARIANTS: [Variant; 4] = [
    Variant {
        name: "current",
        selector: SelectorPolicy::Full,
        wait_for_all: false,
    },
    Variant {
        name: "round-robin, wait for all",
        selector: SelectorPolicy::RoundRobin,
        wait_for_all: true,
    },
    Variant {
        name: "wait for all",
        selector: SelectorPolicy::Full,
        wait_for_all: true,
    },
    Variant {
        name: "least loaded",
        selector: SelectorPolicy::LeastLoaded,
        wait_for_all: false,
    },
];

/// Figures of one variant over all seeds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct VariantReport {
    /// Name.
    pub name: String,
    /// Mean idle share of each trainer.
    pub idle_share: BTreeMap<String, f64>,
    /// Mean staleness of each trainer.
    pub staleness_mean: BTreeMap<String, f64>,
    /// Mean over seeds of the oldest hundredth's staleness.
    pub staleness_p99: BTreeMap<String, f64>,
    /// Steps committed by each trainer.
    pub steps: BTreeMap<String, u64>,
    /// Mean over seeds of each stream's p99 in milliseconds.
    pub p99_ms: BTreeMap<String, f64>,
    /// Requests not answered, by stream.
    pub not_answered: BTreeMap<String, u64>,
    /// Tokens of samples dropped or begun anew.
    pub wasted_tokens: u64,
    /// Samples dropped as too old.
    pub dropped_stale: u64,
}

impl VariantReport {
    fn add(&mut self, report: &RunReport, share: f64) {
        for (name, trainer) in &report.trainers {
            *self.idle_share.entry(name.clone()).or_default() += trainer.idle_share * share;
            *self.staleness_mean.entry(name.clone()).or_default() += trainer.staleness_mean * share;
            *self.staleness_p99.entry(name.clone()).or_default() +=
                trainer.staleness_p99 as f64 * share;
            *self.steps.entry(name.clone()).or_default() += trainer.steps;
        }
        for (name, stream) in &report.streams {
            *self.p99_ms.entry(name.clone()).or_default() += stream.quantile_ms(0.99) * share;
            *self.not_answered.entry(name.clone()).or_default() += stream.not_answered();
        }
        self.wasted_tokens += report.wasted_tokens;
        self.dropped_stale += report.dropped_stale;
    }
}

/// Runs every variant on the same seeds and plans.
pub fn baselines(deployment: &Deployment, settings: &FuzzSettings) -> Vec<VariantReport> {
    let mut reports = Vec::new();
    std::thread::scope(|scope| {
        let handles: Vec<_> = VARIANTS
            .iter()
            .map(|variant| scope.spawn(move || run_variant(deployment, settings, variant)))
            .collect();
        for handle in handles {
            reports.extend(handle.join());
        }
    });
    reports
}

fn run_variant(
    deployment: &Deployment,
    settings: &FuzzSettings,
    variant: &Variant,
) -> VariantReport {
    let mut total = VariantReport {
        name: variant.name.to_string(),
        ..VariantReport::default()
    };
    let share = 1.0 / (settings.end - settings.first) as f64;
    for seed in settings.first..settings.end {
        let plan = draw_plan(deployment, seed, settings);
        let run_settings = RunSettings {
            selector: variant.selector,
            wait_for_all: variant.wait_for_all,
            ..run_settings(seed, settings)
        };
        total.add(&run(deployment, &run_settings, &plan), share);
    }
    total
}
