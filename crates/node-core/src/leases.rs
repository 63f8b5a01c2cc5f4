//! The leases a node may hold.

use peatgrade_consensus::Lease;
use peatgrade_types::{Duration, Time};
use std::collections::BTreeMap;

use crate::context::Context;
use crate::registers::RegisterPurpose;

/// Longest time one write of a lease may take.
const WRITE_LIMIT: Duration = Duration::from_millis(1_500);

/// A role that one node of the region holds at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LeaseName {
    /// Reads the platform's store.
    Reader,
    /// Decides rosters.
    Keeper,
    /// Coordinates the trainer of a tenant.
    Coordinator(String),
}

impl LeaseName {
    pub fn key(&self) -> String {
        match self {
            LeaseName::Reader => "lease/reader".into(),
            LeaseName::Keeper => "lease/keeper".into(),
            LeaseName::Coordinator(tenant) => format!("lease/coordinator/{tenant}"),
        }
    }
}

/// This node's view of all leases.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    leases: BTreeMap<LeaseName, Lease>,
}

impl Leases {
    /// The epoch under which this node holds a lease now.
    pub fn epoch(&self, now: Time, name: &LeaseName) -> Option<u64> {
        self.leases.get(name)?.epoch(now)
    }

    /// Renews, takes and releases. The first member in the lease's own
    /// rendezvous order should hold it, so that holders move seldom; while it
    /// cannot, nobody else tries until membership says it is gone.
    pub fn tick(&mut self, ctx: &mut Context, names: Vec<LeaseName>) {
        let me = ctx.identity;
        self.leases
            .retain(|name, lease| names.contains(name) || lease.epoch(ctx.now).is_some());
        for name in names {
            let key = name.key();
            let candidate = ctx.rendezvous_member(&key) == Some(me.node);
            let lease = self
                .leases
                .entry(name.clone())
                .or_insert_with(|| Lease::new(&key, me));
            // A holder keeps its lease when a better candidate appears, until
            // it leaves: moving a role costs a recovery.
            let holds = lease.epoch(ctx.now).is_some();
            let wanted = (candidate || holds) && !ctx.draining;
            let Some(change) = lease.poll(ctx.now, wanted) else {
                continue;
            };
            let deadline = ctx.now + WRITE_LIMIT;
            ctx.start_register(&key, deadline, RegisterPurpose::Lease(name), change);
        }
    }

    /// Takes in the end of a write.
    pub fn on_done(
        &mut self,
        now: Time,
        name: &LeaseName,
        result: &Result<Vec<u8>, peatgrade_consensus::RegisterError>,
    ) {
        if let Some(lease) = self.leases.get_mut(name) {
            lease.on_outcome(now, result);
        }
    }

    /// Leases held now.
    pub fn held(&self, now: Time) -> Vec<String> {
        let held = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.epoch(now).is_some());
        held.map(|(name, _)| name.key()).collect()
    }

    /// Whether nothing is held, so that the node may stop without a gap.
    pub fn none_held(&self, now: Time) -> bool {
        self.held(now).is_empty()
    }
}
