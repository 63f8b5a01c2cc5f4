//! The mutation check: each deliberate break has to be noticed.

use peatgrade_models::Deployment;
use peatgrade_node_core::Mutation;
use peatgrade_simulation::run;
use serde::Serialize;
use std::collections::BTreeSet;

use crate::fuzz::{draw_plan, run_settings, FuzzSettings};

/// What became of one break.
#[derive(Clone, Debug, Serialize)]
pub struct MutantReport {
    /// The break.
    pub mutation: String,
    /// Seeds run until it was noticed, or in all.
    pub seeds: u64,
    /// Whether it was noticed.
    pub caught: bool,
    /// Promises that the oracle found broken.
    pub promises: Vec<String>,
    /// The first thing that was seen.
    pub first: String,
}

/// Runs seeds with each break until the oracle notices it.
pub fn mutants(deployment: &Deployment, settings: &FuzzSettings) -> Vec<MutantReport> {
    let mut reports = Vec::new();
    std::thread::scope(|scope| {
        let handles: Vec<_> = Mutation::ALL
            .into_iter()
            .map(|mutation| scope.spawn(move || catch(deployment, settings, mutation)))
            .collect();
        for handle in handles {
            reports.extend(handle.join());
        }
    });
    reports
}

fn catch(deployment: &Deployment, settings: &FuzzSettings, mutation: Mutation) -> MutantReport {
    let settings = FuzzSettings {
        mutation: Some(mutation),
        ..settings.clone()
    };
    let mut report = MutantReport {
        mutation: format!("{mutation:?}"),
        seeds: 0,
        caught: false,
        promises: Vec::new(),
        first: String::new(),
    };
    for seed in settings.first..settings.end {
        report.seeds += 1;
        let plan = draw_plan(deployment, seed, &settings);
        let result = run(deployment, &run_settings(seed, &settings), &plan);
        let promises: BTreeSet<String> = result
            .violations
            .iter()
            .map(|violation| format!("{:?}", violation.promise))
            .collect();
        if let Some(first) = result.violations.first() {
            report.caught = true;
            report.promises = promises.into_iter().collect();
            report.first = first.what.chars().take(120).collect();
            break;
        }
    }
    report
}
