//! Reward calls: each whole text is scored before it is listed.
//!
//! A call leaves only after the last event of the text has arrived, and may be
//! made again until it has an answer. The score goes into the log with the rest of
//! the text, so nothing of a call lives longer than its leader.

use bytes::Bytes;
use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{CallerRequest, Configuration, Route, RouteKind};
use peatgrade_schema::replication::RewardCall;
use peatgrade_types::http::HttpRequest;
use peatgrade_types::{Duration, Time};
use std::collections::HashMap;

use super::{DispatchAction, Dispatcher};
use crate::item::ItemKey;
use crate::listing::PendingResult;
use crate::scores::{PendingScore, ScoreId};

/// Time that one call may take. A silent engine is left long before; this bounds
/// a call whose engines all are.
const CALL_DEADLINE: Duration = Duration::from_millis(1_000);
/// Share of a scorer's slots that reward calls may take: the rest is for the
/// callers who share its engines.
const SLOTS_DIVISOR: u32 = 2;
/// Wait after engines refused a call, as for an item.
const REFUSED_WAIT: Duration = Duration::from_millis(60);
/// Wait after the first call that failed; doubles each time.
const FAILED_WAIT: Duration = Duration::from_millis(30);
/// Longest such wait.
const MAX_FAILED_WAIT: Duration = Duration::from_millis(500);
/// Time between two looks for a route that no configuration has.
const ROUTE_WAIT: Duration = Duration::from_millis(100);

/// Reward calls that one look makes: each costs about as much as the start of a run, and
/// a look may start runs beside them.
const REWARD_CALLS_PER_LOOK: usize = 4;

/// A reward call to be made.
#[derive(Clone, Debug)]
pub struct ScoreCall {
    /// The request.
    pub request: CallerRequest,
    /// Its route. It may be repeated, whatever the route says of callers.
    pub route: Route,
    /// Version of the configuration that names the route.
    pub configuration: u64,
}

/// What comes of a reward call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ScoreOutcome {
    /// An engine answered that it failed. The call goes on elsewhere.
    EngineFailed,
    /// The signature of a whole answer: the score.
    Scored(String),
    /// No engine ran it.
    NotRun {
        /// Time until one may, if that was told.
        come_back: Option<Duration>,
    },
    /// It ended without a usable answer.
    Failed,
}

impl Dispatcher {
    /// An item's text is whole: it is scored, or listed if nothing scores it.
    pub(super) fn on_whole(&mut self, now: Time, key: &ItemKey) {
        let Some(item) = self.items.get(key) else {
            return;
        };
        match &item.item().reward_call {
            None => self.list_whole(key, String::new()),
            Some(_) => self.unscored.push(now, key.clone()),
        }
    }

    fn list_whole(&mut self, key: &ItemKey, score: String) {
        self.finish(&key.0, PendingResult::Complete(key.1, score));
    }

    /// Forgets that an item waits for its score.
    pub(super) fn drop_score(&mut self, key: &ItemKey) {
        if let Some(call) = self.unscored.remove(key) {
            self.actions.push(DispatchAction::CancelScore(call));
        }
    }

    /// Makes the reward calls that are due, as far as scorers have room.
    pub(super) fn call_scorers(
        &mut self,
        now: Time,
        configuration: &Configuration,
        directory: &EngineDirectory,
    ) {
        let mut free_slots: HashMap<&str, usize> = HashMap::new();
        let mut calls_left = REWARD_CALLS_PER_LOOK;
        for key in self.unscored.due(now) {
            if calls_left == 0 {
                self.has_backlog = true;
                break;
            }
            let Some(item) = self.items.get(&key) else {
                continue;
            };
            let Some(reward_call) = &item.item().reward_call else {
                continue;
            };
            let own_route = configuration.route(&item.spec.host, &item.item().path);
            if own_route.is_some_and(|own| now.since(item.known_since) >= own.max_queue) {
                self.give_up(&key, "queue-limit-without-score");
                continue;
            }
            let route = configuration.route(&reward_call.host, &reward_call.path);
            let Some(route) = route.filter(|route| takes_reward_calls(route)) else {
                // The next configuration may bring it; until then nothing runs.
                if self.unscored.postpone(now, &key, ROUTE_WAIT) {
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
            let free = free_slots.entry(&route.name).or_insert_with(|| {
                let under_way = self.unscored.calls_on_route(&route.name);
                max_calls(now, route, directory).saturating_sub(under_way)
            });
            if *free == 0 {
                continue;
            }
            *free -= 1;
            let remaining_calls = *free;
            let request = caller_request(reward_call, &item.spec.tenant);
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

    /// Takes what came of a reward call. Returns how long the text was whole, if
    /// it is scored now.
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
                self.list_whole(&key, score);
                return Some(waited);
            }
            ScoreOutcome::EngineFailed => self.on_engine_failed(&key, configuration),
            ScoreOutcome::NotRun { come_back } => {
                let pause = come_back.map_or(REFUSED_WAIT, |told| told.max(REFUSED_WAIT));
                self.unscored
                    .retry_call(now, id, pause.min(MAX_FAILED_WAIT));
            }
            ScoreOutcome::Failed => {
                let factor = 1_u64 << unscored.calls.saturating_sub(1).min(8);
                let pause = Duration(FAILED_WAIT.0 * factor).min(MAX_FAILED_WAIT);
                self.unscored.retry_call(now, id, pause);
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

    /// Counts an answer that said that the call failed; a call that fails as often
    /// as its route allows never gets a score.
    fn on_engine_failed(&mut self, key: &ItemKey, configuration: &Configuration) {
        let Some(item) = self.items.get_mut(key) else {
            return;
        };
        item.failures.reward_calls += 1;
        let spec = &item.spec.items[item.index];
        let route = spec
            .reward_call
            .as_ref()
            .and_then(|call| configuration.route(&call.host, &call.path));
        if route.is_some_and(|route| item.failures.reward_calls >= route.max_attempts) {
            self.give_up(key, "reward-call-failed-every-time");
        }
    }
}

/// Whether a route leads to engines that answer single requests.
fn takes_reward_calls(route: &Route) -> bool {
    matches!(route.kind, RouteKind::Safe | RouteKind::Unsafe)
}

/// Reward calls that the engines of a route may have at once.
fn max_calls(now: Time, route: &Route, directory: &EngineDirectory) -> usize {
    let targets = route.targets.iter().filter(|target| target.weight > 0);
    let has = |slots: u32| (slots / SLOTS_DIVISOR).max(1);
    let places = targets.map(|target| {
        let avoided = directory
            .tracked_serving(&target.service)
            .filter(|state| state.stats.is_backing_off(now) || state.is_absent(now))
            .map(|state| has(state.record.slots));
        let avoided: u32 = avoided.sum();
        let all = directory.sum_of_slots(&target.service, has);
        all.saturating_sub(avoided) as usize
    });
    // One goes on where all engines are avoided, so that it shows when they are
    // back.
    places.sum::<usize>().max(1)
}

fn caller_request(reward_call: &RewardCall, tenant: &str) -> CallerRequest {
    let body = Bytes::from(reward_call.body.clone());
    CallerRequest {
        id: reward_call.id.clone(),
        host: reward_call.host.clone(),
        deadline: Some(CALL_DEADLINE),
        tenant: tenant.to_string(),
        http: HttpRequest::new("POST", reward_call.path.as_str(), body),
        ..CallerRequest::default()
    }
}
