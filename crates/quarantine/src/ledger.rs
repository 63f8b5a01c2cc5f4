//! Which engines crashed under which requests, and what follows for a request.

use peatgrade_types::{hash_pair, Duration, Time};
use std::collections::BTreeMap;

use crate::fingerprint::Fingerprint;

/// Engines that crashed under a request before it counts as the cause. Two crashes in a
/// row happen to requests that only ran beside such a one: both ran on an engine, and
/// both were tried again on another.
const CRASHES_TO_CONVICT: usize = 3;
/// The same where another request was there each time: one of the two is innocent, and
/// one more run tells which.
const CRASHES_WITH_COMPANY: usize = 4;
/// Crashes from which on a request is run alone, and not on the last engine of a service.
const CRASHES_TO_SUSPECT: usize = 2;
/// How long a request is known after the last crash under it. Then it is forgotten and may
/// run again, in case engines were mended meanwhile: one that still ends engines ends three
/// more. A guess: far longer than engines take to come back, 1.5 to 4 s as seen.
pub const RECORD_TTL: Duration = Duration::from_secs(15 * 60);
/// Crashes kept of a request: more say nothing more.
pub const MAX_CRASHES_PER_REQUEST: usize = 8;
/// Requests kept, with at most some 250 bytes each, so 128 KB. Those with the fewest
/// crashes give way, the oldest first.
pub const MAX_TRACKED_REQUESTS: usize = 512;

/// What is known of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// Nothing that matters.
    Clear,
    /// Some engines crashed under it, and others as well, maybe. It may run, alone.
    Suspected {
        /// Engines that crashed under it.
        crashes: usize,
    },
    /// It ends the engines that run it: no engine may get it.
    Convicted {
        /// Engines that crashed under it.
        crashes: usize,
    },
}

/// Where a request may come again.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RetryScope {
    /// To any machine: a caller's request.
    AnyNode,
    /// To the leader, which runs it: an item of a job. Its first crash is told to nobody.
    /// Where 22 of 128 engines crash at once, 150 items lose one each, and 250 machines
    /// would be told of each of them, twice (reckoned).
    LeaderOnly,
}

/// What is known of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Record {
    /// Hash of each engine that crashed under it, and when.
    pub crashes: BTreeMap<u64, Time>,
    /// When an engine last ran it to its end: earlier crashes were no fault of it.
    pub completed: Option<Time>,
    /// Others are to know of it.
    pub is_shared: bool,
}

impl Record {
    fn last_crash(&self) -> Time {
        self.crashes.values().max().copied().unwrap_or(Time(0))
    }

    fn drop_cleared(&mut self) {
        if let Some(completed) = self.completed {
            self.crashes.retain(|_, at| *at > completed);
        }
    }

    fn is_due_to_go(&self, now: Time) -> bool {
        let completed = self.completed.unwrap_or(Time(0));
        now.since(self.last_crash().max(completed)) >= RECORD_TTL
    }
}

/// Crashes by request.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    records: BTreeMap<Fingerprint, Record>,
}

impl CrashLedger {
    /// Takes note of an engine that crashed under a request. Whether that is new.
    pub fn record_crash(
        &mut self,
        at: Time,
        request: Fingerprint,
        engine: u64,
        retry_scope: RetryScope,
    ) -> bool {
        if !self.records.contains_key(&request) {
            self.make_room();
        }
        let record = self.records.entry(request).or_default();
        let is_cleared = record.completed.is_some_and(|completed| at <= completed);
        let is_known = record.crashes.contains_key(&engine);
        if is_cleared || is_known || record.crashes.len() >= MAX_CRASHES_PER_REQUEST {
            return false;
        }
        record.crashes.insert(engine, at);
        let matters = record.crashes.len() >= CRASHES_TO_SUSPECT;
        record.is_shared |= matters || retry_scope == RetryScope::AnyNode;
        true
    }

    /// An engine ran a request to its end. Whether that clears it of anything that others
    /// know.
    pub fn record_completed_run(&mut self, at: Time, request: Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(&request) else {
            return false;
        };
        let before = record.crashes.len();
        record.completed = record.completed.max(Some(at));
        record.drop_cleared();
        record.is_shared && record.crashes.len() != before
    }

    /// Takes in what another machine knows of a request. Whether anything is new.
    pub(crate) fn merge(&mut self, request: Fingerprint, told: &Record) -> bool {
        let completed = told
            .completed
            .filter(|_| self.records.contains_key(&request));
        let cleared = completed.is_some_and(|at| self.record_completed_run(at, request));
        let mut is_new = cleared;
        for (engine, at) in &told.crashes {
            is_new |= self.record_crash(*at, request, *engine, RetryScope::AnyNode);
        }
        is_new
    }

    fn make_room(&mut self) {
        if self.records.len() < MAX_TRACKED_REQUESTS {
            return;
        }
        let weight =
            |(_, record): &(&Fingerprint, &Record)| (record.crashes.len(), record.last_crash());
        let least = self.records.iter().min_by_key(weight);
        if let Some(request) = least.map(|(request, _)| *request) {
            self.records.remove(&request);
        }
    }

    /// Drops what is too old to count.
    pub fn evict_expired(&mut self, now: Time) {
        self.records.retain(|_, record| !record.is_due_to_go(now));
    }

    /// What is known of a request.
    pub fn verdict(&self, request: Fingerprint) -> Verdict {
        let Some(record) = self.records.get(&request) else {
            return Verdict::Clear;
        };
        let crashes = record.crashes.len();
        if crashes < CRASHES_TO_SUSPECT {
            return Verdict::Clear;
        }
        let (unexplained, has_company) = self.company(request, record);
        let needed = match has_company {
            true => CRASHES_WITH_COMPANY,
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

    /// Crashes that no other request with more of them explains, and whether another one
    /// was there at all of them.
    fn company(&self, request: Fingerprint, record: &Record) -> (usize, bool) {
        let others = self.records.iter().filter(|(other, _)| **other != request);
        let others: Vec<&Record> = others.map(|(_, record)| record).collect();
        let mine = record.crashes.len();
        let is_explained = |engine: &u64| {
            let mut worse = others.iter().filter(|other| other.crashes.len() > mine);
            worse.any(|other| other.crashes.contains_key(engine))
        };
        let unexplained = record.crashes.keys().filter(|e| !is_explained(e)).count();
        let has_all =
            |other: &&Record| record.crashes.keys().all(|e| other.crashes.contains_key(e));
        (unexplained, others.iter().any(has_all))
    }

    /// Engines that crashed under a request.
    pub fn crash_count(&self, request: Fingerprint) -> usize {
        let record = self.records.get(&request);
        record.map_or(0, |record| record.crashes.len())
    }

    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.records
            .values()
            .all(|record| record.crashes.is_empty())
    }

    /// Requests of which something is known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Requests that no engine may get.
    pub fn convicted_count(&self) -> usize {
        let requests = self.records.keys();
        let is_convicted =
            |request: &&Fingerprint| matches!(self.verdict(**request), Verdict::Convicted { .. });
        requests.filter(is_convicted).count()
    }

    /// The same for ledgers that tell others of the same crashes; 0 without any.
    pub fn digest(&self) -> u64 {
        let records = self.shared_records();
        let facts = records.flat_map(|(request, record)| {
            let name = hash_pair(request.0 as u64, (request.0 >> 64) as u64);
            record
                .crashes
                .keys()
                .map(move |engine| hash_pair(name, *engine))
        });
        facts.fold(0, |all, fact| all ^ fact)
    }

    /// What others are to know.
    pub(crate) fn shared_records(&self) -> impl Iterator<Item = (&Fingerprint, &Record)> {
        self.records.iter().filter(|(_, record)| record.is_shared)
    }
}
