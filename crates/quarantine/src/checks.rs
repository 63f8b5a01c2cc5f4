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
const ASK_AGAIN: Duration = Duration::from_millis(300);
/// Times that an engine is asked. One that says nothing for so long is cut off, or its
/// machine is dark: that is no sign of what was run there.
const MAX_ASKED: u32 = 4;
/// Engines checked at once; the rest is not looked into. A fleet of 600 does not lose so
/// many at once but to a fault of the network.
const MAX_CHECKS: usize = 128;
/// Broken runs kept of an engine: it has some tens of places.
const MAX_RUNS: usize = 128;

/// A request whose run broke off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct InterruptedRun {
    pub request: Fingerprint,
    pub retry_scope: RetryScope,
}

#[derive(Clone, Debug)]
struct Check {
    requests: Vec<InterruptedRun>,
    ask_at: Time,
    asked: u32,
}

/// Engines under which runs broke off, until it is known why.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineChecks {
    checks: BTreeMap<Instance, Check>,
}

impl EngineChecks {
    /// A run broke off.
    pub fn record_interrupted_run(&mut self, now: Time, engine: &Instance, run: InterruptedRun) {
        if self.checks.len() >= MAX_CHECKS && !self.checks.contains_key(engine) {
            return;
        }
        let check = self.checks.entry(engine.clone()).or_insert(Check {
            requests: Vec::new(),
            ask_at: now,
            asked: 0,
        });
        if check.requests.len() < MAX_RUNS && !check.requests.contains(&run) {
            check.requests.push(run);
        }
    }

    /// Engines to be asked now.
    pub fn take_due(&mut self, now: Time) -> Vec<Instance> {
        self.checks
            .retain(|_, check| check.asked < MAX_ASKED || now < check.ask_at);
        let due = self
            .checks
            .iter_mut()
            .filter(|(_, check)| now >= check.ask_at);
        let due = due.map(|(engine, check)| {
            check.asked += 1;
            check.ask_at = now + ASK_AGAIN;
            engine.clone()
        });
        due.collect()
    }

    /// It lives: what broke off was a connection.
    pub fn answered(&mut self, engine: &Instance) {
        self.checks.remove(engine);
    }

    /// It is gone: what ran there.
    pub fn gone(&mut self, engine: &Instance) -> Vec<InterruptedRun> {
        let check = self.checks.remove(engine);
        check.map_or_else(Vec::new, |check| check.requests)
    }
}
