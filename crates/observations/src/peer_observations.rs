//! Observations that peers reported of one engine, merged with local evidence.

use peatgrade_ports::{EngineLoad, StartedAt};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeSet;

use crate::observation::Observation;

/// Maximum number of sources kept per engine.
pub const MAX_SOURCES: usize = 4;
/// Validity of a reported failure. Exceeds the longest backoff after which a node retries a
/// failed engine and reports the result.
pub const FAILURE_TTL: Duration = Duration::from_millis(5_000);
/// Validity of a reported load.
const LOAD_TTL: Duration = Duration::from_millis(1_000);
/// Time after a failure within which a response to another node contradicts it; a later
/// response may come from an engine that has recovered.
const CONTRADICTION_WINDOW: Duration = Duration::from_millis(1_000);
/// Number of sources that confirm a failure.
const MIN_FAILING_SOURCES: usize = 2;

/// What this node observed itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalEvidence {
    /// When the engine last answered this node.
    pub last_response: Time,
    /// When it last failed for this node, if it has not answered since.
    pub last_failure: Option<Time>,
}

/// Health of an engine according to peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerHealth {
    /// No peer reports a valid failure.
    #[default]
    Sound,
    /// One node saw it fail, or reports contradict each other.
    Doubtful,
    /// At least two nodes (including this one) saw it fail, and none received a response
    /// since.
    Failing,
}

/// Valid reports of all peers on an engine, combined.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerSummary {
    pub health: PeerHealth,
    /// Age of the newest valid failure.
    pub failure_age: Option<Duration>,
    /// Mean response latency.
    pub mean_latency: Option<Duration>,
    /// Mean time between two events of a generation, in microseconds.
    pub event_interval_us: Option<f64>,
    /// Load of the engine, and when a peer observed it.
    pub load: Option<(Time, EngineLoad)>,
}

/// The latest observation of one engine from each source.
#[derive(Clone, Debug, Default)]
pub struct PeerObservations {
    observations: Vec<Observation>,
    /// Sources whose failure reports are ignored.
    unreliable_sources: BTreeSet<String>,
}

impl PeerObservations {
    /// Adds an observation; returns false if the same source has sent a newer one.
    pub fn insert(&mut self, observation: Observation) -> bool {
        let same = self
            .observations
            .iter()
            .position(|known| known.source == observation.source);
        if let Some(index) = same {
            let before = &self.observations[index];
            if before.started == observation.started && before.observed_at > observation.observed_at
            {
                return false;
            }
            self.observations[index] = observation;
            return true;
        }
        if self.observations.len() >= MAX_SOURCES {
            let oldest = (0..self.observations.len())
                .min_by_key(|index| self.observations[*index].observed_at);
            self.observations.swap_remove(oldest.unwrap_or(0));
        }
        self.observations.push(observation);
        true
    }

    pub fn len(&self) -> usize {
        self.observations.len()
    }

    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    /// Replaces the set of sources whose failure reports are ignored.
    pub fn set_unreliable_sources(&mut self, sources: &BTreeSet<String>) {
        self.unreliable_sources.clear();
        let known = self.observations.iter().map(|known| &known.source);
        let unreliable = known.filter(|source| sources.contains(*source)).cloned();
        self.unreliable_sources.extend(unreliable);
    }

    /// Valid failures from all sources: the source, and whether the engine answered another
    /// node shortly after.
    pub fn failure_reports(
        &self,
        now: Time,
        started: Option<StartedAt>,
        local: LocalEvidence,
    ) -> impl Iterator<Item = (&str, bool)> {
        self.failures(now, started).map(move |failure| {
            let contradicts = |at: Time| {
                at > failure.observed_at && at.since(failure.observed_at) <= CONTRADICTION_WINDOW
            };
            let is_contradicted =
                contradicts(local.last_response) || self.responses(started).any(contradicts);
            (failure.source.as_str(), is_contradicted)
        })
    }

    /// When a peer last saw the engine fail, if that is still valid.
    pub fn last_reported_failure(&self, now: Time, started: Option<StartedAt>) -> Option<Time> {
        self.failures(now, started)
            .map(|failure| failure.observed_at)
            .max()
    }

    /// Combines the reports of all peers with what this node observed.
    pub fn summarize(
        &self,
        now: Time,
        started: Option<StartedAt>,
        local: LocalEvidence,
    ) -> PeerSummary {
        if self.observations.is_empty() {
            return PeerSummary::default();
        }
        let trusted = self
            .failures(now, started)
            .filter(|failure| !self.unreliable_sources.contains(&failure.source));
        // A later local response overrides all reported failures.
        let trusted = trusted.filter(|failure| failure.observed_at > local.last_response);
        let failures: Vec<&Observation> = trusted.collect();
        let last_failure = failures.iter().map(|failure| failure.observed_at).max();
        let failed_locally = local
            .last_failure
            .is_some_and(|at| now.since(at) < FAILURE_TTL && at >= local.last_response);
        let sources = failures.len() + usize::from(failed_locally && !failures.is_empty());
        let is_contradicted = self
            .responses(started)
            .any(|response| last_failure.is_some_and(|failure| response > failure));
        let health = match sources {
            0 => PeerHealth::Sound,
            _ if sources >= MIN_FAILING_SOURCES && !is_contradicted => PeerHealth::Failing,
            _ => PeerHealth::Doubtful,
        };
        let newest = |has: &dyn Fn(&Observation) -> bool| {
            let matching = self.of_incarnation(started).filter(|seen| has(seen));
            matching.max_by_key(|seen| seen.observed_at)
        };
        let loaded = newest(&|seen| seen.load.is_some() && now.since(seen.observed_at) < LOAD_TTL);
        PeerSummary {
            health,
            failure_age: last_failure.map(|at| now.since(at)),
            mean_latency: newest(&|seen| seen.mean_latency.is_some())
                .and_then(|seen| seen.mean_latency),
            event_interval_us: newest(&|seen| seen.event_interval_us.is_some())
                .and_then(|seen| seen.event_interval_us),
            load: loaded.and_then(|seen| Some((seen.observed_at, seen.load?))),
        }
    }

    /// Observations of the incarnation that began at `started`. An unknown start matches any
    /// incarnation.
    fn of_incarnation(&self, started: Option<StartedAt>) -> impl Iterator<Item = &Observation> {
        let all = self.observations.iter();
        all.filter(move |seen| {
            seen.started == started || seen.started.is_none() || started.is_none()
        })
    }

    fn failures(
        &self,
        now: Time,
        started: Option<StartedAt>,
    ) -> impl Iterator<Item = &Observation> {
        let failures = self
            .of_incarnation(started)
            .filter(|seen| seen.indicates_failure());
        failures.filter(move |seen| now.since(seen.observed_at) < FAILURE_TTL)
    }

    fn responses(&self, started: Option<StartedAt>) -> impl Iterator<Item = Time> + '_ {
        let successful = self
            .of_incarnation(started)
            .filter(|seen| !seen.indicates_failure());
        successful.map(|seen| seen.observed_at)
    }
}
