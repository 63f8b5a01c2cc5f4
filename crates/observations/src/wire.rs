//! Conversion of observations to messages and back; timestamps travel as ages.

use peatgrade_ports::{EngineLoad, Instance, StartedAt};
use peatgrade_schema::encoded_size;
use peatgrade_schema::replication::EngineObservation;
use peatgrade_types::{Duration, Time};

use crate::observation::Observation;

/// Maximum size of the observations in one message. With the member list of a reply, the
/// message still fits into one datagram of 1,200 bytes.
pub const MAX_OBSERVATION_BYTES: usize = 800;
/// Age from which on observations are neither sent nor accepted.
pub const MAX_AGE: Duration = Duration::from_millis(10_000);
/// Size of the tag and length prefix of an observation within a message.
const FRAME_BYTES: usize = 3;

/// Converts an observation to a message sent at `now`.
pub fn to_message(now: Time, observation: &Observation) -> EngineObservation {
    let load = observation.load.unwrap_or_default();
    EngineObservation {
        engine: observation.engine.0.clone(),
        started: observation.started.map_or(0, |started| started.0),
        source: observation.source.clone(),
        age: now.since(observation.observed_at).0,
        unreachable: observation.is_unreachable,
        failures: u64::from(observation.failures),
        latency: observation.mean_latency.map_or(0, |latency| latency.0),
        pace: observation
            .event_interval_us
            .map_or(0, |interval| interval as u64),
        has_load: observation.load.is_some(),
        running: u64::from(load.running),
        waiting: u64::from(load.waiting),
        slowdown_percent: u64::from(load.slowdown_percent.unwrap_or(0)),
    }
}

/// Converts a message received at `now`; `None` if it names no engine or source, or is too
/// old.
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
        mean_latency: Some(Duration(message.latency)).filter(|latency| latency.0 > 0),
        event_interval_us: Some(message.pace as f64).filter(|interval| *interval > 0.0),
        load: message.has_load.then(|| EngineLoad {
            running: count(message.running),
            waiting: count(message.waiting),
            slots: 0,
            slowdown_percent: slowdown,
        }),
    })
}

/// Encoded size of an observation as an element of another message.
pub(crate) fn framed_size(message: &EngineObservation) -> usize {
    encoded_size(message) + FRAME_BYTES
}
