//! When a pushed configuration may be called accepted.

use peatgrade_consensus::roster::majority;
use peatgrade_types::{Duration, NodeId, Time};
use std::collections::BTreeSet;

use crate::context::Context;

/// Time between two probes of members that have not confirmed.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Waits until a majority of the roster has a number in force.
///
/// A reader on the smaller side of a partition gets no majority and accepts
/// nothing; what a majority has, every later reader and every repair finds.
#[derive(Debug)]
pub(crate) struct Acceptance {
    number: u64,
    confirmed: BTreeSet<NodeId>,
    next_probe: Time,
}

impl Acceptance {
    pub fn new(number: u64) -> Self {
        Self {
            number,
            confirmed: BTreeSet::new(),
            next_probe: Time::default(),
        }
    }

    /// A node said what it has in force.
    pub fn on_number(&mut self, node: NodeId, number: u64) {
        if number >= self.number {
            self.confirmed.insert(node);
        }
    }

    /// Whether a majority has confirmed; probes those that have not.
    pub fn poll(&mut self, ctx: &mut Context) -> bool {
        self.on_number(ctx.identity.node, ctx.config.number());
        let members = ctx.registers.roster().members.iter();
        let members: Vec<NodeId> = members.map(|member| member.identity.node).collect();
        let open = members.iter().filter(|node| !self.confirmed.contains(node));
        let open: Vec<NodeId> = open.copied().collect();
        if members.len() - open.len() >= majority(members.len()) {
            return true;
        }
        if ctx.now >= self.next_probe {
            self.next_probe = ctx.now + PROBE_INTERVAL;
            for node in open {
                ctx.probe(node);
            }
        }
        false
    }
}
