//! Requests that go to an engine and back.

use bytes::{Bytes, BytesMut};
use peatgrade_fleet::{EngineDirectory, EngineState};
use peatgrade_ports::{
    Answer, AnswerHead, CallerRequest, Codec, EngineCall, Instance, Refusal, Route, RouteKind,
};
use peatgrade_types::http::{HttpFailure, HttpStep, ResponseHead, ResponsePart};
use peatgrade_types::{Duration, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use crate::gateway::{respond, respond_whole, CallId, GatewayAction, COME_BACK};

/// Names a request to an engine.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct HttpId(pub u64);

/// A part of an engine's answer.
pub type Part = ResponsePart;

/// Shortest wait before a second engine is tried while the first is silent.
const HEDGE_MIN: Duration = Duration::from_millis(60);
/// That wait as a multiple of the engine's usual time.
const HEDGE_FACTOR: f64 = 3.0;
/// Time kept back from the caller's own, for the way to it.
const RETURN_MARGIN: Duration = Duration::from_millis(15);
/// Wait before a full engine is tried again.
const FULL_WAIT: Duration = Duration::from_millis(50);
/// Refusals of engines that one request may meet.
const MAX_REFUSALS: u32 = 4;
/// Time that a request without a deadline may take.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

struct Attempt {
    call: CallId,
    instance: Instance,
    sent: Time,
    head: Option<(ResponseHead, AnswerHead)>,
    body: BytesMut,
}

struct Forward {
    request: CallerRequest,
    service: String,
    kind: RouteKind,
    max_attempts: u32,
    priority: u32,
    received: Time,
    deadline: Time,
    hedge_at: Time,
    target_latency: Duration,
    configuration: u64,
    /// Engines that were sent to and did not refuse.
    sends: u32,
    refusals: u32,
    tried: Vec<Instance>,
    open: Vec<HttpId>,
    may_have_run: bool,
    /// A streamed answer has begun at the caller, from this attempt.
    streaming: Option<HttpId>,
}

/// Requests under way to engines.
pub struct Forwarder {
    codec: Rc<dyn Codec>,
    zone: String,
    random: SmallRng,
    calls: BTreeMap<CallId, Forward>,
    attempts: HashMap<HttpId, Attempt>,
    next_id: u64,
}

impl Forwarder {
    /// A forwarder without requests.
    pub fn new(codec: Rc<dyn Codec>, zone: String, seed: u64) -> Self {
        Self {
            codec,
            zone,
            random: SmallRng::seed_from_u64(seed),
            calls: BTreeMap::new(),
            attempts: HashMap::new(),
            next_id: 1,
        }
    }

    /// Requests under way.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Takes a request for a route.
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        &mut self,
        now: Time,
        call: CallId,
        request: CallerRequest,
        route: &Route,
        configuration: u64,
        directory: &mut EngineDirectory,
        actions: &mut Vec<GatewayAction>,
    ) {
        let asked = request.deadline.unwrap_or(DEFAULT_DEADLINE);
        let caller_limit = Duration(asked.0.saturating_sub(RETURN_MARGIN.0));
        let forward = Forward {
            service: self.draw_service(route),
            kind: route.kind,
            max_attempts: route.max_attempts.max(1),
            priority: route.priority,
            received: now,
            deadline: now + caller_limit.min(route.timeout),
            hedge_at: now,
            target_latency: route.target_latency,
            configuration,
            sends: 0,
            refusals: 0,
            tried: Vec::new(),
            open: Vec::new(),
            may_have_run: false,
            streaming: None,
            request,
        };
        self.calls.insert(call, forward);
        self.dispatch(now, call, directory, actions);
    }

    fn draw_service(&mut self, route: &Route) -> String {
        let total: u32 = route.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            let first = route.targets.first();
            return first.map_or(String::new(), |target| target.service.clone());
        }
        let mut draw = self.random.random_range(0..total);
        for target in &route.targets {
            if draw < target.weight {
                return target.service.clone();
            }
            draw -= target.weight;
        }
        String::new()
    }

    /// Sends a request to an engine that it has not met, or ends it.
    fn dispatch(
        &mut self,
        now: Time,
        call: CallId,
        directory: &mut EngineDirectory,
        actions: &mut Vec<GatewayAction>,
    ) {
        let Some(forward) = self.calls.get(&call) else {
            return;
        };
        let chosen = choose(now, directory, forward, &self.zone);
        let spent = forward.sends >= forward.max_attempts || forward.refusals >= MAX_REFUSALS;
        let Some(instance) = chosen.filter(|_| !spent) else {
            if forward.open.is_empty() {
                self.end_without_answer(now, call, actions);
            }
            return;
        };
        self.send(now, call, &instance, directory, actions);
    }

    fn send(
        &mut self,
        now: Time,
        call: CallId,
        instance: &Instance,
        directory: &mut EngineDirectory,
        actions: &mut Vec<GatewayAction>,
    ) {
        let list_age = now.since(directory.confirmed);
        let (Some(forward), Some(state)) = (self.calls.get_mut(&call), directory.get_mut(instance))
        else {
            return;
        };
        let id = HttpId(self.next_id);
        self.next_id += 1;
        state.experience.running += 1;
        let usual = Duration((state.experience.latency * HEDGE_FACTOR) as u64);
        let latest = Duration(forward.target_latency.0 / 2).max(HEDGE_MIN);
        forward.hedge_at = now + usual.clamp(HEDGE_MIN, latest);
        forward.sends += 1;
        forward.tried.push(instance.clone());
        forward.open.push(id);
        let left = forward.deadline.since(now);
        log::info!(
            "decision=send request={} engine={instance} service={} attempt={} running={} \
             latency_us={:.0} left_ms={} configuration={} list_age_ms={}",
            forward.request.id,
            forward.service,
            forward.sends,
            state.experience.running,
            state.experience.latency,
            left.as_millis(),
            forward.configuration,
            list_age.as_millis()
        );
        let address = state.record.address.clone();
        let modelled = !forward.request.model.is_empty();
        let request = self.codec.engine_request(&EngineCall::Run {
            id: forward.request.id.clone(),
            host: forward.request.host.clone(),
            instance: instance.clone(),
            deadline: Some(left),
            last_event: forward.request.last_event,
            priority: modelled.then_some(forward.priority.min(9)),
            http: forward.request.http.clone(),
        });
        let attempt = Attempt {
            call,
            instance: instance.clone(),
            sent: now,
            head: None,
            body: BytesMut::new(),
        };
        self.attempts.insert(id, attempt);
        actions.push(GatewayAction::Http {
            id,
            address,
            request,
            // A kept connection may just be closing, and then nobody can tell
            // whether the request ran.
            fresh: forward.kind != RouteKind::Safe,
        });
    }

    fn forget(&mut self, id: HttpId, directory: &mut EngineDirectory) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        if let Some(state) = directory.get_mut(&attempt.instance) {
            state.experience.running = state.experience.running.saturating_sub(1);
        }
        if let Some(forward) = self.calls.get_mut(&attempt.call) {
            forward.open.retain(|open| *open != id);
        }
        Some(attempt)
    }

    /// Takes a part of an engine's answer.
    pub fn on_part(
        &mut self,
        now: Time,
        id: HttpId,
        part: Part,
        directory: &mut EngineDirectory,
        actions: &mut Vec<GatewayAction>,
    ) {
        match part {
            ResponsePart::Head(head) => self.on_head(now, id, head, directory, actions),
            ResponsePart::Data(data) => self.on_data(id, &data, actions),
            ResponsePart::End => self.on_end(now, id, directory, actions),
            ResponsePart::Failed(failure) => {
                self.on_failed(now, id, &failure, directory, actions);
            }
        }
    }

    fn on_head(
        &mut self,
        now: Time,
        id: HttpId,
        head: ResponseHead,
        directory: &mut EngineDirectory,
        actions: &mut Vec<GatewayAction>,
    ) {
        let told = self.codec.answer_head(&head);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if let Some(state) = directory.get_mut(&attempt.instance) {
            state.experience.load = told
                .load
                .map(|(running, waiting, _)| (now, running, waiting));
        }
        let Some(forward) = self.calls.get_mut(&attempt.call) else {
            return;
        };
        let foreign = told.id.as_ref().is_some_and(|id| *id != forward.request.id);
        let streams = forward.kind == RouteKind::Streaming && told.status == 200 && told.signed;
        attempt.head = Some((head, told));
        if foreign {
            let failure = HttpFailure {
                peer: attempt.instance.to_string(),
                step: HttpStep::Head,
                reason: "answer of another request".into(),
            };
            actions.push(GatewayAction::CancelHttp(id));
            return self.on_failed(now, id, &failure, directory, actions);
        }
        if streams && forward.streaming.is_none() {
            forward.streaming = Some(id);
            let call = attempt.call;
            if let Some((head, _)) = &attempt.head {
                let head = self.codec.passed_head(head, &forward.request);
                let part = ResponsePart::Head(head);
                actions.push(GatewayAction::Respond { call, part });
            }
        }
    }

    fn on_data(&mut self, id: HttpId, data: &Bytes, actions: &mut Vec<GatewayAction>) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let call = attempt.call;
        let streaming = self.calls.get(&call).and_then(|forward| forward.streaming);
        if streaming == Some(id) {
            let part = ResponsePart::Data(data.clone());
            actions.push(GatewayAction::Respond { call, part });
        } else {
            attempt.body.extend_from_slice(data);
        }
    }

    fn on_end(
        &mut self,
        now: Time,
        id: HttpId,
        directory: &mut EngineDirectory,
        actions: &mut Vec<GatewayAction>,
    ) {
        let Some(attempt) = self.forget(id, directory) else {
            return;
        };
        let Some((head, told)) = attempt.head else {
            return;
        };
        let call = attempt.call;
        let Some(forward) = self.calls.get_mut(&call) else {
            // The answer of an engine that another one has overtaken.
            if let Some(state) = directory.get_mut(&attempt.instance) {
                state.experience.answered(now, now.since(attempt.sent));
            }
            return;
        };
        if forward.streaming == Some(id) {
            let part = ResponsePart::End;
            actions.push(GatewayAction::Respond { call, part });
            self.calls.remove(&call);
            return;
        }
        if told.not_run || told.misdirected {
            forward.sends -= 1;
            forward.refusals += 1;
            log::info!(
                "decision=refused-by-engine request={} engine={} status={} misdirected={}",
                forward.request.id,
                attempt.instance,
                told.status,
                told.misdirected
            );
            if let Some(state) = directory.get_mut(&attempt.instance) {
                state.experience.refused(now, FULL_WAIT);
            }
            return self.dispatch(now, call, directory, actions);
        }
        let took = now.since(attempt.sent);
        let broken = told.status >= 500 || (told.status < 300 && !told.signed);
        if let Some(state) = directory.get_mut(&attempt.instance) {
            if broken {
                state.experience.failed(now);
            } else {
                state.experience.answered(now, took);
            }
        }
        if broken {
            log::info!(
                "decision=broken-answer request={} engine={} status={} signed={}",
                forward.request.id,
                attempt.instance,
                told.status,
                told.signed
            );
            forward.may_have_run = true;
            let again = forward.kind == RouteKind::Safe && forward.sends < forward.max_attempts;
            if again || !forward.open.is_empty() {
                return self.dispatch(now, call, directory, actions);
            }
            if told.status < 500 {
                return self.end_without_answer(now, call, actions);
            }
        }
        log::info!(
            "decision=answer request={} engine={} status={} attempts={} engine_us={} total_us={}",
            forward.request.id,
            attempt.instance,
            told.status,
            forward.tried.len(),
            took.0,
            now.since(forward.received).0
        );
        let head = self.codec.passed_head(&head, &forward.request);
        respond_whole(call, head, attempt.body.freeze(), actions);
        // Other attempts run to their end; breaking them off would waste what
        // the engine has done and cost the connection.
        self.calls.remove(&call);
    }

    fn on_failed(
        &mut self,
        now: Time,
        id: HttpId,
        failure: &HttpFailure,
        directory: &mut EngineDirectory,
        actions: &mut Vec<GatewayAction>,
    ) {
        let Some(attempt) = self.forget(id, directory) else {
            return;
        };
        if let Some(state) = directory.get_mut(&attempt.instance) {
            state.experience.failed(now);
        }
        let call = attempt.call;
        let Some(forward) = self.calls.get_mut(&call) else {
            return;
        };
        log::info!(
            "decision=attempt-failed request={} engine={} error={failure}",
            forward.request.id,
            attempt.instance
        );
        if forward.streaming == Some(id) {
            // Half a stream must not look whole.
            let part = ResponsePart::Failed(failure.clone());
            actions.push(GatewayAction::Respond { call, part });
            self.calls.remove(&call);
            return;
        }
        if failure.step == HttpStep::Connect {
            forward.sends -= 1;
            forward.refusals += 1;
        } else {
            forward.may_have_run = true;
        }
        let repeatable = forward.kind == RouteKind::Safe || !forward.may_have_run;
        if repeatable {
            return self.dispatch(now, call, directory, actions);
        }
        if forward.open.is_empty() {
            self.end_without_answer(now, call, actions);
        }
    }

    /// Nothing more can be done: the final answer goes out at once.
    fn end_without_answer(&mut self, now: Time, call: CallId, actions: &mut Vec<GatewayAction>) {
        let Some(forward) = self.calls.remove(&call) else {
            return;
        };
        let over = now >= forward.deadline;
        let refusal = match (forward.may_have_run, over) {
            (false, _) => Refusal::NotRun,
            (true, true) => Refusal::TimedOut,
            (true, false) => Refusal::Unknown,
        };
        log::info!(
            "decision=refuse request={} refusal={refusal:?} attempts={} refusals={} held_us={}",
            forward.request.id,
            forward.tried.len(),
            forward.refusals,
            now.since(forward.received).0
        );
        let answer = Answer::Refused {
            refusal,
            detail: format!(
                "no engine of the route answered, {} tried",
                forward.tried.len()
            ),
            retry_after: (refusal == Refusal::NotRun).then_some(COME_BACK),
        };
        respond(self.codec.as_ref(), call, &answer, actions);
    }

    /// A caller has gone away: engines stop work for it.
    pub fn caller_gone(
        &mut self,
        call: CallId,
        directory: &mut EngineDirectory,
        actions: &mut Vec<GatewayAction>,
    ) {
        if let Some(forward) = self.calls.remove(&call) {
            log::info!("decision=caller-gone request={}", forward.request.id);
            self.cancel_all(&forward.open, directory, actions);
        }
    }

    fn cancel_all(
        &mut self,
        open: &[HttpId],
        directory: &mut EngineDirectory,
        actions: &mut Vec<GatewayAction>,
    ) {
        for id in open {
            actions.push(GatewayAction::CancelHttp(*id));
            self.forget(*id, directory);
        }
    }

    /// Ends what is late and tries a second engine where the first is silent.
    pub fn tick(
        &mut self,
        now: Time,
        directory: &mut EngineDirectory,
        actions: &mut Vec<GatewayAction>,
    ) {
        let late: Vec<CallId> = self.due(|forward| now >= forward.deadline);
        for call in late {
            let Some(forward) = self.calls.get_mut(&call) else {
                continue;
            };
            forward.may_have_run |= !forward.open.is_empty();
            let open = std::mem::take(&mut forward.open);
            let streaming = forward.streaming.is_some();
            self.cancel_all(&open, directory, actions);
            if streaming {
                let part = ResponsePart::Failed(HttpFailure {
                    peer: String::new(),
                    step: HttpStep::Body,
                    reason: "time-out of the route".into(),
                });
                actions.push(GatewayAction::Respond { call, part });
                self.calls.remove(&call);
            } else {
                self.end_without_answer(now, call, actions);
            }
        }
        let silent: Vec<CallId> = self.due(|forward| {
            forward.kind == RouteKind::Safe
                && now >= forward.hedge_at
                && forward.open.len() == 1
                && forward.sends < forward.max_attempts
        });
        for call in silent {
            self.dispatch(now, call, directory, actions);
        }
    }

    fn due(&self, test: impl Fn(&Forward) -> bool) -> Vec<CallId> {
        let due = self.calls.iter().filter(|(_, forward)| test(forward));
        due.map(|(call, _)| *call).collect()
    }
}

/// The engine with the shortest expected time that the request has not met;
/// one that is avoided only if there is no other.
fn choose(
    now: Time,
    directory: &EngineDirectory,
    forward: &Forward,
    zone: &str,
) -> Option<Instance> {
    let fresh = directory
        .serving(&forward.service)
        .filter(|state| !forward.tried.contains(&state.record.instance));
    let key = |state: &EngineState| {
        let blocked = state.experience.blocked(now);
        let occupied = f64::from(state.experience.occupied(now) + 1);
        let slots = f64::from(state.record.slots.max(1));
        let usual = state.experience.latency.max(1_000.0);
        let waiting = (occupied / slots).max(1.0);
        let away = if state.record.zone == zone {
            0.0
        } else {
            2_000.0
        };
        (blocked, usual * waiting + usual * 0.2 * occupied + away)
    };
    let best = fresh.min_by(|a, b| {
        let (a, b) = (key(a), key(b));
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    });
    best.map(|state| state.record.instance.clone())
}
