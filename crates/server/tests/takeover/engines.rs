//! Engines of the virtual cluster: each run makes an event now and then.

use bytes::Bytes;
use peatgrade_fleet::EngineDirectory;
use peatgrade_jobs::RunId;
use peatgrade_ports::{
    Configuration, EngineRecord, EngineResponseHead, EventDecoder, GenerationEvent, Instance,
    Route, RouteKind, Target,
};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

/// Engines of the fleet, and requests that each runs at once.
const ENGINES: usize = 52;
const SLOTS: u32 = 8;
/// Time between two events of a run.
const EVENT_EVERY: Duration = Duration::from_millis(100);
/// Events of a whole text.
const EVENTS: u64 = 20;

/// Reads events that come as lines with a number.
#[derive(Default)]
pub struct Lines(Vec<u8>);

impl EventDecoder for Lines {
    fn feed(&mut self, bytes: &[u8]) -> Result<Vec<GenerationEvent>, String> {
        self.0.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.0.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.0.drain(..=end).collect();
            let text = String::from_utf8_lossy(&line[..end]).into_owned();
            events.push(GenerationEvent {
                id: text.parse().map_err(|_| format!("no number: {text}"))?,
                version: None,
                data: Bytes::from(text),
            });
        }
        Ok(events)
    }

    fn has_partial_event(&self) -> bool {
        !self.0.is_empty()
    }
}

/// What an engine sends for a run.
pub enum Sent {
    Head(EngineResponseHead),
    Data(Bytes),
    End,
}

/// A run at an engine.
pub struct EngineRun {
    next_event: u64,
    due: Time,
    is_begun: bool,
}

impl EngineRun {
    pub fn new(now: Time, last_event: Option<u64>) -> Self {
        Self {
            next_event: last_event.unwrap_or(0) + 1,
            due: now + EVENT_EVERY,
            is_begun: false,
        }
    }

    /// What has been sent up to now.
    fn take(&mut self, now: Time) -> Vec<Sent> {
        let mut sent = Vec::new();
        while now >= self.due && self.next_event <= EVENTS + 1 {
            if !std::mem::replace(&mut self.is_begun, true) {
                sent.push(Sent::Head(EngineResponseHead {
                    status: 200,
                    version: Some(1),
                    ..EngineResponseHead::default()
                }));
            }
            if self.next_event > EVENTS {
                sent.push(Sent::End);
            } else {
                let line = format!("{}\n", self.next_event);
                sent.push(Sent::Data(Bytes::from(line)));
            }
            self.next_event += 1;
            self.due += EVENT_EVERY;
        }
        sent
    }
}

/// Takes all that runs have sent, in the order of the runs.
pub fn take_sent(runs: &mut BTreeMap<RunId, EngineRun>, now: Time) -> Vec<(RunId, Sent)> {
    let mut all = Vec::new();
    for (id, run) in runs.iter_mut() {
        all.extend(run.take(now).into_iter().map(|sent| (*id, sent)));
    }
    all
}

pub fn directory(now: Time) -> EngineDirectory {
    let records = (0..ENGINES).map(|index| EngineRecord {
        instance: Instance(format!("engine-{index}")),
        started: None,
        service: "models".into(),
        address: format!("engine-{index}:1"),
        zone: "z".into(),
        slots: SLOTS,
        draining: false,
        models: BTreeMap::from([("m".to_string(), 1)]),
    });
    let mut directory = EngineDirectory::default();
    directory.replace(now, records.collect());
    directory
}

pub fn configuration() -> Configuration {
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/p/".into(),
        kind: RouteKind::Batch,
        timeout: Duration::from_secs(10),
        target_latency: Duration::from_millis(400),
        priority: 1,
        targets: vec![Target {
            service: "models".into(),
            weight: 1,
        }],
        max_attempts: 3,
        resumable: true,
        max_queue: Duration::from_secs(60),
        result_deadline: Duration::from_secs(7),
        single_version: false,
        public: false,
    };
    Configuration {
        version: 1,
        routes: vec![route].into(),
        ..Configuration::default()
    }
}
