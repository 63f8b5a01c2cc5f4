//! The role that feeds a trainer, held by one node per tenant with training.
//!
//! ```text
//!  lease -> fence the trainer's register -> read sealed manifests -> list
//!  stored samples -> run: order samples, seal steps, roll out weights
//! ```

mod recover;
mod run;

pub(crate) use recover::manifest_key;

use peatgrade_config::TenantEntry;
use peatgrade_consensus::RegisterError;
use peatgrade_schema::peer::{PromptOffer, RolloutReport, StepNotice, TrainerRecord, WeightReport};
use peatgrade_training::{PoolPolicy, Prompt, SamplePool, WeightRollout};
use peatgrade_types::{Identity, NodeId, Time};
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::blobs::BlobResult;
use crate::context::Context;
use crate::leases::{LeaseName, Leases};
use crate::mutation::Mutation;
use crate::registers::CoordinatorStep;

/// How far a new holder is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No write has fenced yet.
    Unfenced,
    /// The fence is being written.
    Fencing,
    /// Manifests and sample names are being read.
    Recovering,
    /// In charge.
    Running,
}

/// A step between selection and seal.
#[derive(Clone, Debug)]
struct Sealing {
    step: u64,
    samples: Vec<u64>,
    sealed: peatgrade_schema::peer::SealedStep,
    /// The register as it was known at selection.
    base: TrainerRecord,
}

/// One tenant's coordinator.
#[derive(Debug)]
struct Coordinator {
    entry: Rc<TenantEntry>,
    epoch: u64,
    stage: Stage,
    record: TrainerRecord,
    pool: SamplePool,
    weights: WeightRollout,
    sealing: Option<Sealing>,
    /// Manifests still to be read in recovery.
    awaited: usize,
    polling: bool,
    next_poll: Time,
    next_work: Time,
    next_orders: Time,
    next_recover: Time,
    deleted_before: u64,
    /// Nodes that serve a fetch of a step that is not sealed yet.
    waiting: BTreeMap<NodeId, u64>,
}

/// Register of a trainer.
pub(crate) fn trainer_key(tenant: &str) -> String {
    format!("trainer/{tenant}")
}

fn policy_of(ctx: &Context, entry: &TenantEntry) -> Option<PoolPolicy> {
    let training = entry.spec.training.as_ref()?;
    let lone = ctx.settings.wait_for_all;
    Some(PoolPolicy {
        samples_per_step: training.samples_per_step,
        group_size: training.group_size,
        staleness_bound: match ctx.broken(Mutation::IgnoreStaleness) {
            true => u64::MAX,
            false => training.staleness_bound,
        },
        oversample_percent: if lone { 0 } else { training.oversample_percent },
        lookahead: if lone { 0 } else { training.lookahead_steps },
        ahead_percent: training.ahead_percent,
        carry_over: training.carry_over && !lone,
    })
}

/// Coordinators held by this node.
#[derive(Debug, Default)]
pub(crate) struct Coordinators {
    held: BTreeMap<String, Coordinator>,
}

impl Coordinators {
    /// Tenants that need a coordinator.
    pub fn wanted(ctx: &Context) -> Vec<LeaseName> {
        let training = ctx
            .catalog
            .tenants()
            .filter(|entry| entry.spec.training.is_some());
        training
            .map(|entry| LeaseName::Coordinator(entry.name.clone()))
            .collect()
    }

    pub fn tick(&mut self, ctx: &mut Context, leases: &Leases) {
        let now = ctx.now;
        let fenced = !ctx.broken(Mutation::SealUnfenced);
        self.held.retain(|tenant, coordinator| {
            let name = LeaseName::Coordinator(tenant.clone());
            !fenced || leases.epoch(now, &name) == Some(coordinator.epoch)
        });
        let entries: Vec<Rc<TenantEntry>> = ctx.catalog.tenants().cloned().collect();
        for entry in entries {
            let name = LeaseName::Coordinator(entry.name.clone());
            let policy = policy_of(ctx, &entry);
            if let Some((epoch, policy)) = leases.epoch(now, &name).zip(policy) {
                self.take_up(entry, epoch, policy);
            }
        }
        for coordinator in self.held.values_mut() {
            coordinator.tick(ctx);
        }
    }

    fn take_up(&mut self, entry: Rc<TenantEntry>, epoch: u64, policy: PoolPolicy) {
        let held = self.held.entry(entry.name.clone()).or_insert_with(|| {
            log::info!("step=coordinator-start tenant={} epoch={epoch}", entry.name);
            Coordinator {
                entry: entry.clone(),
                epoch,
                stage: Stage::Unfenced,
                record: TrainerRecord::default(),
                pool: SamplePool::new(policy.clone(), epoch),
                weights: WeightRollout::default(),
                sealing: None,
                awaited: 0,
                polling: false,
                next_poll: Time::default(),
                next_work: Time::default(),
                next_orders: Time::default(),
                next_recover: Time::default(),
                deleted_before: 0,
                waiting: BTreeMap::new(),
            }
        });
        if held.pool.policy() != &policy {
            held.pool.set_policy(policy);
        }
        held.entry = entry;
    }

    pub fn on_register(
        &mut self,
        ctx: &mut Context,
        tenant: &str,
        step: CoordinatorStep,
        result: Result<Vec<u8>, RegisterError>,
    ) {
        if let Some(coordinator) = self.held.get_mut(tenant) {
            coordinator.on_register(ctx, step, result);
        }
    }

    pub fn on_manifest_stored(
        &mut self,
        ctx: &mut Context,
        tenant: &str,
        step: u64,
        result: BlobResult,
    ) {
        if let Some(coordinator) = self.held.get_mut(tenant) {
            coordinator.on_manifest_stored(ctx, step, result);
        }
    }

    pub fn on_recovered_manifest(
        &mut self,
        ctx: &mut Context,
        tenant: &str,
        step: u64,
        result: BlobResult,
    ) {
        if let Some(coordinator) = self.held.get_mut(tenant) {
            coordinator.on_recovered_manifest(ctx, step, result);
        }
    }

    pub fn on_recovered_names(&mut self, tenant: &str, result: BlobResult) {
        if let Some(coordinator) = self.held.get_mut(tenant) {
            coordinator.on_recovered_names(result);
        }
    }

    pub fn on_stored_names(&mut self, ctx: &mut Context, tenant: &str, result: BlobResult) {
        if let (Some(coordinator), BlobResult::Names(names)) = (self.held.get(tenant), result) {
            coordinator.remove_old_samples(ctx, names.into_keys());
        }
    }

    pub fn on_prompt(&mut self, offer: PromptOffer) {
        if let Some(coordinator) = self.held.get_mut(&offer.tenant) {
            coordinator.pool.offer_prompt(Prompt {
                text: offer.prompt,
                seed: offer.seed,
            });
        }
    }

    pub fn on_report(&mut self, ctx: &mut Context, from: Identity, report: RolloutReport) {
        match self.held.get_mut(&report.tenant) {
            Some(coordinator) => coordinator.on_report(ctx, from, report),
            None => log::debug!(
                "step=rollout-report peer={} reason=not-coordinator",
                from.node
            ),
        }
    }

    pub fn on_notice(&mut self, ctx: &mut Context, from: Identity, notice: &StepNotice) {
        if let Some(coordinator) = self.held.get_mut(&notice.tenant) {
            coordinator.on_notice(ctx, from.node, notice);
        }
    }

    pub fn on_weight_report(&mut self, report: &WeightReport) {
        for coordinator in self.held.values_mut() {
            coordinator.on_weight_report(report);
        }
    }

    /// Status lines: tenant, committed step, next step, pool.
    pub fn status(&self) -> Vec<crate::status::TrainerStatus> {
        let held = self.held.iter();
        held.map(|(tenant, coordinator)| coordinator.status(tenant))
            .collect()
    }
}
