//! Batch-job calls forwarded by gateways.

use peatgrade_jobs::{EndRequest, Job};
use peatgrade_replication::ReplicaId;
use peatgrade_scheduling::Admission;
use peatgrade_schema::encode;
use peatgrade_schema::replication::mod_JobCall::OneOfbody as CallBody;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody as CommandBody;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{
    AcceptJob, JobCall, JobCommand, JobReply, JobStatus, ListedResult, ReadItem, ReadJob,
};
use peatgrade_types::{Duration, Time};
use std::collections::{BTreeSet, HashMap};

use crate::clock::steady_now;

use super::job_memory::bytes_of;
use super::process::StorageProcess;

/// Minimum age of results that a follower serves. Polling readers ask for newer results,
/// which only the leader serves, so a follower's lag does not delay them.
const FOLLOWER_READ_MIN_AGE: Duration = Duration::from_millis(2_000);
/// A replica is suggested to callers if it responded to the leader within this time.
const NEARBY_REPLICA_TIMEOUT: Duration = Duration::from_millis(200);

const MAX_READ_WAIT: Duration = Duration::from_millis(1_500);

/// Estimated size of a result in a reply without its text: ids, versions and framing.
const RESULT_OVERHEAD_BYTES: usize = 200;
/// Bytes that one reply may read back from the log, not counting the record that exceeds
/// the limit. Heartbeats, sent every 45 ms, wait for the reads.
const MAX_LOG_READ_BYTES: usize = 256 * 1024;

/// The sender of a call that awaits a reply.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    address: String,
    pub call: u64,
    /// Empty if no API key was required.
    pub tenant: String,
}

impl Caller {
    fn end_request(&self, job: String) -> EndRequest {
        EndRequest {
            job,
            tenant: self.tenant.clone(),
        }
    }
}

#[derive(Clone, Debug)]
struct PendingRead {
    caller: Caller,
    read: ReadJob,
    until: Time,
}

/// Calls that wait for a commit or for results.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    submit_callers: HashMap<String, Vec<Caller>>,
    pub end_callers: HashMap<String, Vec<Caller>>,
    pending_reads: Vec<PendingRead>,
    /// Jobs with commits since pending reads were last checked.
    changed: BTreeSet<String>,
    committed: Vec<Caller>,
}

impl PendingCalls {
    /// Whether another tenant's submission of the job awaits its commit.
    fn is_submitted_by_other(&self, job: &str, tenant: &str) -> bool {
        let first = self
            .submit_callers
            .get(job)
            .and_then(|callers| callers.first());
        first.is_some_and(|first| first.tenant != tenant)
    }

    pub fn accepted(&mut self, job: &str) {
        self.committed
            .extend(self.submit_callers.remove(job).unwrap_or_default());
    }

    pub fn ended(&mut self, job: &str) {
        self.committed
            .extend(self.end_callers.remove(job).unwrap_or_default());
        self.changed.insert(job.to_string());
    }

    pub fn listed(&mut self, job: &str) {
        self.changed.insert(job.to_string());
    }

    /// Removes all pending calls and returns their callers.
    fn take_callers(&mut self) -> Vec<Caller> {
        let submit_callers = self.submit_callers.drain().flat_map(|(_, callers)| callers);
        let ends = self.end_callers.drain().flat_map(|(_, callers)| callers);
        let mut all: Vec<Caller> = submit_callers.chain(ends).collect();
        all.extend(self.pending_reads.drain(..).map(|read| read.caller));
        all
    }
}

impl StorageProcess {
    pub(super) fn on_job_call(&mut self, now: Time, address: &str, call: JobCall) {
        let caller = Caller {
            address: address.to_string(),
            call: call.call,
            tenant: call.tenant,
        };
        if !self.replica.can_serve(now) || !self.has_leader_session() {
            if let CallBody::read(read) = &call.body {
                if self.can_serve_follower_read(now, &caller.tenant, read) {
                    self.metrics.count("read_by_follower");
                    return self.reply_results(&caller, read);
                }
            }
            if let CallBody::end(end) = call.body {
                let call = caller.call;
                self.record_end_request(now, call, &caller.end_request(end.job));
            }
            return self.reply_status(&caller, JobStatus::NOT_LEADER);
        }
        match call.body {
            CallBody::submit(submit) => self.on_submit(now, caller, submit),
            CallBody::read(read) => self.on_read(now, caller, read),
            CallBody::item(item) => self.on_read_item(&caller, &item),
            CallBody::end(end) => {
                let request = caller.end_request(end.job);
                self.on_end_call(now, caller, request);
            }
            CallBody::None => {}
        }
    }

    /// Whether this follower can serve a read: listed results never change.
    fn can_serve_follower_read(&self, now: Time, tenant: &str, read: &ReadJob) -> bool {
        let job = self.accessible_job(&read.job, tenant);
        job.is_some_and(|job| job.is_settled(now, read.position as usize, FOLLOWER_READ_MIN_AGE))
    }

    /// Returns a job if the tenant may access it. Other tenants' jobs are treated as unknown.
    pub(super) fn accessible_job(&self, job: &str, tenant: &str) -> Option<&Job> {
        let job = self.jobs.get(job);
        job.filter(|job| job.is_accessible_to(tenant))
    }

    /// Returns the address of a live replica in the caller's zone if this leader is in another
    /// zone, or an empty string.
    fn nearby_replica(&self, address: &str) -> String {
        let zone = self.caller_zones.get(address);
        if zone.is_empty() || zone == self.settings.zone || !self.has_leader_session() {
            return String::new();
        }
        let now = steady_now();
        let members = self.replica.members().into_iter();
        let mut nearby = members.filter(|member| {
            let progress = self.replica.progress(ReplicaId(member.replica));
            member.zone == zone
                && progress.is_some_and(|p| p.is_active(now, NEARBY_REPLICA_TIMEOUT))
        });
        nearby
            .next()
            .map(|nearby| nearby.address)
            .unwrap_or_default()
    }

    fn on_submit(&mut self, now: Time, caller: Caller, mut submit: AcceptJob) {
        if let Some(known) = self.jobs.get(&submit.job) {
            let status = match known.is_accessible_to(&caller.tenant) {
                true => JobStatus::OK,
                false => JobStatus::CONFLICT,
            };
            return self.reply_status(&caller, status);
        }
        let job = submit.job.clone();
        if self.calls.is_submitted_by_other(&job, &caller.tenant) {
            return self.reply_status(&caller, JobStatus::CONFLICT);
        }
        if !self.calls.submit_callers.contains_key(&job) {
            if let Some(pressure) = self.pressure {
                log::warn!("decision=refuse job={job} reason=pressure lacks={pressure}");
                self.metrics.count("job_refused");
                return self.reply_status(&caller, JobStatus::NO_ROOM);
            }
            let bytes = bytes_of(&submit);
            if !self.has_memory_for(now, bytes) {
                log::warn!("decision=refuse job={job} reason=pressure lacks=memory-for-its-size");
                self.metrics.count("job_refused");
                return self.reply_status(&caller, JobStatus::NO_ROOM);
            }
            let admission = self.evaluate_admission(now, &submit);
            if let Admission::Refused { retry_after } = admission {
                self.metrics.count("job_refused_no_time");
                return self.refuse_job(&caller, retry_after);
            }
            let told_by_gateway = submit.configuration;
            submit.configuration = self.newest_known_configuration(told_by_gateway);
            log::info!(
                "decision=accept job={job} accepted_under={} told_by_gateway={told_by_gateway} {} tenant={} items={} step={} model={} min_version={} desired={}",
                submit.configuration,
                self.describe_configuration(now),
                submit.tenant,
                submit.items.len(),
                submit.step,
                submit.model,
                submit.min_version,
                submit.desired
            );
            let command = JobCommand {
                body: CommandBody::accept(submit),
            };
            let Some(index) = self.replica.propose(now, encode(&command)) else {
                return self.reply_status(&caller, JobStatus::NOT_LEADER);
            };
            self.job_reservations.reserve(index, bytes);
        }
        self.calls
            .submit_callers
            .entry(job)
            .or_default()
            .push(caller);
    }

    /// Decides whether a submitted job can finish in time.
    fn evaluate_admission(&mut self, now: Time, submit: &AcceptJob) -> Admission {
        let (configuration, directory) = (&self.configuration, &self.directory);
        self.dispatcher
            .admit_job(now, submit, configuration, directory)
    }

    /// Refuses a job and tells the caller when to retry.
    fn refuse_job(&mut self, caller: &Caller, retry_after: Duration) {
        let reply = JobReply {
            call: caller.call,
            status: JobStatus::NO_ROOM,
            retry_after_ms: retry_after.as_millis(),
            leader_address: self.replica.leader_address().unwrap_or("").to_string(),
            near_address: self.nearby_replica(&caller.address),
            ..JobReply::default()
        };
        self.reply(&caller.address, OneOfbody::job_reply(reply));
    }

    fn on_read(&mut self, now: Time, caller: Caller, read: ReadJob) {
        let Some(job) = self.accessible_job(&read.job, &caller.tenant) else {
            return self.reply_status(&caller, JobStatus::UNKNOWN_JOB);
        };
        log::debug!(
            "decision=read job={} position={} wait_ms={} listed={}",
            read.job,
            read.position,
            read.wait_ms,
            job.results.len()
        );
        let has_results = (read.position as usize) < job.results.len();
        let complete = job.results.len() == job.spec.items.len() || job.ended;
        if has_results || complete || read.wait_ms == 0 {
            return self.reply_results(&caller, &read);
        }
        let wait = Duration::from_millis(read.wait_ms).min(MAX_READ_WAIT);
        self.calls.pending_reads.push(PendingRead {
            caller,
            read,
            until: now + wait,
        });
    }

    fn on_read_item(&mut self, caller: &Caller, item: &ReadItem) {
        let Some(job) = self.accessible_job(&item.job, &caller.tenant) else {
            return self.reply_status(caller, JobStatus::UNKNOWN_JOB);
        };
        let Some(index) = job.item_index(&item.item) else {
            return self.reply_status(caller, JobStatus::UNKNOWN_ITEM);
        };
        let Some(body) = self.jobs.body(job, index) else {
            log::error!("step=read-body job={} item={}", item.job, item.item);
            return self.reply_status(caller, JobStatus::NOT_LEADER);
        };
        let reply = JobReply {
            call: caller.call,
            status: JobStatus::OK,
            body,
            ..JobReply::default()
        };
        self.reply(&caller.address, OneOfbody::job_reply(reply));
    }

    pub(super) fn reply_status(&mut self, caller: &Caller, status: JobStatus) {
        let reply = JobReply {
            call: caller.call,
            status,
            leader_address: self.replica.leader_address().unwrap_or("").to_string(),
            near_address: self.nearby_replica(&caller.address),
            ..JobReply::default()
        };
        self.reply(&caller.address, OneOfbody::job_reply(reply));
    }

    fn reply_results(&mut self, caller: &Caller, read: &ReadJob) {
        let Some(job) = self.jobs.get(&read.job) else {
            return;
        };
        let from = (read.position as usize).min(job.results.len());
        let mut bytes = 0;
        let mut results = Vec::new();
        let mut texts = self.jobs.text_reader();
        for result in &job.results[from..] {
            bytes += result.text.len() + RESULT_OVERHEAD_BYTES;
            let is_budget_spent = texts.read_bytes() > MAX_LOG_READ_BYTES;
            let exceeds_read_budget = is_budget_spent && !texts.is_cached(&result.text);
            let is_full = bytes as u64 > read.max_bytes || exceeds_read_budget;
            if !results.is_empty() && is_full {
                break;
            }
            let Some(text) = texts.read(&read.job, result.item, &result.text) else {
                break;
            };
            results.push(ListedResult {
                item: job.spec.items[result.item].id.clone(),
                completed: result.completed,
                text: text.to_vec(),
                versions: result.versions.clone(),
                score: result.score.clone(),
            });
        }
        if results.is_empty() && from < job.results.len() {
            // The text cannot be read from the log here; another replica may have it.
            return self.reply_status(caller, JobStatus::NOT_LEADER);
        }
        let reply = JobReply {
            call: caller.call,
            status: JobStatus::OK,
            total: job.spec.items.len() as u64,
            position: read.position,
            results,
            follows: !self.has_leader_session(),
            near_address: self.nearby_replica(&caller.address),
            ..JobReply::default()
        };
        self.reply(&caller.address, OneOfbody::job_reply(reply));
    }

    /// Replies to calls whose commit, result or timeout has come.
    pub(super) fn reply_to_pending_calls(&mut self, now: Time) {
        for caller in std::mem::take(&mut self.calls.committed) {
            self.reply_status(&caller, JobStatus::OK);
        }
        let changed = std::mem::take(&mut self.calls.changed);
        if self.calls.pending_reads.is_empty() {
            return;
        }
        if !self.replica.can_serve(now) {
            return;
        }
        let pending_reads = std::mem::take(&mut self.calls.pending_reads);
        let (due, waiting): (Vec<_>, Vec<_>) = pending_reads
            .into_iter()
            .partition(|read| now >= read.until || changed.contains(&read.read.job));
        self.calls.pending_reads = waiting;
        for read in due {
            self.reply_results(&read.caller, &read.read);
        }
    }

    /// Fails all pending calls after this machine has stopped leading.
    pub(super) fn fail_pending_calls(&mut self) {
        for (job, callers) in &self.calls.end_callers {
            let count = callers.len();
            log::info!("decision=abandon call=end job={job} callers={count} reason=not-leading");
        }
        for caller in self.calls.take_callers() {
            self.reply_status(&caller, JobStatus::NOT_LEADER);
        }
    }
}
