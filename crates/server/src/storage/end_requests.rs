//! Ends of jobs: heard by any replica, kept until they are committed.

use peatgrade_jobs::EndRequest;
use peatgrade_schema::replication::mod_JobCall::OneOfbody as CallBody;
use peatgrade_schema::replication::mod_JobCommand::OneOfbody as CommandBody;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{EndJob, JobCall, JobStatus};
use peatgrade_types::{Duration, Time};

use super::job_calls::Caller;
use super::process::StorageProcess;

/// Call of a replica that passes an end on: nobody waits for its answer.
const NO_REPLY_CALL: u64 = 0;

impl StorageProcess {
    /// Takes note of an end that was asked for, until it is committed; a member of the
    /// group keeps it on disk too.
    pub(super) fn record_end_request(&mut self, now: Time, call: u64, end: &EndRequest) {
        let job = self.jobs.get(&end.job);
        if call == NO_REPLY_CALL && job.is_none() {
            // Whoever passed it on keeps it, and comes again if the job is accepted yet.
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
            // It is kept in memory, and by each other replica that was reached.
            log::error!("step=write-asked-end job={job} error={error}");
        }
    }

    /// Waits once for the disk to have all ends that this turn has heard of.
    pub(super) fn sync_end_requests(&mut self) {
        if let Err(error) = self.end_request_file.sync() {
            log::error!("step=sync-asked-ends error={error}");
        }
    }

    /// Drops ends that nobody waits for any more, from memory and from disk.
    pub(super) fn expire_end_requests(&mut self, now: Time, keep: Duration) {
        self.pending_ends.expire(now, keep);
        if self.has_leader_session() && self.replica.can_serve(now) {
            self.pending_ends.expire_unknown(now, &self.jobs);
        }
        if let Err(error) = self.end_request_file.compact(self.pending_ends.requests()) {
            log::error!("step=rewrite-asked-ends error={error}");
        }
    }

    /// A gateway or another replica asks for the end of a job, of this leader.
    pub(super) fn on_end_call(&mut self, now: Time, caller: Caller, end: EndRequest) {
        // A job that is unknown may be on its way into the log.
        self.record_end_request(now, caller.call, &end);
        let Some(job) = self.accessible_job(&end.job, &end.tenant) else {
            return self.reply_status(&caller, JobStatus::UNKNOWN_JOB);
        };
        if job.ended {
            return self.reply_status(&caller, JobStatus::OK);
        }
        self.calls.ends.entry(end.job).or_default().push(caller);
        self.end_requested_jobs(now);
    }

    /// Stops the work of each open job whose end was asked for, and puts the end into
    /// the log: nothing of it is wanted any more, whatever becomes of the commit.
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
            let dropped = self.dispatcher.take_actions();
            self.execute_dispatch(dropped);
            self.propose(now, CommandBody::end(EndJob { job: id }));
        }
    }

    /// Passes on to the leader what this replica has heard: the gateway that told it
    /// may not reach the leader, or be gone.
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
