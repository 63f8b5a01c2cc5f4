//! Moves runs away from engines that are unresponsive, slow, restarted or draining.

use peatgrade_fleet::{EngineDirectory, EngineState};
use peatgrade_types::{Duration, Time};
use std::collections::HashMap;
use std::rc::Rc;

use super::{Dispatcher, RunId};
use crate::item::{ItemKey, OpenItem};
use crate::placement::{
    self, Candidates, ItemRequirements, MoveEstimate, Pace, SlowEngines, TextForecast,
};
use crate::streams::Run;

/// Time without a first event after which a run is moved.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(900);
/// Lower bound of the time between events after which a run is moved.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(450);
/// Time between events after which a run is moved, as a multiple of the median pace.
const SILENCE_TIMEOUT_FACTOR: f64 = 8.0;
/// Items that were moved this often are not moved for speed again.
const MAX_ITEM_MOVES: u32 = 4;
/// Time between two searches for beneficial moves, per active run.
const MOVE_SEARCH_INTERVAL_PER_RUN: Duration = Duration(125);
/// Each search moves one run, and one more per this number of active runs.
const RUNS_PER_MOVE: usize = 64;
/// Time between two checks of all runs from which on this process is considered delayed.
const LATE_CHECK: Duration = Duration::from_millis(60);
/// Time after a delayed check during which paces are ignored. Events of all engines arrived late,
/// and the measured paces need time to recover.
const PACE_GRACE_PERIOD: Duration = Duration::from_millis(400);
/// Short enough for paces to reflect a pause of this process within about one event.
const PACE_REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// Number of events from which on a text is considered long.
const LONG_TEXT_EVENTS: usize = 20;
/// Number of events from which on a text that is expected to be long may be moved.
const EXPECTED_LONG_TEXT_EVENTS: usize = 6;
/// Minimum number of events of a run before it may be moved to a faster engine.
const MIN_RUN_EVENTS: u32 = 4;

/// Why a run is moved to another engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum MoveReason {
    /// The engine is no longer in the directory.
    Gone,
    /// The engine has restarted since the run began.
    Restarted,
    /// The engine is draining.
    Draining,
    /// The engine has sent no event within the timeout.
    Silent,
    /// The engine is much slower than others.
    Slow,
    /// A faster engine has a free slot.
    FasterFree,
}

/// A planned move of a run.
#[derive(Clone, Copy, Debug)]
struct PlannedMove {
    reason: MoveReason,
    /// Estimated benefit, if the placement strategy estimates it.
    details: Option<MoveDetails>,
}

/// Paces and expected outcome of a move.
#[derive(Clone, Copy, Debug)]
struct MoveDetails {
    /// Expected number of remaining events.
    remaining: f64,
    current: Pace,
    target: Pace,
    estimate: MoveEstimate,
}

impl std::fmt::Display for MoveDetails {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            " remaining={:.0} pace_here_us={:.0} pace_there_us={:.0} gain_ms={:.0} price_ms={:.0}",
            self.remaining,
            self.current.current(),
            self.target.with_additional_run(),
            self.estimate.gain_us / 1_000.0,
            self.estimate.cost_us / 1_000.0
        )
    }
}

impl PlannedMove {
    fn without_details(reason: MoveReason) -> Self {
        Self {
            reason,
            details: None,
        }
    }

    /// Estimated gain in microseconds, or 0 if it is not estimated.
    fn gain(&self) -> f64 {
        self.details.map_or(0.0, |details| details.estimate.gain_us)
    }
}

impl Dispatcher {
    /// Moves runs that cannot continue, and some of those that would finish sooner elsewhere.
    pub(super) fn check_runs(&mut self, now: Time, directory: &mut EngineDirectory) {
        let mut moves = Vec::new();
        let mut candidates = Vec::new();
        let mut engines_by_job: HashMap<Rc<str>, Candidates> = HashMap::new();
        let mut engines_weighed = 0;
        self.refresh_paces(now, directory);
        let searches_moves = now >= self.next_move_search_at;
        if searches_moves {
            self.next_move_search_at =
                now + Duration(MOVE_SEARCH_INTERVAL_PER_RUN.0 * self.runs.len() as u64);
        }
        for (id, run) in &self.runs {
            if let Some(reason) = self.forced_move_reason(now, run, directory) {
                moves.push((*id, PlannedMove::without_details(reason)));
            } else if searches_moves {
                let planned = self.find_move(now, run, directory, &mut engines_by_job);
                engines_weighed += engines_by_job
                    .values()
                    .map(Candidates::len)
                    .max()
                    .unwrap_or(0);
                candidates.extend(planned.map(|planned| (run.events, *id, planned)));
            }
        }
        self.engines_weighed += engines_weighed as u64;
        // Limits the moves per search, because each takes a slot that the others counted on. The
        // largest gains go first, then the longest texts.
        candidates.sort_by(|(events, id, planned), (other_events, other_id, other)| {
            let gain = other.gain().total_cmp(&planned.gain());
            gain.then((other_events, other_id).cmp(&(events, id)))
        });
        let max_moves = 1 + self.runs.len() / RUNS_PER_MOVE;
        let chosen = candidates.into_iter().take(max_moves);
        moves.extend(chosen.map(|(_, id, planned)| (id, planned)));
        moves.sort_by_key(|(id, _)| *id);
        for (id, planned) in moves {
            self.move_run(now, id, &planned, directory);
        }
    }

    /// Cancels a run; the item is queued again and resumes on another engine.
    fn move_run(
        &mut self,
        now: Time,
        id: RunId,
        planned: &PlannedMove,
        directory: &mut EngineDirectory,
    ) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let (key, instance, incarnation) = (run.key.clone(), run.instance.clone(), run.incarnation);
        let reason = planned.reason;
        log::info!(
            "decision=move item={} job={} engine={instance} reason={reason:?} events={}{}",
            self.items[&key].item().id,
            key.0,
            run.events,
            planned
                .details
                .map_or(String::new(), |details| details.to_string())
        );
        if reason == MoveReason::Silent {
            if let Some(state) = directory.incarnation_mut(&instance, incarnation) {
                state.stats.record_failure(now);
            }
        }
        self.cancel_run(now, &key, directory);
        self.placement.count_move(reason);
        if let Some(item) = self.items.get_mut(&key) {
            if planned.details.is_some() {
                item.moved_from.push(instance.clone());
            }
            item.avoid = Some((instance, incarnation));
            item.moves += u32::from(reason != MoveReason::Restarted);
        }
    }

    /// Records the time of a check. Paces are ignored for a while if the check was delayed.
    pub(super) fn record_run_check(&mut self, now: Time) {
        if now.since(self.runs_checked_at) >= LATE_CHECK {
            self.paces_unreliable_until = now + PACE_GRACE_PERIOD;
        }
        self.runs_checked_at = now;
    }

    /// Recomputes the paces of all services if the refresh interval has passed.
    fn refresh_paces(&mut self, now: Time, directory: &EngineDirectory) {
        if now < self.next_pace_refresh_at {
            return;
        }
        self.next_pace_refresh_at = now + PACE_REFRESH_INTERVAL;
        self.paces = placement::service_paces(now, directory);
    }

    fn median_pace(&self, state: &EngineState) -> Option<f64> {
        let paces = self.paces.get(&state.record.service);
        paces.map(|paces| paces.median)
    }

    /// Returns why a run must be moved even if no better engine is known.
    fn forced_move_reason(
        &self,
        now: Time,
        run: &Run,
        directory: &EngineDirectory,
    ) -> Option<MoveReason> {
        let item = self.items.get(&run.key)?;
        let Some(state) = directory.get(&run.instance) else {
            return Some(MoveReason::Gone);
        };
        if state.incarnation != run.incarnation {
            return Some(MoveReason::Restarted);
        }
        if state.loading_models.contains(&item.spec.model) {
            return None;
        }
        let silence = now.since(run.last_event_at.unwrap_or(run.started_at));
        let limit = match (run.last_event_at, self.median_pace(state)) {
            (None, _) => FIRST_EVENT_TIMEOUT,
            (_, None) => MIN_SILENCE_TIMEOUT,
            (_, Some(pace)) => {
                MIN_SILENCE_TIMEOUT.max(Duration((pace * SILENCE_TIMEOUT_FACTOR) as u64))
            }
        };
        (silence >= limit).then_some(MoveReason::Silent)
    }

    /// Returns a move after which the run is expected to finish sooner, if there is one.
    fn find_move(
        &self,
        now: Time,
        run: &Run,
        directory: &EngineDirectory,
        engines_by_job: &mut HashMap<Rc<str>, Candidates>,
    ) -> Option<PlannedMove> {
        let item = self.items.get(&run.key)?;
        let state = directory.get(&run.instance)?;
        let may_move = item.moves < MAX_ITEM_MOVES
            && !state.loading_models.contains(&item.spec.model)
            && now >= self.paces_unreliable_until;
        let is_slow = may_move && placement::is_slow(now, state, self.median_pace(state));
        let paces = self.paces.get(&state.record.service).copied();
        let strategy = self.placement.strategy_for(paces);
        let weighs_move_cost = strategy.weighs_move_cost();
        let may_benefit = may_move && (is_slow || run.events >= MIN_RUN_EVENTS);
        let is_promising = weighs_move_cost && may_benefit && self.may_pay_off(now, item, state);
        let is_long = !weighs_move_cost && may_benefit && self.is_long_text(&run.key, item);
        let is_slow_or_long = !weighs_move_cost && (is_slow || is_long);
        if !(state.record.draining || is_promising || is_slow_or_long) {
            return None;
        }
        // A moved text is already delayed, so the engine that finishes it first is chosen.
        let remaining = self.placement.remaining(item);
        let forecast = TextForecast {
            mean_events: remaining.mean_events,
            upper_events: remaining.upper_events,
            us_until_job_end: 0.0,
        };
        let requirements = ItemRequirements {
            service: state.record.service.as_str(),
            model: &item.spec.model,
            min_version: item.spec.min_version,
            exact_version: item.exact_version(),
            cached_on: &[],
            avoid: Some(&run.instance),
            moved_from: &item.moved_from,
            expected: Some(forecast).filter(|_| strategy.uses_expected_end()),
        };
        let find = || {
            let base_requirements = ItemRequirements {
                exact_version: None,
                avoid: None,
                moved_from: &[],
                expected: None,
                ..requirements
            };
            Candidates::find(now, directory, &base_requirements, paces)
        };
        let engines = &*engines_by_job.entry(run.key.0.clone()).or_insert_with(find);
        let slow_engines = if state.record.draining {
            SlowEngines::Allowed
        } else {
            SlowEngines::Excluded
        };
        let chosen = engines.choose(now, directory, &requirements, u32::MAX, slow_engines)?;
        if state.record.draining {
            return Some(PlannedMove::without_details(MoveReason::Draining));
        }
        let target_state = directory.get(&chosen)?;
        if weighs_move_cost {
            let reason = if is_slow {
                MoveReason::Slow
            } else {
                MoveReason::FasterFree
            };
            let median = self.median_pace(state);
            let current = placement::estimated_pace(now, state, median);
            let target = placement::estimated_pace(now, target_state, median);
            let estimate = MoveEstimate::new(remaining.mean_events, current, target);
            let details = Some(MoveDetails {
                remaining: remaining.mean_events,
                current,
                target,
                estimate,
            });
            return estimate
                .is_worthwhile()
                .then_some(PlannedMove { reason, details });
        }
        if is_slow {
            return Some(PlannedMove::without_details(MoveReason::Slow));
        }
        placement::is_faster(target_state, state)
            .then_some(PlannedMove::without_details(MoveReason::FasterFree))
    }

    /// Whether the text may be the last of its job to finish and would benefit from the fastest
    /// free engine, if that were idle. Avoids evaluating all engines for most runs.
    fn may_pay_off(&self, now: Time, item: &OpenItem, state: &EngineState) -> bool {
        let Some(paces) = self.paces.get(&state.record.service) else {
            return false;
        };
        let current = placement::estimated_pace(now, state, Some(paces.median));
        let target = Pace {
            us_per_event: paces.fastest_free,
            running: 0,
            slots: u32::MAX,
        };
        let forecast = self.placement.forecast(now, item, Some(*paces));
        forecast.is_some_and(|forecast| {
            forecast.may_finish_last(current)
                && MoveEstimate::new(forecast.mean_events, current, target).is_worthwhile()
        })
    }

    /// Whether a text is long, or has enough events and was expected to be long.
    fn is_long_text(&self, key: &ItemKey, item: &OpenItem) -> bool {
        let events = item.text.events.len();
        events >= LONG_TEXT_EVENTS
            || (events >= EXPECTED_LONG_TEXT_EVENTS && self.is_expected_long(key, item))
    }
}
