//! Relays batch-job calls to the leader of the replica group.
//!
//! A call that was sent may have been executed even if no reply arrived, so a submission is
//! refused as not run only if it was never sent.
//!
//! An EndJob call is sent to all replicas at once: each retains it until it is committed, so
//! it survives the loss of this gateway or the leader. It is retried until a leader has
//! confirmed it, since engines would otherwise keep running an abandoned job, and is therefore
//! never refused as not run. Once its caller has disconnected or was answered, it goes on as
//! a detached call.
//!
//! A gateway without contact to any replica is isolated, while other gateways may not be. It
//! refuses other calls at once, so that callers retry at another gateway.

use peatgrade_forward::CallId;
use peatgrade_ports::CallerResponse;
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{JobCall, JobReply, JobStatus};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

mod answers;
mod pending_call;
mod settings;

use answers::{answer_from_reply, unanswered_call};
pub(crate) use pending_call::log_subject;
use pending_call::PendingCall;
pub use settings::RelaySettings;

use crate::gateway::GatewayAction;

/// Detached calls beyond this limit are dropped, oldest first. A trainer has a few jobs open, so
/// this is far more than one outage leaves.
const MAX_DETACHED_CALLS: usize = 1_024;

/// Time without a leader after which replicas are looked up in the object store while a
/// caller waits. Covers two elections.
const REPLICA_LOOKUP_DELAY: Duration = Duration::from_millis(700);
/// The same while there are only detached calls. Longer, because each lookup is a call to the
/// store and replicas forward EndJob calls among themselves.
const DETACHED_REPLICA_LOOKUP_DELAY: Duration = Duration::from_secs(10);

/// Relays batch-job calls and tracks those in flight.
pub struct JobRelay {
    settings: RelaySettings,
    zone: String,
    replicas: Vec<String>,
    leader: Option<String>,
    /// A replica in this zone that can serve reads, as named by the leader.
    local_replica: Option<String>,
    local_backoff_until: Time,
    calls: BTreeMap<u64, PendingCall>,
    next_call_id: u64,
    leaderless_since: Option<Time>,
    /// When a replica last sent a message; none before the first contact, since a starting
    /// gateway does not count as isolated.
    last_contact: Option<Time>,
}

impl JobRelay {
    /// Creates a relay in `zone` without replicas.
    ///
    /// Call ids count up from `first_call_id`, which must differ between process starts, so
    /// that a late reply to an earlier process does not match a call of this one.
    pub fn new(settings: RelaySettings, zone: String, first_call_id: u64) -> Self {
        Self {
            settings,
            zone,
            replicas: Vec::new(),
            leader: None,
            local_replica: None,
            local_backoff_until: Time(0),
            calls: BTreeMap::new(),
            next_call_id: first_call_id,
            leaderless_since: Some(Time(0)),
            last_contact: None,
        }
    }

    /// Replaces the addresses of the replicas.
    pub fn set_replicas(&mut self, addresses: Vec<String>) {
        self.replicas = addresses;
    }

    /// Number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Whether no replica is known, or calls have found no leader for some time.
    pub fn needs_replica_lookup(&self, now: Time) -> bool {
        if self.replicas.is_empty() {
            return true;
        }
        let delay = if self.calls.values().any(|call| call.caller.is_some()) {
            REPLICA_LOOKUP_DELAY
        } else if !self.calls.is_empty() {
            DETACHED_REPLICA_LOOKUP_DELAY
        } else {
            return false;
        };
        let since = self.leaderless_since;
        since.is_some_and(|since| now.since(since) >= delay)
    }

    /// Records that a replica has sent a message.
    pub fn on_replica_contact(&mut self, now: Time) {
        self.last_contact = Some(now);
    }

    /// Whether contact to the replicas has been lost.
    fn is_isolated(&self, now: Time) -> bool {
        let last_contact = self.last_contact;
        last_contact.is_some_and(|at| now.since(at) >= self.settings.isolated_after)
    }

    /// Starts a call. Returns the answer if it is refused at once.
    pub fn start(
        &mut self,
        now: Time,
        caller: CallId,
        tenant: String,
        body: OneOfbody,
        wait: Duration,
        actions: &mut Vec<GatewayAction>,
    ) -> Option<CallerResponse> {
        let id = self.next_call_id;
        self.next_call_id += 1;
        let pending = PendingCall {
            caller: Some(caller),
            tenant,
            body,
            wait,
            started: now,
            next_send_at: now,
            was_sent: false,
            attempts: 0,
            at_local_replica: false,
            awaiting: None,
            unanswered_copies: 0,
        };
        if self.is_isolated(now) && !pending.is_end_call() {
            pending.log_outcome("refuse", "cut-off", now);
            return Some(unanswered_call(&pending));
        }
        self.log_start(&pending);
        self.calls.insert(id, pending);
        self.send(now, id, actions);
        None
    }

    fn log_start(&self, pending: &PendingCall) {
        // Reads are too frequent to log.
        if pending.is_write() {
            log::info!(
                "decision=relay {} leader={}",
                pending.log_subject(),
                self.leader.as_deref().unwrap_or("none")
            );
        }
    }

    fn send(&mut self, now: Time, id: u64, actions: &mut Vec<GatewayAction>) {
        let Some(pending) = self.calls.get_mut(&id) else {
            return;
        };
        let count = self.replicas.len();
        let is_first_read = matches!(pending.body, OneOfbody::read(_)) && pending.attempts == 0;
        let local_replica = self.local_replica.as_ref();
        let local_replica =
            local_replica.filter(|_| is_first_read && now >= self.local_backoff_until);
        pending.at_local_replica = local_replica.is_some();
        let address = match local_replica.or(self.leader.as_ref()) {
            Some(address) => address.clone(),
            None if count > 0 => self.replicas[(pending.attempts + id as usize) % count].clone(),
            None => {
                pending.next_send_at = now + self.settings.retry_delay;
                return;
            }
        };
        let mut addresses = vec![address.clone()];
        if pending.is_end_call() {
            let others = self.replicas.iter().filter(|other| **other != address);
            addresses.extend(others.cloned());
        }
        pending.attempts += 1;
        pending.unanswered_copies += addresses.len();
        pending.awaiting = Some((address, now));
        pending.was_sent = true;
        pending.next_send_at = match (pending.at_local_replica, pending.caller) {
            (true, _) => now + self.settings.local_reply_timeout,
            (false, None) => now + self.settings.detached_retry_interval,
            (false, Some(_)) => now + self.settings.reply_timeout + pending.wait,
        };
        let call = JobCall {
            call: id,
            zone: self.zone.clone(),
            tenant: pending.tenant.clone(),
            body: pending.body.clone(),
        };
        // The call may be large, so it is not copied more often than it is sent.
        let last = addresses.pop();
        for address in addresses {
            let call = call.clone();
            actions.push(GatewayAction::SendJobCall { address, call });
        }
        actions.extend(last.map(|address| GatewayAction::SendJobCall { address, call }));
    }

    /// Handles a replica's reply. Returns the caller's answer if the call is finished.
    pub fn on_reply(
        &mut self,
        now: Time,
        from: &str,
        reply: JobReply,
        actions: &mut Vec<GatewayAction>,
    ) -> Option<(CallId, CallerResponse)> {
        self.last_contact = self.last_contact.map(|_| now);
        if matches!(reply.status, JobStatus::NOT_LEADER) {
            return self.on_not_leader(now, from, &reply, actions);
        }
        // Only the leader's replies say which replica, if any, serves reads in this zone.
        if !reply.follows {
            self.leader = Some(from.to_string());
            self.leaderless_since = None;
            self.local_replica =
                Some(reply.near_address.clone()).filter(|address| !address.is_empty());
        }
        let pending = self.calls.remove(&reply.call)?;
        let caller = pending.caller;
        if pending.is_write() {
            let outcome = format!("{:?}", reply.status);
            pending.log_outcome("relayed", &outcome, now);
        }
        let is_last_copy = pending.unanswered_copies <= 1;
        if matches!(reply.status, JobStatus::NO_ROOM) && !is_last_copy {
            // Another copy of the submission may still be accepted.
            return Some((caller?, unanswered_call(&pending)));
        }
        let answer = answer_from_reply(&pending.body, reply);
        Some((caller?, answer))
    }

    fn on_not_leader(
        &mut self,
        now: Time,
        from: &str,
        reply: &JobReply,
        actions: &mut Vec<GatewayAction>,
    ) -> Option<(CallId, CallerResponse)> {
        let known = !reply.leader_address.is_empty() && reply.leader_address != from;
        if known {
            if self.leader.as_deref() != Some(reply.leader_address.as_str()) {
                log::info!(
                    "belief=leader address={} told_by={from}",
                    reply.leader_address
                );
            }
            self.leader = Some(reply.leader_address.clone());
        } else if self.leader.as_deref() == Some(from) {
            self.clear_leader(now);
        }
        let retry_delay = self.settings.retry_delay;
        let pending = self.calls.get_mut(&reply.call)?;
        pending.unanswered_copies = pending.unanswered_copies.saturating_sub(1);
        // The replica has replied, so it is not silent.
        pending.at_local_replica = false;
        if pending.awaiting.as_ref().is_some_and(|(to, _)| to == from) {
            pending.awaiting = None;
        }
        if pending.is_end_call() {
            // Every follower sends this reply to each copy. The leader has a copy too,
            // unless its address was unknown when the call was sent.
            let leader = &reply.leader_address;
            let leader_has_it = |(to, _): &(String, Time)| to == leader;
            let leader_has_it = pending.awaiting.as_ref().is_some_and(leader_has_it);
            if known && !leader_has_it && !self.replicas.contains(leader) {
                pending.next_send_at = pending.next_send_at.min(now + retry_delay);
            }
        } else if known && pending.attempts % 4 != 0 {
            self.send(now, reply.call, actions);
        } else {
            pending.next_send_at = now + retry_delay;
        }
        None
    }

    /// Sends reads to the leader for a while after the local replica did not answer.
    fn back_off_from_local_replica(&mut self, now: Time) {
        if let Some(address) = &self.local_replica {
            log::info!("belief=near-replica-silent address={address}");
        }
        self.local_backoff_until = now + self.settings.local_replica_backoff;
    }

    fn clear_leader(&mut self, now: Time) {
        if let Some(leader) = self.leader.take() {
            log::info!("belief=leader-lost address={leader}");
        }
        self.leaderless_since.get_or_insert(now);
    }

    /// Resends and expires calls that are due. Returns the answers to callers of expired
    /// calls.
    pub fn tick(
        &mut self,
        now: Time,
        actions: &mut Vec<GatewayAction>,
    ) -> Vec<(CallId, CallerResponse)> {
        let is_isolated = self.is_isolated(now);
        let due: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, pending)| {
                now >= pending.next_send_at || (is_isolated && !pending.is_end_call())
            })
            .map(|(id, _)| *id)
            .collect();
        let mut answers = Vec::new();
        for id in due {
            answers.extend(self.expire_call(now, id));
            let Some(pending) = self.calls.get(&id) else {
                continue;
            };
            let silent = pending.leader_timed_out(self.leader.as_deref(), now, &self.settings);
            if pending.at_local_replica {
                self.back_off_from_local_replica(now);
            } else if silent {
                // The leader did not answer in time, so other replicas are asked.
                self.clear_leader(now);
            }
            self.send(now, id, actions);
        }
        answers
    }

    /// Answers the caller of a call that has timed out, and drops a detached call once its
    /// job has expired at the replicas.
    fn expire_call(&mut self, now: Time, id: u64) -> Option<(CallId, CallerResponse)> {
        let pending = self.calls.get(&id)?;
        let age = now.since(pending.started);
        let is_isolated = self.is_isolated(now) && !pending.is_end_call();
        let Some(caller) = pending.caller else {
            if age >= self.settings.detached_ttl {
                pending.log_outcome("drop-call", "carried-too-long", now);
                self.calls.remove(&id);
            }
            return None;
        };
        let is_late = age >= self.settings.call_timeout + pending.wait;
        if !is_late && !is_isolated {
            return None;
        }
        let answer = unanswered_call(pending);
        let reason = if is_late { "no-answer" } else { "cut-off" };
        self.detach_call(now, id, reason);
        Some((caller, answer))
    }

    /// Handles a call that no caller waits for: an EndJob call is kept as a detached call,
    /// any other is dropped.
    fn detach_call(&mut self, now: Time, id: u64, reason: &str) {
        let Some(pending) = self.calls.get_mut(&id) else {
            return;
        };
        if !pending.is_end_call() {
            pending.log_outcome("drop-call", reason, now);
            self.calls.remove(&id);
            return;
        }
        pending.log_outcome("carry-on", reason, now);
        pending.caller = None;
        self.limit_detached_calls(now);
    }

    fn limit_detached_calls(&mut self, now: Time) {
        let detached = self.calls.iter().filter(|(_, call)| call.caller.is_none());
        let detached: Vec<u64> = detached.map(|(id, _)| *id).collect();
        if detached.len() <= MAX_DETACHED_CALLS {
            return;
        }
        // Ids increase, so the first is the oldest.
        if let Some(oldest) = self.calls.remove(&detached[0]) {
            oldest.log_outcome("drop-call", "too-many-carried", now);
        }
    }

    /// Handles the disconnect of a caller.
    pub fn on_caller_disconnected(&mut self, now: Time, caller: CallId) {
        let calls = self.calls.iter();
        let disconnected = calls.filter(|(_, pending)| pending.caller == Some(caller));
        let disconnected: Vec<u64> = disconnected.map(|(id, _)| *id).collect();
        for id in disconnected {
            self.detach_call(now, id, "caller-gone");
        }
    }
}
