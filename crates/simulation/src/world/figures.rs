//! Figures of a run.

use super::{World, ORIGIN};
use crate::process::Process;
use crate::report::{longest_and_median, RunReport};

impl World {
    /// What came of the run.
    pub fn report(&mut self) -> RunReport {
        let seconds = self.settings.seconds as f64;
        let trainers = self
            .trainers
            .iter()
            .map(|trainer| (trainer.name().to_string(), trainer.stats().figures()));
        let trainers = trainers.collect();
        let statuses = self.statuses();
        let coordinated = || statuses.iter().flat_map(|status| &status.trainers);
        let busiest = |bytes: fn(&Process) -> u64| {
            let most = self.nodes.iter().map(bytes).max().unwrap_or(0);
            most as f64 / self.now.since(ORIGIN).as_secs_f64()
        };
        RunReport {
            seed: self.settings.seed,
            seconds,
            trace: format!("{:016x}", self.trace),
            events: self.events,
            observations: self.oracle.observations,
            violations: self.oracle.violations().to_vec(),
            faults: self.faults.clone(),
            streams: self.streams.clone(),
            trainers,
            wasted_tokens: coordinated().map(|trainer| trainer.wasted_tokens).sum(),
            dropped_stale: coordinated().map(|trainer| trainer.dropped_stale).sum(),
            config_spread_ms: longest_and_median(&self.config_watch.spread),
            weights_spread_ms: longest_and_median(&self.weight_spread),
            store_requests: self.platform.store.requests(),
            peer_bytes_per_second: (
                busiest(|node| node.traffic.bytes_out),
                busiest(|node| node.traffic.bytes_in),
            ),
        }
    }

    /// Bytes in all data folders.
    pub fn stored_bytes(&self) -> u64 {
        self.nodes.iter().map(|node| node.disk.used_bytes()).sum()
    }

    /// What each running node says of itself.
    pub fn statuses(&mut self) -> Vec<peatgrade_node_core::NodeStatus> {
        let cores = self.nodes.iter_mut().filter_map(|node| node.core.as_mut());
        cores.map(|core| core.status()).collect()
    }
}
