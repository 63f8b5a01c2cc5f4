//! Registration of storage machines and bootstrap of the replica group.
//!
//! Each machine writes its address and incarnation to the object store. The initial members
//! are written once under a fixed name: the first writer wins, and all others read its object,
//! which never changes. An interrupted bootstrap can therefore be repeated.

use futures_channel::mpsc::UnboundedSender;
use peatgrade_ports::{ObjectKind, ObjectWrite, StoreObject, StoreRequest, StoreResponse};
use peatgrade_schema::replication::Member;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::clock::steady_now;
use crate::listing::{list_all, ListResult};
use crate::log_text::shortened;
use crate::store_client::StoreClient;

use super::process::StorageProcess;

/// Name of the object that holds the initial members.
const INITIAL_MEMBERS_NAME: &str = "jobs";
/// How long to wait for registrations from other zones before the group is formed. All machines
/// start within 0.3 s of each other.
const ZONE_WAIT: peatgrade_types::Duration = peatgrade_types::Duration::from_millis(700);
/// Random delay after [`ZONE_WAIT`], so that most machines find a group that the first ones
/// have formed.
const MAX_JITTER_MS: u64 = 400;
/// How long to wait for a full group before a smaller one is formed.
const FULL_GROUP_WAIT: peatgrade_types::Duration = peatgrade_types::Duration::from_millis(4_000);
/// Longest name or zone of a machine.
const MAX_WORD_BYTES: usize = 256;
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// The initial members of the group.
#[derive(Clone, Debug)]
pub(super) struct InitialMembers {
    pub members: Vec<Member>,
}

impl StorageProcess {
    pub(super) fn on_initial_members(&mut self, initial: InitialMembers) {
        let own_id = self.replica.id().0;
        let is_member = initial.members.iter().any(|m| m.replica == own_id);
        log::info!(
            "belief=first-members count={} member={is_member}",
            initial.members.len()
        );
        if is_member {
            self.replica.bootstrap(initial.members);
        }
    }
}

fn registration_fields(member: &Member) -> BTreeMap<String, String> {
    BTreeMap::from([
        ("address".to_string(), member.address.clone()),
        ("zone".to_string(), member.zone.clone()),
        ("replica".to_string(), format!("{:016x}", member.replica)),
    ])
}

/// Parses a registration's fields. Other writers may have left one under any name: it is ignored
/// unless it holds the address of a machine.
pub(super) fn member_from_registration(
    name: &str,
    fields: &BTreeMap<String, String>,
) -> Option<Member> {
    let (address, zone) = (fields.get("address")?, fields.get("zone")?);
    let is_valid = address.parse::<SocketAddr>().is_ok() && is_word(zone) && is_word(name);
    is_valid.then_some(Member {
        replica: u64::from_str_radix(fields.get("replica")?, 16).ok()?,
        name: name.to_string(),
        address: address.clone(),
        zone: zone.clone(),
        voter: false,
    })
}

/// Whether `text` can be a field of [`format_member`].
fn is_word(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_WORD_BYTES && text.bytes().all(|b| b.is_ascii_graphic())
}

/// Registers this machine, retrying until the store holds the registration.
pub(super) async fn register(store: StoreClient, member: Member) {
    let mut stale = true;
    loop {
        match try_register(&store, &member, std::mem::take(&mut stale)).await {
            Ok(true) => return log::info!("step=register name={}", member.name),
            Ok(false) => {}
            Err(reason) => {
                log::warn!("step=register error={reason}");
                monoio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Returns true once the store holds the registration. A stale read is sufficient, because
/// only this machine writes the object; what another writer left there is replaced.
async fn try_register(store: &StoreClient, member: &Member, stale: bool) -> Result<bool, String> {
    let get = StoreRequest::Get {
        kind: ObjectKind::Replicas,
        name: member.name.clone(),
        stale,
    };
    let found = store.call(&get, CALL_TIMEOUT).await;
    let revision = match found.map_err(|error| error.to_string())? {
        StoreResponse::Object(
            _,
            StoreObject::Internal {
                fields, revision, ..
            },
        ) => {
            if fields == registration_fields(member) {
                return Ok(true);
            }
            Some(revision)
        }
        StoreResponse::Object(
            _,
            StoreObject::Unreadable {
                revision: Some(revision),
                reason,
                ..
            },
        ) => {
            let reason = shortened(&reason);
            log::warn!(
                "decision=replace-registration name={} reason={reason:?}",
                member.name
            );
            Some(revision)
        }
        StoreResponse::Missing => None,
        other => return Err(format!("{other:?}")),
    };
    let write = StoreRequest::Write(ObjectWrite {
        kind: ObjectKind::Replicas,
        name: member.name.clone(),
        revision,
        fields: registration_fields(member),
        status: false,
    });
    let written = store.call(&write, CALL_TIMEOUT).await;
    match written.map_err(|error| error.to_string())? {
        StoreResponse::Object(..) => Ok(true),
        StoreResponse::Conflict => Ok(false),
        other => Err(format!("{other:?}")),
    }
}

/// Reads or creates the initial members and sends them to the main loop.
pub(super) async fn bootstrap_group(
    store: StoreClient,
    member: Member,
    voters: usize,
    results: UnboundedSender<InitialMembers>,
) {
    let started = steady_now();
    let zone_wait = Duration::from_micros(ZONE_WAIT.0);
    let jitter = Duration::from_millis(rand::random_range(0..MAX_JITTER_MS));
    if read_initial_members(&store)
        .await
        .is_ok_and(|members| members.is_none())
    {
        monoio::time::sleep(zone_wait + jitter).await;
    }
    loop {
        let waited = steady_now().since(started);
        let required = if waited < FULL_GROUP_WAIT { voters } else { 1 };
        let condition = BootstrapCondition {
            machines: required,
            complete_list: waited < FULL_GROUP_WAIT,
        };
        match try_bootstrap_group(&store, voters, condition).await {
            Ok(Some(members)) => {
                log::info!("step=found name={} members={}", member.name, members.len());
                let _ = results.unbounded_send(InitialMembers { members });
                return;
            }
            Ok(None) => {}
            Err(reason) => log::warn!("step=found error={reason}"),
        }
        monoio::time::sleep(RETRY_INTERVAL).await;
        if results.is_closed() {
            return;
        }
    }
}

/// What must be known of the registered machines before the group is formed.
#[derive(Clone, Copy, Debug)]
struct BootstrapCondition {
    /// Minimum number of machines.
    machines: usize,
    /// Whether all registrations must have been read.
    complete_list: bool,
}

/// Reads the initial members, or chooses `voters` of the registered machines once these meet
/// `condition`.
async fn try_bootstrap_group(
    store: &StoreClient,
    voters: usize,
    condition: BootstrapCondition,
) -> Result<Option<Vec<Member>>, String> {
    if let Some(members) = read_initial_members(store).await? {
        return Ok(Some(members));
    }
    let registrations = list_all(store, ObjectKind::Replicas).await?;
    let registered = registered_members(&registrations);
    let is_list_sufficient = registrations.complete || !condition.complete_list;
    if registered.len() < condition.machines || !is_list_sufficient {
        return Ok(None);
    }
    let mut first = choose_initial_members(&registered, voters);
    first.iter_mut().for_each(|member| member.voter = true);
    let write = StoreRequest::Write(ObjectWrite {
        kind: ObjectKind::Groups,
        name: INITIAL_MEMBERS_NAME.to_string(),
        revision: None,
        fields: first
            .iter()
            .map(|m| (m.name.clone(), format_member(m)))
            .collect(),
        status: false,
    });
    let written = store.call(&write, CALL_TIMEOUT).await;
    match written.map_err(|error| error.to_string())? {
        StoreResponse::Object(..) => Ok(Some(first)),
        // Another machine wrote the object first; the next attempt reads it.
        _ => Ok(None),
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

/// Returns the zones and addresses of all registered machines.
pub(crate) async fn registered_machines(
    store: &StoreClient,
) -> Result<Vec<(String, String)>, String> {
    let registrations = list_all(store, ObjectKind::Replicas).await?;
    let members = registered_members(&registrations).into_iter();
    Ok(members
        .map(|member| (member.zone, member.address))
        .collect())
}

fn registered_members(registrations: &ListResult) -> Vec<Member> {
    let objects = registrations.objects.iter();
    let members = objects.filter_map(|(name, object)| match object {
        StoreObject::Internal { fields, .. } => member_from_registration(name, fields),
        _ => None,
    });
    members.collect()
}

/// Chooses members evenly across zones: one machine of each zone, then the second of each,
/// by name.
fn choose_initial_members(registered: &[Member], voters: usize) -> Vec<Member> {
    let mut next_rank: BTreeMap<&str, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, &Member)> = Vec::new();
    for member in registered {
        let rank = next_rank.entry(&member.zone).or_insert(0);
        ranked.push((*rank, member));
        *rank += 1;
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    let chosen = ranked.into_iter().take(voters);
    chosen.map(|(_, member)| member.clone()).collect()
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

#[cfg(test)]
#[path = "../../tests/unit/registration.rs"]
mod tests;
