//! The registers of a node: its replica, its proposals, and its roster.

use peatgrade_consensus::{
    Acceptor, Change, OperationId, Outgoing, Proposer, RegisterError, RegisterOutcome, Roster,
};
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::{RosterReply, RosterRequest, ShardsSynced};
use peatgrade_types::{Duration, Identity, NodeId, Time};
use std::collections::{BTreeMap, VecDeque};

use crate::event::CallId;
use crate::leases::LeaseName;

/// Time between two reports of complete copies to the roster keeper.
const SYNC_REPORT: Duration = Duration::from_secs(2);
/// The same once a few reports under one roster have said "complete"; they go
/// on for the sake of a new keeper.
const SYNC_REPORT_SETTLED: Duration = Duration::from_secs(30);
const REPORTS_TO_SETTLE: u32 = 3;

/// What a register operation is for, and so who is told its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RegisterPurpose {
    /// Take or renew a lease.
    Lease(LeaseName),
    /// A step of the record of a non-repeatable request.
    Once(CallId, OnceStep),
    /// A step of a session's turn.
    Session(CallId, SessionStep),
    /// Read a trainer's register for a fetch.
    StepRead(CallId),
    /// Commit a step.
    Commit(CallId, u64),
    /// A step of a coordinator, by tenant.
    Coordinator(String, CoordinatorStep),
    /// Decide the next roster.
    NextRoster,
    /// Nobody waits for the end.
    Nobody,
}

/// Steps of the once record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OnceStep {
    Start,
    Poll,
}

/// Steps of a session's turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionStep {
    Begin,
    Save,
}

/// Steps of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CoordinatorStep {
    Fence,
    Poll,
    Seal(u64),
}

/// The end of an operation.
pub(crate) struct RegisterDone {
    pub purpose: RegisterPurpose,
    pub result: Result<Vec<u8>, RegisterError>,
}

/// Replica, proposer and purposes of one node.
pub(crate) struct Registers {
    identity: Identity,
    acceptor: Acceptor,
    proposer: Proposer,
    purposes: BTreeMap<OperationId, RegisterPurpose>,
    pub done: VecDeque<RegisterDone>,
    next_report: Time,
    /// Reports of complete copies under the current roster, and to whom.
    reports: u32,
    last_keeper: Option<NodeId>,
    /// Members that reported complete copies under the current roster.
    pub synced: BTreeMap<Identity, u64>,
}

impl Registers {
    pub fn new(identity: Identity, seed: u64) -> Self {
        Self {
            identity,
            acceptor: Acceptor::new(identity),
            proposer: Proposer::new(identity, seed),
            purposes: BTreeMap::new(),
            done: VecDeque::new(),
            next_report: Time::default(),
            reports: 0,
            last_keeper: None,
            synced: BTreeMap::new(),
        }
    }

    pub fn roster(&self) -> &Roster {
        self.acceptor.roster()
    }

    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// Moves to a higher roster.
    pub fn install(&mut self, roster: Roster) {
        if roster.number > self.roster().number {
            log::info!(
                "step=install-roster roster={} members={}",
                roster.number,
                roster.members.len()
            );
            self.acceptor.install(roster);
            self.next_report = Time::default();
            self.reports = 0;
        }
    }

    /// Starts an operation; its end appears in `done`.
    pub fn start(
        &mut self,
        now: Time,
        key: &str,
        deadline: Time,
        purpose: RegisterPurpose,
        change: Change,
    ) -> Vec<Outgoing> {
        let roster = self.acceptor.roster();
        let (id, outgoing) = self.proposer.start(now, roster, key, deadline, change);
        self.purposes.insert(id, purpose);
        outgoing
    }

    /// Sends again, ends what is overdue, copies shards.
    pub fn tick(&mut self, now: Time, keeper: Option<NodeId>) -> Vec<Outgoing> {
        let (mut outgoing, outcomes) = self.proposer.tick(now, self.acceptor.roster());
        for outcome in outcomes {
            self.finish(outcome);
        }
        outgoing.extend(self.acceptor.tick(now));
        let member = self.roster().contains(self.identity);
        let changed = keeper != self.last_keeper;
        if let Some(keeper) = keeper.filter(|_| member && (changed || now >= self.next_report)) {
            let complete = self.acceptor.complete();
            self.reports = if complete { self.reports + 1 } else { 0 };
            let settled = self.reports > REPORTS_TO_SETTLE && self.last_keeper == Some(keeper);
            self.last_keeper = Some(keeper);
            self.next_report = now
                + if settled {
                    SYNC_REPORT_SETTLED
                } else {
                    SYNC_REPORT
                };
            let report = ShardsSynced {
                roster: self.roster().number,
                complete,
            };
            outgoing.push(Outgoing::new(keeper, OneOfbody::shards_synced(report)));
        }
        outgoing
    }

    fn finish(&mut self, outcome: RegisterOutcome) {
        if let Some(purpose) = self.purposes.remove(&outcome.operation) {
            let result = outcome.result;
            self.done.push_back(RegisterDone { purpose, result });
        }
    }

    /// Handles the messages of this module; others are handed back.
    pub fn on_message(
        &mut self,
        now: Time,
        from: Identity,
        body: OneOfbody,
    ) -> Result<Vec<Outgoing>, Box<OneOfbody>> {
        let reply = |body| Ok(vec![Outgoing::new(from.node, body)]);
        match body {
            OneOfbody::prepare(prepare) => {
                reply(OneOfbody::promise(self.acceptor.on_prepare(now, &prepare)))
            }
            OneOfbody::accept(accept) => {
                reply(OneOfbody::accepted(self.acceptor.on_accept(now, &accept)))
            }
            OneOfbody::promise(promise) => {
                // An answer of a life that is not in the roster does not
                // count: what it promised may be forgotten by now.
                if promise.roster > self.roster().number {
                    return Ok(vec![self.ask_roster(from.node)]);
                }
                if !self.roster().contains(from) {
                    return Ok(Vec::new());
                }
                let roster = self.acceptor.roster();
                let (outgoing, outcome) = self.proposer.on_promise(now, roster, from.node, promise);
                outcome.into_iter().for_each(|outcome| self.finish(outcome));
                Ok(outgoing)
            }
            OneOfbody::accepted(accepted) => {
                if accepted.roster > self.roster().number {
                    return Ok(vec![self.ask_roster(from.node)]);
                }
                if self.roster().contains(from) {
                    let roster = self.acceptor.roster();
                    let outcome = self.proposer.on_accepted(now, roster, from.node, &accepted);
                    outcome.into_iter().for_each(|outcome| self.finish(outcome));
                }
                Ok(Vec::new())
            }
            OneOfbody::shard_sync_request(request) => {
                let answer = self.acceptor.on_sync_request(now, &request);
                reply(OneOfbody::shard_sync_reply(answer))
            }
            OneOfbody::shard_sync_reply(answer) => {
                self.acceptor.on_sync_reply(now, from, &answer);
                Ok(Vec::new())
            }
            OneOfbody::shards_synced(report) => {
                if report.complete {
                    self.synced.insert(from, report.roster);
                }
                Ok(Vec::new())
            }
            OneOfbody::roster_request(request) => {
                if request.have >= self.roster().number {
                    return Ok(Vec::new());
                }
                let roster = Some(self.roster().into());
                reply(OneOfbody::roster_reply(RosterReply { roster }))
            }
            OneOfbody::roster_reply(answer) => {
                if let Some(roster) = &answer.roster {
                    self.install(Roster::from(roster));
                }
                Ok(Vec::new())
            }
            other => Err(Box::new(other)),
        }
    }

    /// A request for a newer roster.
    pub fn ask_roster(&self, node: NodeId) -> Outgoing {
        let have = self.roster().number;
        Outgoing::new(node, OneOfbody::roster_request(RosterRequest { have }))
    }
}
