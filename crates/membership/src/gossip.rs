//! Queue of membership updates piggybacked on probes and their replies.

use peatgrade_types::NodeId;
use std::collections::BTreeMap;

/// Maximum number of updates piggybacked on one message.
const MAX_UPDATES: usize = 5;
/// Maximum number of updates piggybacked on one message while the queue is
/// long, for example when all nodes of a region start.
const MAX_UPDATES_BUSY: usize = 12;

/// Members with an update to disseminate.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    /// Number of times that the update of each member has been sent.
    transmissions: BTreeMap<NodeId, u32>,
}

impl GossipQueue {
    /// Queues the update of a member and resets its transmission count.
    pub(crate) fn add(&mut self, node: NodeId) {
        self.transmissions.insert(node, 0);
    }

    /// Takes the members whose updates go into the next message, least often
    /// sent first. An update is dropped after about `3 * log2(group_size)`
    /// transmissions, which reaches every member with high probability.
    pub(crate) fn take(&mut self, group_size: usize) -> Vec<NodeId> {
        let max_transmissions = 3 * (usize::BITS - group_size.leading_zeros()).max(1);
        let mut queued: Vec<(u32, NodeId)> = self
            .transmissions
            .iter()
            .map(|(&node, &count)| (count, node))
            .collect();
        queued.sort();
        let busy = queued.len() > 2 * MAX_UPDATES_BUSY;
        let max_updates = if busy { MAX_UPDATES_BUSY } else { MAX_UPDATES };
        let chosen: Vec<NodeId> = queued
            .into_iter()
            .take(max_updates)
            .map(|(_, node)| node)
            .collect();
        for node in &chosen {
            if let Some(count) = self.transmissions.get_mut(node) {
                *count += 1;
            }
        }
        self.transmissions
            .retain(|_, count| *count < max_transmissions);
        chosen
    }
}
