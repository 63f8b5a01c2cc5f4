//! An application engine: profile lookups, journey queries, invitations.

use peatgrade_types::http::{HttpFailure, HttpRequest, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::{hash_bytes, hash_pair, Duration, EngineId, Time};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::faults::{Fault, FaultKind, FaultState};
use crate::platform::RequestId;
use crate::Execution;

/// What an application engine is like.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AppSettings {
    /// Requests served at once; more wait.
    pub slots: u32,
    /// Typical time to serve one.
    pub service_ms: f64,
}

impl Default for AppSettings {
    fn default() -> Self {
        Self {
            slots: 32,
            service_ms: 6.0,
        }
    }
}

#[derive(Debug)]
struct Job {
    id: RequestId,
    request: HttpRequest,
    request_id: String,
    end: Option<Time>,
}

/// An application engine.
#[derive(Debug)]
pub struct AppModel {
    /// Identity in the machine list.
    pub id: EngineId,
    name: String,
    settings: AppSettings,
    faults: FaultState,
    jobs: Vec<Job>,
    served: u64,
    boot: u64,
    leaving_since: Option<Time>,
    out: Vec<(RequestId, ResponsePart)>,
    executions: Vec<Execution>,
}

/// The answer that a request must get, whichever engine serves it.
pub fn answer_digest(method: &str, path: &str, body: &[u8], request_id: &str) -> u64 {
    let content = [
        method.as_bytes(),
        path.as_bytes(),
        body,
        request_id.as_bytes(),
    ];
    content
        .iter()
        .fold(0, |digest, part| hash_pair(digest, hash_bytes(part)))
}

impl AppModel {
    /// An engine without work.
    pub fn new(name: &str, settings: AppSettings) -> Self {
        Self {
            id: EngineId::from_name(name),
            name: name.to_string(),
            settings,
            faults: FaultState::default(),
            jobs: Vec::new(),
            served: 0,
            boot: 1,
            leaving_since: None,
            out: Vec::new(),
            executions: Vec::new(),
        }
    }

    /// What it ran since the last call.
    pub fn take_executions(&mut self) -> Vec<Execution> {
        std::mem::take(&mut self.executions)
    }

    /// Whether it is on its way out.
    pub fn leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Whether it refuses connections.
    pub fn down(&self, now: Time) -> bool {
        self.faults.down(now)
    }

    /// Requests in work.
    pub fn load(&self) -> usize {
        self.jobs.len()
    }

    /// Switches a fault on.
    pub fn apply(&mut self, now: Time, fault: &Fault) {
        self.faults.apply(now, fault);
        match fault.kind {
            FaultKind::Crash | FaultKind::Down => {
                for job in std::mem::take(&mut self.jobs) {
                    self.fail(job.id, HttpStep::Head, "connection reset");
                }
                self.boot += 1;
                self.leaving_since = None;
            }
            FaultKind::Leave => self.leaving_since = self.leaving_since.or(Some(now)),
            _ => {}
        }
    }

    fn fail(&mut self, id: RequestId, step: HttpStep, reason: &str) {
        let failure = HttpFailure {
            peer: self.name.clone(),
            step,
            reason: reason.into(),
        };
        self.out.push((id, ResponsePart::Failed(failure)));
    }

    /// Takes in a request.
    pub fn request(&mut self, now: Time, id: RequestId, request: HttpRequest) {
        if self.faults.down(now) {
            return self.fail(id, HttpStep::Connect, "connection refused");
        }
        if self.faults.hung(now) {
            return;
        }
        if request.method == "GET" && request.path_only() == "/load" {
            return self.answer_load(id);
        }
        let request_id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_string();
        self.jobs.push(Job {
            id,
            request,
            request_id,
            end: None,
        });
        self.start_jobs(now);
    }

    fn answer_load(&mut self, id: RequestId) {
        let running = self.jobs.iter().filter(|job| job.end.is_some()).count();
        let document = json!({
            "waiting": self.jobs.len() - running,
            "running": running,
            "leaving": self.leaving_since.is_some(),
            "boot": self.boot,
        });
        self.respond(id, document.to_string().into_bytes());
    }

    fn respond(&mut self, id: RequestId, body: Vec<u8>) {
        let head = ResponseHead::new(200, "application/json");
        self.out.push((id, ResponsePart::Head(head)));
        self.out.push((id, ResponsePart::Data(body.into())));
        self.out.push((id, ResponsePart::End));
    }

    /// Starts what has a place. From here on a request has run.
    fn start_jobs(&mut self, now: Time) {
        let mut running = self.jobs.iter().filter(|job| job.end.is_some()).count();
        for job in &mut self.jobs {
            if running >= self.settings.slots as usize {
                return;
            }
            if job.end.is_some() {
                continue;
            }
            running += 1;
            // Most requests take about the typical time, a few several times it.
            let spread = (hash_bytes(job.request_id.as_bytes()) % 1_000) as f64 / 1_000.0;
            let factor = 0.6 + 0.5 / (1.05 - spread).sqrt();
            let slow = if self.faults.slow(now) { 10.0 } else { 1.0 };
            let length = self.settings.service_ms * factor * slow;
            job.end = Some(now + Duration((length * 1_000.0) as u64));
            self.executions.push(Execution {
                at: now,
                engine: self.id,
                request_id: job.request_id.clone(),
                key: job.request.header("idempotency-key").map(str::to_string),
                leaving_since: self.leaving_since,
                sample: false,
            });
        }
    }

    /// Gives up waiting for an answer; what has begun goes on to its effect.
    pub fn cancel(&mut self, id: RequestId) {
        self.jobs.retain(|job| job.id != id);
    }

    /// Works until `now` and returns what came out.
    pub fn advance(&mut self, now: Time) -> Vec<(RequestId, ResponsePart)> {
        if self.faults.down(now) || self.faults.hung(now) {
            return std::mem::take(&mut self.out);
        }
        let ended: Vec<Job> = self
            .jobs
            .extract_if(.., |job| job.end.is_some_and(|end| end <= now))
            .collect();
        for job in ended {
            self.served += 1;
            self.finish(now, job);
        }
        self.start_jobs(now);
        std::mem::take(&mut self.out)
    }

    fn finish(&mut self, now: Time, job: Job) {
        let digest = answer_digest(
            &job.request.method,
            &job.request.path,
            &job.request.body,
            &job.request_id,
        );
        let body = json!({
            "engine": self.name,
            "request": job.request_id,
            "digest": format!("{digest:016x}"),
        });
        let body = body.to_string().into_bytes();
        if self.faults.breaks_answer(now) {
            let head = ResponseHead::new(200, "application/json");
            self.out.push((job.id, ResponsePart::Head(head)));
            let half = body[..body.len() / 2].to_vec();
            self.out.push((job.id, ResponsePart::Data(half.into())));
            return self.fail(job.id, HttpStep::Body, "connection reset");
        }
        self.respond(job.id, body);
    }

    /// When it next has something to do.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        if !self.out.is_empty() {
            return Some(now);
        }
        self.jobs.iter().filter_map(|job| job.end).min()
    }
}
