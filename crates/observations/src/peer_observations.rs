//! What others told of one engine, joined with what was seen here.

use peatgrade_ports::{EngineLoad, StartedAt};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeSet;

use crate::observation::Observation;

/// Sources kept for one engine: two make a failure sure, and two more may differ.
pub const MAX_SOURCES: usize = 4;
/// Time in which a failure that was told counts: a machine tries an engine that failed
/// again after 4 s at most, and tells what it finds.
pub const FAILURE_TTL: Duration = Duration::from_millis(5_000);
/// Time in which a load that was told counts, as long as one that the engine told here.
const LOAD_FADE: Duration = Duration::from_millis(1_000);
/// Time after a failure in which an answer to another machine refutes it: later, the
/// engine may have come back.
const REFUTED_WITHIN: Duration = Duration::from_millis(1_000);
/// Sources that make a failure sure.
const SURE: usize = 2;

/// What this machine has seen itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalEvidence {
    /// When the engine last answered here.
    pub last_response: Time,
    /// When it last failed here, if it has not answered since.
    pub last_failure: Option<Time>,
}

/// Whether requests go to an engine, as far as others told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerHealth {
    /// Nothing speaks against it.
    #[default]
    Sound,
    /// One machine saw it fail, or machines differ.
    Doubtful,
    /// Two machines saw it fail, this one among them or not, and none an answer since.
    Failing,
}

/// What others told of an engine, as far as it counts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerSummary {
    /// Whether requests go there.
    pub health: PeerHealth,
    /// Age of the newest failure that counts.
    pub failure_age: Option<Duration>,
    /// Usual time of an answer.
    pub mean_latency: Option<Duration>,
    /// Usual time between two events of a generation, in microseconds.
    pub event_interval_us: Option<f64>,
    /// Load of the engine, and when another machine heard of it.
    pub load: Option<(Time, EngineLoad)>,
}

/// What others told of one engine, the newest of each source.
#[derive(Clone, Debug, Default)]
pub struct PeerObservations {
    told: Vec<Observation>,
    /// Sources whose reports of failures do not count.
    discredited: BTreeSet<String>,
}

impl PeerObservations {
    /// Takes an observation; false if the same source has told a newer one.
    pub fn insert(&mut self, observation: Observation) -> bool {
        let same = self
            .told
            .iter()
            .position(|told| told.source == observation.source);
        if let Some(index) = same {
            let before = &self.told[index];
            if before.started == observation.started && before.observed_at > observation.observed_at
            {
                return false;
            }
            self.told[index] = observation;
            return true;
        }
        if self.told.len() >= MAX_SOURCES {
            let oldest = (0..self.told.len()).min_by_key(|index| self.told[*index].observed_at);
            self.told.swap_remove(oldest.unwrap_or(0));
        }
        self.told.push(observation);
        true
    }

    /// Observations kept.
    pub fn len(&self) -> usize {
        self.told.len()
    }

    /// Whether nothing was told.
    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// Does not count failures of these sources from now on.
    pub fn set_unreliable_sources(&mut self, sources: &BTreeSet<String>) {
        self.discredited.clear();
        let told = self.told.iter().map(|told| &told.source);
        let bad = told.filter(|source| sources.contains(*source)).cloned();
        self.discredited.extend(bad);
    }

    /// Failures that still count, whoever told them: source, and whether the engine
    /// answered another machine right after.
    pub fn failure_reports(
        &self,
        now: Time,
        life: Option<StartedAt>,
        own: LocalEvidence,
    ) -> impl Iterator<Item = (&str, bool)> {
        self.failures(now, life).map(move |failure| {
            let refutes = |at: Time| {
                at > failure.observed_at && at.since(failure.observed_at) <= REFUTED_WITHIN
            };
            let is_refuted = refutes(own.last_response) || self.answers(life).any(refutes);
            (failure.source.as_str(), is_refuted)
        })
    }

    /// When another machine last saw it fail, if that still counts.
    pub fn last_reported_failure(&self, now: Time, life: Option<StartedAt>) -> Option<Time> {
        self.failures(now, life)
            .map(|failure| failure.observed_at)
            .max()
    }

    /// What it all says together, beside what was seen here.
    pub fn summarize(&self, now: Time, life: Option<StartedAt>, own: LocalEvidence) -> PeerSummary {
        if self.told.is_empty() {
            return PeerSummary::default();
        }
        let believed = self
            .failures(now, life)
            .filter(|told| !self.discredited.contains(&told.source));
        // What was seen here later outweighs all that was told.
        let believed = believed.filter(|told| told.observed_at > own.last_response);
        let against: Vec<&Observation> = believed.collect();
        let last_failure = against.iter().map(|told| told.observed_at).max();
        let own_failed = own
            .last_failure
            .is_some_and(|at| now.since(at) < FAILURE_TTL && at >= own.last_response);
        let sources = against.len() + usize::from(own_failed && !against.is_empty());
        let is_refuted = self
            .answers(life)
            .any(|answer| last_failure.is_some_and(|failure| answer > failure));
        let standing = match sources {
            0 => PeerHealth::Sound,
            _ if sources >= SURE && !is_refuted => PeerHealth::Failing,
            _ => PeerHealth::Doubtful,
        };
        let newest = |has: &dyn Fn(&Observation) -> bool| {
            let told = self.of_life(life).filter(|told| has(told));
            told.max_by_key(|told| told.observed_at)
        };
        let loaded = newest(&|told| told.load.is_some() && now.since(told.observed_at) < LOAD_FADE);
        PeerSummary {
            health: standing,
            failure_age: last_failure.map(|at| now.since(at)),
            mean_latency: newest(&|told| told.mean_latency.is_some())
                .and_then(|told| told.mean_latency),
            event_interval_us: newest(&|told| told.event_interval_us.is_some())
                .and_then(|told| told.event_interval_us),
            load: loaded.and_then(|told| Some((told.observed_at, told.load?))),
        }
    }

    /// Of the engine's present life; what does not name a life counts for any.
    fn of_life(&self, life: Option<StartedAt>) -> impl Iterator<Item = &Observation> {
        let told = self.told.iter();
        told.filter(move |told| told.started == life || told.started.is_none() || life.is_none())
    }

    fn failures(&self, now: Time, life: Option<StartedAt>) -> impl Iterator<Item = &Observation> {
        let told = self.of_life(life).filter(|told| told.indicates_failure());
        told.filter(move |told| now.since(told.observed_at) < FAILURE_TTL)
    }

    fn answers(&self, life: Option<StartedAt>) -> impl Iterator<Item = Time> + '_ {
        let sound = self.of_life(life).filter(|told| !told.indicates_failure());
        sound.map(|told| told.observed_at)
    }
}
