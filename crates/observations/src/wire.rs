//! Observations as messages: a time becomes an age and back.

use peatgrade_ports::{EngineLoad, Instance, StartedAt};
use peatgrade_schema::encoded_size;
use peatgrade_schema::replication::EngineObservation;
use peatgrade_types::{Duration, Time};

use crate::observation::Observation;

/// Bytes of observations in one message: with the members that a reply names beside them,
/// some 300 bytes, it stays one datagram of 1,200. Some 20 engines fit.
pub const MAX_OBSERVATION_BYTES: usize = 800;
/// Age from which on nothing is told or taken: all that it could say has faded.
pub const MAX_AGE: Duration = Duration::from_millis(10_000);
/// Bytes of a tag and a length before each observation in a message.
const FRAME_BYTES: usize = 3;

/// The message for an observation that is sent now.
pub fn to_message(now: Time, observation: &Observation) -> EngineObservation {
    let load = observation.load.unwrap_or_default();
    EngineObservation {
        engine: observation.engine.0.clone(),
        started: observation.started.map_or(0, |started| started.0),
        source: observation.source.clone(),
        age: now.since(observation.observed_at).0,
        unreachable: observation.is_unreachable,
        failures: u64::from(observation.failures),
        latency: observation.mean_latency.map_or(0, |usual| usual.0),
        pace: observation.event_interval_us.map_or(0, |pace| pace as u64),
        has_load: observation.load.is_some(),
        running: u64::from(load.running),
        waiting: u64::from(load.waiting),
        slowdown_percent: u64::from(load.slowdown_percent.unwrap_or(0)),
    }
}

/// An observation that came now; none if it names no engine or source, or is too old.
pub fn from_message(now: Time, message: &EngineObservation) -> Option<Observation> {
    let is_named = !message.engine.is_empty() && !message.source.is_empty();
    if !is_named || message.age >= MAX_AGE.0 {
        return None;
    }
    let count = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
    let slowdown = Some(count(message.slowdown_percent)).filter(|percent| *percent > 0);
    Some(Observation {
        engine: Instance(message.engine.clone()),
        started: Some(message.started)
            .filter(|started| *started > 0)
            .map(StartedAt),
        source: message.source.clone(),
        observed_at: Time(now.0.saturating_sub(message.age)),
        is_unreachable: message.unreachable,
        failures: count(message.failures),
        mean_latency: Some(Duration(message.latency)).filter(|usual| usual.0 > 0),
        event_interval_us: Some(message.pace as f64).filter(|pace| *pace > 0.0),
        load: message.has_load.then(|| EngineLoad {
            running: count(message.running),
            waiting: count(message.waiting),
            slots: 0,
            slowdown_percent: slowdown,
        }),
    })
}

/// Bytes that a message takes within another one.
pub(crate) fn framed_size(message: &EngineObservation) -> usize {
    encoded_size(message) + FRAME_BYTES
}
