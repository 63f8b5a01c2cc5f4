//! Updates that ride on probes.

use peatgrade_types::NodeId;
use std::collections::BTreeMap;

/// Updates carried by one probe or answer, usually and while many wait, as
/// after the start of a whole region.
const PER_MESSAGE: usize = 5;
const PER_MESSAGE_BUSY: usize = 12;

/// Members with news, and how often each was passed on.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    sent: BTreeMap<NodeId, u32>,
}

impl GossipQueue {
    /// Starts passing on news of a member afresh.
    pub(crate) fn add(&mut self, node: NodeId) {
        self.sent.insert(node, 0);
    }

    /// The members whose news goes out next, least often sent first. Each is
    /// dropped after `3 * log2(group)` sendings, which reaches every member
    /// with high probability.
    pub(crate) fn take(&mut self, group: usize) -> Vec<NodeId> {
        let limit = 3 * (usize::BITS - group.leading_zeros()).max(1);
        let mut queued: Vec<(u32, NodeId)> = self.sent.iter().map(|(&n, &c)| (c, n)).collect();
        queued.sort();
        let busy = queued.len() > 2 * PER_MESSAGE_BUSY;
        let count = if busy { PER_MESSAGE_BUSY } else { PER_MESSAGE };
        let chosen: Vec<NodeId> = queued.into_iter().take(count).map(|(_, n)| n).collect();
        for node in &chosen {
            if let Some(count) = self.sent.get_mut(node) {
                *count += 1;
            }
        }
        self.sent.retain(|_, count| *count < limit);
        chosen
    }
}
