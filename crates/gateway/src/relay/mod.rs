//! Calls about batch jobs, passed to the leader of the replica group.
//!
//! A call that has been sent may have been carried out, whatever became of its
//! answer; a submission that was never sent is refused as not run.
//!
//! The end of a job is told to all replicas at once: each keeps it until it is
//! committed, so that it outlives this gateway and the leader. It is carried on until a
//! leader has it, also when its caller has gone or was answered, since without it
//! engines go on with work that nobody wants. So it is never refused as not run.
//!
//! A gateway that has heard no replica for some time is cut off from them, and others
//! may not be: what it cannot pass on is refused at once, so that the caller asks there.

use peatgrade_forward::CallId;
use peatgrade_ports::Answer;
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{JobCall, JobReply, JobStatus};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

mod answers;
mod pending;
mod settings;

use answers::{answer_of, given_up};
pub(crate) use pending::subject_of;
use pending::Pending;
pub use settings::RelaySettings;

use crate::gateway::GatewayAction;

/// Ends without a caller that are carried on; the oldest give way. A trainer has a
/// few jobs open, so this is far more than may be asked for in one outage.
const MAX_CARRIED: usize = 1_024;

/// Time without a leader after which replicas are looked up in the object store, while
/// a caller waits: two elections.
const MISSES_LEADER_AFTER: Duration = Duration::from_millis(700);
/// The same while only ends without a caller wait: each look is a call to the store,
/// and replicas that have heard of the end pass it on among themselves.
const MISSES_LEADER_FOR_ENDS_AFTER: Duration = Duration::from_secs(10);

/// Batch-job calls under way.
pub struct JobRelay {
    settings: RelaySettings,
    zone: String,
    replicas: Vec<String>,
    leader: Option<String>,
    /// A replica in this zone that has listed results, as the leader says, and
    /// until when it is left alone.
    near: Option<String>,
    near_rests_until: Time,
    calls: BTreeMap<u64, Pending>,
    next_call: u64,
    leaderless_since: Option<Time>,
    /// When a replica was heard last, once one that tells news all the time was heard:
    /// before that this gateway just begins.
    heard: Option<Time>,
}

impl JobRelay {
    /// A relay in `zone` that knows no replica.
    ///
    /// Calls are numbered from `first_call` on. It must differ from life to life, or a
    /// late reply to a call of an earlier life would answer one of this life.
    pub fn new(settings: RelaySettings, zone: String, first_call: u64) -> Self {
        Self {
            settings,
            zone,
            replicas: Vec::new(),
            leader: None,
            near: None,
            near_rests_until: Time(0),
            calls: BTreeMap::new(),
            next_call: first_call,
            leaderless_since: Some(Time(0)),
            heard: None,
        }
    }

    /// Replaces the addresses to ask.
    pub fn set_replicas(&mut self, addresses: Vec<String>) {
        self.replicas = addresses;
    }

    /// Calls under way.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Whether no replica is known, or calls have found no leader for some time.
    pub fn needs_replica_lookup(&self, now: Time) -> bool {
        if self.replicas.is_empty() {
            return true;
        }
        let patience = if self.calls.values().any(|call| call.caller.is_some()) {
            MISSES_LEADER_AFTER
        } else if !self.calls.is_empty() {
            MISSES_LEADER_FOR_ENDS_AFTER
        } else {
            return false;
        };
        let since = self.leaderless_since;
        since.is_some_and(|since| now.since(since) >= patience)
    }

    /// A replica has sent news, which come all the time.
    pub fn on_replica_contact(&mut self, now: Time) {
        self.heard = Some(now);
    }

    /// Whether no replica has been heard for so long that others are to be asked.
    fn is_cut_off(&self, now: Time) -> bool {
        let heard = self.heard;
        heard.is_some_and(|heard| now.since(heard) >= self.settings.isolated_after)
    }

    /// Starts a call; its answer, if it is refused at once.
    pub fn start(
        &mut self,
        now: Time,
        caller: CallId,
        tenant: String,
        body: OneOfbody,
        wait: Duration,
        actions: &mut Vec<GatewayAction>,
    ) -> Option<Answer> {
        let id = self.next_call;
        self.next_call += 1;
        let pending = Pending {
            caller: Some(caller),
            tenant,
            body,
            wait,
            started: now,
            next: now,
            sent: false,
            tried: 0,
            at_near: false,
            awaits: None,
            copies: 0,
        };
        if self.is_cut_off(now) && !pending.is_end() {
            pending.log_end("refuse", "cut-off", now);
            return Some(given_up(&pending));
        }
        self.log_start(&pending);
        self.calls.insert(id, pending);
        self.send(now, id, actions);
        None
    }

    fn log_start(&self, pending: &Pending) {
        // Reads come twice a second from each trainer and change nothing.
        if pending.changes_something() {
            log::info!(
                "decision=relay {} leader={}",
                pending.subject(),
                self.leader.as_deref().unwrap_or("none")
            );
        }
    }

    fn send(&mut self, now: Time, id: u64, actions: &mut Vec<GatewayAction>) {
        let Some(pending) = self.calls.get_mut(&id) else {
            return;
        };
        let count = self.replicas.len();
        let looks_back = matches!(pending.body, OneOfbody::read(_)) && pending.tried == 0;
        let near = self.near.as_ref();
        let near = near.filter(|_| looks_back && now >= self.near_rests_until);
        pending.at_near = near.is_some();
        let address = match near.or(self.leader.as_ref()) {
            Some(address) => address.clone(),
            None if count > 0 => self.replicas[(pending.tried + id as usize) % count].clone(),
            None => {
                pending.next = now + self.settings.retry_delay;
                return;
            }
        };
        let mut addresses = vec![address.clone()];
        if pending.is_end() {
            let others = self.replicas.iter().filter(|other| **other != address);
            addresses.extend(others.cloned());
        }
        pending.tried += 1;
        pending.copies += addresses.len();
        pending.awaits = Some((address, now));
        pending.sent = true;
        pending.next = match (pending.at_near, pending.caller) {
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
        actions.extend(
            addresses
                .into_iter()
                .map(|address| GatewayAction::SendJobCall {
                    address,
                    call: call.clone(),
                }),
        );
    }

    /// Takes a reply; the caller's answer, if the call is done.
    pub fn on_reply(
        &mut self,
        now: Time,
        from: &str,
        reply: JobReply,
        actions: &mut Vec<GatewayAction>,
    ) -> Option<(CallId, Answer)> {
        self.heard = self.heard.map(|_| now);
        if matches!(reply.status, JobStatus::NOT_LEADER) {
            return self.on_not_leader(now, from, &reply, actions);
        }
        // Only the leader names a replica near this gateway, or none.
        if !reply.follows {
            self.leader = Some(from.to_string());
            self.leaderless_since = None;
            self.near = Some(reply.near_address.clone()).filter(|near| !near.is_empty());
        }
        let pending = self.calls.remove(&reply.call)?;
        let caller = pending.caller;
        if pending.changes_something() {
            let outcome = format!("{:?}", reply.status);
            pending.log_end("relayed", &outcome, now);
        }
        let last = pending.copies <= 1;
        if matches!(reply.status, JobStatus::NO_ROOM) && !last {
            // Another copy may yet be taken.
            return Some((caller?, given_up(&pending)));
        }
        let answer = answer_of(&pending.body, reply);
        Some((caller?, answer))
    }

    fn on_not_leader(
        &mut self,
        now: Time,
        from: &str,
        reply: &JobReply,
        actions: &mut Vec<GatewayAction>,
    ) -> Option<(CallId, Answer)> {
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
            self.lose_leader(now);
        }
        let pause = self.settings.retry_delay;
        let pending = self.calls.get_mut(&reply.call)?;
        pending.copies = pending.copies.saturating_sub(1);
        // It has answered, whatever it said.
        pending.at_near = false;
        if pending.awaits.as_ref().is_some_and(|(to, _)| to == from) {
            pending.awaits = None;
        }
        if pending.is_end() {
            // All replicas but one say so, each time. The leader has it as well, unless
            // it was not known when the end was sent.
            let leader = &reply.leader_address;
            let has_it = |(to, _): &(String, Time)| to == leader;
            let has_it = pending.awaits.as_ref().is_some_and(has_it);
            if known && !has_it && !self.replicas.contains(leader) {
                pending.next = pending.next.min(now + pause);
            }
        } else if known && pending.tried % 4 != 0 {
            self.send(now, reply.call, actions);
        } else {
            pending.next = now + pause;
        }
        None
    }

    /// The near replica did not answer: the leader is asked instead for a while.
    fn leave_near(&mut self, now: Time) {
        if let Some(near) = &self.near {
            log::info!("belief=near-replica-silent address={near}");
        }
        self.near_rests_until = now + self.settings.local_replica_backoff;
    }

    fn lose_leader(&mut self, now: Time) {
        if let Some(leader) = self.leader.take() {
            log::info!("belief=leader-lost address={leader}");
        }
        self.leaderless_since.get_or_insert(now);
    }

    /// Sends again and gives up what is due; answers for callers.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<GatewayAction>) -> Vec<(CallId, Answer)> {
        let is_cut_off = self.is_cut_off(now);
        let due: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, pending)| now >= pending.next || (is_cut_off && !pending.is_end()))
            .map(|(id, _)| *id)
            .collect();
        let mut answers = Vec::new();
        for id in due {
            answers.extend(self.give_up_late(now, id));
            let Some(pending) = self.calls.get(&id) else {
                continue;
            };
            let silent = pending.is_unanswered_by(self.leader.as_deref(), now, &self.settings);
            if pending.at_near {
                self.leave_near(now);
            } else if silent {
                // It did not answer in time: ask the others.
                self.lose_leader(now);
            }
            self.send(now, id, actions);
        }
        answers
    }

    /// Answers the caller of a call that has taken too long, and drops an end that
    /// nobody has taken for as long as its job may live.
    fn give_up_late(&mut self, now: Time, id: u64) -> Option<(CallId, Answer)> {
        let pending = self.calls.get(&id)?;
        let age = now.since(pending.started);
        let is_cut_off = self.is_cut_off(now) && !pending.is_end();
        let Some(caller) = pending.caller else {
            if age >= self.settings.detached_ttl {
                pending.log_end("drop-call", "carried-too-long", now);
                self.calls.remove(&id);
            }
            return None;
        };
        let is_late = age >= self.settings.call_timeout + pending.wait;
        if !is_late && !is_cut_off {
            return None;
        }
        let answer = given_up(pending);
        let reason = if is_late { "no-answer" } else { "cut-off" };
        self.leave_caller(now, id, reason);
        Some((caller, answer))
    }

    /// Nobody waits for a call any more: an end is carried on, all else is dropped.
    fn leave_caller(&mut self, now: Time, id: u64, reason: &str) {
        let Some(pending) = self.calls.get_mut(&id) else {
            return;
        };
        if !pending.is_end() {
            pending.log_end("drop-call", reason, now);
            self.calls.remove(&id);
            return;
        }
        pending.log_end("carry-on", reason, now);
        pending.caller = None;
        self.bound_carried(now);
    }

    fn bound_carried(&mut self, now: Time) {
        let carried = self.calls.iter().filter(|(_, call)| call.caller.is_none());
        let carried: Vec<u64> = carried.map(|(id, _)| *id).collect();
        if carried.len() <= MAX_CARRIED {
            return;
        }
        // Ids rise, so the first is the oldest.
        if let Some(oldest) = self.calls.remove(&carried[0]) {
            oldest.log_end("drop-call", "too-many-carried", now);
        }
    }

    /// A caller has gone away.
    pub fn on_caller_disconnected(&mut self, now: Time, caller: CallId) {
        let calls = self.calls.iter();
        let gone = calls.filter(|(_, pending)| pending.caller == Some(caller));
        let gone: Vec<u64> = gone.map(|(id, _)| *id).collect();
        for id in gone {
            self.leave_caller(now, id, "caller-gone");
        }
    }
}
