//! Reward calls, which score each complete text before its result is listed.
//!
//! A call is made only after the text is complete, and may be repeated until it is answered. The
//! score is replicated together with the rest of the result, so a new leader repeats open calls.

use bytes::Bytes;
use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{CallerRequest, Configuration, Route, RouteKind};
use peatgrade_quarantine::Fingerprint;
use peatgrade_schema::replication::RewardCall;
use peatgrade_types::http::HttpRequest;
use peatgrade_types::{Duration, Time};
use std::collections::HashMap;

use super::suspects::is_retry_due;
use super::{DispatchAction, Dispatcher};
use crate::item::{ItemKey, OpenItem};
use crate::listing::PendingResult;
use crate::scores::{PendingScore, ScoreId};

/// Timeout of a reward call over all attempts.
const REWARD_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Reward calls use at most this fraction (1/n) of an engine's slots, because engines are shared
/// with other callers.
const SLOTS_DIVISOR: u32 = 2;
/// Delay before a refused call is repeated.
const REFUSED_BACKOFF: Duration = Duration::from_millis(60);
/// Delay after the first failed call; doubles with each failure.
const FAILED_BACKOFF: Duration = Duration::from_millis(30);
/// Maximum delay before a failed or refused call is repeated.
const MAX_FAILED_BACKOFF: Duration = Duration::from_millis(500);
/// Delay before the route of a call is looked up again if it was missing.
const MISSING_ROUTE_BACKOFF: Duration = Duration::from_millis(100);
/// Delay before the limits of a held item are checked again.
const OUTDATED_BACKOFF: Duration = Duration::from_millis(100);

/// Reason to give up an item whose reward call may not be repeated.
const CALLS_EXHAUSTED: &str = "reward-call-failed-every-time";

/// Maximum number of reward calls started per poll.
const MAX_REWARD_CALLS_PER_POLL: usize = 4;

/// A reward call to be made.
#[derive(Clone, Debug)]
pub struct ScoreCall {
    /// The request.
    pub request: CallerRequest,
    /// Its route. The call may be repeated regardless of the kind of the configured route.
    pub route: Route,
    /// Version of the configuration that contains the route.
    pub configuration: u64,
}

/// Outcome of a reward call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScoreOutcome {
    /// An engine answered with a failure. The call continues on another engine.
    EngineFailed,
    /// The call succeeded with this score, the signature of the response.
    Scored(String),
    /// No engine ran the call.
    NotRun {
        /// Delay before an engine may run it, if known.
        come_back: Option<Duration>,
    },
    /// The call ended without a usable response.
    Failed,
}

impl Dispatcher {
    /// Queues a complete text for scoring, or adds its result if it has no reward call.
    pub(super) fn on_text_complete(&mut self, now: Time, key: &ItemKey) {
        let Some(item) = self.items.get(key) else {
            return;
        };
        match &item.item().reward_call {
            None => self.add_complete_text(key, String::new()),
            Some(_) => self.unscored.push(now, key.clone()),
        }
    }

    fn add_complete_text(&mut self, key: &ItemKey, score: String) {
        self.add_result(&key.0, PendingResult::Complete(key.1, score));
    }

    /// Removes an item from the scoring queue and cancels its reward call.
    pub(super) fn cancel_scoring(&mut self, key: &ItemKey) {
        if let Some(call) = self.unscored.remove(key) {
            self.actions.push(DispatchAction::CancelScore(call));
        }
    }

    /// Starts due reward calls while the scoring engines have free slots.
    pub(super) fn start_reward_calls(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) {
        let mut free_slots: HashMap<&str, usize> = HashMap::new();
        let mut calls_left = MAX_REWARD_CALLS_PER_POLL;
        for key in self.unscored.due(now) {
            if calls_left == 0 {
                self.has_backlog = true;
                break;
            }
            if !self.may_score(now, &key, configuration) {
                continue;
            }
            let Some(item) = self.items.get(&key) else {
                continue;
            };
            let Some(reward_call) = &item.item().reward_call else {
                continue;
            };
            let route = configuration.route(&reward_call.host, &reward_call.path);
            let Some(route) = route.filter(|route| takes_reward_calls(route)) else {
                // The route may be part of a later configuration.
                if self.unscored.postpone(now, &key, MISSING_ROUTE_BACKOFF) {
                    log::info!(
                        "decision=hold-score item={} job={} reward_call={} reason=no-route configuration={}",
                        item.item().id,
                        key.0,
                        reward_call.id,
                        configuration.version
                    );
                }
                continue;
            };
            let request = caller_request(reward_call, &item.spec.tenant);
            if !directory.quarantine.is_empty()
                && !is_retry_due(now, Fingerprint::of_request(&request), directory)
            {
                continue;
            }
            let free = free_slots.entry(&route.name).or_insert_with(|| {
                let active_calls = self.unscored.calls_on_route(&route.name);
                max_calls(now, route, directory).saturating_sub(active_calls)
            });
            if *free == 0 {
                continue;
            }
            *free -= 1;
            let remaining_calls = *free;
            let call = ScoreCall {
                request,
                route: Route {
                    kind: RouteKind::Safe,
                    ..route.clone()
                },
                configuration: configuration.version,
            };
            let Some(score) = self.unscored.start_call(&key, &route.name) else {
                continue;
            };
            log::info!(
                "decision=score item={} job={} reward_call={} route={} room_left={remaining_calls} failures={}",
                item.item().id,
                key.0,
                reward_call.id,
                route.name,
                item.failures.reward_calls
            );
            let call = Box::new(call);
            self.actions.push(DispatchAction::Score { score, call });
            calls_left -= 1;
        }
    }

    /// Whether a call may be made for an item. An item whose limit is reached is given up, or held
    /// if the configuration with that limit is outdated.
    fn may_score(&mut self, now: Time, key: &ItemKey, configuration: &Configuration) -> bool {
        let Some(item) = self.items.get(key) else {
            return false;
        };
        let Some(limit) = score_limit_reached(now, item, configuration) else {
            return true;
        };
        if !self.give_up_unless_outdated(now, key, limit, configuration) {
            self.unscored.postpone(now, key, OUTDATED_BACKOFF);
        }
        false
    }

    /// Handles the outcome of a reward call. If the text is scored, returns how long it waited for
    /// its score.
    pub fn on_score(
        &mut self,
        now: Time,
        id: ScoreId,
        outcome: ScoreOutcome,
        configuration: &Configuration,
    ) -> Option<Duration> {
        let (key, unscored) = self.unscored.item_of(id)?;
        let waited = now.since(unscored.since);
        self.log_outcome(&key, &unscored, &outcome, waited);
        match outcome {
            ScoreOutcome::Scored(score) => {
                self.unscored.remove(&key);
                self.add_complete_text(&key, score);
                return Some(waited);
            }
            ScoreOutcome::EngineFailed => self.record_engine_failure(now, &key, configuration),
            ScoreOutcome::NotRun { come_back } => {
                let backoff = come_back.map_or(REFUSED_BACKOFF, |delay| delay.max(REFUSED_BACKOFF));
                self.unscored
                    .retry_call(now, id, backoff.min(MAX_FAILED_BACKOFF));
            }
            ScoreOutcome::Failed => {
                let factor = 1_u64 << unscored.calls.saturating_sub(1).min(8);
                let backoff = Duration(FAILED_BACKOFF.0 * factor).min(MAX_FAILED_BACKOFF);
                self.unscored.retry_call(now, id, backoff);
            }
        }
        None
    }

    fn log_outcome(
        &self,
        key: &ItemKey,
        unscored: &PendingScore,
        outcome: &ScoreOutcome,
        waited: Duration,
    ) {
        let item = self.items.get(key).map(|item| item.item().id.as_str());
        log::info!(
            "belief=score item={} job={} outcome={outcome:?} calls={} waited_ms={}",
            item.unwrap_or("unknown"),
            key.0,
            unscored.calls,
            waited.as_millis()
        );
    }

    /// Counts a failed call, and gives the item up after the maximum number of attempts.
    fn record_engine_failure(&mut self, now: Time, key: &ItemKey, configuration: &Configuration) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        item.failures.reward_calls += 1;
        if has_exhausted_calls(item, configuration) {
            self.give_up_unless_outdated(now, key, CALLS_EXHAUSTED, configuration);
        }
    }
}

/// Returns the limit of an unscored item that is reached, if there is one.
fn score_limit_reached(
    now: Time,
    item: &OpenItem,
    configuration: &Configuration,
) -> Option<&'static str> {
    if has_exhausted_calls(item, configuration) {
        return Some(CALLS_EXHAUSTED);
    }
    let route = configuration.route(&item.spec.host, &item.item().path)?;
    (now.since(item.known_since) >= route.max_queue).then_some("queue-limit-without-score")
}

/// Whether the engines of the reward call's route have failed it as often as the route allows.
fn has_exhausted_calls(item: &OpenItem, configuration: &Configuration) -> bool {
    let failures = item.failures.reward_calls;
    if failures == 0 {
        return false;
    }
    let call = item.item().reward_call.as_ref();
    let route = call.and_then(|call| configuration.route(&call.host, &call.path));
    route.is_some_and(|route| failures >= route.max_attempts)
}

/// Whether a route leads to engines that answer single requests.
fn takes_reward_calls(route: &Route) -> bool {
    matches!(route.kind, RouteKind::Safe | RouteKind::Unsafe)
}

/// Maximum number of concurrent reward calls on the engines of a route.
fn max_calls(now: Time, route: &Route, directory: &EngineDirectory) -> usize {
    let targets = route.targets.iter().filter(|target| target.weight > 0);
    let usable = |slots: u32| (slots / SLOTS_DIVISOR).max(1);
    let slots = targets.map(|target| {
        let backing_off = directory
            .tracked_serving(&target.service)
            .filter(|state| state.stats.is_backing_off(now) || state.is_absent(now))
            .map(|state| usable(state.record.slots));
        let backing_off: u32 = backing_off.sum();
        let all = directory.sum_of_slots(&target.service, usable);
        all.saturating_sub(backing_off) as usize
    });
    // One call is allowed even if all engines are unavailable, to detect when they recover.
    slots.sum::<usize>().max(1)
}

fn caller_request(reward_call: &RewardCall, tenant: &str) -> CallerRequest {
    let body = Bytes::from(reward_call.body.clone());
    CallerRequest {
        id: reward_call.id.clone(),
        host: reward_call.host.clone(),
        deadline: Some(REWARD_CALL_TIMEOUT),
        tenant: tenant.to_string(),
        http: HttpRequest::new("POST", reward_call.path.as_str(), body),
        ..CallerRequest::default()
    }
}
