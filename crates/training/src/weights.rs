//! Bringing a new weight version to all engines of a pool.

use peatgrade_types::{Duration, EngineId, Time};
use std::collections::BTreeMap;

/// Longest wait for the last engines to stage before the others activate. An
/// engine that is later gets no new work until it has caught up.
const STAGE_LIMIT: Duration = Duration::from_secs(20);

/// How far an engine is with the wanted version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineProgress {
    /// Nothing heard yet.
    Unknown,
    /// The weights are on the engine, not in use.
    Staged,
    /// In use.
    Active,
}

/// What engines are told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightPhase {
    /// Nothing to roll out.
    Idle,
    /// Copy the weights.
    Staging,
    /// Use them.
    Activating,
}

/// One coordinator's view of the current version's progress.
#[derive(Debug)]
pub struct WeightRollout {
    version: u64,
    started: Time,
    phase: WeightPhase,
    engines: BTreeMap<EngineId, EngineProgress>,
}

impl Default for WeightRollout {
    fn default() -> Self {
        Self {
            version: 0,
            started: Time::default(),
            phase: WeightPhase::Idle,
            engines: BTreeMap::new(),
        }
    }
}

impl WeightRollout {
    /// Version that engines should use in the end.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What engines are told now.
    pub fn phase(&self) -> WeightPhase {
        self.phase
    }

    /// Aims at a version; a lower or equal one changes nothing.
    pub fn aim(&mut self, now: Time, version: u64) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.started = now;
        self.phase = WeightPhase::Staging;
        self.engines.clear();
    }

    /// Takes in an engine's progress with a version.
    pub fn on_progress(&mut self, engine: EngineId, version: u64, progress: EngineProgress) {
        if version == self.version {
            let known = self
                .engines
                .entry(engine)
                .or_insert(EngineProgress::Unknown);
            *known = (*known).max(progress);
        }
    }

    /// Moves on to activation once every engine of the pool has staged, or the
    /// wait for the last ones has run out and at least one has.
    pub fn advance(&mut self, now: Time, pool: &[EngineId]) {
        if self.phase != WeightPhase::Staging || pool.is_empty() {
            return;
        }
        let staged = self.count(pool, EngineProgress::Staged);
        let waited = now.since(self.started) >= STAGE_LIMIT;
        if staged == pool.len() || (waited && staged > 0) {
            self.phase = WeightPhase::Activating;
        }
    }

    /// Engines of the pool that are at least this far.
    pub fn count(&self, pool: &[EngineId], at_least: EngineProgress) -> usize {
        let progress = pool.iter().filter_map(|engine| self.engines.get(engine));
        progress.filter(|known| **known >= at_least).count()
    }
}
