//! Simulated engines: each run emits events at a fixed interval.

use bytes::Bytes;
use peatgrade_fleet::EngineDirectory;
use peatgrade_jobs::RunId;
use peatgrade_ports::{
    Configuration, EngineRecord, EngineResponseHead, EventDecoder, GenerationEvent, Instance,
    Route, RouteKind, Target,
};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

const ENGINE_COUNT: usize = 52;
const SLOTS_PER_ENGINE: u32 = 8;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
const EVENTS_PER_RUN: u64 = 20;

/// Decodes events that consist of one number per line.
#[derive(Default)]
pub struct LineDecoder(Vec<u8>);

impl EventDecoder for LineDecoder {
    fn feed(&mut self, bytes: &[u8]) -> Result<Vec<GenerationEvent>, String> {
        self.0.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.0.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.0.drain(..=end).collect();
            let text = String::from_utf8_lossy(&line[..end]).into_owned();
            events.push(GenerationEvent {
                id: text
                    .parse()
                    .map_err(|_| format!("event is not a number: {text}"))?,
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

/// A part of the response to a run.
pub enum EngineOutput {
    Head(EngineResponseHead),
    Data(Bytes),
    End,
}

pub struct EngineRun {
    next_event: u64,
    due: Time,
    has_sent_head: bool,
}

impl EngineRun {
    pub fn new(now: Time, last_event: Option<u64>) -> Self {
        Self {
            next_event: last_event.unwrap_or(0) + 1,
            due: now + EVENT_INTERVAL,
            has_sent_head: false,
        }
    }

    /// Returns the output that is due and was not returned yet.
    fn take(&mut self, now: Time) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        while now >= self.due && self.next_event <= EVENTS_PER_RUN + 1 {
            if !std::mem::replace(&mut self.has_sent_head, true) {
                outputs.push(EngineOutput::Head(EngineResponseHead {
                    status: 200,
                    version: Some(1),
                    ..EngineResponseHead::default()
                }));
            }
            if self.next_event > EVENTS_PER_RUN {
                outputs.push(EngineOutput::End);
            } else {
                let line = format!("{}\n", self.next_event);
                outputs.push(EngineOutput::Data(Bytes::from(line)));
            }
            self.next_event += 1;
            self.due += EVENT_INTERVAL;
        }
        outputs
    }
}

/// Returns the due output of all runs, ordered by run.
pub fn take_outputs(
    runs: &mut BTreeMap<RunId, EngineRun>,
    now: Time,
) -> Vec<(RunId, EngineOutput)> {
    let mut all = Vec::new();
    for (id, run) in runs.iter_mut() {
        all.extend(run.take(now).into_iter().map(|output| (*id, output)));
    }
    all
}

pub fn directory(now: Time) -> EngineDirectory {
    let records = (0..ENGINE_COUNT).map(|index| EngineRecord {
        instance: Instance(format!("engine-{index}")),
        started: None,
        service: "models".into(),
        address: format!("engine-{index}:1"),
        zone: "z".into(),
        slots: SLOTS_PER_ENGINE,
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
