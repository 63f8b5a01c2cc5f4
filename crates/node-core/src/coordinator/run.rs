//! A coordinator in charge: orders, seals and weights.

use peatgrade_consensus::{Decision, RegisterError};
use peatgrade_membership::State;
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::{
    Manifest, RolloutOrder, RolloutReport, RolloutState, SealedStep, StepEvent, StepNotice,
    TrainerRecord, WeightOrder, WeightOrders, WeightReport,
};
use peatgrade_schema::{decode, encode};
use peatgrade_training::{
    next_to_seal, seal, EngineProgress, Order, Report, SampleId, WeightPhase, KEPT_STEPS,
};
use peatgrade_types::{hash_bytes, Duration, EngineId, Identity, NodeId};
use std::collections::BTreeMap;

use super::recover::parse_sample_key;
use super::{manifest_key, trainer_key, Coordinator, Sealing, Stage};
use crate::blobs::{self, BlobPurpose, BlobResult};
use crate::context::Context;
use crate::distribution::{zone_tree, zones};
use crate::mutation::Mutation;
use crate::registers::{CoordinatorStep, RegisterPurpose};
use crate::status::TrainerStatus;

const REGISTER_LIMIT: Duration = Duration::from_secs(3);
/// Time between two reads of the trainer's register; a notice of a commit
/// brings the next read forward.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Blobs named in one request to remove them.
const DELETE_AT_ONCE: usize = 64;
/// Time between two looks at the pool.
const WORK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two tellings of the weight order in force.
const ORDERS_INTERVAL: Duration = Duration::from_secs(2);

impl Coordinator {
    pub(super) fn tick(&mut self, ctx: &mut Context) {
        if self.stage == Stage::Unfenced {
            self.start_fence(ctx);
        }
        if self.stage != Stage::Running {
            return;
        }
        if !self.polling && ctx.now >= self.next_poll {
            self.poll(ctx);
        }
        if ctx.now >= self.next_work {
            self.next_work = ctx.now + WORK_INTERVAL;
            self.work(ctx);
        }
        self.roll_out_weights(ctx);
    }

    fn poll(&mut self, ctx: &mut Context) {
        self.polling = true;
        self.next_poll = ctx.now + POLL_INTERVAL;
        let purpose = RegisterPurpose::Coordinator(self.entry.name.clone(), CoordinatorStep::Poll);
        let deadline = ctx.now + REGISTER_LIMIT;
        let read = Box::new(|_: &[u8]| Decision::Keep);
        ctx.start_register(&trainer_key(&self.entry.name), deadline, purpose, read);
    }

    pub(super) fn on_register(
        &mut self,
        ctx: &mut Context,
        step: CoordinatorStep,
        result: Result<Vec<u8>, RegisterError>,
    ) {
        match step {
            CoordinatorStep::Fence => self.on_fenced(ctx, result),
            CoordinatorStep::Poll => {
                self.polling = false;
                if let Some(record) = result.ok().and_then(|value| decode(&value).ok()) {
                    self.take_record(ctx, record);
                }
            }
            CoordinatorStep::Seal(step) => self.on_sealed(ctx, step, result),
        }
    }

    fn take_record(&mut self, ctx: &mut Context, record: TrainerRecord) {
        if record.sealing_epoch > self.epoch && !ctx.broken(Mutation::SealUnfenced) {
            // A later holder has fenced; the lease will show it soon.
            self.stage = Stage::Unfenced;
            self.next_recover = ctx.now + Duration::from_secs(2);
            return;
        }
        if record.committed >= self.record.committed {
            self.record = record;
        }
        if self.record.committed > self.weights.version() {
            self.weights.aim(ctx.now, self.record.committed);
            // The new order goes out with the next tick, not with the next
            // repetition of the old one.
            self.next_orders = ctx.now;
        }
        self.delete_old(ctx);
    }

    fn work(&mut self, ctx: &mut Context) {
        let next_step = next_to_seal(&self.record);
        let stale = self.pool.drop_stale(next_step);
        self.cancel(ctx, stale);
        let orders = self
            .pool
            .start_groups(ctx.now, next_step, self.record.committed);
        self.hand_out(ctx, orders);
        let gone = |node: NodeId| {
            let member = ctx.swim.member(node);
            member.is_none_or(|member| member.state == State::Dead)
        };
        let again = self.pool.reassign(ctx.now, gone);
        self.hand_out(ctx, again);
        let horizon = self.record.committed + 1 + u64::from(self.pool.policy().lookahead);
        if self.sealing.is_none() && next_step <= horizon {
            self.try_seal(ctx, next_step);
        }
    }

    /// Gives orders to the usable nodes with the fewest samples in work.
    fn hand_out(&mut self, ctx: &mut Context, orders: Vec<Order>) {
        let mut load: BTreeMap<NodeId, usize> = self.pool.load_by_worker();
        let usable: Vec<NodeId> = ctx
            .swim
            .usable()
            .filter(|member| member.state == State::Alive)
            .map(|member| member.identity.node)
            .collect();
        for order in orders {
            let idlest = usable
                .iter()
                .min_by_key(|node| load.get(node).copied().unwrap_or(0));
            let Some(&worker) = idlest else {
                return;
            };
            *load.entry(worker).or_default() += 1;
            self.pool.assigned(ctx.now, order.sample, worker);
            let message = self.message(&order);
            ctx.send(worker, OneOfbody::rollout_order(message));
        }
    }

    fn message(&self, order: &Order) -> RolloutOrder {
        let next_step = next_to_seal(&self.record);
        let bound = self.pool.policy().staleness_bound;
        RolloutOrder {
            tenant: self.entry.name.clone(),
            epoch: self.epoch,
            sample: order.sample,
            group: order.group,
            prompt_tokens: (order.prompt.text.len() / 4) as u32,
            prompt_seed: order.prompt.seed,
            attempt: order.attempt,
            oldest_allowed: next_step.saturating_sub(1).saturating_sub(bound),
            favoured: order.favoured,
            prompt: order.prompt.text.clone(),
            ..Default::default()
        }
    }

    fn cancel(&self, ctx: &mut Context, samples: Vec<(SampleId, Option<NodeId>)>) {
        for (sample, worker) in samples {
            if let Some(worker) = worker {
                cancel_order(ctx, &self.entry.name, sample, worker);
            }
        }
    }

    pub(super) fn on_report(&mut self, ctx: &mut Context, from: Identity, report: RolloutReport) {
        if self.stage != Stage::Running {
            return;
        }
        if report.state == RolloutState::FAILED {
            self.pool.give_back(report.sample, report.attempt);
            return;
        }
        let finished = report.state == RolloutState::FINISHED;
        let news = Report {
            sample: report.sample,
            attempt: report.attempt,
            spans: report.spans,
            finished: finished.then_some((report.hash, report.stored_on)),
        };
        let wanted = self.pool.on_report(ctx.now, &news);
        // A finished sample is confirmed, and one not wanted is stopped, by
        // the same message.
        if finished || !wanted {
            cancel_order(ctx, &self.entry.name, report.sample, from.node);
        }
    }

    fn try_seal(&mut self, ctx: &mut Context, step: u64) {
        let Some(entries) = self.pool.select(step) else {
            return;
        };
        let samples = entries.iter().map(|entry| entry.sample).collect();
        let manifest = Manifest {
            tenant: self.entry.name.clone(),
            step,
            entries,
        };
        let bytes = encode(&manifest);
        let key = manifest_key(&self.entry.name, step, self.epoch);
        let sealed = SealedStep {
            step,
            hash: hash_bytes(&bytes),
            samples: manifest.entries.len() as u32,
            stored_on: Vec::new(),
            key: key.clone(),
        };
        self.sealing = Some(Sealing {
            step,
            samples,
            sealed,
            base: self.record.clone(),
        });
        blobs::put(
            ctx,
            key,
            bytes,
            BlobPurpose::PutManifest(self.entry.name.clone(), step),
        );
    }

    pub(super) fn on_manifest_stored(&mut self, ctx: &mut Context, step: u64, result: BlobResult) {
        let Some(sealing) = self.sealing.as_mut().filter(|sealing| sealing.step == step) else {
            return;
        };
        let BlobResult::Stored(Ok(nodes)) = result else {
            self.sealing = None;
            return;
        };
        sealing.sealed.stored_on = nodes.iter().map(|node| node.0).collect();
        let sealed = sealing.sealed.clone();
        let epoch = self.epoch;
        let unfenced = ctx
            .broken(Mutation::SealUnfenced)
            .then(|| sealing.base.clone());
        let change = Box::new(move |current: &[u8]| {
            if let Some(mut own) = unfenced.clone() {
                own.sealed.push(sealed.clone());
                return Decision::write(encode(&own));
            }
            let record: TrainerRecord = decode(current).unwrap_or_default();
            seal(&record, epoch, &sealed)
                .map_or(Decision::Keep, |next| Decision::write(encode(&next)))
        });
        let purpose =
            RegisterPurpose::Coordinator(self.entry.name.clone(), CoordinatorStep::Seal(step));
        let deadline = ctx.now + REGISTER_LIMIT;
        ctx.start_register(&trainer_key(&self.entry.name), deadline, purpose, change);
    }

    fn on_sealed(&mut self, ctx: &mut Context, step: u64, result: Result<Vec<u8>, RegisterError>) {
        let Some(sealing) = self.sealing.take().filter(|sealing| sealing.step == step) else {
            return;
        };
        let record = result
            .ok()
            .and_then(|value| decode::<TrainerRecord>(&value).ok());
        let Some(record) = record else {
            // The seal may have taken effect: read everything again.
            self.stage = Stage::Unfenced;
            self.epoch_restart(ctx);
            return;
        };
        let ours = record.sealed.contains(&sealing.sealed);
        self.take_record(ctx, record);
        if !ours {
            self.stage = Stage::Unfenced;
            self.epoch_restart(ctx);
            return;
        }
        ctx.metrics.steps_sealed.inc();
        self.tell_waiting(ctx, step);
        if !ctx.broken(Mutation::ReuseSamples) {
            self.pool.mark_used(sealing.samples);
        }
        let surplus = self.pool.drop_surplus();
        self.cancel(ctx, surplus);
    }

    /// Takes in word of a commit, or that a node waits for a step.
    pub(super) fn on_notice(&mut self, ctx: &mut Context, from: NodeId, notice: &StepNotice) {
        match notice.event {
            StepEvent::COMMITTED => self.next_poll = ctx.now,
            StepEvent::WAITING if notice.step < next_to_seal(&self.record) => {
                self.tell_sealed(ctx, from, notice.step);
            }
            StepEvent::WAITING => {
                self.waiting.insert(from, notice.step);
            }
            StepEvent::SEALED => {}
        }
    }

    fn tell_waiting(&mut self, ctx: &mut Context, step: u64) {
        let waiting = std::mem::take(&mut self.waiting);
        for (node, wanted) in waiting {
            if wanted <= step {
                self.tell_sealed(ctx, node, wanted);
            } else {
                self.waiting.insert(node, wanted);
            }
        }
    }

    fn tell_sealed(&self, ctx: &mut Context, node: NodeId, step: u64) {
        let notice = StepNotice {
            tenant: self.entry.name.clone(),
            step,
            event: StepEvent::SEALED,
        };
        ctx.send(node, OneOfbody::step_notice(notice));
    }

    /// Goes through recovery again under the same epoch. The fence stays, and
    /// writing it again changes nothing.
    fn epoch_restart(&mut self, ctx: &mut Context) {
        self.sealing = None;
        self.next_recover = ctx.now;
    }

    fn roll_out_weights(&mut self, ctx: &mut Context) {
        let pool: Vec<EngineId> = ctx
            .engines
            .pool(&self.entry.spec.pool)
            .filter(|info| !info.draining)
            .map(|info| info.id)
            .collect();
        let before = self.weights.phase();
        self.weights.advance(ctx.now, &pool);
        let phase = self.weights.phase();
        if phase == WeightPhase::Idle || (phase == before && ctx.now < self.next_orders) {
            return;
        }
        self.next_orders = ctx.now + ORDERS_INTERVAL;
        let order = WeightOrder {
            model: self.entry.spec.model.clone(),
            version: self.weights.version(),
            epoch: self.epoch,
            activate: phase == WeightPhase::Activating,
            coordinator: ctx.identity.node.0,
            pool: self.entry.spec.pool.clone(),
        };
        for zone in zones(ctx) {
            if let Some(root) = zone_tree(ctx, &zone).root() {
                let orders = vec![order.clone()];
                ctx.send(root, OneOfbody::weight_orders(WeightOrders { orders }));
            }
        }
    }

    pub(super) fn on_weight_report(&mut self, report: &WeightReport) {
        if report.model != self.entry.spec.pool || report.epoch != self.epoch {
            return;
        }
        let progress = match (report.active, report.staged) {
            (true, _) => EngineProgress::Active,
            (false, true) => EngineProgress::Staged,
            _ => EngineProgress::Unknown,
        };
        let engine = EngineId(report.engine);
        self.weights.on_progress(engine, report.version, progress);
    }

    /// Removes the samples of steps that no trainer can fetch any more.
    fn delete_old(&mut self, ctx: &mut Context) {
        let before = (self.record.committed + 1).saturating_sub(KEPT_STEPS);
        if before <= self.deleted_before {
            return;
        }
        self.deleted_before = before;
        let keys = (before.saturating_sub(3)..before).filter(|step| *step > 0);
        let keys = keys
            .map(|step| manifest_key(&self.entry.name, step, self.epoch))
            .collect();
        blobs::delete(ctx, keys);
        let prefix = format!("sample/{}/", self.entry.name);
        blobs::list(
            ctx,
            prefix,
            BlobPurpose::CollectGarbage(self.entry.name.clone()),
        );
    }

    /// Removes samples that are in no step a trainer can still fetch and too
    /// old for any step to come.
    pub(super) fn remove_old_samples(
        &self,
        ctx: &mut Context,
        names: impl Iterator<Item = String>,
    ) {
        let reach = self
            .pool
            .policy()
            .staleness_bound
            .saturating_add(KEPT_STEPS + 1);
        let oldest_kept = self.record.committed.saturating_sub(reach);
        let old = names.filter(|key| {
            let entry = parse_sample_key(key, &[]);
            entry.is_some_and(|entry| entry.oldest < oldest_kept)
        });
        let old: Vec<String> = old.collect();
        for keys in old.chunks(DELETE_AT_ONCE) {
            blobs::delete(ctx, keys.to_vec());
        }
    }

    pub(super) fn status(&self, tenant: &str) -> TrainerStatus {
        TrainerStatus {
            tenant: tenant.to_string(),
            epoch: self.epoch,
            committed: self.record.committed,
            next_to_seal: next_to_seal(&self.record),
            running: self.pool.running(),
            complete_groups: self.pool.complete_groups(),
            dropped_stale: self.pool.drops().stale,
            wasted_tokens: self.pool.drops().wasted_tokens,
            weights: self.weights.version(),
        }
    }
}

fn cancel_order(ctx: &mut Context, tenant: &str, sample: SampleId, worker: NodeId) {
    let order = RolloutOrder {
        tenant: tenant.to_string(),
        sample,
        cancel: true,
        ..Default::default()
    };
    ctx.send(worker, OneOfbody::rollout_order(order));
}
