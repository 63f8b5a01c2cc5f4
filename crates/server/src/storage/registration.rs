//! Registration of storage machines: each writes its address and incarnation to the object store.

use peatgrade_ports::{ObjectKind, ObjectWrite, StoreObject, StoreRequest, StoreResponse};
use peatgrade_schema::replication::Member;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::listing::{list_all, ListResult};
use crate::log_text::shortened;
use crate::store_client::StoreClient;

/// Longest name or zone of a machine.
const MAX_WORD_BYTES: usize = 256;
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(800);
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(250);

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

/// Whether `text` can be a word of an initial member.
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

pub(super) fn registered_members(registrations: &ListResult) -> Vec<Member> {
    let objects = registrations.objects.iter();
    let members = objects.filter_map(|(name, object)| match object {
        StoreObject::Internal { fields, .. } => member_from_registration(name, fields),
        _ => None,
    });
    members.collect()
}

#[cfg(test)]
#[path = "../../tests/unit/registration.rs"]
mod tests;
