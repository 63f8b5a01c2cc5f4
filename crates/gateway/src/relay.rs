//! Calls about batch jobs, passed to the leader of the replica group.
//!
//! A call that has been sent may have been carried out, whatever became of its
//! answer; only one that was never sent is refused as not run.

use bytes::Bytes;
use peatgrade_forward::{CallId, COME_BACK};
use peatgrade_ports::{Answer, ListedItem, Refusal};
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{JobCall, JobReply, JobStatus};
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::gateway::GatewayAction;

/// When a caller may come back with a job for which there was no room: jobs are
/// dropped as they grow old.
const COME_BACK_NO_ROOM: Duration = Duration::from_millis(1_000);

/// Spans of the relay.
#[derive(Clone, Copy, Debug)]
pub struct RelaySettings {
    /// Time after which an unanswered call goes to another replica, beyond the
    /// time that the call may wait by itself.
    pub resend: Duration,
    /// Pause before a call that found no leader is sent again.
    pub pause: Duration,
    /// Time after which a call is given up, beyond its own wait.
    pub give_up: Duration,
    /// Time after which a near replica that has not answered is left.
    pub near_patience: Duration,
    /// How long it is left alone then.
    pub near_rest: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            resend: Duration::from_millis(350),
            pause: Duration::from_millis(40),
            give_up: Duration::from_millis(1_300),
            // A round trip within a zone and a busy machine's pause.
            near_patience: Duration::from_millis(100),
            // About a contact time: a machine that was cut off is back by then.
            near_rest: Duration::from_millis(3_000),
        }
    }
}

struct Pending {
    caller: CallId,
    body: OneOfbody,
    wait: Duration,
    started: Time,
    next: Time,
    sent: bool,
    tried: usize,
    /// The near replica has it just now.
    at_near: bool,
    /// Copies that nobody has replied to: one that was held up may still come
    /// to a leader.
    copies: usize,
}

impl Pending {
    /// Whether it is meant to change the state of a job.
    fn changes_something(&self) -> bool {
        matches!(self.body, OneOfbody::submit(_) | OneOfbody::end(_))
    }

    /// What the log calls it.
    fn subject(&self) -> String {
        match &self.body {
            OneOfbody::submit(submit) => format!("call=submit job={}", submit.job),
            OneOfbody::end(end) => format!("call=end job={}", end.job),
            OneOfbody::read(read) => format!("call=read job={}", read.job),
            OneOfbody::item(item) => format!("call=item job={} item={}", item.job, item.item),
            OneOfbody::None => "call=none".into(),
        }
    }

    /// Names what became of it, and why.
    fn log_end(&self, decision: &str, reason: &str, now: Time) {
        log::info!(
            "decision={decision} {} reason={reason} age_ms={} tried={} unanswered={}",
            self.subject(),
            now.since(self.started).as_millis(),
            self.tried,
            self.copies
        );
    }
}

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
}

impl JobRelay {
    /// A relay in `zone` that knows no replica.
    pub fn new(settings: RelaySettings, zone: String) -> Self {
        Self {
            settings,
            zone,
            replicas: Vec::new(),
            leader: None,
            near: None,
            near_rests_until: Time(0),
            calls: BTreeMap::new(),
            next_call: 1,
            leaderless_since: Some(Time(0)),
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
    pub fn misses_leader(&self, now: Time) -> bool {
        if self.replicas.is_empty() {
            return true;
        }
        if self.calls.is_empty() {
            return false;
        }
        let since = self.leaderless_since;
        since.is_some_and(|since| now.since(since) >= Duration::from_millis(700))
    }

    /// Starts a call.
    pub fn start(
        &mut self,
        now: Time,
        caller: CallId,
        body: OneOfbody,
        wait: Duration,
        actions: &mut Vec<GatewayAction>,
    ) {
        let id = self.next_call;
        self.next_call += 1;
        let pending = Pending {
            caller,
            body,
            wait,
            started: now,
            next: now,
            sent: false,
            tried: 0,
            at_near: false,
            copies: 0,
        };
        self.log_start(&pending);
        self.calls.insert(id, pending);
        self.send(now, id, actions);
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
        let others = self.replicas.len();
        let looks_back = matches!(pending.body, OneOfbody::read(_)) && pending.tried == 0;
        let near = self.near.as_ref();
        let near = near.filter(|_| looks_back && now >= self.near_rests_until);
        pending.at_near = near.is_some();
        let address = match near.or(self.leader.as_ref()) {
            Some(address) => address.clone(),
            None if others > 0 => self.replicas[(pending.tried + id as usize) % others].clone(),
            None => {
                pending.next = now + self.settings.pause;
                return;
            }
        };
        pending.tried += 1;
        pending.copies += 1;
        pending.sent = true;
        pending.next = match pending.at_near {
            true => now + self.settings.near_patience,
            false => now + self.settings.resend + pending.wait,
        };
        let call = JobCall {
            call: id,
            zone: self.zone.clone(),
            body: pending.body.clone(),
        };
        actions.push(GatewayAction::Job { address, call });
    }

    /// Takes a reply; the caller's answer, if the call is done.
    pub fn on_reply(
        &mut self,
        now: Time,
        from: &str,
        reply: JobReply,
        actions: &mut Vec<GatewayAction>,
    ) -> Option<(CallId, Answer)> {
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
        if pending.changes_something() {
            let outcome = format!("{:?}", reply.status);
            pending.log_end("relayed", &outcome, now);
        }
        let last = pending.copies <= 1;
        if matches!(reply.status, JobStatus::NO_ROOM) && !last {
            // Another copy may yet be taken.
            return Some((pending.caller, given_up(&pending)));
        }
        let answer = answer_of(&pending.body, reply);
        Some((pending.caller, answer))
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
        let pause = self.settings.pause;
        let pending = self.calls.get_mut(&reply.call)?;
        pending.copies = pending.copies.saturating_sub(1);
        // It has answered, whatever it said.
        pending.at_near = false;
        if known && pending.tried % 4 != 0 {
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
        self.near_rests_until = now + self.settings.near_rest;
    }

    fn lose_leader(&mut self, now: Time) {
        if let Some(leader) = self.leader.take() {
            log::info!("belief=leader-lost address={leader}");
        }
        self.leaderless_since.get_or_insert(now);
    }

    /// Sends again and gives up what is due; answers for callers.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<GatewayAction>) -> Vec<(CallId, Answer)> {
        let due: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, pending)| now >= pending.next)
            .map(|(id, _)| *id)
            .collect();
        let mut answers = Vec::new();
        for id in due {
            let pending = &self.calls[&id];
            let age = now.since(pending.started);
            if age >= self.settings.give_up + pending.wait {
                if let Some(pending) = self.calls.remove(&id) {
                    pending.log_end("give-up", "no-answer", now);
                    answers.push((pending.caller, given_up(&pending)));
                }
                continue;
            }
            if pending.at_near {
                self.leave_near(now);
            } else if pending.sent && self.leader.is_some() && pending.tried > 0 {
                // It did not answer in time: ask the others.
                self.lose_leader(now);
            }
            self.send(now, id, actions);
        }
        answers
    }

    /// A caller has gone away.
    pub fn caller_gone(&mut self, now: Time, caller: CallId) {
        self.calls.retain(|_, pending| {
            let gone = pending.caller == caller;
            if gone {
                pending.log_end("drop-call", "caller-gone", now);
            }
            !gone
        });
    }
}

fn given_up(pending: &Pending) -> Answer {
    let submits = matches!(pending.body, OneOfbody::submit(_));
    let refusal = if submits && pending.sent {
        Refusal::Unknown
    } else {
        Refusal::NotRun
    };
    Answer::Refused {
        refusal,
        detail: "no replica could answer".into(),
        retry_after: (refusal == Refusal::NotRun).then_some(COME_BACK),
    }
}

fn answer_of(body: &OneOfbody, reply: JobReply) -> Answer {
    let refused = |refusal, detail: &str, retry_after| Answer::Refused {
        refusal,
        detail: detail.into(),
        retry_after,
    };
    match reply.status {
        JobStatus::OK => match body {
            OneOfbody::submit(_) => Answer::JobAccepted,
            OneOfbody::end(_) => Answer::JobEnded,
            OneOfbody::item(_) => Answer::ItemBody(Bytes::from(reply.body)),
            _ => results(reply),
        },
        JobStatus::UNKNOWN_JOB => refused(Refusal::NotFound, "no such batch job", None),
        JobStatus::UNKNOWN_ITEM => refused(Refusal::NotFound, "no such item", None),
        JobStatus::CONFLICT => refused(Refusal::Malformed, "another job has this id", None),
        // Only a leader that is sure that it has not taken the job says so.
        JobStatus::NO_ROOM => refused(
            Refusal::NotRun,
            "no room for another batch job",
            Some(COME_BACK_NO_ROOM),
        ),
        // Something may have been written: promise nothing for a submission.
        _ if matches!(body, OneOfbody::submit(_)) => {
            refused(Refusal::Unknown, "the leader changed", None)
        }
        _ => refused(Refusal::NotRun, "no leader can be sure", Some(COME_BACK)),
    }
}

fn results(reply: JobReply) -> Answer {
    let next = reply.position + reply.results.len() as u64;
    let listed = reply.results.into_iter().map(|result| ListedItem {
        item: result.item,
        completed: result.completed,
        text: Bytes::from(result.text),
        versions: result.versions,
        score: (!result.score.is_empty()).then_some(result.score),
    });
    Answer::Results {
        total: reply.total,
        next,
        results: listed.collect(),
    }
}
