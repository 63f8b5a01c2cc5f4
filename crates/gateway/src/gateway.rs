//! Authorizes and routes callers' messages to the forwarder or the job relay.

use peatgrade_authentication::{AuthError, KeyDigest};
use peatgrade_fleet::EngineDirectory;
use peatgrade_forward::{
    answer_parts, AcceptedCall, CallId, ForwardAction, ForwardCounts, Forwarder, ForwarderSettings,
    HttpId, QuarantinePolicy, DEFAULT_RETRY_AFTER,
};
use peatgrade_ports::{
    CallerMessage, CallerRequest, CallerResponse, Codec, Configuration, Refusal, RouteKind,
};
use peatgrade_schema::replication::mod_JobCall::OneOfbody;
use peatgrade_schema::replication::{EndJob, JobCall, JobReply, ReadItem, ReadJob};
use peatgrade_types::http::ResponsePart;
use peatgrade_types::{Duration, Time};
use std::rc::Rc;

use crate::deferred_end_calls::DeferredEndCalls;
use crate::relay::{log_subject, JobRelay, RelaySettings};

const MAX_RESULT_BYTES: u64 = 900_000;
/// Retry hint to callers while the gateway waits for its first configuration.
const RETRY_AFTER_STARTING: Duration = Duration::from_millis(200);

/// An action that the owner of a [`Gateway`] must carry out.
#[derive(Clone, Debug)]
pub enum GatewayAction {
    /// Carry out a step of forwarding a request to an engine.
    Forward(ForwardAction),
    /// Send a batch-job call to a replica.
    SendJobCall {
        /// IP and port of the replica.
        address: String,
        /// The call.
        call: JobCall,
    },
}

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Settings for requests that are forwarded to engines.
    pub forwarding: ForwarderSettings,
    /// Id of the first batch-job call; must differ between process starts.
    pub first_call_id: u64,
    /// Staleness of the store's contents from which API keys are no longer accepted, since
    /// they may have been revoked; none to accept them at any staleness.
    pub max_key_staleness: Option<Duration>,
}

/// Returns the bytes that the process may still use, given those that are needed.
type SpareBytes = Box<dyn Fn(u64) -> Option<u64>>;

/// The state machine of a gateway.
pub struct Gateway {
    pub(crate) codec: Rc<dyn Codec>,
    pub(crate) forwarder: Forwarder,
    pub(crate) relay: JobRelay,
    pub(crate) deferred_end_calls: DeferredEndCalls,
    draining: bool,
    max_key_staleness: Option<Duration>,
    /// See [`Gateway::limit_submissions`]; none without a limit.
    pub(crate) spare_bytes: Option<SpareBytes>,
    /// Submissions that were refused for lack of memory.
    pub submissions_refused: u64,
    /// Time since the store last confirmed that this gateway is up to date with it.
    pub store_staleness: Duration,
    /// Newest configuration; none before the first.
    pub configuration: Option<Rc<Configuration>>,
    pub directory: EngineDirectory,
}

impl Gateway {
    /// Creates a gateway without a configuration or engines.
    pub fn new(settings: GatewaySettings, codec: Rc<dyn Codec>) -> Self {
        Self {
            relay: JobRelay::new(
                RelaySettings::default(),
                settings.forwarding.zone.clone(),
                settings.first_call_id,
            ),
            forwarder: Forwarder::new(codec.clone(), settings.forwarding),
            codec,
            deferred_end_calls: DeferredEndCalls::default(),
            draining: false,
            max_key_staleness: settings.max_key_staleness,
            spare_bytes: None,
            submissions_refused: 0,
            store_staleness: Duration(0),
            configuration: None,
            directory: EngineDirectory::default(),
        }
    }

    /// Refuses new requests, so that those in flight can finish before the process exits.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Applies a configuration. Returns false if it is not newer than the current one.
    pub fn apply_configuration(&mut self, configuration: Configuration) -> bool {
        let current = self.configuration.as_ref().map_or(0, |c| c.version);
        if configuration.version <= current {
            return false;
        }
        let services = configuration.services.keys();
        self.directory.set_services(services);
        self.configuration = Some(Rc::new(configuration));
        true
    }

    /// Replaces the addresses of the replicas that are asked for the leader.
    pub fn set_replicas(&mut self, addresses: Vec<String>) {
        self.relay.set_replicas(addresses);
    }

    /// Whether to look up the replicas in the store: none is known, or calls find no leader.
    pub fn needs_replica_lookup(&self, now: Time) -> bool {
        self.relay.needs_replica_lookup(now)
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.forwarder.in_flight() + self.relay.in_flight() + self.deferred_end_calls.len()
    }

    /// Counters of the requests forwarded to engines.
    pub fn forward_counts(&self) -> ForwardCounts {
        self.forwarder.counts()
    }

    /// Handles a caller's message.
    pub fn on_caller_message(
        &mut self,
        now: Time,
        call: CallId,
        message: CallerMessage,
    ) -> Vec<GatewayAction> {
        let mut actions = Vec::new();
        // EndJob calls are accepted while draining: they are cheap and stop running work.
        if self.draining && !matches!(message, CallerMessage::EndJob { .. }) {
            let reason = "this gateway is stopping";
            let (subject, retry) = (message.to_string(), Some(DEFAULT_RETRY_AFTER));
            self.refuse(&mut actions, call, &subject, Refusal::NotRun, reason, retry);
            return actions;
        }
        match message {
            CallerMessage::Bad(error) => {
                let (subject, refusal) = ("request=unreadable", Refusal::Malformed);
                self.refuse(&mut actions, call, subject, refusal, &error.reason, None);
            }
            CallerMessage::Request(request) => self.on_request(now, call, request, &mut actions),
            CallerMessage::ReadJob(read) => {
                let body = OneOfbody::read(ReadJob {
                    job: read.job,
                    position: read.position,
                    wait_ms: read.wait.as_millis(),
                    max_bytes: MAX_RESULT_BYTES,
                });
                self.authorize_job_call(now, call, read.key, body, read.wait, &mut actions);
            }
            CallerMessage::ReadItem { job, item, key } => {
                let body = OneOfbody::item(ReadItem { job, item });
                self.authorize_job_call(now, call, key, body, Duration(0), &mut actions);
            }
            CallerMessage::EndJob { job, key } => {
                let body = OneOfbody::end(EndJob { job });
                self.authorize_job_call(now, call, key, body, Duration(0), &mut actions);
            }
        }
        actions
    }

    /// Authenticates a batch-job call and relays it on behalf of its tenant. EndJob calls are
    /// deferred until the first configuration.
    pub(crate) fn authorize_job_call(
        &mut self,
        now: Time,
        call: CallId,
        key: Option<KeyDigest>,
        body: OneOfbody,
        wait: Duration,
        actions: &mut Vec<GatewayAction>,
    ) {
        let subject = log_subject(&body);
        let Some(configuration) = self.configuration.clone() else {
            if let OneOfbody::end(end) = body {
                if self.deferred_end_calls.push(now, call, end.job, key) {
                    return log::info!("decision=keep {subject} reason=no-configuration-yet");
                }
            }
            return self.refuse_unconfigured(actions, call, &subject);
        };
        let subject = format!("{subject} configuration={}", configuration.version);
        match configuration.authenticate_job_call(key) {
            Ok(Some(_)) if self.is_configuration_stale() => {
                self.refuse_stale(actions, call, &subject);
            }
            Ok(tenant) => {
                let tenant = tenant.unwrap_or("").to_string();
                self.relay_call(now, call, tenant, body, wait, actions);
            }
            Err(denied) => self.deny(actions, call, &subject, denied),
        }
    }

    /// Whether the configuration is too stale to accept API keys, which may have been revoked.
    fn is_configuration_stale(&self) -> bool {
        let limit = self.max_key_staleness;
        limit.is_some_and(|limit| self.store_staleness >= limit)
    }

    fn refuse_stale(&self, actions: &mut Vec<GatewayAction>, call: CallId, subject: &str) {
        let reason = "keys cannot be checked just now";
        let subject = format!("{subject} news_age_ms={}", self.store_staleness.as_millis());
        let retry = Some(DEFAULT_RETRY_AFTER);
        self.refuse(actions, call, &subject, Refusal::NotRun, reason, retry);
    }

    /// Refuses a request that failed authentication.
    fn deny(&self, actions: &mut Vec<GatewayAction>, call: CallId, subject: &str, err: AuthError) {
        let reason = err.to_string();
        let subject = &format!("{subject} news_age_ms={}", self.store_staleness.as_millis());
        self.refuse(actions, call, subject, Refusal::Unauthorized, &reason, None);
    }

    fn refuse_unconfigured(&self, actions: &mut Vec<GatewayAction>, call: CallId, subject: &str) {
        let reason = "no configuration is known yet";
        let retry = Some(RETRY_AFTER_STARTING);
        self.refuse(actions, call, subject, Refusal::NotRun, reason, retry);
    }

    fn on_request(
        &mut self,
        now: Time,
        call: CallId,
        mut request: CallerRequest,
        actions: &mut Vec<GatewayAction>,
    ) {
        let subject = format!("request={} host={}", request.id, request.host);
        let Some(configuration) = self.configuration.clone() else {
            return self.refuse_unconfigured(actions, call, &subject);
        };
        let subject = format!("{subject} configuration={}", configuration.version);
        let route = configuration.route(&request.host, &request.http.path);
        let Some(route) = route else {
            let reason = "no route matches host and path";
            return self.refuse(actions, call, &subject, Refusal::NoRoute, reason, None);
        };
        match configuration.authenticate_for_route(route, request.key) {
            Ok(Some(_)) if self.is_configuration_stale() => {
                return self.refuse_stale(actions, call, &subject);
            }
            Ok(tenant) => request.tenant = tenant.unwrap_or("").to_string(),
            Err(denied) => return self.deny(actions, call, &subject, denied),
        }
        let max_body_bytes = request
            .max_body_bytes
            .map_or(configuration.limits.max_body_bytes, |limit| limit as usize);
        if request.http.body.len() > max_body_bytes {
            let reason = "the body is longer than allowed";
            return self.refuse(actions, call, &subject, Refusal::Malformed, reason, None);
        }
        if route.kind != RouteKind::Batch {
            let tenants = &configuration.tenants;
            let accepted = AcceptedCall {
                quarantine_policy: QuarantinePolicy::Refuse,
                call,
                priority: tenants.priority_of(&request.tenant, route.priority),
                request,
                route,
                configuration_version: configuration.version,
            };
            let mut forwards = Vec::new();
            self.forwarder
                .start(now, accepted, &mut self.directory, &mut forwards);
            return actions.extend(forwards.into_iter().map(GatewayAction::Forward));
        }
        let version = configuration.version;
        self.submit(now, call, request, version, &subject, actions);
    }

    pub(crate) fn relay_call(
        &mut self,
        now: Time,
        call: CallId,
        tenant: String,
        body: OneOfbody,
        wait: Duration,
        actions: &mut Vec<GatewayAction>,
    ) {
        let answer = self.relay.start(now, call, tenant, body, wait, actions);
        if let Some(answer) = answer {
            self.respond(actions, call, &answer);
        }
    }

    /// Records that a replica has sent a message.
    pub fn on_replica_contact(&mut self, now: Time) {
        self.relay.on_replica_contact(now);
    }

    /// Refuses a request. `subject` identifies it in the log.
    pub(crate) fn refuse(
        &self,
        actions: &mut Vec<GatewayAction>,
        call: CallId,
        subject: &str,
        refusal: Refusal,
        detail: &str,
        retry_after: Option<Duration>,
    ) {
        log::info!("decision=refuse {subject} refusal={refusal:?} reason={detail}");
        let answer = CallerResponse::Refused {
            refusal,
            detail: detail.to_string(),
            retry_after,
        };
        self.respond(actions, call, &answer);
    }

    fn respond(&self, actions: &mut Vec<GatewayAction>, call: CallId, answer: &CallerResponse) {
        let parts = answer_parts(self.codec.as_ref(), call, answer);
        actions.extend(parts.map(GatewayAction::Forward));
    }

    /// Handles the disconnect of a caller.
    pub fn on_caller_disconnected(&mut self, now: Time, call: CallId) -> Vec<GatewayAction> {
        let mut forwards = Vec::new();
        self.forwarder
            .cancel(call, &mut self.directory, &mut forwards);
        self.deferred_end_calls.on_caller_disconnected(call);
        self.relay.on_caller_disconnected(now, call);
        forwards.into_iter().map(GatewayAction::Forward).collect()
    }

    /// Handles the assignment of a connection; `connected_in` is the connect time of a new one.
    pub fn on_engine_connected(&mut self, id: HttpId, connected_in: Option<Duration>) {
        let directory = &mut self.directory;
        self.forwarder.on_connected(id, connected_in, directory);
    }

    /// Handles a request to an engine that is sent again because its pooled connection broke.
    pub fn on_engine_resent(&mut self, id: HttpId) {
        self.forwarder.on_resent(id);
    }

    /// Handles a part of an engine's response.
    pub fn on_response_part(
        &mut self,
        now: Time,
        id: HttpId,
        part: ResponsePart,
    ) -> Vec<GatewayAction> {
        let mut forwards = Vec::new();
        self.forwarder
            .on_response_part(now, id, part, &mut self.directory, &mut forwards);
        forwards.into_iter().map(GatewayAction::Forward).collect()
    }

    /// Handles a replica's reply to a batch-job call.
    pub fn on_job_reply(&mut self, now: Time, from: &str, reply: JobReply) -> Vec<GatewayAction> {
        let mut actions = Vec::new();
        let answer = self.relay.on_reply(now, from, reply, &mut actions);
        if let Some((call, answer)) = answer {
            self.respond(&mut actions, call, &answer);
        }
        actions
    }

    /// Handles timeouts and returns the actions that are due.
    pub fn tick(&mut self, now: Time) -> Vec<GatewayAction> {
        let mut forwards = Vec::new();
        self.forwarder.tick(now, &mut self.directory, &mut forwards);
        let forwards = forwards.into_iter().map(GatewayAction::Forward);
        let mut actions: Vec<GatewayAction> = forwards.collect();
        self.process_deferred_end_calls(now, &mut actions);
        for (call, answer) in self.relay.tick(now, &mut actions) {
            self.respond(&mut actions, call, &answer);
        }
        actions
    }
}
