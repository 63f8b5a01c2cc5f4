//! Requests under which engines crashed: who may run, and whether an engine is gone.

use bytes::{Bytes, BytesMut};
use peatgrade_fleet::{EngineDirectory, Incarnation, Misdirection};
use peatgrade_ports::{Answer, EngineCall, Instance, Refusal};
use peatgrade_quarantine::{may_have_caused_crash, Fingerprint, RetryScope, Verdict};
use peatgrade_types::http::{HttpFailure, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, Time};

use crate::action::{answer_parts, CallId, ForwardAction, HttpId};
use crate::forwarder::{Forward, Forwarder};

/// Longest wait for an engine that is asked whether it is there: a refused connection
/// comes back within a round trip, a dark machine never answers.
const CHECK_PATIENCE: Duration = Duration::from_millis(1_000);
/// Status of an answer that carries a report.
const REPORTED: u16 = 200;
/// Longest report that is read: one names some tens of runs. A longer one still shows
/// that somebody answers under the engine's name.
const MAX_REPORT_BYTES: usize = 256 * 1024;
/// When a caller may come back whose request waits for more engines of its service to be
/// there: crashed engines are back after some seconds, and callers wait two, mostly.
pub(crate) const COME_BACK_SUSPECT: Duration = Duration::from_millis(1_000);

/// An engine that is asked whether it is there.
pub(crate) struct EngineCheck {
    instance: Instance,
    /// The life that it was known in when it was asked.
    life: Incarnation,
    asked: Time,
    /// Its report, as far as it has come.
    report: BytesMut,
}

/// Whether a request may go to an engine, after crashes under it.
///
/// One that was there at two crashes runs alone, and not on the last engine of its
/// service: with that, one such request ends three engines of three in two tries of its
/// caller and never all at once; without, 20 engines ended in 12 s and the service was
/// away each time (real processes, three engines that are back after 1.5 s).
pub(crate) fn may_risk(
    now: Time,
    directory: &EngineDirectory,
    forward: &Forward,
    engine: &Instance,
) -> bool {
    match directory.quarantine.verdict(forward.fingerprint) {
        Verdict::Clear => true,
        Verdict::Convicted { .. } => false,
        Verdict::Suspected { .. } => {
            let is_only = directory.serving(&forward.service).count() == 1;
            let spares = directory.count_other_healthy(now, &forward.service, engine);
            forward.open.is_empty() && (is_only || spares > 0)
        }
    }
}

/// A run that came to no whole answer.
#[derive(Clone, Copy, Debug)]
pub struct InterruptedRun<'a> {
    /// Where it was.
    pub engine: &'a Instance,
    /// The life of it in which the run began.
    pub incarnation: Incarnation,
    /// What it asked for.
    pub request: Fingerprint,
    /// Where that may come again.
    pub retry_scope: RetryScope,
    /// When the first part of a streamed answer came.
    pub first_response_at: Option<Time>,
}

/// Takes note of a run that broke off, or of an engine that nobody could reach.
pub fn record_failure(
    now: Time,
    run: &InterruptedRun<'_>,
    failure: &HttpFailure,
    directory: &mut EngineDirectory,
) {
    match failure.step {
        HttpStep::Connect => {}
        HttpStep::Refused if directory.has_ended(run.engine, run.incarnation) => {}
        HttpStep::Refused => directory.engine_unreachable(now, run.engine),
        HttpStep::Send | HttpStep::Head | HttpStep::Body => {
            if may_have_caused_crash(now, run.first_response_at) {
                directory.run_broke(
                    now,
                    run.engine,
                    run.incarnation,
                    run.request,
                    run.retry_scope,
                );
            }
        }
    }
}

impl Forwarder {
    /// Asks engines under which runs broke off whether they are still there.
    pub(crate) fn check_engines(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let checks = self.checks.iter();
        let late = checks.filter(|(_, check)| now.since(check.asked) >= CHECK_PATIENCE);
        let late: Vec<HttpId> = late.map(|(id, _)| *id).collect();
        for id in late {
            self.checks.remove(&id);
            actions.push(ForwardAction::CancelHttp(id));
        }
        for instance in directory.quarantine.take_due_probes(now) {
            let Some(state) = directory.get(&instance) else {
                directory.quarantine.record_engine_shutdown(&instance);
                continue;
            };
            let id = HttpId(self.next_id);
            self.next_id += 1;
            actions.push(ForwardAction::ProbeEngine {
                id,
                address: state.record.address.clone(),
                request: self
                    .codec
                    .engine_request(&EngineCall::Report(instance.clone())),
            });
            let check = EngineCheck {
                life: state.incarnation,
                instance,
                asked: now,
                report: BytesMut::new(),
            };
            self.checks.insert(id, check);
        }
    }

    /// Takes what came of such a question; whether it was one.
    pub(crate) fn on_check_part(
        &mut self,
        now: Time,
        id: HttpId,
        part: &ResponsePart,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) -> bool {
        if !self.checks.contains_key(&id) {
            return false;
        }
        match part {
            ResponsePart::Head(head) => self.on_check_head(now, id, head, directory, actions),
            ResponsePart::Data(data) => self.on_check_data(id, data, directory, actions),
            ResponsePart::End => {
                if let Some(check) = self.checks.remove(&id) {
                    self.on_report(now, &check, directory);
                }
            }
            ResponsePart::Failed(failure) => {
                // Without a refusal it is asked again, some times.
                let check = self.checks.remove(&id);
                let gone = check.filter(|_| failure.step == HttpStep::Refused);
                if let Some(check) = gone.filter(|c| !directory.has_ended(&c.instance, c.life)) {
                    directory.engine_unreachable(now, &check.instance);
                }
            }
        }
        true
    }

    fn on_check_head(
        &mut self,
        now: Time,
        id: HttpId,
        head: &ResponseHead,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(check) = self.checks.get(&id) else {
            return;
        };
        let (instance, life) = (check.instance.clone(), check.life);
        let told = self.codec.answer_head(head);
        let meaning = directory.record_response_head(now, &instance, life, &told, None);
        if meaning == Some(Misdirection::WrongEngine) {
            // Nobody of its name is at its address: it is not there any more.
            directory.engine_unreachable(now, &instance);
        } else if told.status == REPORTED {
            return;
        } else {
            directory.quarantine.record_engine_alive(&instance);
        }
        self.checks.remove(&id);
        actions.push(ForwardAction::CancelHttp(id));
    }

    fn on_check_data(
        &mut self,
        id: HttpId,
        data: &Bytes,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(check) = self.checks.get_mut(&id) else {
            return;
        };
        if check.report.len() + data.len() <= MAX_REPORT_BYTES {
            return check.report.extend_from_slice(data);
        }
        directory.quarantine.record_engine_alive(&check.instance);
        self.checks.remove(&id);
        actions.push(ForwardAction::CancelHttp(id));
    }

    /// An engine answers under its name. One that started again since the run broke did
    /// crash: who answers is its next life.
    fn on_report(&self, now: Time, check: &EngineCheck, directory: &mut EngineDirectory) {
        if let Some(report) = self.codec.report(&check.report) {
            directory.record_report(now, &check.instance, &report);
        }
        directory.quarantine.record_engine_alive(&check.instance);
    }

    /// Ends the requests under way that turned out to end engines: one may still wait at
    /// an engine for its turn.
    pub(crate) fn end_convicted(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        if directory.quarantine.is_empty() {
            return;
        }
        let quarantine = &directory.quarantine;
        let convicted: Vec<CallId> = self.due(|forward| {
            let verdict = quarantine.verdict(forward.fingerprint);
            matches!(verdict, Verdict::Convicted { .. })
        });
        for call in convicted {
            self.refuse_convicted(now, call, directory, actions);
        }
    }

    /// Answers a request that ends engines: at once, and with no time to come back.
    pub(crate) fn refuse_convicted(
        &mut self,
        now: Time,
        call: CallId,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(forward) = self.calls.remove(&call) else {
            return;
        };
        self.cancel_all(&forward.open, directory, actions);
        directory.quarantine.record_refusal();
        log::info!(
            "decision=refuse request={} fingerprint={} refusal=EndsEngines crashes={} attempts={} held_us={}",
            forward.request.id,
            forward.fingerprint,
            directory.quarantine.crash_count(forward.fingerprint),
            forward.tried.len(),
            now.since(forward.received).0
        );
        if forward.stream.is_some() {
            return actions.push(broken_stream(call, "engines crash under it"));
        }
        let answer = Answer::Refused {
            refusal: Refusal::EndsEngines,
            detail: "engines crash under this request; it is not run again".into(),
            retry_after: None,
        };
        actions.extend(answer_parts(self.codec.as_ref(), call, &answer));
    }
}

/// Half a stream must not look whole.
pub(crate) fn broken_stream(call: CallId, reason: &str) -> ForwardAction {
    let part = ResponsePart::Failed(HttpFailure {
        peer: String::new(),
        step: HttpStep::Body,
        reason: reason.into(),
    });
    ForwardAction::Respond { call, part }
}
