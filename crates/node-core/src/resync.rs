//! What a node does that finds itself to have been paused.
//!
//! A process can stand still for seconds without noticing, and then goes on
//! with what it knew before. Its leases guard themselves by time; but it could
//! send work to an engine that has left long since. So a node that sees a gap
//! in its own time sends nothing to engines until a peer has told it, in
//! answer to a probe made after the gap, that its machine list is current, and
//! for some seconds only to engines whose load was reported after the gap.

use peatgrade_schema::peer::Digest;
use peatgrade_types::{Duration, NodeId, Time};

use crate::context::Context;

/// A gap between two events that means that the process stood still; ticks
/// come far more often.
pub(crate) const GAP: Duration = Duration::from_millis(1_500);
/// Longest wait for a peer; a node that is alone goes on with what it knows.
const LIMIT: Duration = Duration::from_secs(2);
/// Time after a gap in which older load reports do not count; by then every
/// engine has been told of again.
const DISTRUST: Duration = Duration::from_secs(6);
/// Peers probed.
const PROBES: usize = 3;

/// The wait for a peer's word.
#[derive(Debug)]
pub(crate) struct Resync {
    since: Time,
    first_sequence: u32,
    /// Number of the machine list that a peer has, once one has answered.
    wanted: Option<u64>,
}

/// Starts to wait, and probes peers, those of the own zone first.
pub(crate) fn start(ctx: &mut Context) {
    log::warn!("step=resync node={} reason=gap-in-time", ctx.settings.name);
    ctx.woke = Some(ctx.now);
    let zone = ctx.settings.zone.clone();
    let me = ctx.identity;
    let mut peers: Vec<(bool, NodeId)> = ctx
        .swim
        .usable()
        .filter(|member| member.identity != me)
        .map(|member| (member.zone != zone, member.identity.node))
        .collect();
    peers.sort();
    let mut first_sequence = None;
    for (_, peer) in peers.into_iter().take(PROBES) {
        let sequence = ctx.probe(peer);
        first_sequence = first_sequence.or(Some(sequence));
    }
    ctx.resync = first_sequence.map(|first_sequence| Resync {
        since: ctx.now,
        first_sequence,
        wanted: None,
    });
}

/// The moment before which load reports do not count.
pub(crate) fn trusted_since(ctx: &Context) -> Option<Time> {
    ctx.woke.filter(|woke| ctx.now.since(*woke) < DISTRUST)
}

/// Takes in a peer's answer to a probe.
pub(crate) fn on_ack(ctx: &mut Context, sequence: u32, numbers: &Digest) {
    if let Some(resync) = &mut ctx.resync {
        if sequence >= resync.first_sequence {
            let known = resync.wanted.unwrap_or(0);
            resync.wanted = Some(known.max(numbers.machines));
        }
    }
    settle(ctx);
}

/// Ends the wait if the machine list is current, or if it has been too long.
pub(crate) fn settle(ctx: &mut Context) {
    let Some(resync) = &ctx.resync else {
        return;
    };
    let current = resync
        .wanted
        .is_some_and(|wanted| ctx.machines.number() >= wanted);
    if current || ctx.now.since(resync.since) >= LIMIT {
        ctx.resync = None;
    }
}
