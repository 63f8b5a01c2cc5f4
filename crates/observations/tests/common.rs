//! Builders of observations for tests.

use peatgrade_observations::Observation;
use peatgrade_ports::{EngineLoad, Instance};
use peatgrade_types::{Duration, Time};

#[allow(dead_code)]
pub const NOW: Time = Time(100_000_000);

#[allow(dead_code)]
pub fn before(millis: u64) -> Time {
    Time(NOW.0 - millis * 1_000)
}

#[allow(dead_code)]
pub fn after(millis: u64) -> Time {
    NOW + Duration::from_millis(millis)
}

/// An engine that answered `source` at `observed_at`.
#[allow(dead_code)]
pub fn answered(engine: &str, source: &str, observed_at: Time) -> Observation {
    Observation {
        engine: Instance(engine.into()),
        source: source.into(),
        observed_at,
        ..Observation::default()
    }
}

/// An engine that failed `source` at `observed_at`.
#[allow(dead_code)]
pub fn failed(engine: &str, source: &str, observed_at: Time) -> Observation {
    Observation {
        failures: 1,
        ..answered(engine, source, observed_at)
    }
}

#[allow(dead_code)]
pub fn loaded(
    engine: &str,
    source: &str,
    observed_at: Time,
    running: u32,
    waiting: u32,
) -> Observation {
    Observation {
        load: Some(EngineLoad {
            running,
            waiting,
            slots: 0,
            slowdown_percent: Some(100),
        }),
        ..answered(engine, source, observed_at)
    }
}
