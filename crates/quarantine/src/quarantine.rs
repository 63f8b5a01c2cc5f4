//! A machine's view of crashing requests: evidence from its own runs and from other machines.

use peatgrade_ports::{Instance, StartedAt};
use peatgrade_schema::replication::CrashRecord;
use peatgrade_types::{hash_bytes, Duration, Time};
use std::collections::{BTreeMap, VecDeque};

use crate::encoding::{decode_record, encode_record};
use crate::fingerprint::Fingerprint;
use crate::ledger::{CrashLedger, RetryScope, Verdict};
use crate::probes::{EngineProbes, InterruptedRun};

/// A request that completed within this time is not blamed for a crash. A popular request is
/// likely to be running on any engine that crashes.
const COMPLETED_TTL: Duration = Duration::from_secs(10);
/// Maximum number of completed requests that are remembered.
const MAX_COMPLETED_RUNS: usize = 4_096;

/// Recently completed requests.
#[derive(Clone, Debug, Default)]
struct CompletedRuns {
    at: BTreeMap<Fingerprint, Time>,
    order: VecDeque<(Time, Fingerprint)>,
}

impl CompletedRuns {
    fn record(&mut self, now: Time, request: Fingerprint) {
        self.at.insert(request, now);
        self.order.push_back((now, request));
        while let Some((at, oldest)) = self.order.front().copied() {
            let is_old = now.since(at) >= COMPLETED_TTL;
            if !is_old && self.order.len() <= MAX_COMPLETED_RUNS {
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
        at.is_some_and(|at| now.since(*at) < COMPLETED_TTL)
    }
}

/// Requests that may crash engines, as far as this machine knows.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    ledger: CrashLedger,
    probes: EngineProbes,
    completed: CompletedRuns,
    /// Whether there are local changes that other machines do not know yet.
    changed: bool,
    /// Number of refused requests since the process started.
    refused: u64,
}

impl Quarantine {
    /// Records a run that ended without a complete response; its engine will be probed.
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
        self.probes.record_interrupted_run(now, engine, run);
    }

    /// Records that an engine completed a request, with any response.
    pub fn record_completed_run(&mut self, now: Time, request: Fingerprint) {
        self.completed.record(now, request);
        if self.ledger.record_completed_run(now, request) {
            log::info!("belief=request-cleared fingerprint={request}");
            self.changed = true;
        }
    }

    /// Takes the engines that are due for a liveness probe.
    pub fn take_due_probes(&mut self, now: Time) -> Vec<Instance> {
        self.probes.take_due(now)
    }

    /// Records that an engine is alive, so that its interrupted runs were not crashes.
    pub fn record_engine_alive(&mut self, engine: &Instance) {
        self.probes.remove(engine);
    }

    /// Records that the incarnation of an engine that started at `started`, if known, crashed
    /// during its interrupted runs. Crashes of several incarnations count separately.
    pub fn record_engine_crash(
        &mut self,
        now: Time,
        engine: &Instance,
        started: Option<StartedAt>,
    ) {
        let incarnation = incarnation_hash(engine, started);
        self.ledger.record_engine_crash(now, incarnation);
        for InterruptedRun {
            request,
            retry_scope,
        } in self.probes.take_runs(engine)
        {
            if self.completed.is_recent(now, request) {
                continue;
            }
            if !self
                .ledger
                .record_crash(now, request, incarnation, retry_scope)
            {
                continue;
            }
            self.changed = true;
            log::info!(
                "belief=engine-crashed engine={engine} fingerprint={request} crashes={} isolated={} verdict={:?}",
                self.ledger.crash_count(request),
                self.ledger.isolated_crashes(request),
                self.ledger.verdict(request)
            );
        }
    }

    /// Records a planned shutdown of an engine, which is no evidence against its last runs.
    pub fn record_engine_shutdown(&mut self, engine: &Instance) {
        self.probes.remove(engine);
    }

    /// The verdict on a request.
    pub fn verdict(&self, request: Fingerprint) -> Verdict {
        self.ledger.verdict(request)
    }

    /// Number of engines that crashed while running a request.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        self.ledger.crash_count(request)
    }

    /// Number of crashes during a request at about whose time no other engine crashed.
    pub fn isolated_crashes(&self, request: Fingerprint) -> usize {
        self.ledger.isolated_crashes(request)
    }

    /// When an engine last crashed while running a request, unless a completed run cleared it.
    pub fn last_crash(&self, request: Fingerprint) -> Option<Time> {
        self.ledger.last_crash(request)
    }

    /// Whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.ledger.is_empty()
    }

    /// Counts a request that was refused because it is convicted.
    pub fn record_refusal(&mut self) {
        self.refused += 1;
    }

    /// Metrics with their names.
    pub fn metrics(&self) -> [(&'static str, u64); 3] {
        [
            ("suspect_requests", self.ledger.len() as u64),
            ("convicted_requests", self.ledger.convicted_count() as u64),
            ("convicted_requests_refused", self.refused),
        ]
    }

    /// Removes expired records.
    pub fn evict_expired(&mut self, now: Time) {
        self.ledger.evict_expired(now);
    }

    /// Returns whether there were local changes since the previous call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Order-independent digest of the shared crashes; 0 if there are none.
    pub fn digest(&self) -> u64 {
        self.ledger.digest()
    }

    /// Shared records, for other machines or for storage.
    pub fn records(&self, now: Time) -> Vec<CrashRecord> {
        let records = self.ledger.shared_records();
        records
            .map(|(request, record)| encode_record(now, *request, record))
            .collect()
    }

    /// Merges records from `source` and returns whether anything is new.
    pub fn merge(&mut self, now: Time, records: &[CrashRecord], source: &str) -> bool {
        let mut changed = false;
        for message in records {
            let (request, record) = decode_record(now, message);
            if !self.ledger.merge(request, &record) {
                continue;
            }
            changed = true;
            log::info!(
                "belief=crashes-told fingerprint={request} crashes={} verdict={:?} told_by={source}",
                self.ledger.crash_count(request),
                self.ledger.verdict(request)
            );
        }
        changed
    }
}

/// Hash of an engine's incarnation; identical on all machines.
fn incarnation_hash(engine: &Instance, started: Option<StartedAt>) -> u64 {
    match started {
        None => hash_bytes(engine.0.as_bytes()),
        Some(started) => hash_bytes(format!("{engine} {started}").as_bytes()),
    }
}
