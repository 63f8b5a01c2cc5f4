//! Bootstrap of the replica group.
//!
//! The initial members are written once under a fixed name: the first writer wins, and all others
//! read its object, which never changes. An interrupted bootstrap can therefore be repeated.
//!
//! Registrations of machines that are gone, or of another writer, look like those of machines that
//! are there. A machine is therefore asked who it is before it becomes a member, and the object is
//! written only if most members have answered: without them the group could never commit anything.

use futures_channel::mpsc::UnboundedSender;
use peatgrade_ports::{ObjectKind, ObjectWrite, StoreObject, StoreRequest, StoreResponse};
use peatgrade_replication::{Outgoing, ReplicaId};
use peatgrade_schema::replication::mod_ReplicaMessage::OneOfbody;
use peatgrade_schema::replication::{LeaderQuery, Member};
use peatgrade_types::{Duration as Span, Time};
use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::steady_now;
use crate::listing::list_all;
use crate::store_client::StoreClient;

use super::identified_machines::IdentifiedMachines;
use super::process::StorageProcess;
use super::registration::{registered_members, CALL_TIMEOUT, RETRY_INTERVAL};

/// Name of the object that holds the initial members.
const INITIAL_MEMBERS_NAME: &str = "jobs";
/// How long to wait for registrations from other zones before the group is formed. All machines
/// start within 0.3 s of each other.
const ZONE_WAIT: Span = Span::from_millis(700);
/// Random delay after [`ZONE_WAIT`], so that most machines find a group that the first ones
/// have formed.
const MAX_JITTER_MS: u64 = 400;
/// How long to wait for a full group before a smaller one is formed.
const FULL_GROUP_WAIT: Span = Span::from_millis(4_000);
/// How long a machine may take to say who it is before another one is chosen in its place.
const IDENTIFICATION_TIMEOUT: Span = Span::from_millis(1_000);
/// Time to wait for answers before the store is read again, and how often they are looked at.
const ANSWER_WAIT: Span = Span::from_millis(200);
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of machines that are asked at once.
const MAX_ASKED: usize = 256;

/// What the bootstrap asks of the main loop.
#[derive(Clone, Debug)]
pub(super) enum BootstrapStep {
    /// Ask these machines who they are.
    Identify(Vec<Member>),
    /// The group has these initial members.
    Formed(Vec<Member>),
}

impl StorageProcess {
    pub(super) fn on_bootstrap_step(&mut self, step: BootstrapStep) {
        match step {
            BootstrapStep::Identify(machines) => self.ask_for_identity(machines),
            BootstrapStep::Formed(members) => self.on_initial_members(members),
        }
    }

    /// Asks who is at the addresses of machines. Whoever is there answers that it is not the
    /// replica that the message is for, and which one it is.
    fn ask_for_identity(&mut self, machines: Vec<Member>) {
        for machine in machines {
            self.send(Outgoing {
                to: ReplicaId(0),
                address: machine.address,
                term: 0,
                body: OneOfbody::leader_query(LeaderQuery::default()),
            });
        }
    }

    fn on_initial_members(&mut self, members: Vec<Member>) {
        let own_id = self.replica.id().0;
        let is_member = members.iter().any(|m| m.replica == own_id);
        log::info!(
            "belief=first-members count={} member={is_member}",
            members.len()
        );
        if is_member {
            self.replica.bootstrap(members);
        }
    }
}

/// Reads or creates the initial members of a group of `voters`.
pub(super) struct GroupBootstrap {
    pub store: StoreClient,
    pub own: Member,
    pub voters: usize,
    pub identified: IdentifiedMachines,
    pub steps: UnboundedSender<BootstrapStep>,
}

impl GroupBootstrap {
    /// Sends the initial members to the main loop once they are written.
    pub async fn run(self) {
        let started = steady_now();
        let zone_wait = Duration::from_micros(ZONE_WAIT.0);
        let jitter = Duration::from_millis(rand::random_range(0..MAX_JITTER_MS));
        let mut asked = BTreeMap::new();
        if read_initial_members(&self.store)
            .await
            .is_ok_and(|members| members.is_none())
        {
            monoio::time::sleep(zone_wait + jitter).await;
        }
        loop {
            let is_late = steady_now().since(started) >= FULL_GROUP_WAIT;
            match self.try_form(is_late, &mut asked).await {
                Ok(Some(members)) => {
                    log::info!(
                        "step=found name={} members={}",
                        self.own.name,
                        members.len()
                    );
                    let _ = self.steps.unbounded_send(BootstrapStep::Formed(members));
                    return;
                }
                Ok(None) => {}
                Err(reason) => log::warn!("step=found error={reason}"),
            }
            monoio::time::sleep(RETRY_INTERVAL).await;
            if self.steps.is_closed() {
                return;
            }
        }
    }

    /// Reads the initial members, or writes them once enough of the registered machines have
    /// said who they are. `asked` holds the replicas that were asked, and when first.
    async fn try_form(
        &self,
        is_late: bool,
        asked: &mut BTreeMap<u64, Time>,
    ) -> Result<Option<Vec<Member>>, String> {
        if let Some(members) = read_initial_members(&self.store).await? {
            return Ok(Some(members));
        }
        let registrations = list_all(&self.store, ObjectKind::Replicas).await?;
        let candidates = Candidates {
            registered: registered_members(&registrations),
            voters: self.voters,
        };
        if !is_late && !registrations.complete {
            return Ok(None);
        }
        let chosen = match is_late {
            false => self.choose_full_group(&candidates, asked).await,
            true => self.choose_late_group(&candidates, asked).await,
        };
        match chosen {
            Some(members) => self.write(members).await,
            None => Ok(None),
        }
    }

    /// A full group whose machines have all said who they are.
    async fn choose_full_group(
        &self,
        candidates: &Candidates,
        asked: &mut BTreeMap<u64, Time>,
    ) -> Option<Vec<Member>> {
        let now = steady_now();
        let is_silent = |member: &Member| {
            let since = asked.get(&member.replica);
            since.is_some_and(|at| now.since(*at) >= IDENTIFICATION_TIMEOUT)
                && !self.is_identified(member)
        };
        let chosen = candidates.choose(|member| !is_silent(member));
        if chosen.len() < self.voters {
            return None;
        }
        self.identify(&chosen, asked).await;
        let is_identified = chosen.iter().all(|member| self.is_identified(member));
        is_identified.then_some(chosen)
    }

    /// As large a group as possible, most of whose machines have said who they are.
    async fn choose_late_group(
        &self,
        candidates: &Candidates,
        asked: &mut BTreeMap<u64, Time>,
    ) -> Option<Vec<Member>> {
        self.identify(&candidates.registered, asked).await;
        let mut chosen = candidates.choose(|member| self.is_identified(member));
        let identified = chosen.len();
        let is_other = |member: &Member| {
            let is_same = |c: &Member| c.replica == member.replica || c.address == member.address;
            !chosen.iter().any(is_same)
        };
        let others = candidates.choose(|member| !self.is_identified(member) && is_other(member));
        chosen.extend(others);
        chosen.truncate(self.voters);
        if identified * 2 > chosen.len() {
            return Some(chosen);
        }
        log::warn!(
            "step=found registered={} identified={identified} reason=no-majority",
            candidates.registered.len()
        );
        None
    }

    /// Asks machines who they are, and waits a short time for their answers.
    async fn identify(&self, machines: &[Member], asked: &mut BTreeMap<u64, Time>) {
        let unknown = machines
            .iter()
            .filter(|machine| !self.is_identified(machine));
        let mut unknown: Vec<Member> = unknown.cloned().collect();
        // Those that were not asked yet come first, so that each has its turn.
        unknown.sort_by_key(|machine| asked.get(&machine.replica).copied());
        unknown.truncate(MAX_ASKED);
        let now = steady_now();
        for machine in &unknown {
            asked.entry(machine.replica).or_insert(now);
        }
        let step = BootstrapStep::Identify(unknown.clone());
        if unknown.is_empty() || self.steps.unbounded_send(step).is_err() {
            return;
        }
        while steady_now().since(now) < ANSWER_WAIT
            && !unknown.iter().all(|machine| self.is_identified(machine))
        {
            monoio::time::sleep(ANSWER_POLL_INTERVAL).await;
        }
    }

    fn is_identified(&self, member: &Member) -> bool {
        let is_own = member.name == self.own.name && member.replica == self.own.replica;
        is_own || self.identified.contains(member)
    }

    async fn write(&self, mut members: Vec<Member>) -> Result<Option<Vec<Member>>, String> {
        members.iter_mut().for_each(|member| member.voter = true);
        let write = StoreRequest::Write(ObjectWrite {
            kind: ObjectKind::Groups,
            name: INITIAL_MEMBERS_NAME.to_string(),
            revision: None,
            fields: members
                .iter()
                .map(|m| (m.name.clone(), format_member(m)))
                .collect(),
            status: false,
        });
        let written = self.store.call(&write, CALL_TIMEOUT).await;
        match written.map_err(|error| error.to_string())? {
            StoreResponse::Object(..) => Ok(Some(members)),
            // Another machine wrote the object first; the next attempt reads it.
            _ => Ok(None),
        }
    }
}

/// Machines that may become initial members.
struct Candidates {
    registered: Vec<Member>,
    voters: usize,
}

impl Candidates {
    /// Chooses among the candidates that fit, evenly across zones: one machine of each zone, then
    /// the second of each, by name.
    fn choose(&self, fits: impl Fn(&Member) -> bool) -> Vec<Member> {
        let mut next_rank: BTreeMap<&str, usize> = BTreeMap::new();
        let mut ranked: Vec<(usize, &Member)> = Vec::new();
        for member in self.registered.iter().filter(|member| fits(member)) {
            let rank = next_rank.entry(&member.zone).or_insert(0);
            ranked.push((*rank, member));
            *rank += 1;
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        let chosen = ranked.into_iter().take(self.voters);
        chosen.map(|(_, member)| member.clone()).collect()
    }
}

/// Reads the initial members, if they are written. The object never changes, so a stale read
/// can only miss it, and the caller retries.
pub(crate) async fn read_initial_members(
    store: &StoreClient,
) -> Result<Option<Vec<Member>>, String> {
    let get = StoreRequest::Get {
        kind: ObjectKind::Groups,
        name: INITIAL_MEMBERS_NAME.to_string(),
        stale: true,
    };
    let read = store.call(&get, CALL_TIMEOUT).await;
    match read.map_err(|error| error.to_string())? {
        StoreResponse::Object(_, StoreObject::Internal { fields, .. }) => {
            Ok(Some(parse_members(&fields)))
        }
        StoreResponse::Missing => Ok(None),
        other => Err(format!("{other:?}")),
    }
}

fn format_member(member: &Member) -> String {
    format!("{:016x} {} {}", member.replica, member.address, member.zone)
}

fn parse_members(fields: &BTreeMap<String, String>) -> Vec<Member> {
    let members = fields.iter().filter_map(|(name, line)| {
        let mut words = line.split(' ');
        Some(Member {
            replica: u64::from_str_radix(words.next()?, 16).ok()?,
            name: name.clone(),
            address: words.next()?.to_string(),
            zone: words.next()?.to_string(),
            voter: true,
        })
    });
    members.collect()
}
