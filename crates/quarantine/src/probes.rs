//! Liveness probes of engines whose runs were interrupted.
//!
//! A reset connection, a lost response and a crash look the same to the client. A probe of the
//! engine's address distinguishes them: the engine responds, the connection is refused, or
//! another instance responds.

use peatgrade_ports::Instance;
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::fingerprint::Fingerprint;
use crate::ledger::RetryScope;

/// Interval between probes of an engine that does not respond.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of probes per engine. An engine that responds to none of them is unreachable,
/// which is no evidence against the requests that it ran.
const MAX_PROBES_PER_ENGINE: u32 = 4;
/// Maximum number of engines probed at the same time. Runs on further engines are ignored, since
/// interruptions at so many engines indicate a network failure.
const MAX_PROBED_ENGINES: usize = 128;
/// Maximum number of interrupted runs kept per engine.
const MAX_RUNS_PER_ENGINE: usize = 128;

/// A request whose run was interrupted.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct InterruptedRun {
    pub request: Fingerprint,
    pub retry_scope: RetryScope,
}

#[derive(Clone, Debug)]
struct EngineProbe {
    runs: Vec<InterruptedRun>,
    next_probe_at: Time,
    probes_sent: u32,
}

/// Engines with interrupted runs whose cause is not known yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineProbes {
    probes: BTreeMap<Instance, EngineProbe>,
}

impl EngineProbes {
    /// Records an interrupted run and schedules a probe of its engine.
    pub fn record_interrupted_run(&mut self, now: Time, engine: &Instance, run: InterruptedRun) {
        if self.probes.len() >= MAX_PROBED_ENGINES && !self.probes.contains_key(engine) {
            return;
        }
        let probe = self.probes.entry(engine.clone()).or_insert(EngineProbe {
            runs: Vec::new(),
            next_probe_at: now,
            probes_sent: 0,
        });
        if probe.runs.len() < MAX_RUNS_PER_ENGINE && !probe.runs.contains(&run) {
            probe.runs.push(run);
        }
    }

    /// Takes the engines that are due for a probe, and drops those that never responded.
    pub fn take_due(&mut self, now: Time) -> Vec<Instance> {
        self.probes.retain(|_, probe| {
            probe.probes_sent < MAX_PROBES_PER_ENGINE || now < probe.next_probe_at
        });
        let due = self
            .probes
            .iter_mut()
            .filter(|(_, probe)| now >= probe.next_probe_at);
        let due = due.map(|(engine, probe)| {
            probe.probes_sent += 1;
            probe.next_probe_at = now + PROBE_INTERVAL;
            engine.clone()
        });
        due.collect()
    }

    /// Removes an engine whose interrupted runs were not caused by a crash.
    pub fn remove(&mut self, engine: &Instance) {
        self.probes.remove(engine);
    }

    /// Removes an engine that crashed and returns its interrupted runs.
    pub fn take_runs(&mut self, engine: &Instance) -> Vec<InterruptedRun> {
        let probe = self.probes.remove(engine);
        probe.map_or_else(Vec::new, |probe| probe.runs)
    }
}
