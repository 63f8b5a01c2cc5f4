//! The client side of the registers.

use crate::ballot::BallotNumber;
use crate::roster::{majority, shard_of, Roster};
use crate::Outgoing;
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::{Accept, Accepted, Prepare, Promise};
use peatgrade_types::{Duration, Identity, NodeId, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which an unanswered message is sent again.
const RESEND: Duration = Duration::from_millis(150);
/// Longest random wait after losing to another proposer.
const MAX_BACKOFF: Duration = Duration::from_millis(80);

/// Time for which a replica that did not answer is asked last.
const SLOW_FOR: Duration = Duration::from_secs(5);

/// Replicas to which a phase is sent.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Audience {
    /// As many as are needed.
    Majority,
    /// Every one that has not answered.
    All,
}

/// Names one operation of this proposer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Hash)]
pub struct OperationId(pub u64);

/// What to do with the current value of a register.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Leave the value; the operation is a read.
    Keep,
    /// Replace the value and keep it for `lifetime_ms` (0: for good).
    Write {
        /// The new value.
        value: Vec<u8>,
        /// How long replicas keep it, in milliseconds.
        lifetime_ms: u64,
    },
}

impl Decision {
    /// Replaces the value for good.
    pub fn write(value: Vec<u8>) -> Self {
        Decision::Write {
            value,
            lifetime_ms: 0,
        }
    }
}

/// Decides from the current value (empty if never written).
///
/// It may run several times in one operation, also after its own write took
/// effect, so it must recognise its own value.
pub type Change = Box<dyn Fn(&[u8]) -> Decision>;

/// Why an operation did not finish.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegisterError {
    /// No majority promised; the value was certainly not written.
    #[error("register {key}: prepare: no majority before the deadline; not written")]
    NotWritten {
        /// The register.
        key: String,
    },
    /// The write was sent and no majority confirmed it.
    #[error("register {key}: accept: no majority before the deadline; may be written")]
    Unknown {
        /// The register.
        key: String,
    },
}

/// The end of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisterOutcome {
    /// Which operation.
    pub operation: OperationId,
    /// The value chosen, or why none is known.
    pub result: Result<Vec<u8>, RegisterError>,
}

enum Phase {
    Waiting {
        until: Time,
    },
    Preparing {
        promises: BTreeMap<NodeId, Promise>,
    },
    Accepting {
        accepted: BTreeSet<NodeId>,
        value: Vec<u8>,
        lifetime_ms: u64,
    },
}

struct Operation {
    key: String,
    change: Change,
    deadline: Time,
    ballot: BallotNumber,
    phase: Phase,
    sent: Time,
    /// Whether an Accept of this operation ever left with a changed value.
    write_sent: bool,
}

/// Runs operations on registers, any number at once.
pub struct Proposer {
    identity: Identity,
    operations: BTreeMap<OperationId, Operation>,
    next_operation: u64,
    highest_counter: u64,
    random: SmallRng,
    /// Replicas that left a message unanswered, and when.
    slow: BTreeMap<NodeId, Time>,
}

impl Proposer {
    /// A proposer with no operation; `seed` drives its random waits.
    pub fn new(identity: Identity, seed: u64) -> Self {
        Self {
            identity,
            operations: BTreeMap::new(),
            next_operation: 1,
            highest_counter: 0,
            random: SmallRng::seed_from_u64(seed),
            slow: BTreeMap::new(),
        }
    }

    /// Operations in progress.
    pub fn in_progress(&self) -> usize {
        self.operations.len()
    }

    /// Starts an operation on `key` that ends by `deadline`.
    pub fn start(
        &mut self,
        now: Time,
        roster: &Roster,
        key: &str,
        deadline: Time,
        change: Change,
    ) -> (OperationId, Vec<Outgoing>) {
        let id = OperationId(self.next_operation);
        self.next_operation += 1;
        let operation = Operation {
            key: key.to_string(),
            change,
            deadline,
            ballot: BallotNumber::default(),
            phase: Phase::Waiting { until: now },
            sent: now,
            write_sent: false,
        };
        self.operations.insert(id, operation);
        let outgoing = self.prepare(now, roster, id);
        (id, outgoing)
    }

    /// Sends again what was not answered, and ends what is past its deadline.
    pub fn tick(&mut self, now: Time, roster: &Roster) -> (Vec<Outgoing>, Vec<RegisterOutcome>) {
        let mut outgoing = Vec::new();
        let mut outcomes = Vec::new();
        let ids: Vec<OperationId> = self.operations.keys().copied().collect();
        for id in ids {
            let operation = &self.operations[&id];
            if now >= operation.deadline {
                outcomes.push(self.fail(id));
                continue;
            }
            let restart = match &operation.phase {
                Phase::Waiting { until } => now >= *until,
                _ => operation.ballot.roster != roster.number,
            };
            if restart {
                outgoing.extend(self.prepare(now, roster, id));
            } else if now.since(operation.sent) >= RESEND {
                outgoing.extend(self.resend(now, roster, id, Audience::All));
            }
        }
        (outgoing, outcomes)
    }

    /// Takes in a promise.
    pub fn on_promise(
        &mut self,
        now: Time,
        roster: &Roster,
        from: NodeId,
        promise: Promise,
    ) -> (Vec<Outgoing>, Option<RegisterOutcome>) {
        self.slow.remove(&from);
        let id = OperationId(promise.request >> 16);
        self.note_counter(&BallotNumber::from(&promise.highest));
        let Some(operation) = self.operations.get_mut(&id) else {
            return (Vec::new(), None);
        };
        if promise.request != request_number(id, operation.ballot) {
            return (Vec::new(), None);
        }
        let Phase::Preparing { promises } = &mut operation.phase else {
            return (Vec::new(), None);
        };
        if !promise.granted {
            if promise.highest.is_some() {
                self.back_off(now, id);
            }
            return (Vec::new(), None);
        }
        promises.insert(from, promise);
        let replicas = roster.replicas(shard_of(&operation.key)).len();
        if promises.len() < majority(replicas) || operation.ballot.roster != roster.number {
            return (Vec::new(), None);
        }
        self.decide(now, roster, id)
    }

    /// Takes in the answer to an Accept.
    pub fn on_accepted(
        &mut self,
        now: Time,
        roster: &Roster,
        from: NodeId,
        answer: &Accepted,
    ) -> Option<RegisterOutcome> {
        self.slow.remove(&from);
        let id = OperationId(answer.request >> 16);
        self.note_counter(&BallotNumber::from(&answer.highest));
        let operation = self.operations.get_mut(&id)?;
        if answer.request != request_number(id, operation.ballot) {
            return None;
        }
        let Phase::Accepting {
            accepted, value, ..
        } = &mut operation.phase
        else {
            return None;
        };
        if !answer.granted {
            if answer.highest.is_some() {
                self.back_off(now, id);
            }
            return None;
        }
        accepted.insert(from);
        let replicas = roster.replicas(shard_of(&operation.key)).len();
        if accepted.len() < majority(replicas) || operation.ballot.roster != roster.number {
            return None;
        }
        let value = std::mem::take(value);
        self.operations.remove(&id);
        Some(RegisterOutcome {
            operation: id,
            result: Ok(value),
        })
    }

    /// Chooses the value to propose once a majority has promised.
    fn decide(
        &mut self,
        now: Time,
        roster: &Roster,
        id: OperationId,
    ) -> (Vec<Outgoing>, Option<RegisterOutcome>) {
        let operation = self.operations.get_mut(&id).expect("caller holds the id");
        let Phase::Preparing { promises } = &operation.phase else {
            return (Vec::new(), None);
        };
        let newest = promises
            .values()
            .max_by_key(|promise| BallotNumber::from(&promise.accepted))
            .expect("a majority is at least one");
        let newest_ballot = BallotNumber::from(&newest.accepted);
        let current = newest.value.clone();
        // A value that the whole majority reports under one ballot is chosen
        // already; a read of it needs no second phase.
        let settled = promises
            .values()
            .all(|promise| BallotNumber::from(&promise.accepted) == newest_ballot);
        let (value, lifetime_ms) = match (operation.change)(&current) {
            Decision::Keep if settled => {
                self.operations.remove(&id);
                let outcome = RegisterOutcome {
                    operation: id,
                    result: Ok(current),
                };
                return (Vec::new(), Some(outcome));
            }
            // The lifetime goes along, so that being read does not make a
            // record permanent.
            Decision::Keep => (current, newest.lifetime_ms),
            Decision::Write { value, lifetime_ms } => {
                operation.write_sent = true;
                (value, lifetime_ms)
            }
        };
        operation.phase = Phase::Accepting {
            accepted: BTreeSet::new(),
            value,
            lifetime_ms,
        };
        (self.resend(now, roster, id, Audience::Majority), None)
    }

    fn prepare(&mut self, now: Time, roster: &Roster, id: OperationId) -> Vec<Outgoing> {
        self.highest_counter += 1;
        let operation = self.operations.get_mut(&id).expect("caller holds the id");
        operation.ballot = BallotNumber {
            roster: roster.number,
            counter: self.highest_counter,
            proposer: self.identity,
        };
        operation.phase = Phase::Preparing {
            promises: BTreeMap::new(),
        };
        self.resend(now, roster, id, Audience::Majority)
    }

    /// Sends the current phase to replicas that have not answered. The first
    /// sending goes to as many as are needed, those that answered last time;
    /// whoever does not answer then is noted, and all are asked.
    fn resend(
        &mut self,
        now: Time,
        roster: &Roster,
        id: OperationId,
        audience: Audience,
    ) -> Vec<Outgoing> {
        self.slow.retain(|_, since| now.since(*since) < SLOW_FOR);
        let operation = self.operations.get_mut(&id).expect("caller holds the id");
        operation.sent = now;
        let request = request_number(id, operation.ballot);
        let mut replicas = roster.replicas(shard_of(&operation.key));
        if audience == Audience::Majority {
            replicas.sort_by_key(|member| self.slow.contains_key(&member.identity.node));
            replicas.truncate(majority(replicas.len()));
        }
        let mut outgoing = Vec::with_capacity(replicas.len());
        for member in replicas {
            let node = member.identity.node;
            let body = match &operation.phase {
                Phase::Preparing { promises } if !promises.contains_key(&node) => {
                    OneOfbody::prepare(Prepare {
                        request,
                        key: operation.key.clone(),
                        ballot: Some(operation.ballot.into()),
                    })
                }
                Phase::Accepting {
                    accepted,
                    value,
                    lifetime_ms,
                } if !accepted.contains(&node) => OneOfbody::accept(Accept {
                    request,
                    key: operation.key.clone(),
                    ballot: Some(operation.ballot.into()),
                    value: value.clone(),
                    lifetime_ms: *lifetime_ms,
                }),
                _ => continue,
            };
            outgoing.push(Outgoing::new(node, body));
        }
        if audience == Audience::All {
            let unanswered = outgoing.iter().map(|message| (message.to, now));
            self.slow.extend(unanswered);
        }
        outgoing
    }

    fn back_off(&mut self, now: Time, id: OperationId) {
        let wait = Duration(self.random.random_range(1_000..MAX_BACKOFF.0));
        if let Some(operation) = self.operations.get_mut(&id) {
            operation.phase = Phase::Waiting { until: now + wait };
        }
    }

    fn fail(&mut self, id: OperationId) -> RegisterOutcome {
        let operation = self.operations.remove(&id).expect("caller holds the id");
        let key = operation.key;
        let error = if operation.write_sent {
            RegisterError::Unknown { key }
        } else {
            RegisterError::NotWritten { key }
        };
        RegisterOutcome {
            operation: id,
            result: Err(error),
        }
    }

    fn note_counter(&mut self, seen: &BallotNumber) {
        self.highest_counter = self.highest_counter.max(seen.counter);
    }
}

/// Ties an answer to one ballot of an operation, so that a late answer to an
/// earlier ballot is not counted for a later one.
fn request_number(id: OperationId, ballot: BallotNumber) -> u64 {
    (id.0 << 16) | (ballot.counter & 0xffff)
}
