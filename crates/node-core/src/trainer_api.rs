//! `GET /trainers/{trainer}/steps/{n}` and `POST .../commit`.
//!
//! Any node serves them: it reads the trainer's register, then the manifest
//! and the samples from the nodes that store them. A sealed step never
//! changes, so every fetch of it gives the same bytes until it is committed
//! and two later steps are.

use bytes::Bytes;
use peatgrade_consensus::{Decision, RegisterError};
use peatgrade_schema::engine::{StepDocument, StepSample};
use peatgrade_schema::peer::mod_Envelope::OneOfbody;
use peatgrade_schema::peer::{
    Manifest, SampleRecord, SealedStep, StepEvent, StepNotice, TrainerRecord,
};
use peatgrade_schema::{decode, encode};
use peatgrade_training::{commit, CommitOutcome};
use peatgrade_types::http::{HttpRequest, ResponseHead};
use peatgrade_types::{hash_bytes, Duration, NodeId, Time};
use std::collections::BTreeMap;

use crate::blobs::{self, BlobPurpose, BlobResult};
use crate::context::Context;
use crate::coordinator::trainer_key;
use crate::event::CallId;
use crate::generation::weight_spans;
use crate::leases::LeaseName;
use crate::problem::Refusal;
use crate::registers::RegisterPurpose;
use crate::rollout::sample_key;

const REGISTER_LIMIT: Duration = Duration::from_secs(3);
/// Time between two looks for a step that is not sealed yet; the coordinator's
/// notice brings the next look forward.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait that a fetch may ask for, and the wait if it names none.
const MAX_WAIT_MS: u64 = 30_000;
const DEFAULT_WAIT_MS: u64 = 10_000;
/// Samples read at once for one fetch.
const PARALLEL_READS: usize = 32;

#[derive(Debug)]
enum Phase {
    /// The register is being read.
    Reading,
    /// The step is not sealed; look again then.
    Waiting { until: Time },
    /// The manifest is being read.
    Manifest { sealed: SealedStep },
    /// The samples are being read.
    Samples {
        manifest: Manifest,
        next: usize,
        open: usize,
        found: BTreeMap<usize, SampleRecord>,
    },
}

#[derive(Debug)]
struct Fetch {
    tenant: String,
    trainer: String,
    step: u64,
    give_up: Time,
    phase: Phase,
}

/// Fetches and commits in progress.
#[derive(Debug, Default)]
pub(crate) struct TrainerApi {
    fetches: BTreeMap<CallId, Fetch>,
    commits: BTreeMap<CallId, String>,
}

/// Whether a path belongs to this module.
pub(crate) fn is_trainer_path(path: &str) -> bool {
    path.starts_with("/trainers/")
}

impl TrainerApi {
    /// Requests in progress.
    pub fn in_flight(&self) -> usize {
        self.fetches.len() + self.commits.len()
    }

    pub fn on_call(&mut self, ctx: &mut Context, call: CallId, request: &HttpRequest) {
        let parts: Vec<&str> = request.path_only().trim_matches('/').split('/').collect();
        let (trainer, step, action) = match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["trainers", trainer, "steps", step]) => (*trainer, *step, "fetch"),
            ("POST", ["trainers", trainer, "steps", step, "commit"]) => (*trainer, *step, "commit"),
            _ => {
                let detail = format!("{} {}", request.method, request.path_only());
                return ctx.refuse(call, &Refusal::invalid(404, "no-such-path", detail));
            }
        };
        let Some(entry) = ctx.catalog.trainer(trainer) else {
            return ctx.refuse(call, &Refusal::invalid(404, "unknown-trainer", trainer));
        };
        let Some(step) = step.parse::<u64>().ok().filter(|step| *step > 0) else {
            let detail = "steps are numbered from 1";
            return ctx.refuse(call, &Refusal::invalid(400, "bad-step", detail));
        };
        let tenant = entry.name.clone();
        if action == "commit" {
            self.commits.insert(call, tenant.clone());
            return start_commit(ctx, call, &tenant, step);
        }
        let asked = request.query("wait_ms").and_then(|text| text.parse().ok());
        let wait = asked.unwrap_or(DEFAULT_WAIT_MS).min(MAX_WAIT_MS);
        let fetch = Fetch {
            tenant,
            trainer: trainer.to_string(),
            step,
            give_up: ctx.now + Duration::from_millis(wait),
            phase: Phase::Reading,
        };
        start_read(ctx, call, &fetch);
        self.fetches.insert(call, fetch);
    }

    /// Forgets a request whose caller is gone.
    pub fn on_gone(&mut self, call: CallId) {
        self.fetches.remove(&call);
        self.commits.remove(&call);
    }

    pub fn tick(&mut self, ctx: &mut Context) {
        for (&call, fetch) in &mut self.fetches {
            if matches!(fetch.phase, Phase::Waiting { until } if ctx.now >= until) {
                fetch.phase = Phase::Reading;
                start_read(ctx, call, fetch);
            }
        }
    }

    /// Takes in the trainer's register for a fetch.
    pub fn on_read(
        &mut self,
        ctx: &mut Context,
        call: CallId,
        result: Result<Vec<u8>, RegisterError>,
    ) {
        let Some(fetch) = self.fetches.get_mut(&call) else {
            return;
        };
        let record = result
            .ok()
            .map(|value| decode::<TrainerRecord>(&value).unwrap_or_default());
        let sealed = record.as_ref().and_then(|record| {
            record
                .sealed
                .iter()
                .find(|sealed| sealed.step == fetch.step)
                .cloned()
        });
        if let Some(sealed) = sealed {
            let hints = sealed.stored_on.iter().map(|&node| NodeId(node)).collect();
            let key = sealed.key.clone();
            fetch.phase = Phase::Manifest { sealed };
            return blobs::get(ctx, key, hints, BlobPurpose::StepManifest(call));
        }
        if let Some(record) = record {
            if fetch.step <= record.committed {
                let detail = format!("step {} is committed and no longer kept", fetch.step);
                return self.refuse(ctx, call, &Refusal::invalid(410, "step-gone", detail));
            }
            if fetch.step > record.committed + 1 {
                let detail = format!("step {} has to be committed first", record.committed + 1);
                return self.refuse(
                    ctx,
                    call,
                    &Refusal::invalid(409, "step-out-of-order", detail),
                );
            }
        }
        if ctx.now >= fetch.give_up {
            let refusal = Refusal::not_run("step-not-ready", "not enough samples yet");
            return self.refuse(ctx, call, &refusal);
        }
        fetch.phase = Phase::Waiting {
            until: (ctx.now + POLL_INTERVAL).min(fetch.give_up),
        };
        let (tenant, step) = (fetch.tenant.clone(), fetch.step);
        notify(ctx, tenant, step, StepEvent::WAITING);
    }

    /// Takes in word that a step is sealed.
    pub fn on_notice(&mut self, ctx: &Context, notice: &StepNotice) {
        for fetch in self.fetches.values_mut() {
            let awaited = fetch.tenant == notice.tenant && fetch.step == notice.step;
            if let Phase::Waiting { until } = &mut fetch.phase {
                if awaited && notice.event == StepEvent::SEALED {
                    *until = ctx.now;
                }
            }
        }
    }

    fn refuse(&mut self, ctx: &mut Context, call: CallId, refusal: &Refusal) {
        self.fetches.remove(&call);
        ctx.refuse(call, refusal);
    }

    /// Takes in the manifest.
    pub fn on_manifest(&mut self, ctx: &mut Context, call: CallId, result: BlobResult) {
        let Some(fetch) = self.fetches.get_mut(&call) else {
            return;
        };
        let Phase::Manifest { sealed } = &fetch.phase else {
            return;
        };
        let expected = sealed.hash;
        let bytes = match result {
            BlobResult::Value(Some(bytes)) if hash_bytes(&bytes) == expected => bytes,
            _ => return self.unreadable(ctx, call, "manifest"),
        };
        let Ok(manifest) = decode::<Manifest>(&bytes) else {
            return self.unreadable(ctx, call, "manifest");
        };
        fetch.phase = Phase::Samples {
            manifest,
            next: 0,
            open: 0,
            found: BTreeMap::new(),
        };
        self.read_samples(ctx, call);
    }

    fn unreadable(&mut self, ctx: &mut Context, call: CallId, what: &str) {
        let refusal = Refusal::not_run("step-unreadable", format!("{what} cannot be read now"));
        self.refuse(ctx, call, &refusal);
    }

    fn read_samples(&mut self, ctx: &mut Context, call: CallId) {
        let Some(fetch) = self.fetches.get_mut(&call) else {
            return;
        };
        let tenant = fetch.tenant.clone();
        let Phase::Samples {
            manifest,
            next,
            open,
            ..
        } = &mut fetch.phase
        else {
            return;
        };
        while *open < PARALLEL_READS && *next < manifest.entries.len() {
            let entry = &manifest.entries[*next];
            let hints = entry.stored_on.iter().map(|&node| NodeId(node)).collect();
            let purpose = BlobPurpose::StepSample(call, *next);
            blobs::get(ctx, entry_key(&tenant, entry), hints, purpose);
            *next += 1;
            *open += 1;
        }
    }

    /// Takes in one sample.
    pub fn on_sample(&mut self, ctx: &mut Context, call: CallId, index: usize, result: BlobResult) {
        let Some(fetch) = self.fetches.get_mut(&call) else {
            return;
        };
        let Phase::Samples {
            manifest,
            open,
            found,
            ..
        } = &mut fetch.phase
        else {
            return;
        };
        *open -= 1;
        let expected = manifest.entries.get(index).map(|entry| entry.hash);
        let record = match &result {
            BlobResult::Value(Some(bytes)) if Some(hash_bytes(bytes)) == expected => {
                decode::<SampleRecord>(bytes).ok()
            }
            _ => None,
        };
        let Some(record) = record else {
            return self.unreadable(ctx, call, "a sample");
        };
        found.insert(index, record);
        if found.len() < manifest.entries.len() {
            return self.read_samples(ctx, call);
        }
        let document = StepDocument {
            trainer: fetch.trainer.clone(),
            step: fetch.step,
            samples: found.values().map(step_sample).collect(),
        };
        let body = serde_json::to_vec(&document).unwrap_or_default();
        self.fetches.remove(&call);
        ctx.respond_whole(call, ResponseHead::new(200, "application/json"), body);
    }

    /// Takes in the end of a commit.
    pub fn on_committed(
        &mut self,
        ctx: &mut Context,
        call: CallId,
        step: u64,
        result: Result<Vec<u8>, RegisterError>,
    ) {
        let Some(tenant) = self.commits.remove(&call) else {
            return;
        };
        let record = match result {
            Ok(value) => decode::<TrainerRecord>(&value).unwrap_or_default(),
            Err(RegisterError::NotWritten { .. }) => {
                let refusal = Refusal::not_run("commit-not-written", "no quorum");
                return ctx.refuse(call, &refusal);
            }
            Err(error @ RegisterError::Unknown { .. }) => {
                let refusal = Refusal::unknown("commit-unknown", error.to_string());
                return ctx.refuse(call, &refusal);
            }
        };
        if record.committed >= step {
            notify(ctx, tenant, step, StepEvent::COMMITTED);
            let body = Bytes::from(format!("{{\"committed\":{}}}", record.committed));
            return ctx.respond_whole(call, ResponseHead::new(200, "application/json"), body);
        }
        let detail = format!(
            "step {} has to be fetched and committed first",
            record.committed + 1
        );
        ctx.refuse(call, &Refusal::invalid(409, "step-out-of-order", detail));
    }
}

/// Tells the tenant's coordinator of a step.
fn notify(ctx: &mut Context, tenant: String, step: u64, event: StepEvent) {
    let key = LeaseName::Coordinator(tenant.clone()).key();
    if let Some(coordinator) = ctx.rendezvous_member(&key) {
        let notice = StepNotice {
            tenant,
            step,
            event,
        };
        ctx.send(coordinator, OneOfbody::step_notice(notice));
    }
}

fn entry_key(tenant: &str, entry: &peatgrade_schema::peer::ManifestEntry) -> String {
    sample_key(
        tenant,
        entry.group,
        entry.sample,
        entry.oldest,
        entry.hash,
        entry.tokens,
    )
}

fn step_sample(record: &SampleRecord) -> StepSample {
    StepSample {
        sample: format!("{:016x}", record.sample),
        group: format!("{:016x}", record.group),
        prompt: String::from_utf8_lossy(&record.prompt).into_owned(),
        text: String::from_utf8_lossy(&record.tokens).into_owned(),
        spans: weight_spans(&record.spans),
        score: record.score,
    }
}

fn start_read(ctx: &mut Context, call: CallId, fetch: &Fetch) {
    let deadline = ctx.now + REGISTER_LIMIT;
    let read = Box::new(|_: &[u8]| Decision::Keep);
    let key = trainer_key(&fetch.tenant);
    ctx.start_register(&key, deadline, RegisterPurpose::StepRead(call), read);
}

fn start_commit(ctx: &mut Context, call: CallId, tenant: &str, step: u64) {
    let change = Box::new(move |current: &[u8]| {
        let record: TrainerRecord = decode(current).unwrap_or_default();
        match commit(&record, step) {
            CommitOutcome::Commit(next) => Decision::write(encode(&next)),
            _ => Decision::Keep,
        }
    });
    let deadline = ctx.now + REGISTER_LIMIT;
    let purpose = RegisterPurpose::Commit(call, step);
    ctx.start_register(&trainer_key(tenant), deadline, purpose, change);
}
