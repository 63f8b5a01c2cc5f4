//! Pushing the numbered snapshots through the zones, and repair.
//!
//! The reader pushes to the root of each zone's tree; each node passes changes
//! on to its children. The numbers ride on every probe and bulletin, so that a
//! node that missed a push asks whoever has more. A snapshot only moves up.

use peatgrade_config::Snapshot;
use peatgrade_membership::ZoneTree;
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::{Channel, ConfigReply, ConfigRequest, Digest};
use peatgrade_types::{Duration, Identity, NodeId, Time};
use std::collections::{BTreeMap, BTreeSet};

use crate::context::Context;
use crate::mutation::Mutation;

/// Time between two requests to repair the same channel.
const REPAIR_INTERVAL: Duration = Duration::from_millis(400);

/// Repair requests under way.
#[derive(Debug, Default)]
pub(crate) struct Distribution {
    asked: BTreeMap<u8, Time>,
}

fn snapshot(ctx: &Context, channel: Channel) -> &Snapshot {
    match channel {
        Channel::CONFIG => &ctx.config,
        Channel::MACHINES => &ctx.machines,
    }
}

/// Tree of one zone by this node's view.
pub(crate) fn zone_tree(ctx: &Context, zone: &str) -> ZoneTree {
    let members = ctx.swim.reachable().filter(|member| member.zone == zone);
    ZoneTree::new(zone, members.map(|member| member.identity.node))
}

/// Zones with a reachable member.
pub(crate) fn zones(ctx: &Context) -> BTreeSet<String> {
    ctx.swim
        .reachable()
        .map(|member| member.zone.clone())
        .collect()
}

/// The numbers of what this node has.
pub(crate) fn digest(ctx: &Context) -> Digest {
    Digest {
        config: ctx.config.number(),
        roster: ctx.registers.roster().number,
        machines: ctx.machines.number(),
    }
}

/// Pushes the changes since `base` to the roots of all zones; the reader calls
/// it after the snapshot moved.
pub(crate) fn push_to_roots(ctx: &mut Context, channel: Channel, base: u64) {
    let changes = snapshot(ctx, channel).changes_since(base, channel);
    let me = ctx.identity.node;
    for zone in zones(ctx) {
        let root = zone_tree(ctx, &zone).root();
        if let Some(root) = root.filter(|root| *root != me) {
            ctx.send(root, OneOfbody::config_reply(changes.clone()));
        }
    }
    pass_on(ctx, channel, base);
}

/// Sends the changes since `base` to this node's children in its zone's tree.
fn pass_on(ctx: &mut Context, channel: Channel, base: u64) {
    let zone = ctx.settings.zone.clone();
    let tree = zone_tree(ctx, &zone);
    let changes = snapshot(ctx, channel).changes_since(base, channel);
    for &child in tree.children(ctx.identity.node) {
        ctx.send(child, OneOfbody::config_reply(changes.clone()));
    }
}

/// Acts on a change of a snapshot.
pub(crate) fn changed(ctx: &mut Context, channel: Channel) {
    match channel {
        Channel::CONFIG => {
            ctx.catalog.update(&ctx.config);
            log::info!("step=config-in-force number={}", ctx.config.number());
        }
        Channel::MACHINES => ctx.machines_changed(),
    }
}

/// Asks a peer for the changes since `have`.
fn ask(ctx: &mut Context, from: NodeId, channel: Channel, have: u64) {
    if ctx.broken(Mutation::NeverAskForNewer) && channel == Channel::CONFIG {
        return;
    }
    let request = ConfigRequest { have, channel };
    ctx.send(from, OneOfbody::config_request(request));
}

impl Distribution {
    /// Compares a peer's numbers with the own ones and asks for what is newer.
    pub fn on_digest(&mut self, ctx: &mut Context, from: NodeId, theirs: &Digest) {
        let ours = digest(ctx);
        if theirs.roster > ours.roster {
            let request = ctx.registers.ask_roster(from);
            ctx.send(request.to, request.body);
        }
        let channels = [
            (Channel::CONFIG, theirs.config, ours.config),
            (Channel::MACHINES, theirs.machines, ours.machines),
        ];
        for (channel, theirs, ours) in channels {
            let last = self.asked.get(&(channel as u8));
            let due = last.is_none_or(|at| ctx.now.since(*at) >= REPAIR_INTERVAL);
            if theirs > ours && due {
                self.asked.insert(channel as u8, ctx.now);
                ask(ctx, from, channel, ours);
            }
        }
    }

    /// Handles the messages of this module; others are handed back.
    pub fn on_message(
        &mut self,
        ctx: &mut Context,
        from: Identity,
        body: OneOfbody,
    ) -> Option<OneOfbody> {
        match body {
            OneOfbody::config_request(request) => {
                let held = snapshot(ctx, request.channel);
                if held.number() > request.have {
                    let changes = held.changes_since(request.have, request.channel);
                    ctx.send(from.node, OneOfbody::config_reply(changes));
                }
            }
            OneOfbody::config_reply(reply) => self.on_reply(ctx, from.node, reply),
            other => return Some(other),
        }
        None
    }

    fn on_reply(&mut self, ctx: &mut Context, from: NodeId, reply: ConfigReply) {
        let channel = reply.channel;
        let base = snapshot(ctx, channel).number();
        if ctx.broken(Mutation::IgnoreConfigNumber) && channel == Channel::CONFIG {
            ctx.config = Snapshot::default();
        }
        let moved = match channel {
            Channel::CONFIG => ctx.config.apply(&reply),
            Channel::MACHINES => ctx.machines.apply(&reply),
        };
        if moved {
            changed(ctx, channel);
            pass_on(ctx, channel, base);
        } else if reply.number > base {
            // The changes start above what this node has: ask for the gap.
            ask(ctx, from, channel, base);
        }
    }
}
