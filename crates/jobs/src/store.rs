//! Replicated state of batch jobs: acceptance, progress, results and ends.

use bytes::Bytes;
use peatgrade_schema::decode;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody;
use peatgrade_schema::replication::{
    AcceptJob, CountUsage, DecideUsage, JobCommand, KeepProgress, ListResults,
};
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

use crate::job::{Job, PriorText, StoredResult};
use crate::listed_text::{CommandLog, ListedText, RecentTexts, TextReader};
use crate::memory::{item_bytes, JobMemory};
use crate::text::{PartialText, TextEvent};

/// Limit on the bytes of listed texts in memory; older texts are read from the log. Covers
/// what trainers that poll twice a second read, with a few seconds' delay.
const MAX_RECENT_TEXT_BYTES: usize = 8 * 1024 * 1024;

/// Limit on the bytes of partial texts of ended jobs, which later jobs may resume. Those of
/// the job that ended first are evicted first.
pub(crate) const MAX_ENDED_PROGRESS_BYTES: usize = 8 * 1024 * 1024;

/// A usage command.
#[derive(Clone, Debug, PartialEq)]
pub enum UsageCommand {
    /// Usage counted by gateways.
    Count(CountUsage),
    /// The usage to report for a window.
    Decide(DecideUsage),
    /// The usage of this window has been reported.
    Reported(u64),
}

/// Effect of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Applied {
    /// A new job was accepted.
    Accepted(String),
    /// Results were added to a job.
    Listed(String),
    /// A job ended.
    Ended(String),
    /// The holder of a fencing token is about to send an order to an engine.
    Ordered {
        engine: String,
        /// The fencing token.
        fence: u64,
        /// Machine that holds the token; empty in logs of older versions.
        holder: String,
    },
    /// A usage command, which the caller applies to the usage ledger.
    Usage(UsageCommand),
    Nothing,
}

/// All jobs of a replica group.
#[derive(Clone, Debug, Default)]
pub struct JobStore {
    jobs: BTreeMap<String, Job>,
    /// Jobs that contain an item, and its index in each, by item id.
    jobs_by_item: HashMap<String, Vec<(Rc<str>, usize)>>,
    /// Log for reading evicted texts; without one, all texts stay in memory.
    log: Option<Rc<dyn CommandLog>>,
    recent: RecentTexts,
    /// Ended jobs with partial texts, in order of their ends.
    ended_with_progress: VecDeque<String>,
    newest_configuration: u64,
}

impl JobStore {
    /// Creates a store that evicts texts which it can read back from `log`.
    pub fn with_log(log: Rc<dyn CommandLog>) -> Self {
        Self {
            log: Some(log),
            ..Self::default()
        }
    }

    /// Returns a reader for the texts of listed results.
    pub fn text_reader(&self) -> TextReader<'_> {
        TextReader::new(self.log.as_deref())
    }

    /// Body of an item as submitted, read from the log if the job has ended.
    pub fn body(&self, job: &Job, item: usize) -> Option<Vec<u8>> {
        if job.body_hashes.is_empty() {
            return Some(job.spec.items.get(item)?.body.clone());
        }
        let command = self.log.as_ref()?.command(job.first_index)?;
        let command = decode::<JobCommand>(&command).ok()?;
        match command.body {
            OneOfbody::accept(mut spec) if spec.job == job.spec.job && item < spec.items.len() => {
                Some(spec.items.swap_remove(item).body)
            }
            _ => None,
        }
    }

    pub fn memory(&self) -> JobMemory {
        let mut memory = JobMemory {
            recent_texts: self.recent.bytes(),
            ..JobMemory::default()
        };
        for job in self.jobs.values() {
            memory.items += job.spec.items.iter().map(item_bytes).sum::<usize>();
            memory.results += job.results.len() * std::mem::size_of::<StoredResult>();
            memory.progress += job.progress_bytes();
        }
        memory
    }

    /// Applies a committed command.
    pub fn apply(&mut self, now: Time, index: u64, command: &[u8]) -> Applied {
        if command.is_empty() {
            return Applied::Nothing;
        }
        match decode::<JobCommand>(command).map(|command| command.body) {
            Ok(OneOfbody::accept(spec)) => self.accept_job(now, index, spec),
            Ok(OneOfbody::results(list)) => self.list_results(now, index, list),
            Ok(OneOfbody::end(end)) => self.end_job(&end.job),
            Ok(OneOfbody::progress(progress)) => self.append_progress(index, progress),
            Ok(OneOfbody::order(note)) => Applied::Ordered {
                engine: note.engine,
                fence: note.fence,
                holder: note.holder,
            },
            Ok(OneOfbody::count_usage(count)) => Applied::Usage(UsageCommand::Count(count)),
            Ok(OneOfbody::decide_usage(decision)) => Applied::Usage(UsageCommand::Decide(decision)),
            Ok(OneOfbody::usage_reported(reported)) => {
                Applied::Usage(UsageCommand::Reported(reported.window))
            }
            Ok(OneOfbody::configuration(known)) => {
                self.record_configuration(known.version);
                Applied::Nothing
            }
            Ok(OneOfbody::None) => Applied::Nothing,
            Err(error) => {
                log::error!("step=apply-command index={index} error={error}");
                Applied::Nothing
            }
        }
    }

    /// Newest version of the configuration that the log names: under it jobs were accepted, or
    /// a leader made decisions on them. Truncation of the log does not lower it for jobs that
    /// are kept, since a job names at least the newest version logged before it.
    pub fn newest_configuration(&self) -> u64 {
        self.newest_configuration
    }

    fn record_configuration(&mut self, version: u64) {
        self.newest_configuration = self.newest_configuration.max(version);
    }

    fn accept_job(&mut self, now: Time, first_index: u64, spec: AcceptJob) -> Applied {
        self.record_configuration(spec.configuration);
        if self.jobs.contains_key(&spec.job) {
            return Applied::Nothing;
        }
        let id = spec.job.clone();
        let name: Rc<str> = Rc::from(id.as_str());
        for (index, item) in spec.items.iter().enumerate() {
            let jobs = self.jobs_by_item.entry(item.id.clone()).or_default();
            jobs.push((name.clone(), index));
        }
        let job = Job::new(spec, now, first_index);
        self.jobs.insert(id.clone(), job);
        Applied::Accepted(id)
    }

    fn list_results(&mut self, now: Time, index: u64, list: ListResults) -> Applied {
        let Some(job) = self.jobs.get_mut(&list.job).filter(|job| !job.ended) else {
            return Applied::Nothing;
        };
        let before = job.results.len();
        let name: Rc<str> = Rc::from(list.job.as_str());
        for result in list.results {
            let item = result.item as usize;
            // The first listed result of an item is final.
            if item >= job.spec.items.len() || job.positions.contains_key(&item) {
                continue;
            }
            let logged = job.progress.get(&item);
            let count = result.logged_events as usize;
            let Some(text) = join_text(logged, count, result.text) else {
                log::error!("step=list-result job={} item={item} error=gap", list.job);
                continue;
            };
            job.progress.remove(&item);
            let events = job.logged.remove(&item).filter(|_| count > 0);
            let events = events.unwrap_or_default();
            self.recent.push(&name, job.results.len(), text.len());
            job.positions.insert(item, job.results.len());
            job.results.push(StoredResult {
                item,
                completed: result.completed,
                text: ListedText::new(text, events, count, index),
                versions: result.versions,
                score: result.score,
                known_since: now,
            });
        }
        if job.results.len() == before {
            return Applied::Nothing;
        }
        self.evict_recent_texts();
        Applied::Listed(list.job)
    }

    /// Evicts the oldest listed texts while they exceed the limit.
    fn evict_recent_texts(&mut self) {
        if self.log.is_none() {
            return;
        }
        while let Some((job, position)) = self.recent.pop_over_limit(MAX_RECENT_TEXT_BYTES) {
            let job = self.jobs.get_mut(&*job);
            let result = job.and_then(|job| job.results.get_mut(position));
            if let Some(result) = result {
                self.recent.release(result.text.resident_bytes());
                result.text.evict();
            }
        }
    }

    /// Appends events to partial texts. A record that does not continue the known events was
    /// proposed by a deposed leader and is ignored.
    fn append_progress(&mut self, entry: u64, progress: KeepProgress) -> Applied {
        let Some(job) = self.jobs.get_mut(&progress.job) else {
            return Applied::Nothing;
        };
        for item in progress.items {
            let index = item.item as usize;
            if index >= job.spec.items.len() || job.positions.contains_key(&index) {
                continue;
            }
            if item.failures > 0 || item.reward_failures > 0 {
                let known = job.failures.entry(index).or_default();
                known.runs = known.runs.max(item.failures as u32);
                known.reward_calls = known.reward_calls.max(item.reward_failures as u32);
            }
            if item.events.is_empty() && !item.whole {
                continue;
            }
            let text = job.progress.entry(index).or_default();
            if text.events.len() as u64 != item.logged_events {
                continue;
            }
            let events = item.events.into_iter().map(|event| TextEvent {
                version: event.version,
                data: Bytes::from(event.data),
            });
            text.events.extend(events);
            text.last_event = Some(item.last_event);
            text.complete |= item.whole;
            job.logged.entry(index).or_default().entries.push(entry);
        }
        Applied::Nothing
    }

    fn end_job(&mut self, id: &str) -> Applied {
        match self.jobs.get_mut(id) {
            Some(job) if !job.ended => {
                job.ended = true;
                if self.log.is_some() {
                    job.drop_request_payloads();
                }
                if !job.progress.is_empty() {
                    self.ended_with_progress.push_back(id.to_string());
                    self.evict_ended_progress();
                }
                Applied::Ended(id.to_string())
            }
            _ => Applied::Nothing,
        }
    }

    /// Drops partial texts of the jobs that ended first while they exceed the limit.
    fn evict_ended_progress(&mut self) {
        let jobs = &self.jobs;
        self.ended_with_progress
            .retain(|job| jobs.contains_key(job));
        let ended = self.ended_with_progress.iter();
        let mut bytes: usize = ended.map(|job| jobs[job].progress_bytes()).sum();
        while bytes > MAX_ENDED_PROGRESS_BYTES {
            let first = self.ended_with_progress.pop_front();
            let Some(job) = first.and_then(|job| self.jobs.get_mut(&job)) else {
                return;
            };
            bytes -= job.progress_bytes();
            job.progress.clear();
            job.logged.clear();
        }
    }

    pub fn clear(&mut self) {
        self.newest_configuration = 0;
        self.ended_with_progress.clear();
        self.jobs.clear();
        self.jobs_by_item.clear();
        self.recent.clear();
    }

    pub fn get(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// All jobs, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Job)> {
        self.jobs.iter()
    }

    /// Drops ended jobs older than `keep` and open jobs older than twice that. Returns the
    /// index up to which the log may be truncated.
    pub fn expire(&mut self, now: Time, keep: Duration, applied: u64) -> u64 {
        let keep_open = Duration(keep.0 * 2);
        let recent = &mut self.recent;
        self.jobs.retain(|_, job| {
            let age = now.since(job.known_since);
            let is_kept = age < keep || (!job.ended && age < keep_open);
            if !is_kept {
                let texts = job
                    .results
                    .iter()
                    .map(|result| result.text.resident_bytes());
                recent.release(texts.sum());
            }
            is_kept
        });
        let jobs = &self.jobs;
        self.recent.retain(|job| jobs.contains_key(job));
        self.jobs_by_item.retain(|_, ids| {
            ids.retain(|(job, _)| jobs.contains_key(&**job));
            !ids.is_empty()
        });
        let oldest = self.jobs.values().map(|job| job.first_index).min();
        oldest.map_or(applied, |index| index.saturating_sub(1))
    }

    /// Whether another job of the same tenant contains the item too.
    pub fn is_resubmitted(&self, job: &str, item: usize) -> bool {
        let Some(own) = self.jobs.get(job).map(|job| &job.spec) else {
            return false;
        };
        let jobs = own
            .items
            .get(item)
            .and_then(|item| self.jobs_by_item.get(&item.id));
        let mut others = jobs.into_iter().flatten().filter(|(id, _)| **id != *job);
        others.any(|(id, _)| {
            self.jobs
                .get(&**id)
                .is_some_and(|other| other.spec.tenant == own.tenant)
        })
    }

    /// Text that another job of the same tenant holds of an item with the same id and body.
    pub fn prior_text(&self, job: &str, item: usize) -> Option<PriorText<'_>> {
        let own = &self.jobs.get(job)?.spec;
        let (tenant, spec) = (own.tenant.as_str(), own.items.get(item)?);
        let others = self.jobs_by_item.get(&spec.id)?.iter();
        let mut texts = others
            .filter(|(id, _)| **id != *job)
            .filter_map(|(id, index)| {
                let other = self.jobs.get(&**id)?;
                let is_same = other.spec.tenant == tenant && other.has_body(*index, &spec.body);
                is_same.then(|| other.prior_text(*index, id))?
            });
        texts.next()
    }
}

/// Joins the first `count` logged events and the rest of the text from the result; none if
/// fewer events are logged.
fn join_text(logged: Option<&PartialText>, count: usize, added: Vec<u8>) -> Option<Bytes> {
    if count == 0 {
        return Some(Bytes::from(added));
    }
    let logged = logged.filter(|text| text.events.len() >= count)?;
    Some(Bytes::from(logged.joined_with(count, &added)))
}
