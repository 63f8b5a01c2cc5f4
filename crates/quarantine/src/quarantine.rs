//! One machine's view: evidence from its own runs, and what others have told it.

use peatgrade_ports::{Instance, StartedAt};
use peatgrade_schema::replication::CrashRecord;
use peatgrade_types::{hash_bytes, Duration, Time};
use std::collections::{BTreeMap, VecDeque};

use crate::checks::{EngineChecks, InterruptedRun};
use crate::encoding::{message_of, record_of};
use crate::fingerprint::Fingerprint;
use crate::ledger::{CrashLedger, RetryScope, Verdict};

/// A request that ran to its end this recently does not end engines: what many callers
/// ask for runs on every engine that crashes, whatever the cause.
const COMPLETED_COUNTS: Duration = Duration::from_secs(10);
/// Completed requests remembered for that: 10 s of 400 a second, and 64 bytes each.
const MAX_COMPLETED: usize = 4_096;

/// Requests that ran to their end, the latest ones.
#[derive(Clone, Debug, Default)]
struct Completed {
    at: BTreeMap<Fingerprint, Time>,
    order: VecDeque<(Time, Fingerprint)>,
}

impl Completed {
    fn note(&mut self, now: Time, request: Fingerprint) {
        self.at.insert(request, now);
        self.order.push_back((now, request));
        while let Some((at, oldest)) = self.order.front().copied() {
            let is_old = now.since(at) >= COMPLETED_COUNTS;
            if !is_old && self.order.len() <= MAX_COMPLETED {
                break;
            }
            self.order.pop_front();
            if self.at.get(&oldest) == Some(&at) {
                self.at.remove(&oldest);
            }
        }
    }

    fn is_recent(&self, now: Time, request: Fingerprint) -> bool {
        let at = self.at.get(&request);
        at.is_some_and(|at| now.since(*at) < COMPLETED_COUNTS)
    }
}

/// Requests that may end engines, as far as this machine knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    ledger: CrashLedger,
    checks: EngineChecks,
    completed: Completed,
    /// Something was learnt here that others do not know yet.
    has_news: bool,
    /// Requests that were refused since the start.
    refused: u64,
}

impl Quarantine {
    /// A run broke off before its answer was whole: the engine is to be asked whether it
    /// is still there.
    pub fn record_interrupted_run(
        &mut self,
        now: Time,
        engine: &Instance,
        request: Fingerprint,
        retry_scope: RetryScope,
    ) {
        let run = InterruptedRun {
            request,
            retry_scope,
        };
        self.checks.record_interrupted_run(now, engine, run);
    }

    /// An engine ran a request to its end, whatever it answered.
    pub fn record_completed_run(&mut self, now: Time, request: Fingerprint) {
        self.completed.note(now, request);
        if self.ledger.record_completed_run(now, request) {
            log::info!("belief=request-cleared fingerprint={request}");
            self.has_news = true;
        }
    }

    /// Engines that are to be asked now whether they are still there.
    pub fn take_due_probes(&mut self, now: Time) -> Vec<Instance> {
        self.checks.take_due(now)
    }

    /// An engine is there.
    pub fn record_engine_alive(&mut self, engine: &Instance) {
        self.checks.answered(engine);
    }

    /// The life of an engine that began at `started`, if that is known, is over: it
    /// crashed under what ran on it. An engine that starts again under its name may crash
    /// under the same request again, and each life counts.
    pub fn record_engine_crash(
        &mut self,
        now: Time,
        engine: &Instance,
        started: Option<StartedAt>,
    ) {
        for InterruptedRun {
            request,
            retry_scope,
        } in self.checks.gone(engine)
        {
            if self.completed.is_recent(now, request) {
                continue;
            }
            let life = name_of_life(engine, started);
            if !self.ledger.record_crash(now, request, life, retry_scope) {
                continue;
            }
            self.has_news = true;
            log::info!(
                "belief=engine-crashed engine={engine} fingerprint={request} crashes={} verdict={:?}",
                self.ledger.crash_count(request),
                self.ledger.verdict(request)
            );
        }
    }

    /// An engine left as it had said: what ran there to the last has nothing to do with it.
    pub fn record_engine_shutdown(&mut self, engine: &Instance) {
        self.checks.answered(engine);
    }

    /// Whether a request may run.
    pub fn verdict(&self, request: Fingerprint) -> Verdict {
        self.ledger.verdict(request)
    }

    /// Engines that crashed under a request.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.ledger.crash_count(request)
    }

    /// Whether any request may end engines, as far as is known.
    pub fn is_empty(&self) -> bool {
        self.ledger.is_empty()
    }

    /// Counts a request that was kept from all engines.
    pub fn record_refusal(&mut self) {
        self.refused += 1;
    }

    /// Requests known, kept from engines, and refused since the start: for metrics.
    pub fn metrics(&self) -> [(&'static str, u64); 3] {
        [
            ("suspect_requests", self.ledger.len() as u64),
            ("convicted_requests", self.ledger.convicted_count() as u64),
            ("convicted_requests_refused", self.refused),
        ]
    }

    /// Drops what is too old to count.
    pub fn evict_expired(&mut self, now: Time) {
        self.ledger.evict_expired(now);
    }

    /// Whether something was learnt here since the last time that this was asked.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// The same for machines that know the same crashes; 0 without any.
    pub fn digest(&self) -> u64 {
        self.ledger.digest()
    }

    /// All that others are to know, for another machine or the disk.
    pub fn records(&self, now: Time) -> Vec<CrashRecord> {
        let records = self.ledger.shared_records();
        records
            .map(|(request, record)| message_of(now, *request, record))
            .collect()
    }

    /// Takes in what another machine knows. Whether anything is new.
    pub fn merge(&mut self, now: Time, records: &[CrashRecord], source: &str) -> bool {
        let mut has_new = false;
        for message in records {
            let (request, record) = record_of(now, message);
            if !self.ledger.merge(request, &record) {
                continue;
            }
            has_new = true;
            log::info!(
                "belief=crashes-told fingerprint={request} crashes={} verdict={:?} told_by={source}",
                self.ledger.crash_count(request),
                self.ledger.verdict(request)
            );
        }
        has_new
    }
}

/// The same on all machines that know of a life, however each learnt that it is over.
fn name_of_life(engine: &Instance, started: Option<StartedAt>) -> u64 {
    match started {
        None => hash_bytes(engine.0.as_bytes()),
        Some(started) => hash_bytes(format!("{engine} {started}").as_bytes()),
    }
}
