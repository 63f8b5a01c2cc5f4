//! The tree along which the news of a zone is pushed.

use peatgrade_types::{hash_bytes, rendezvous_order, NodeId};

/// Children of each member of the tree.
const FAN_OUT: usize = 2;

/// Members of one zone in the order that forms the tree: the first is the
/// root, and the member at `i` passes news on to those at `2i+1` and `2i+2`.
///
/// Every member computes it from its own membership view. Views that differ
/// for a moment lead to news arriving twice or late; both are repaired, since
/// news is numbered and its digest rides on every probe.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneTree {
    order: Vec<NodeId>,
}

impl ZoneTree {
    /// The tree of a zone with these members.
    pub fn new(zone: &str, members: impl Iterator<Item = NodeId>) -> Self {
        let key = hash_bytes(zone.as_bytes());
        Self {
            order: rendezvous_order(key, members, |node| u64::from(node.0)),
        }
    }

    /// The member that gathers and pushes.
    pub fn root(&self) -> Option<NodeId> {
        self.order.first().copied()
    }

    /// Members to which `node` passes news on.
    pub fn children(&self, node: NodeId) -> &[NodeId] {
        let Some(index) = self.order.iter().position(|&other| other == node) else {
            return &[];
        };
        let first = (index * FAN_OUT + 1).min(self.order.len());
        let end = (first + FAN_OUT).min(self.order.len());
        &self.order[first..end]
    }

    /// Number of hops from the root to the farthest member.
    pub fn depth(&self) -> u32 {
        (self.order.len() + 1)
            .next_power_of_two()
            .trailing_zeros()
            .saturating_sub(1)
    }
}
