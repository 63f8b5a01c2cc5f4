//! The forwarder's state and the sending of attempts.

use bytes::BytesMut;
use peatgrade_fleet::{EngineDirectory, Incarnation};
use peatgrade_ports::{
    CallerRequest, Codec, EngineRequest, EngineResponseHead, Instance, Route, RouteKind,
};
use peatgrade_quarantine::Fingerprint;
use peatgrade_types::http::ResponseHead;
use peatgrade_types::{Duration, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use crate::action::{CallId, ForwardAction, HttpId};
use crate::admission::RejectionRate;
use crate::connect_times::ConnectTimes;
use crate::forwarded_request::ForwardedRequest;
use crate::quarantine::EngineProbe;
use crate::retry_budget::RetryBudgets;

/// Minimum delay before a hedge is sent to a second engine.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(60);
/// Hedge delay as a multiple of the engine's mean latency.
const HEDGE_LATENCY_FACTOR: f64 = 3.0;
/// Subtracted from the caller's deadline, so that the final response still reaches the
/// caller in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(30);
/// Timeout of requests without a deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// One sending of a call's request to an engine.
pub(crate) struct Attempt {
    pub call: CallId,
    pub fingerprint: Fingerprint,
    pub instance: Instance,
    pub address: String,
    /// Incarnation of the engine to which it was sent.
    pub incarnation: Incarnation,
    pub sent_at: Time,
    pub connect_timeout: Duration,
    /// Whether the connect timeout had passed at the previous tick.
    pub was_overdue: bool,
    /// Whether it has a connection, so that bytes may have been sent.
    pub is_connected: bool,
    /// When the head of a streamed response arrived.
    pub first_response_at: Option<Time>,
    pub head: Option<(ResponseHead, EngineResponseHead)>,
    pub body: BytesMut,
}

/// A request that has been authorized and matched to a route.
#[derive(Debug)]
pub struct AcceptedCall<'a> {
    /// Call to which the response is sent.
    pub call: CallId,
    /// The caller's request.
    pub request: CallerRequest,
    /// Route that the request matched.
    pub route: &'a Route,
    /// Priority of its tenant, or else of its route.
    pub priority: u32,
    /// Version of the configuration that contains the route.
    pub configuration_version: u64,
    pub quarantine_policy: QuarantinePolicy,
}

/// What the quarantine does with a request under which engines crashed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum QuarantinePolicy {
    /// A suspected request is restricted and a convicted one refused.
    Refuse,
    /// A suspected or convicted request is sent to a single engine. For requests that have to
    /// run eventually, which their owner repeats less often with each crash.
    SingleAttempt,
}

/// Settings of a forwarder.
#[derive(Clone, Debug)]
pub struct ForwarderSettings {
    /// Zone of this machine.
    pub zone: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Whether requests that no engine can serve before their deadline are rejected.
    pub rejects_unservable: bool,
    /// Repeats and hedges as a percentage of first attempts; 0 for no limit.
    pub retry_budget_percent: u32,
}

/// State machine that forwards requests to engines.
pub struct Forwarder {
    pub(crate) codec: Rc<dyn Codec>,
    pub(crate) zone: String,
    pub(crate) rejects_unservable: bool,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) connect_times: ConnectTimes,
    pub(crate) rejections: RejectionRate,
    pub(crate) counts: ForwardCounts,
    pub(crate) random: SmallRng,
    pub(crate) calls: BTreeMap<CallId, ForwardedRequest>,
    pub(crate) attempts: HashMap<HttpId, Attempt>,
    /// Liveness probes in flight.
    pub(crate) probes: HashMap<HttpId, EngineProbe>,
    /// Bytes of incomplete responses.
    pub(crate) response_bytes: usize,
    pub(crate) next_id: u64,
    /// Number of ended incarnations that the last failover pass has covered.
    pub(crate) ended_incarnations_seen: u64,
}

impl Forwarder {
    /// Creates a forwarder without requests.
    pub fn new(codec: Rc<dyn Codec>, settings: ForwarderSettings) -> Self {
        Self {
            codec,
            zone: settings.zone,
            rejects_unservable: settings.rejects_unservable,
            retry_budgets: RetryBudgets::new(settings.retry_budget_percent),
            connect_times: ConnectTimes::default(),
            rejections: RejectionRate::default(),
            counts: ForwardCounts::default(),
            random: SmallRng::seed_from_u64(settings.seed),
            calls: BTreeMap::new(),
            attempts: HashMap::new(),
            probes: HashMap::new(),
            response_bytes: 0,
            next_id: 1,
            ended_incarnations_seen: 0,
        }
    }

    /// Counters since the process started.
    pub fn counts(&self) -> ForwardCounts {
        ForwardCounts {
            extra_attempts: self.retry_budgets.granted,
            extra_attempts_denied: self.retry_budgets.denied,
            ..self.counts
        }
    }

    /// Bytes of engines' responses that are held until they are complete.
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// Number of requests being forwarded.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Starts forwarding a request.
    pub fn start(
        &mut self,
        now: Time,
        accepted: AcceptedCall<'_>,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let AcceptedCall {
            call,
            request,
            route,
            priority,
            configuration_version,
            quarantine_policy,
        } = accepted;
        let requested = request.deadline.unwrap_or(DEFAULT_TIMEOUT);
        let caller_limit = Duration(requested.0.saturating_sub(RESPONSE_MARGIN.0));
        let forward = ForwardedRequest {
            fingerprint: Fingerprint::of_request(&request),
            service: self.pick_service(route),
            kind: route.kind,
            max_attempts: route.max_attempts.max(1),
            priority,
            received: now,
            deadline: now + caller_limit.min(route.timeout),
            hedge_at: now,
            target_latency: route.target_latency,
            configuration_version,
            attempts: 0,
            refusals: 0,
            wrong_addresses: Vec::new(),
            connect_failures: 0,
            rejection: None,
            denial_logged: false,
            tried: Vec::new(),
            open_attempts: Vec::new(),
            may_have_run: false,
            quarantine_policy,
            quarantine_blocked: false,
            resumable: route.resumable,
            stream: None,
            streaming_attempt: None,
            execution_reported: false,
            request,
        };
        self.retry_budgets.record_first_attempt(&forward.service);
        self.calls.insert(call, forward);
        self.dispatch(now, call, directory, actions);
    }

    /// Picks one of the route's services at random, by weight.
    fn pick_service(&mut self, route: &Route) -> String {
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

    pub(crate) fn send_attempt(
        &mut self,
        now: Time,
        call: CallId,
        instance: &Instance,
        directory: &mut EngineDirectory,
        actions: &mut Vec<ForwardAction>,
    ) {
        let list_age = now.since(directory.confirmed_at);
        let Some(forward) = self.calls.get_mut(&call) else {
            return;
        };
        let Some(incarnation) = directory.begin_request(now, instance) else {
            return;
        };
        let Some(state) = directory.get(instance) else {
            return;
        };
        let id = HttpId(self.next_id);
        self.next_id += 1;
        let hedge_delay = Duration((state.stats.mean_latency_us * HEDGE_LATENCY_FACTOR) as u64);
        let max_hedge_delay = Duration(forward.target_latency.0 / 2).max(MIN_HEDGE_DELAY);
        let (zone, connect_timeouts) = (&state.record.zone, state.stats.connect_timeouts);
        let target = forward.target_latency;
        let connect_timeout = self.connect_times.timeout(zone, connect_timeouts, target);
        forward.hedge_at = now + hedge_delay.clamp(MIN_HEDGE_DELAY, max_hedge_delay);
        forward.attempts += 1;
        forward.tried.push(instance.clone());
        forward.open_attempts.push(id);
        let left = forward.deadline.since(now);
        log::info!(
            "decision=send request={} fingerprint={} engine={instance} service={} attempt={} \
             running={} latency_us={:.0} connect_patience_ms={} left_ms={} configuration={} \
             list_age_ms={}",
            forward.request.id,
            forward.fingerprint,
            forward.service,
            forward.attempts,
            state.stats.in_flight,
            state.stats.mean_latency_us,
            connect_timeout.as_millis(),
            left.as_millis(),
            forward.configuration_version,
            list_age.as_millis()
        );
        let address = state.record.address.clone();
        let has_model = !forward.request.model.is_empty();
        let request = self.codec.engine_request(&EngineRequest::Run {
            id: forward.request.id.clone(),
            host: forward.request.host.clone(),
            instance: instance.clone(),
            version: None,
            deadline: Some(left),
            last_event: forward.request.last_event,
            priority: has_model.then_some(forward.priority.min(9)),
            tenant: forward.request.tenant.clone(),
            http: forward.request.http.clone(),
        });
        let attempt = Attempt {
            call,
            fingerprint: forward.fingerprint,
            instance: instance.clone(),
            address: address.clone(),
            incarnation,
            sent_at: now,
            connect_timeout,
            was_overdue: false,
            is_connected: false,
            first_response_at: None,
            head: None,
            body: BytesMut::new(),
        };
        self.attempts.insert(id, attempt);
        actions.push(ForwardAction::SendHttp {
            id,
            address,
            request,
            // The engine may close a pooled connection at any moment, and then it is
            // unknown whether an unsafe request ran. Later attempts use a new connection
            // too, as a pooled one does not show that the engine is still reachable.
            new_connection: forward.kind != RouteKind::Safe || forward.attempts > 1,
        });
    }

    pub(crate) fn remove_attempt(
        &mut self,
        id: HttpId,
        directory: &mut EngineDirectory,
    ) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        self.response_bytes -= attempt.body.len();
        directory.end_request(&attempt.instance, attempt.incarnation);
        if let Some(forward) = self.calls.get_mut(&attempt.call) {
            forward.open_attempts.retain(|open| *open != id);
        }
        Some(attempt)
    }
}

/// Counters of a forwarder since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ForwardCounts {
    /// Requests that were refused because no engine could serve them before their deadline.
    pub rejected: u64,
    /// Attempts that failed to connect.
    pub unconnected: u64,
    /// Repeats and hedges that were granted by the retry budget.
    pub extra_attempts: u64,
    /// Repeats and hedges that were denied by the retry budget.
    pub extra_attempts_denied: u64,
    /// Refusals by engines that did not assert that the request has not run.
    pub unproven_refusals: u64,
}

impl ForwardCounts {
    /// The counters with their metric names.
    pub fn metrics(&self) -> [(&'static str, u64); 5] {
        [
            ("lookups_rejected", self.rejected),
            ("lookups_unconnected", self.unconnected),
            ("lookup_copies", self.extra_attempts),
            ("lookup_copies_denied", self.extra_attempts_denied),
            ("lookup_unproven_refusals", self.unproven_refusals),
        ]
    }
}
