//! Tree that distributes updates in a zone.

use peatgrade_types::{hash_bytes, rendezvous_order, NodeId};

/// Maximum number of children per member.
const FAN_OUT: usize = 2;

/// Members of one zone in the order that forms the tree: the first is the
/// root, and the member at index `i` forwards updates to those at `2i+1` and
/// `2i+2`.
///
/// Every member computes the tree from its own membership view. While views
/// differ, an update may arrive twice or late. Both are corrected, because
/// updates are numbered and every probe carries their digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneTree {
    order: Vec<NodeId>,
}

impl ZoneTree {
    /// Builds the tree of `zone` from its members.
    pub fn new(zone: &str, members: impl Iterator<Item = NodeId>) -> Self {
        let key = hash_bytes(zone.as_bytes());
        Self {
            order: rendezvous_order(key, members, |node| u64::from(node.0)),
        }
    }

    /// The member that collects updates and starts each push.
    pub fn root(&self) -> Option<NodeId> {
        self.order.first().copied()
    }

    /// Members to which `node` forwards updates.
    pub fn children(&self, node: NodeId) -> &[NodeId] {
        let Some(index) = self.order.iter().position(|&other| other == node) else {
            return &[];
        };
        let start = (index * FAN_OUT + 1).min(self.order.len());
        let end = (start + FAN_OUT).min(self.order.len());
        &self.order[start..end]
    }

    /// Number of hops from the root to the deepest member.
    pub fn depth(&self) -> u32 {
        (self.order.len() + 1)
            .next_power_of_two()
            .trailing_zeros()
            .saturating_sub(1)
    }
}
