//! Whether an engine is still there after a run on it broke off.
//!
//! A reset link, an answer that was lost and a crash look the same from the connection.
//! Only the engine's address tells them apart: it answers, or nobody listens there any
//! more, or another instance does.

use peatgrade_ports::Instance;
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::fingerprint::Fingerprint;
use crate::ledger::RetryScope;

/// Pause before an engine is asked again that said nothing.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Times that an engine is asked. One that says nothing for so long is cut off, or its
/// machine is dark: that is no sign of what was run there.
const MAX_PROBES_PER_ENGINE: u32 = 4;
/// Engines checked at once; the rest is not looked into. A fleet of 600 does not lose so
/// many at once but to a fault of the network.
const MAX_PROBED_ENGINES: usize = 128;
/// Broken runs kept of an engine: it has some tens of places.
const MAX_RUNS_PER_ENGINE: usize = 128;

/// A request whose run broke off.
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

/// Engines under which runs broke off, until it is known why.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineProbes {
    probes: BTreeMap<Instance, EngineProbe>,
}

impl EngineProbes {
    /// A run broke off.
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

    /// Engines to be asked now.
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

    /// It lives: what broke off was a connection.
    pub fn remove(&mut self, engine: &Instance) {
        self.probes.remove(engine);
    }

    /// It is gone: what ran there.
    pub fn take_runs(&mut self, engine: &Instance) -> Vec<InterruptedRun> {
        let probe = self.probes.remove(engine);
        probe.map_or_else(Vec::new, |probe| probe.runs)
    }
}
