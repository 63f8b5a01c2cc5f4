//! Requests to end jobs: accepted by any replica and kept until they are committed.

use peatgrade_jobs::EndRequest;
use peatgrade_schema::replication::mod_JobCall::OneOfbody as CallBody;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody as CommandBody;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{EndJob, JobCall, JobStatus};
use peatgrade_types::{Duration, Time};

use super::job_calls::Caller;
use super::process::StorageProcess;

/// Call number of an end request forwarded by a replica, which awaits no reply.
const NO_REPLY_CALL: u64 = 0;

impl StorageProcess {
    /// Keeps an end request until it is committed. Group members also write it to disk.
    pub(super) fn record_end_request(&mut self, now: Time, call: u64, end: &EndRequest) {
        let job = self.jobs.get(&end.job);
        if call == NO_REPLY_CALL && job.is_none() {
            // The forwarding replica keeps the request and retries if the job is accepted later.
            return;
        }
        let is_obsolete = job.is_some_and(|job| job.ended || !job.is_accessible_to(&end.tenant));
        if is_obsolete || !self.pending_ends.insert(now, end.clone()) {
            return;
        }
        let job = &end.job;
        log::info!(
            "belief=end-asked job={job} leads={}",
            self.has_leader_session()
        );
        if !self.member_watches.get() {
            return;
        }
        if let Err(error) = self.end_request_file.add(end) {
            // The request is still held in memory and by other replicas that received it.
            log::error!("step=write-asked-end job={job} error={error}");
        }
    }

    /// Syncs the end requests received in this iteration to disk.
    pub(super) fn sync_end_requests(&mut self) {
        if let Err(error) = self.end_request_file.sync() {
            log::error!("step=sync-asked-ends error={error}");
        }
    }

    /// Drops expired and obsolete end requests from memory and disk.
    pub(super) fn expire_end_requests(&mut self, now: Time, retention: Duration) {
        self.pending_ends.expire(now, retention);
        if self.has_leader_session() && self.replica.can_serve(now) {
            self.pending_ends.expire_unknown(now, &self.jobs);
        }
        if let Err(error) = self.end_request_file.compact(self.pending_ends.requests()) {
            log::error!("step=rewrite-asked-ends error={error}");
        }
    }

    /// Handles an end request from a gateway or another replica on the leader.
    pub(super) fn on_end_call(&mut self, now: Time, caller: Caller, end: EndRequest) {
        // An unknown job may still be in an uncommitted log entry.
        self.record_end_request(now, caller.call, &end);
        let Some(job) = self.accessible_job(&end.job, &end.tenant) else {
            return self.reply_status(&caller, JobStatus::UNKNOWN_JOB);
        };
        if job.ended {
            return self.reply_status(&caller, JobStatus::OK);
        }
        self.calls
            .end_callers
            .entry(end.job)
            .or_default()
            .push(caller);
        self.end_requested_jobs(now);
    }

    /// Stops dispatching each open job with an end request and proposes its end to the log.
    /// The work stops at once, even if the commit fails.
    pub(super) fn end_requested_jobs(&mut self, now: Time) {
        let term = self.replica.term();
        for id in self.pending_ends.take_unproposed(term, &self.jobs) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            log::info!(
                "decision=end job={id} listed={} items={} term={term}",
                job.results.len(),
                job.spec.items.len()
            );
            self.dispatcher.end_job(now, &id, &mut self.directory);
            let cancellations = self.dispatcher.take_actions();
            self.execute_dispatch(cancellations);
            self.propose(now, CommandBody::end(EndJob { job: id }));
        }
    }

    /// Forwards end requests to the leader: the gateway that sent them may not reach the
    /// leader or may have stopped.
    pub(super) fn forward_end_requests(&mut self, now: Time) {
        if self.has_leader_session() || self.pending_ends.is_empty() {
            return;
        }
        let leader = self.replica.leader_address().map(str::to_string);
        let Some(leader) = leader.filter(|leader| *leader != self.settings.peer_address) else {
            return;
        };
        for EndRequest { job, tenant } in self.pending_ends.take_due_forwards(now) {
            log::info!("decision=pass-on call=end job={job} leader={leader}");
            let call = JobCall {
                call: NO_REPLY_CALL,
                zone: self.settings.zone.clone(),
                tenant,
                body: CallBody::end(EndJob { job }),
            };
            self.reply(&leader, OneOfbody::job_call(call));
        }
    }
}
