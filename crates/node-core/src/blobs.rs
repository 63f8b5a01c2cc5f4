//! Blobs kept on the nodes that have a data folder, each on two in different
//! zones, and the server side of it.

use bytes::Bytes;
use peatgrade_membership::Member;
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::{
    BlobDelete, BlobGet, BlobGetReply, BlobList, BlobListReply, BlobPut, BlobPutReply,
};
use peatgrade_storage::{DiskReply, DiskRequest};
use peatgrade_types::{hash_bytes, rendezvous_order, Duration, Identity, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::context::Context;
use crate::event::{CallId, DiskId};

/// Copies of each blob.
const COPIES: usize = 2;
/// Wait for one node before the next is asked.
const NODE_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time for a whole operation.
const OPERATION_LIMIT: Duration = Duration::from_secs(8);
/// Longest wait for all nodes to list.
const LIST_LIMIT: Duration = Duration::from_secs(3);

/// What a blob operation is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BlobPurpose {
    /// Store a finished sample.
    Sample(u64),
    /// Store the manifest of a step.
    PutManifest(String, u64),
    /// Read a manifest for a fetch.
    StepManifest(CallId),
    /// Read a sample for a fetch, by its place in the manifest.
    StepSample(CallId, usize),
    /// Names of samples left by an earlier coordinator.
    RecoverList(String),
    /// A sealed manifest, read in recovery.
    RecoverManifest(String, u64),
    /// Names of stored samples, to remove those too old for any step.
    CollectGarbage(String),
    /// Read a session's transcript.
    ReadTranscript(CallId),
    /// Store a session's transcript.
    SaveTranscript(CallId),
}

/// The end of a blob operation.
#[derive(Clone, Debug)]
pub(crate) enum BlobResult {
    /// Stored on these nodes, or on too few.
    Stored(Result<Vec<NodeId>, String>),
    /// The content, if any node has it.
    Value(Option<Bytes>),
    /// Names with the nodes that have them.
    Names(BTreeMap<String, Vec<NodeId>>),
}

enum Work {
    Put {
        value: Bytes,
        stored: BTreeMap<NodeId, String>,
        refused: String,
    },
    Get,
    List {
        prefix: String,
        names: BTreeMap<String, Vec<NodeId>>,
        open: BTreeSet<NodeId>,
    },
}

struct Operation {
    key: String,
    purpose: BlobPurpose,
    work: Work,
    asked: BTreeMap<NodeId, Time>,
    hints: Vec<NodeId>,
    deadline: Time,
}

struct Serving {
    to: NodeId,
    request: u64,
}

/// Blob operations of one node, as client and as server.
pub(crate) struct Blobs {
    next: u64,
    operations: BTreeMap<u64, Operation>,
    serving: BTreeMap<DiskId, Serving>,
    pub done: VecDeque<(BlobPurpose, BlobResult)>,
}

impl Blobs {
    pub fn new() -> Self {
        Self {
            next: 1,
            operations: BTreeMap::new(),
            serving: BTreeMap::new(),
            done: VecDeque::new(),
        }
    }
}

/// Starts storing a blob.
pub(crate) fn put(ctx: &mut Context, key: String, value: Vec<u8>, purpose: BlobPurpose) {
    let work = Work::Put {
        value: value.into(),
        stored: BTreeMap::new(),
        refused: String::new(),
    };
    start(ctx, key, work, Vec::new(), OPERATION_LIMIT, purpose);
}

/// Starts reading a blob; `hints` are nodes believed to have it.
pub(crate) fn get(ctx: &mut Context, key: String, hints: Vec<NodeId>, purpose: BlobPurpose) {
    start(ctx, key, Work::Get, hints, OPERATION_LIMIT, purpose);
}

/// Starts listing the names with a prefix on all nodes that have a folder.
pub(crate) fn list(ctx: &mut Context, prefix: String, purpose: BlobPurpose) {
    let open = bulk_members(ctx, &prefix)
        .into_iter()
        .map(|(node, _)| node)
        .collect();
    let work = Work::List {
        prefix: prefix.clone(),
        names: BTreeMap::new(),
        open,
    };
    start(ctx, prefix, work, Vec::new(), LIST_LIMIT, purpose);
}

/// Removes blobs wherever they are; nobody waits for it.
pub(crate) fn delete(ctx: &mut Context, keys: Vec<String>) {
    for (node, _) in bulk_members(ctx, "") {
        let keys = keys.clone();
        ctx.send(node, OneOfbody::blob_delete(BlobDelete { keys }));
    }
}

/// Nodes with a data folder, in the rendezvous order of a key.
fn bulk_members(ctx: &Context, key: &str) -> Vec<(NodeId, String)> {
    let members: Vec<&Member> = ctx
        .swim
        .reachable()
        .filter(|member| member.has_storage)
        .collect();
    let ordered = rendezvous_order(hash_bytes(key.as_bytes()), members.into_iter(), |member| {
        u64::from(member.identity.node.0)
    });
    let named = ordered.into_iter();
    named
        .map(|member| (member.identity.node, member.zone.clone()))
        .collect()
}

fn start(
    ctx: &mut Context,
    key: String,
    work: Work,
    hints: Vec<NodeId>,
    limit: Duration,
    purpose: BlobPurpose,
) {
    let id = ctx.blobs.next;
    ctx.blobs.next += 1;
    let operation = Operation {
        key,
        purpose,
        work,
        asked: BTreeMap::new(),
        hints,
        deadline: ctx.now + limit,
    };
    ctx.blobs.operations.insert(id, operation);
    advance(ctx, id);
}

/// Asks the next nodes of an operation, or ends it.
fn advance(ctx: &mut Context, id: u64) {
    let Some(mut operation) = ctx.blobs.operations.remove(&id) else {
        return;
    };
    let members = bulk_members(ctx, &operation.key);
    let finished = match &operation.work {
        Work::Put { .. } => advance_put(ctx, id, &mut operation, &members),
        Work::Get => advance_get(ctx, id, &mut operation, &members),
        Work::List { .. } => advance_list(ctx, id, &mut operation),
    };
    match finished {
        Some(result) => ctx.blobs.done.push_back((operation.purpose, result)),
        None => {
            ctx.blobs.operations.insert(id, operation);
        }
    }
}

fn advance_put(
    ctx: &mut Context,
    id: u64,
    operation: &mut Operation,
    members: &[(NodeId, String)],
) -> Option<BlobResult> {
    let now = ctx.now;
    let Work::Put {
        value,
        stored,
        refused,
    } = &mut operation.work
    else {
        return None;
    };
    let zones: BTreeSet<&String> = stored.values().collect();
    if stored.len() >= COPIES && zones.len() >= COPIES {
        return Some(BlobResult::Stored(Ok(stored.keys().copied().collect())));
    }
    if now >= operation.deadline {
        let reason = format!("{} of {COPIES} copies; {refused}", stored.len());
        return Some(BlobResult::Stored(Err(reason)));
    }
    let fresh = |asked: Option<&Time>| asked.is_some_and(|at| now.since(*at) < NODE_TIMEOUT);
    let mut taken: BTreeSet<String> = stored.values().cloned().collect();
    let pending = operation
        .asked
        .iter()
        .filter(|(node, at)| !stored.contains_key(node) && fresh(Some(at)));
    for (node, _) in pending {
        taken.extend(
            members
                .iter()
                .filter(|(n, _)| n == node)
                .map(|(_, zone)| zone.clone()),
        );
    }
    for (node, zone) in members {
        if taken.len() >= COPIES {
            break;
        }
        let tried = operation.asked.contains_key(node);
        if tried || taken.contains(zone) {
            continue;
        }
        taken.insert(zone.clone());
        operation.asked.insert(*node, now);
        let message = BlobPut {
            request: id,
            key: operation.key.clone(),
            value: value.to_vec(),
        };
        ctx.send(*node, OneOfbody::blob_put(message));
    }
    // Every node was tried: start over with those that have not stored it.
    if taken.len() < COPIES {
        operation
            .asked
            .retain(|node, at| stored.contains_key(node) || fresh(Some(at)));
    }
    None
}

fn advance_get(
    ctx: &mut Context,
    id: u64,
    operation: &mut Operation,
    members: &[(NodeId, String)],
) -> Option<BlobResult> {
    let now = ctx.now;
    let waiting = operation
        .asked
        .values()
        .any(|at| now.since(*at) < NODE_TIMEOUT);
    if waiting {
        return None;
    }
    let others = members.iter().map(|(node, _)| *node);
    let untried = |node: &NodeId| !operation.asked.contains_key(node);
    let next = operation.hints.iter().copied().chain(others).find(untried);
    let Some(node) = next.filter(|_| now < operation.deadline) else {
        return Some(BlobResult::Value(None));
    };
    operation.asked.insert(node, now);
    let key = operation.key.clone();
    ctx.send(node, OneOfbody::blob_get(BlobGet { request: id, key }));
    None
}

fn advance_list(ctx: &mut Context, id: u64, operation: &mut Operation) -> Option<BlobResult> {
    let Work::List {
        prefix,
        names,
        open,
    } = &mut operation.work
    else {
        return None;
    };
    if open.is_empty() || ctx.now >= operation.deadline {
        return Some(BlobResult::Names(std::mem::take(names)));
    }
    for node in open.iter() {
        let due = operation
            .asked
            .get(node)
            .is_none_or(|at| ctx.now.since(*at) >= NODE_TIMEOUT);
        if due {
            operation.asked.insert(*node, ctx.now);
            let message = BlobList {
                request: id,
                prefix: prefix.clone(),
                after: String::new(),
            };
            ctx.send(*node, OneOfbody::blob_list(message));
        }
    }
    None
}

/// Asks further nodes and ends what is overdue.
pub(crate) fn tick(ctx: &mut Context) {
    let ids: Vec<u64> = ctx.blobs.operations.keys().copied().collect();
    for id in ids {
        advance(ctx, id);
    }
}

/// Handles the messages of this module; others are handed back.
pub(crate) fn on_message(ctx: &mut Context, from: Identity, body: OneOfbody) -> Option<OneOfbody> {
    match body {
        OneOfbody::blob_put(put) => {
            let value = put.value.into();
            serve(
                ctx,
                from,
                put.request,
                DiskRequest::Put {
                    key: put.key,
                    value,
                },
            );
        }
        OneOfbody::blob_get(get) => {
            serve(ctx, from, get.request, DiskRequest::Get { key: get.key });
        }
        OneOfbody::blob_list(list) => {
            let (prefix, after) = (list.prefix, list.after);
            serve(ctx, from, list.request, DiskRequest::List { prefix, after });
        }
        OneOfbody::blob_delete(delete) => {
            if ctx.settings.bulk {
                ctx.disk(DiskRequest::Delete { keys: delete.keys });
            }
        }
        OneOfbody::blob_put_reply(reply) => on_put_reply(ctx, from.node, reply),
        OneOfbody::blob_get_reply(reply) => on_get_reply(ctx, from.node, reply),
        OneOfbody::blob_list_reply(reply) => on_list_reply(ctx, from.node, reply),
        other => return Some(other),
    }
    None
}

fn serve(ctx: &mut Context, from: Identity, request: u64, disk: DiskRequest) {
    if ctx.settings.bulk {
        let id = ctx.disk(disk);
        let to = from.node;
        ctx.blobs.serving.insert(id, Serving { to, request });
    }
}

/// Passes the disk's answer to the node that asked.
pub(crate) fn on_disk(ctx: &mut Context, id: DiskId, reply: DiskReply) {
    let Some(Serving { to, request }) = ctx.blobs.serving.remove(&id) else {
        return;
    };
    let put_reply = |stored, reason| {
        OneOfbody::blob_put_reply(BlobPutReply {
            request,
            stored,
            reason,
        })
    };
    let body = match reply {
        DiskReply::Stored => put_reply(true, String::new()),
        DiskReply::Refused(error) => {
            log::warn!("step=disk peer={to} error={error}");
            put_reply(false, error.to_string())
        }
        DiskReply::Value(value) => OneOfbody::blob_get_reply(BlobGetReply {
            request,
            found: value.is_some(),
            value: value.map(|value| value.to_vec()).unwrap_or_default(),
        }),
        DiskReply::Keys { keys, last } => OneOfbody::blob_list_reply(BlobListReply {
            request,
            keys,
            last,
        }),
        DiskReply::Deleted => return,
    };
    ctx.send(to, body);
}

fn on_put_reply(ctx: &mut Context, from: NodeId, reply: BlobPutReply) {
    let zone = ctx.swim.member(from).map(|member| member.zone.clone());
    if let Some(operation) = ctx.blobs.operations.get_mut(&reply.request) {
        if let Work::Put {
            stored, refused, ..
        } = &mut operation.work
        {
            if reply.stored {
                stored.insert(from, zone.unwrap_or_default());
            } else {
                *refused = format!("{from}: {}", reply.reason);
                operation.asked.insert(from, Time::default());
            }
        }
    }
    advance(ctx, reply.request);
}

fn on_get_reply(ctx: &mut Context, from: NodeId, reply: BlobGetReply) {
    let Some(operation) = ctx.blobs.operations.get_mut(&reply.request) else {
        return;
    };
    if !matches!(operation.work, Work::Get) {
        return;
    }
    if reply.found {
        let operation = ctx.blobs.operations.remove(&reply.request);
        let value = Some(Bytes::from(reply.value));
        let purpose = operation.map(|operation| operation.purpose);
        let ended = purpose.map(|purpose| (purpose, BlobResult::Value(value)));
        ctx.blobs.done.extend(ended);
        return;
    }
    operation.asked.insert(from, Time::default());
    advance(ctx, reply.request);
}

fn on_list_reply(ctx: &mut Context, from: NodeId, reply: BlobListReply) {
    let now = ctx.now;
    let Some(operation) = ctx.blobs.operations.get_mut(&reply.request) else {
        return;
    };
    let Work::List {
        prefix,
        names,
        open,
    } = &mut operation.work
    else {
        return;
    };
    if !open.contains(&from) {
        return;
    }
    let after = reply.keys.last().cloned();
    for key in reply.keys {
        let nodes = names.entry(key).or_default();
        if !nodes.contains(&from) {
            nodes.push(from);
        }
    }
    match after.filter(|_| !reply.last) {
        None => {
            open.remove(&from);
        }
        Some(after) => {
            operation.asked.insert(from, now);
            let message = BlobList {
                request: reply.request,
                prefix: prefix.clone(),
                after,
            };
            ctx.send(from, OneOfbody::blob_list(message));
        }
    }
    advance(ctx, reply.request);
}
