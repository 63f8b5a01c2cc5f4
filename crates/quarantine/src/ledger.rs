//! Record of which engines crashed while running which requests, and the verdicts on requests.

use peatgrade_types::{hash_pair, Duration, Time};
use std::collections::{BTreeMap, VecDeque};

use crate::fingerprint::Fingerprint;

/// Crashes that convict a request. Two are not enough, as a harmless request may run on the
/// same engine as a crashing one and be retried together with it.
const CRASHES_TO_CONVICT: usize = 3;
/// Crashes that convict a request if another one was running at every one of them. One more
/// run distinguishes the two.
const CRASHES_TO_CONVICT_CORRELATED: usize = 4;
/// Crashes that make a request suspected: it runs on one engine at a time, and not on the last
/// available engine of a service.
const CRASHES_TO_SUSPECT: usize = 2;
/// Engines that crash within this time of each other probably do so for a common cause, such as
/// the loss of a machine. It covers the time to detect a crash.
const COINCIDENCE: Duration = Duration::from_millis(1_000);
/// Maximum number of engine crashes that are kept to detect coincidences.
const MAX_ENGINE_CRASHES: usize = 256;
/// Time after the last crash or completion for which a record is kept. Expiry allows a request to
/// run again in case the fault in the engines has been fixed. Crashed engines are back after 1.5 to
/// 4 s.
pub const RECORD_TTL: Duration = Duration::from_secs(15 * 60);
/// Maximum number of crashes kept per request; more do not change its verdict.
pub const MAX_CRASHES_PER_REQUEST: usize = 8;
/// Maximum number of requests kept, about 250 bytes each. Those with the fewest crashes are
/// evicted first, and the oldest among them.
pub const MAX_TRACKED_REQUESTS: usize = 512;

/// Whether a request is believed to crash engines.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// There is no sufficient evidence against it.
    Clear,
    /// It may be the cause of several crashes. It may run on one engine at a time.
    Suspected {
        /// Engines that crashed while running it.
        crashes: usize,
    },
    /// It is considered the cause of crashes. It must not be sent to any engine.
    Convicted {
        /// Engines that crashed while running it.
        crashes: usize,
    },
}

/// Machines that may retry a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RetryScope {
    /// Any machine: the request comes from a caller.
    AnyNode,
    /// Only the leader: the request is an item of a job. Its first crash is not shared, which
    /// avoids a burst of updates to all machines when many engines crash at once.
    LeaderOnly,
}

/// Crashes and the latest completion of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Record {
    /// Times of crashes by the hash of the engine's incarnation.
    pub crashes: BTreeMap<u64, Time>,
    /// Time of the last crash, which is not among `crashes` if these are too many.
    pub last_crash: Time,
    /// When an engine last completed it, which clears it of earlier crashes.
    pub completed: Option<Time>,
    /// Whether it is shared with other machines.
    pub is_shared: bool,
}

impl Record {
    fn remove_cleared_crashes(&mut self) {
        if let Some(completed) = self.completed {
            self.crashes.retain(|_, at| *at > completed);
        }
    }

    fn is_expired(&self, now: Time) -> bool {
        let completed = self.completed.unwrap_or(Time(0));
        now.since(self.last_crash.max(completed)) >= RECORD_TTL
    }
}

/// Crash records by request.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    records: BTreeMap<Fingerprint, Record>,
    /// Times of the latest crashes, whatever the engines were running, by the hash of the
    /// engine's incarnation.
    engine_crashes: VecDeque<(Time, u64)>,
}

impl CrashLedger {
    /// Records that an engine crashed, whatever it was running.
    pub fn record_engine_crash(&mut self, at: Time, engine: u64) {
        let is_known = self
            .engine_crashes
            .iter()
            .any(|(_, known)| *known == engine);
        if is_known {
            return;
        }
        if self.engine_crashes.len() >= MAX_ENGINE_CRASHES {
            self.engine_crashes.pop_front();
        }
        self.engine_crashes.push_back((at, engine));
    }

    /// Number of crashes during a request at about whose time no engine crashed that was not
    /// running the request. The others probably have another cause.
    pub fn isolated_crashes(&self, request: Fingerprint) -> usize {
        let Some(record) = self.records.get(&request) else {
            return 0;
        };
        let is_coincident = |at: &Time| {
            let mut others = self.engine_crashes.iter();
            others.any(|(other_at, engine)| {
                let apart = at.since(*other_at).max(other_at.since(*at));
                apart <= COINCIDENCE && !record.crashes.contains_key(engine)
            })
        };
        let crashes = record.crashes.values();
        crashes.filter(|at| !is_coincident(at)).count()
    }

    /// Records that an engine crashed while running a request, and returns whether that is new.
    pub fn record_crash(
        &mut self,
        at: Time,
        request: Fingerprint,
        engine: u64,
        retry_scope: RetryScope,
    ) -> bool {
        if !self.records.contains_key(&request) {
            self.evict_if_full();
        }
        self.record_engine_crash(at, engine);
        let record = self.records.entry(request).or_default();
        let is_cleared = record.completed.is_some_and(|completed| at <= completed);
        let is_known = record.crashes.contains_key(&engine);
        if is_cleared || is_known {
            return false;
        }
        record.last_crash = record.last_crash.max(at);
        if record.crashes.len() >= MAX_CRASHES_PER_REQUEST {
            return false;
        }
        record.crashes.insert(engine, at);
        let is_suspected = record.crashes.len() >= CRASHES_TO_SUSPECT;
        record.is_shared |= is_suspected || retry_scope == RetryScope::AnyNode;
        true
    }

    /// Records that an engine completed a request, and returns whether that clears it of a shared
    /// crash.
    pub fn record_completed_run(&mut self, at: Time, request: Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        let before = record.crashes.len();
        record.completed = record.completed.max(Some(at));
        record.remove_cleared_crashes();
        record.is_shared && record.crashes.len() != before
    }

    /// Merges another machine's record of a request, and returns whether anything is new.
    pub(crate) fn merge(&mut self, request: Fingerprint, other: &Record) -> bool {
        let completed = other
            .completed
            .filter(|_| self.records.contains_key(&request));
        let cleared = completed.is_some_and(|at| self.record_completed_run(at, request));
        let mut is_new = cleared;
        for (engine, at) in &other.crashes {
            is_new |= self.record_crash(*at, request, *engine, RetryScope::AnyNode);
        }
        is_new
    }

    fn evict_if_full(&mut self) {
        if self.records.len() < MAX_TRACKED_REQUESTS {
            return;
        }
        let weight =
            |(_, record): &(&Fingerprint, &Record)| (record.crashes.len(), record.last_crash);
        let least = self.records.iter().min_by_key(weight);
        if let Some(request) = least.map(|(request, _)| *request) {
            self.records.remove(&request);
        }
    }

    /// Removes expired records.
    pub fn evict_expired(&mut self, now: Time) {
        self.records.retain(|_, record| !record.is_expired(now));
    }

    /// The verdict on a request.
    pub fn verdict(&self, request: Fingerprint) -> Verdict {
        let Some(record) = self.records.get(&request) else {
            return Verdict::Clear;
        };
        let crashes = record.crashes.len();
        if crashes < CRASHES_TO_SUSPECT {
            return Verdict::Clear;
        }
        let (unexplained, has_correlated) = self.unexplained_crashes(request, record);
        let needed = match has_correlated {
            true => CRASHES_TO_CONVICT_CORRELATED,
            false => CRASHES_TO_CONVICT,
        };
        if unexplained >= needed {
            return Verdict::Convicted { crashes };
        }
        if unexplained < CRASHES_TO_SUSPECT {
            return Verdict::Clear;
        }
        Verdict::Suspected { crashes }
    }

    /// Number of crashes at which no request with more crashes was running, and whether another
    /// request was running at every crash.
    fn unexplained_crashes(&self, request: Fingerprint, record: &Record) -> (usize, bool) {
        let others = self.records.iter().filter(|(other, _)| **other != request);
        let others: Vec<&Record> = others.map(|(_, record)| record).collect();
        let own_count = record.crashes.len();
        let is_explained = |engine: &u64| {
            let mut stronger = others
                .iter()
                .filter(|other| other.crashes.len() > own_count);
            stronger.any(|other| other.crashes.contains_key(engine))
        };
        let unexplained = record.crashes.keys().filter(|e| !is_explained(e)).count();
        let has_all =
            |other: &&Record| record.crashes.keys().all(|e| other.crashes.contains_key(e));
        (unexplained, others.iter().any(has_all))
    }

    /// Number of engines that crashed while running a request.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        let record = self.records.get(&request);
        record.map_or(0, |record| record.crashes.len())
    }

    /// When an engine last crashed while running a request, if that is not cleared.
    pub fn last_crash(&self, request: Fingerprint) -> Option<Time> {
        let record = self.records.get(&request);
        let record = record.filter(|record| !record.crashes.is_empty());
        record.map(|record| record.last_crash)
    }

    /// Whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.records
            .values()
            .all(|record| record.crashes.is_empty())
    }

    /// Number of requests with a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Number of convicted requests.
    pub fn convicted_count(&self) -> usize {
        let requests = self.records.keys();
        let is_convicted =
            |request: &&Fingerprint| matches!(self.verdict(**request), Verdict::Convicted { .. });
        requests.filter(is_convicted).count()
    }

    /// Order-independent digest of the shared crashes; 0 if there are none.
    pub fn digest(&self) -> u64 {
        let records = self.shared_records();
        let hashes = records.flat_map(|(request, record)| {
            let request_hash = hash_pair(request.0 as u64, (request.0 >> 64) as u64);
            record
                .crashes
                .keys()
                .map(move |engine| hash_pair(request_hash, *engine))
        });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    /// Records that are shared with other machines.
    pub(crate) fn shared_records(&self) -> impl Iterator<Item = (&Fingerprint, &Record)> {
        self.records.iter().filter(|(_, record)| record.is_shared)
    }
}
