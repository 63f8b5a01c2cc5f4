//! Replica messages, and the execution of a replica's output.

use peatgrade_jobs::Applied;
use peatgrade_ports::Instance;
use peatgrade_replication::{Outgoing, ReplicaId, Role};
use peatgrade_runtime::Delivery;
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{ReplicaMessage, WrongReplica};
use peatgrade_schema::{decode, encode};
use peatgrade_types::{Duration, Time};

use crate::clock::steady_now;
use crate::ServerError;

use super::process::StorageProcess;
use super::traffic::{self, ZoneScope};

/// Estimated size of a log record without its command.
const RECORD_OVERHEAD_BYTES: u64 = 64;
/// Bytes that one iteration copies during a log rewrite. Heartbeats, sent every 45 ms, wait for
/// the copy and its sync.
const REWRITE_STEP_BYTES: u64 = 1024 * 1024;

/// Maximum time that one iteration processes replica output; heartbeats are sent every 45 ms.
const MAX_PROCESSING_TIME: Duration = Duration::from_millis(20);

impl StorageProcess {
    pub(super) fn on_message(&mut self, bytes: &[u8]) {
        let Ok(message) = decode::<ReplicaMessage>(bytes) else {
            return log::warn!("step=decode-message bytes={}", bytes.len());
        };
        self.link.record_received(&message.from_address);
        let now = steady_now();
        match message.body {
            OneOfbody::job_call(call) => {
                self.caller_zones.insert(&message.from_address, &call.zone);
                let zone_scope = ZoneScope::between(&self.settings.zone, &call.zone);
                traffic::count(&self.metrics, "job_call", zone_scope, bytes.len());
                self.on_job_call(now, &message.from_address, call);
            }
            OneOfbody::wrong_replica(wrong_replica) => self.on_wrong_replica(now, wrong_replica),
            OneOfbody::mirror_request(request) => {
                self.on_mirror_request(now, &message.from_address, request);
            }
            OneOfbody::crash_report(report) => {
                self.on_crash_report(now, &message.from_address, &report);
            }
            OneOfbody::engine_observations(observations) => {
                self.on_member_observations(now, &observations)
            }
            OneOfbody::usage_batch(batch) => {
                self.on_usage_batch(now, &message.from_address, batch);
            }
            OneOfbody::mirror_reply(reply) => self.on_mirror_reply(now, reply),
            OneOfbody::job_reply(_) | OneOfbody::usage_ack(_) | OneOfbody::None => {}
            _ if message.to != self.replica.id().0 => {
                let wrong_replica = WrongReplica {
                    member: Some(self.own_member()),
                    empty: self.replica.members().is_empty(),
                };
                self.send(Outgoing {
                    to: ReplicaId(message.from),
                    address: message.from_address,
                    term: 0,
                    body: OneOfbody::wrong_replica(wrong_replica),
                });
            }
            _ => self.replica.step(now, message),
        }
    }

    fn on_wrong_replica(&mut self, now: Time, wrong_replica: WrongReplica) {
        if let Some(member) = wrong_replica.member {
            let (name, replica) = (member.name.clone(), ReplicaId(member.replica));
            let members = self.replica.members();
            if members.is_empty() {
                self.identified_machines.record(&member);
            }
            if self
                .membership_planner
                .record_self_report(now, member, &members)
            {
                log::info!("belief=machine name={name} replica={replica} told_by=itself");
            }
        }
    }

    pub(super) fn send(&mut self, outgoing: Outgoing) {
        let message = ReplicaMessage {
            from: self.replica.id().0,
            to: outgoing.to.0,
            term: outgoing.term,
            from_address: self.settings.peer_address.clone(),
            body: outgoing.body,
        };
        let delivery = delivery_of(&message.body);
        let bytes = encode(&message);
        let zone = self.zone_of_replica(outgoing.to);
        let zone_scope = ZoneScope::between(&self.settings.zone, &zone);
        traffic::count(
            &self.metrics,
            traffic::message_kind(&message.body),
            zone_scope,
            bytes.len(),
        );
        self.link.send(&outgoing.address, bytes, delivery);
    }

    fn zone_of_replica(&self, replica: ReplicaId) -> String {
        let members = self.replica.members();
        let member = members.into_iter().find(|m| m.replica == replica.0);
        member.map(|member| member.zone).unwrap_or_default()
    }

    pub(super) fn reply(&mut self, address: &str, body: OneOfbody) {
        self.reply_with_delivery(address, body, Delivery::Stream);
    }

    /// Like `reply`, but the message may be lost: a small one is sent as a datagram.
    pub(super) fn reply_best_effort(&mut self, address: &str, body: OneOfbody) {
        self.reply_with_delivery(address, body, Delivery::Datagram);
    }

    fn reply_with_delivery(&mut self, address: &str, body: OneOfbody, delivery: Delivery) {
        let message = ReplicaMessage {
            from: self.replica.id().0,
            to: 0,
            term: self.replica.term(),
            from_address: self.settings.peer_address.clone(),
            body,
        };
        let bytes = encode(&message);
        let zone_scope = ZoneScope::between(&self.settings.zone, self.caller_zones.get(address));
        traffic::count(
            &self.metrics,
            traffic::message_kind(&message.body),
            zone_scope,
            bytes.len(),
        );
        self.link.send(address, bytes, delivery);
    }

    /// Sends, persists and applies the replica's output. Stops early when the iteration's time is
    /// used up, since the whole log is applied after a start.
    pub(super) fn process_ready(&mut self) -> Result<(), ServerError> {
        let began = steady_now();
        while self.replica.has_ready() && steady_now().since(began) < MAX_PROCESSING_TIME {
            let ready = self.replica.ready();
            for message in ready.immediate_messages {
                self.send(message);
            }
            if let Some(base) = ready.base {
                if self.log_file.is_rewriting() {
                    log::info!("step=rewrite-log phase=abandon base={}", base.index);
                }
                self.log_file.reset(&self.replica.hard_state(), base)?;
            }
            let started = steady_now();
            self.log_file.append(ready.state.as_ref(), &ready.entries)?;
            if ready.state.is_some() || !ready.entries.is_empty() {
                let took = steady_now().since(started);
                let work = &mut self.iteration_monitor.work;
                work.synced = work.synced + took;
                self.metrics.sync_seconds.observe(took.as_secs_f64());
            }
            self.replica.on_persisted();
            for message in ready.persisted_messages {
                self.send(message);
            }
            if ready.reset_state_machine {
                log::info!("step=reset-state index={}", self.replica.log().base().index);
                self.jobs.clear();
                self.usage.ledger.clear();
            }
            let now = steady_now();
            for entry in ready.committed {
                if entry.members.is_some() {
                    self.log_members();
                }
                self.iteration_monitor.work.applied += 1;
                let applied = self.jobs.apply(now, entry.index, &entry.command);
                self.on_command_applied(now, entry.index, entry.term, applied);
            }
        }
        Ok(())
    }

    fn log_members(&self) {
        let members = self.replica.members();
        let names: Vec<String> = members
            .iter()
            .map(|m| format!("{}:{}:{}", m.name, ReplicaId(m.replica), m.voter))
            .collect();
        log::info!("belief=members set={}", names.join(","));
    }

    fn on_command_applied(&mut self, now: Time, index: u64, term: u64, applied: Applied) {
        match applied {
            Applied::Accepted(job) => {
                self.metrics.count("job_accepted");
                if self.has_leader_session() {
                    self.open_job(&job);
                }
                self.calls.accepted(&job);
            }
            Applied::Listed(job) => {
                self.metrics.count("results_listed");
                self.dispatcher.on_results_committed(&job, &self.jobs);
                self.calls.listed(&job);
            }
            Applied::Ended(job) => {
                self.metrics.count("job_ended");
                log::info!("belief=ended job={job} leads={}", self.has_leader_session());
                self.pending_ends.remove_committed(&job);
                self.dispatcher.end_job(now, &job, &mut self.directory);
                self.calls.ended(&job);
            }
            Applied::Ordered {
                engine,
                fence,
                holder,
            } => {
                let instance = Instance(engine.clone());
                self.orders.record(now, &instance, &holder, fence);
                self.send_committed_order(now, &engine, fence);
            }
            Applied::Usage(command) => self.on_usage_command(now, index, term, command),
            Applied::Nothing => {}
        }
    }

    pub(super) fn expire_jobs(&mut self, now: Time) -> Result<(), ServerError> {
        let retention = Duration::from_millis(self.settings.job_keep_ms);
        let applied = self.replica.applied_index();
        // Open jobs are kept twice as long as ended ones.
        self.expire_end_requests(now, Duration(retention.0 * 2));
        let trimmable = self.jobs.expire(now, retention, applied);
        let usage = self.usage.ledger.first_needed_index(now);
        let trimmable = usage.map_or(trimmable, |first| trimmable.min(first.saturating_sub(1)));
        if self.replica.trim(trimmable) {
            self.log_file.trim(trimmable + 1);
            log::debug!("step=trim index={trimmable}");
        }
        self.start_log_rewrite(now)
    }

    fn start_log_rewrite(&mut self, now: Time) -> Result<(), ServerError> {
        let (retained, file_bytes) = (self.log_bytes(), self.log_file.length());
        let is_due = file_bytes > retained + self.limits.rewrite_threshold_bytes();
        if self.log_file.is_rewriting() || !is_due {
            return Ok(());
        }
        let state = self.replica.hard_state();
        if !self.log_file.begin_rewrite(&state, self.replica.log())? {
            log::warn!("step=rewrite-log phase=put-off file_bytes={file_bytes}");
            return Ok(());
        }
        self.log_rewrite_started = now;
        let bytes = self.log_file.rewrite_length();
        log::info!("step=rewrite-log phase=begin file_bytes={file_bytes} bytes={bytes}");
        Ok(())
    }

    /// Copies the next part of an active log rewrite. Copying all of it in one iteration would
    /// delay heartbeats.
    pub(super) fn continue_log_rewrite(&mut self) -> Result<(), ServerError> {
        if !self.log_file.is_rewriting() {
            return Ok(());
        }
        if self.log_file.continue_rewrite(REWRITE_STEP_BYTES)? {
            let took = steady_now().since(self.log_rewrite_started);
            log::info!(
                "step=rewrite-log phase=end bytes={} took_ms={}",
                self.log_file.length(),
                took.as_millis()
            );
        }
        Ok(())
    }

    /// Estimated size of the log entries that must be retained.
    pub(super) fn log_bytes(&self) -> u64 {
        let log = self.replica.log();
        log.command_bytes() + log.len() as u64 * RECORD_OVERHEAD_BYTES
    }

    /// Like `log_bytes`, but at least the size of an active rewrite's new file, which still
    /// contains entries trimmed since the rewrite started.
    pub(super) fn disk_bytes(&self) -> u64 {
        self.log_bytes().max(self.log_file.rewrite_length())
    }

    pub(super) fn log_role_changes(&mut self) {
        let role = self.replica.role();
        if role != self.last_role {
            self.metrics.count("role_change");
            let candidate = |role| matches!(role, Role::PreCandidate | Role::Candidate);
            if !(candidate(role) && candidate(self.last_role)) {
                log::info!("belief=role role={role:?} term={}", self.replica.term());
            }
            self.last_role = role;
        }
        let leader = self.replica.leader_address().map(str::to_string);
        if leader != self.last_leader {
            log::info!(
                "belief=leader address={} term={}",
                leader.as_deref().unwrap_or("none"),
                self.replica.term()
            );
            self.last_leader = leader;
        }
    }
}

/// Log entries are always sent over the connection: a datagram could overtake earlier
/// entries, and the follower would reject it and make the leader resend all of them. Other
/// messages may be reordered.
fn delivery_of(body: &OneOfbody) -> Delivery {
    match body {
        OneOfbody::append_request(append) if !append.entries.is_empty() => Delivery::Stream,
        _ => Delivery::Datagram,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/delivery.rs"]
mod tests;
