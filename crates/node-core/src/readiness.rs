//! When a node may take callers.

use peatgrade_types::{Duration, NodeId, Time};
use std::collections::BTreeMap;

use crate::bulletin::relies_on;
use crate::context::Context;

/// Longest wait for a first report of every engine's load.
const ENGINES_LIMIT: Duration = Duration::from_secs(10);

/// Whether every engine's load has been heard of. A node that starts while the
/// machine list is frozen would otherwise send work to engines that left.
fn knows_engines(ctx: &Context) -> bool {
    let waited = ctx.now.since(ctx.started) >= ENGINES_LIMIT;
    let heard = |id| ctx.load.latest(ctx.now, id).is_some();
    let needed = |id| relies_on(ctx, &ctx.settings.zone, id);
    let mut engines = ctx.engines.all();
    waited || engines.all(|info| info.draining || heard(info.id) || !needed(info.id))
}

/// Configuration numbers heard from the members of the own zone.
///
/// A node that was away could have an old configuration. It is ready once what
/// it has is at least as new as what a majority of its zone reported.
#[derive(Debug, Default)]
pub(crate) struct Readiness {
    heard: BTreeMap<NodeId, u64>,
    ready_since: Option<Time>,
}

impl Readiness {
    pub fn on_config_number(&mut self, node: NodeId, number: u64) {
        self.heard.insert(node, number);
    }

    /// Once ready, a node stays ready.
    pub fn ready(&mut self, ctx: &Context) -> bool {
        if self.ready_since.is_some() {
            return true;
        }
        let own = ctx.config.number();
        if own == 0 || ctx.registers.roster().number == 0 || ctx.engines.all().next().is_none() {
            return false;
        }
        if !knows_engines(ctx) {
            return false;
        }
        let zone = ctx.settings.zone.clone();
        let peers: Vec<NodeId> = ctx
            .swim
            .usable()
            .filter(|member| member.zone == zone && member.identity != ctx.identity)
            .map(|member| member.identity.node)
            .collect();
        // This node counts as one that has its own number.
        let as_new = peers
            .iter()
            .filter(|node| self.heard.get(node).is_some_and(|n| *n <= own));
        let enough = 2 * (as_new.count() + 1) > peers.len() + 1;
        if enough {
            self.ready_since = Some(ctx.now);
        }
        enough
    }
}
