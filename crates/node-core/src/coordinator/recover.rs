//! What a new coordinator reads before it acts.

use peatgrade_consensus::{Decision, RegisterError};
use peatgrade_schema::peer::{Manifest, ManifestEntry, TrainerRecord};
use peatgrade_schema::{decode, encode};
use peatgrade_training::fence;
use peatgrade_types::{Duration, NodeId};

use super::{trainer_key, Coordinator, Stage};
use crate::blobs::{self, BlobPurpose, BlobResult};
use crate::context::Context;
use crate::registers::{CoordinatorStep, RegisterPurpose};

const REGISTER_LIMIT: Duration = Duration::from_secs(3);
/// Wait before a read that failed is tried again.
const RETRY: Duration = Duration::from_millis(500);

/// Name of a manifest's blob. The epoch keeps a stale coordinator from writing
/// over the manifest that was sealed.
pub(crate) fn manifest_key(tenant: &str, step: u64, epoch: u64) -> String {
    format!("manifest/{tenant}/{step:012}/{epoch}")
}

impl Coordinator {
    /// Writes this epoch into the trainer's register. From then on no earlier
    /// holder can seal a step.
    pub(super) fn start_fence(&mut self, ctx: &mut Context) {
        if ctx.now < self.next_recover {
            return;
        }
        self.stage = Stage::Fencing;
        let epoch = self.epoch;
        let change = Box::new(move |current: &[u8]| {
            let record: TrainerRecord = decode(current).unwrap_or_default();
            fence(&record, epoch).map_or(Decision::Keep, |next| Decision::write(encode(&next)))
        });
        let tenant = self.entry.name.clone();
        let purpose = RegisterPurpose::Coordinator(tenant, CoordinatorStep::Fence);
        let deadline = ctx.now + REGISTER_LIMIT;
        ctx.start_register(&trainer_key(&self.entry.name), deadline, purpose, change);
    }

    pub(super) fn on_fenced(&mut self, ctx: &mut Context, result: Result<Vec<u8>, RegisterError>) {
        let record = result
            .ok()
            .and_then(|value| decode::<TrainerRecord>(&value).ok());
        let Some(record) = record.filter(|record| record.sealing_epoch == self.epoch) else {
            self.stage = Stage::Unfenced;
            self.next_recover = ctx.now + RETRY;
            return;
        };
        self.record = record;
        self.stage = Stage::Recovering;
        self.pool = self.pool.anew();
        self.awaited = self.record.sealed.len();
        for sealed in self.record.sealed.clone() {
            let hints = sealed.stored_on.iter().map(|&node| NodeId(node)).collect();
            let purpose = BlobPurpose::RecoverManifest(self.entry.name.clone(), sealed.step);
            blobs::get(ctx, sealed.key, hints, purpose);
        }
        if self.awaited == 0 {
            self.list_samples(ctx);
        }
    }

    /// Without the samples of every sealed step nothing may be sealed, since a
    /// sample could be used twice; so a manifest that cannot be read is read
    /// again until it can.
    pub(super) fn on_recovered_manifest(
        &mut self,
        ctx: &mut Context,
        step: u64,
        result: BlobResult,
    ) {
        if self.stage != Stage::Recovering {
            return;
        }
        let manifest = match result {
            BlobResult::Value(Some(bytes)) => decode::<Manifest>(&bytes).ok(),
            _ => None,
        };
        match manifest {
            Some(manifest) => {
                self.pool
                    .mark_used(manifest.entries.iter().map(|entry| entry.sample));
                self.awaited = self.awaited.saturating_sub(1);
                if self.awaited == 0 {
                    self.list_samples(ctx);
                }
            }
            None => {
                log::warn!(
                    "step=recover-manifest tenant={} number={step}",
                    self.entry.name
                );
                self.stage = Stage::Unfenced;
                self.next_recover = ctx.now + RETRY;
            }
        }
    }

    fn list_samples(&mut self, ctx: &mut Context) {
        let prefix = format!("sample/{}/", self.entry.name);
        blobs::list(
            ctx,
            prefix,
            BlobPurpose::RecoverList(self.entry.name.clone()),
        );
    }

    pub(super) fn on_recovered_names(&mut self, result: BlobResult) {
        let BlobResult::Names(names) = result else {
            return;
        };
        if self.stage != Stage::Recovering {
            return;
        }
        // Manifests of steps before the lowest listed one are gone. A sample
        // used in step s has a version of at most s - 1, so whatever is that
        // old may have been used.
        let lowest = self.record.sealed.iter().map(|sealed| sealed.step).min();
        let maybe_used = |oldest: u64| lowest.is_some_and(|step| oldest + 2 <= step);
        for (key, nodes) in names {
            // One copy is not enough for a sample to count.
            let entry = parse_sample_key(&key, &nodes).filter(|_| nodes.len() > 1);
            if let Some(entry) = entry.filter(|entry| !maybe_used(entry.oldest)) {
                self.pool.restore(entry);
            }
        }
        self.pool.finish_restore();
        self.stage = Stage::Running;
        log::info!(
            "step=coordinator-running tenant={} epoch={} recovered_groups={}",
            self.entry.name,
            self.epoch,
            self.pool.complete_groups()
        );
    }
}

/// What the name of a sample's blob says of it.
pub(super) fn parse_sample_key(key: &str, nodes: &[NodeId]) -> Option<ManifestEntry> {
    let mut parts = key.split('/').skip(2);
    let group = u64::from_str_radix(parts.next()?, 16).ok()?;
    let sample = u64::from_str_radix(parts.next()?, 16).ok()?;
    let oldest = parts.next()?.parse().ok()?;
    let hash = u64::from_str_radix(parts.next()?, 16).ok()?;
    let tokens = parts.next()?.parse().ok()?;
    let entry = ManifestEntry {
        sample,
        hash,
        stored_on: nodes.iter().map(|node| node.0).collect(),
        oldest,
        group,
        tokens,
    };
    Some(entry)
}
