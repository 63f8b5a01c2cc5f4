//! How a storage machine becomes known, and how a group begins.
//!
//! Each machine writes its address and incarnation into the object store. The
//! first members are written once, under one name: whoever comes first wins,
//! and all others read what it wrote. That object is never changed, so a start
//! that was cut short anywhere is simply made again.

use futures_channel::mpsc::UnboundedSender;
use peatgrade_ports::{ObjectKind, ObjectWrite, StoreCall, StoreObject, StoreReply};
use peatgrade_schema::replication::Member;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::clock::steady_now;
use crate::listing::list_all;
use crate::store_client::StoreClient;

use super::process::StorageProcess;

/// Name of the object with the first members.
const GROUP_NAME: &str = "jobs";
/// How long to wait for machines of other zones before a group begins with
/// those that are there: all start within 0.3 s of each other.
const SETTLE_WAIT: peatgrade_types::Duration = peatgrade_types::Duration::from_millis(700);
/// Machines look for a group spread over this time after it: the first ones make it,
/// and the others, 40 of 45 on a large site, find it at their first look.
const SPREAD_MS: u64 = 400;
/// How long to wait for a full group before a smaller one begins.
const FOUNDING_WAIT: peatgrade_types::Duration = peatgrade_types::Duration::from_millis(4_000);
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const PAUSE: Duration = Duration::from_millis(250);

/// The first members of the group.
#[derive(Clone, Debug)]
pub(super) struct Founding {
    pub members: Vec<Member>,
}

impl StorageProcess {
    /// The first members are known.
    pub(super) fn on_founding(&mut self, founding: Founding) {
        let me = self.replica.id().0;
        let member = founding.members.iter().any(|m| m.replica == me);
        log::info!(
            "belief=first-members count={} member={member}",
            founding.members.len()
        );
        if member {
            self.replica.found(founding.members);
        }
    }
}

fn fields_of(member: &Member) -> BTreeMap<String, String> {
    BTreeMap::from([
        ("address".to_string(), member.address.clone()),
        ("zone".to_string(), member.zone.clone()),
        ("replica".to_string(), format!("{:016x}", member.replica)),
    ])
}

/// The member that a registration describes.
pub(super) fn member_of(name: &str, fields: &BTreeMap<String, String>) -> Option<Member> {
    Some(Member {
        replica: u64::from_str_radix(fields.get("replica")?, 16).ok()?,
        name: name.to_string(),
        address: fields.get("address")?.clone(),
        zone: fields.get("zone")?.clone(),
        voter: false,
    })
}

/// Writes this machine's registration until the store holds it.
pub(super) async fn register(store: StoreClient, me: Member) {
    let mut stale = true;
    loop {
        match try_register(&store, &me, std::mem::take(&mut stale)).await {
            Ok(true) => return log::info!("step=register name={}", me.name),
            Ok(false) => {}
            Err(reason) => {
                log::warn!("step=register error={reason}");
                monoio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// True once a read has shown that the registration stands. Only this machine writes
/// it, so what a stale read shows as its newest is the newest.
async fn try_register(store: &StoreClient, me: &Member, stale: bool) -> Result<bool, String> {
    let get = StoreCall::Get {
        kind: ObjectKind::Replicas,
        name: me.name.clone(),
        stale,
    };
    let found = store.call(&get, CALL_TIMEOUT).await;
    let revision = match found.map_err(|error| error.to_string())? {
        StoreReply::Object(
            _,
            StoreObject::Own {
                fields, revision, ..
            },
        ) => {
            if fields == fields_of(me) {
                return Ok(true);
            }
            Some(revision)
        }
        StoreReply::Missing => None,
        other => return Err(format!("{other:?}")),
    };
    let write = StoreCall::Write(ObjectWrite {
        kind: ObjectKind::Replicas,
        name: me.name.clone(),
        revision,
        fields: fields_of(me),
        status: false,
    });
    let written = store.call(&write, CALL_TIMEOUT).await;
    match written.map_err(|error| error.to_string())? {
        StoreReply::Object(..) => Ok(true),
        StoreReply::Conflict => Ok(false),
        other => Err(format!("{other:?}")),
    }
}

/// Finds or makes the first members and reports them.
pub(super) async fn found(
    store: StoreClient,
    me: Member,
    voters: usize,
    found: UnboundedSender<Founding>,
) {
    let started = steady_now();
    let settle = Duration::from_micros(SETTLE_WAIT.0);
    let spread = Duration::from_millis(rand::random_range(0..SPREAD_MS));
    if read_initial_members(&store)
        .await
        .is_ok_and(|members| members.is_none())
    {
        monoio::time::sleep(settle + spread).await;
    }
    loop {
        let waited = steady_now().since(started);
        let least = if waited < FOUNDING_WAIT { voters } else { 1 };
        match try_found(&store, voters, least).await {
            Ok(Some(members)) => {
                log::info!("step=found name={} members={}", me.name, members.len());
                let _ = found.unbounded_send(Founding { members });
                return;
            }
            Ok(None) => {}
            Err(reason) => log::warn!("step=found error={reason}"),
        }
        monoio::time::sleep(PAUSE).await;
        if found.is_closed() {
            return;
        }
    }
}

/// Reads the first members, or makes them of `voters` machines once `least` are
/// registered.
async fn try_found(
    store: &StoreClient,
    voters: usize,
    least: usize,
) -> Result<Option<Vec<Member>>, String> {
    if let Some(members) = read_initial_members(store).await? {
        return Ok(Some(members));
    }
    let objects = list_all(store, ObjectKind::Replicas).await?;
    let registered: Vec<Member> = objects
        .iter()
        .filter_map(|(name, object)| match object {
            StoreObject::Own { fields, .. } => member_of(name, fields),
            _ => None,
        })
        .collect();
    if registered.len() < least {
        return Ok(None);
    }
    let mut first = first_members(&registered, voters);
    first.iter_mut().for_each(|member| member.voter = true);
    let write = StoreCall::Write(ObjectWrite {
        kind: ObjectKind::Groups,
        name: GROUP_NAME.to_string(),
        revision: None,
        fields: first.iter().map(|m| (m.name.clone(), line_of(m))).collect(),
        status: false,
    });
    let written = store.call(&write, CALL_TIMEOUT).await;
    match written.map_err(|error| error.to_string())? {
        StoreReply::Object(..) => Ok(Some(first)),
        // Another machine was first; the next read tells what it wrote.
        _ => Ok(None),
    }
}

/// The first members, once they are written. Nobody changes them, so a stale read
/// cannot show others; one that shows none yet is made again.
pub(crate) async fn read_initial_members(
    store: &StoreClient,
) -> Result<Option<Vec<Member>>, String> {
    let get = StoreCall::Get {
        kind: ObjectKind::Groups,
        name: GROUP_NAME.to_string(),
        stale: true,
    };
    let read = store.call(&get, CALL_TIMEOUT).await;
    match read.map_err(|error| error.to_string())? {
        StoreReply::Object(_, StoreObject::Own { fields, .. }) => Ok(Some(members_of(&fields))),
        StoreReply::Missing => Ok(None),
        other => Err(format!("{other:?}")),
    }
}

/// Zones and addresses of all machines that have registered.
pub(crate) async fn registered_machines(
    store: &StoreClient,
) -> Result<Vec<(String, String)>, String> {
    let objects = list_all(store, ObjectKind::Replicas).await?;
    let members = objects.iter().filter_map(|(name, object)| match object {
        StoreObject::Own { fields, .. } => member_of(name, fields),
        _ => None,
    });
    Ok(members
        .map(|member| (member.zone, member.address))
        .collect())
}

/// One machine of each zone first, then the second of each, by name.
fn first_members(registered: &[Member], voters: usize) -> Vec<Member> {
    let mut beside: BTreeMap<&str, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, &Member)> = Vec::new();
    for member in registered {
        let rank = beside.entry(&member.zone).or_insert(0);
        ranked.push((*rank, member));
        *rank += 1;
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    let chosen = ranked.into_iter().take(voters);
    chosen.map(|(_, member)| member.clone()).collect()
}

fn line_of(member: &Member) -> String {
    format!("{:016x} {} {}", member.replica, member.address, member.zone)
}

fn members_of(fields: &BTreeMap<String, String>) -> Vec<Member> {
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
