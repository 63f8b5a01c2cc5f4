//! Conversion of records to and from messages. Messages carry ages instead of times, since
//! clocks differ between machines.

use peatgrade_schema::replication::{Crash, CrashRecord};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::fingerprint::Fingerprint;
use crate::ledger::{Record, MAX_CRASHES_PER_REQUEST, RECORD_TTL};

pub(crate) fn encode_record(now: Time, request: Fingerprint, record: &Record) -> CrashRecord {
    let crashes = record.crashes.iter().map(|(engine, at)| Crash {
        engine: *engine,
        age_ms: now.since(*at).as_millis(),
    });
    CrashRecord {
        request_high: (request.0 >> 64) as u64,
        request_low: request.0 as u64,
        crashes: crashes.collect(),
        completed: record.completed.is_some(),
        completed_age_ms: record.completed.map_or(0, |at| now.since(at).as_millis()),
    }
}

/// Decodes a message, without crashes and completions that have expired.
pub(crate) fn decode_record(now: Time, message: &CrashRecord) -> (Fingerprint, Record) {
    let high = u128::from(message.request_high) << 64;
    let request = Fingerprint(high | u128::from(message.request_low));
    let crashes = message.crashes.iter().take(MAX_CRASHES_PER_REQUEST);
    let crashes =
        crashes.filter_map(|crash| Some((crash.engine, time_from_age(now, crash.age_ms)?)));
    let crashes: BTreeMap<u64, Time> = crashes.collect();
    let record = Record {
        last_crash: crashes.values().max().copied().unwrap_or(Time(0)),
        crashes,
        completed: Some(message.completed_age_ms)
            .filter(|_| message.completed)
            .and_then(|age| time_from_age(now, age)),
        is_shared: true,
    };
    (request, record)
}

fn time_from_age(now: Time, age_ms: u64) -> Option<Time> {
    let age = Duration::from_millis(age_ms.min(RECORD_TTL.as_millis()));
    (age < RECORD_TTL).then(|| Time(now.0.saturating_sub(age.0)))
}
