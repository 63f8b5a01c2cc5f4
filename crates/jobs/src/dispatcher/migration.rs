//! Runs that get nowhere, or would get on faster elsewhere.

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

/// Silence before the first event after which a run is moved.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(900);
/// Least silence between events after which a run is moved.
const SILENCE_MIN: Duration = Duration::from_millis(450);
/// Silence as a multiple of the usual pace after which a run is moved.
const SILENCE_FACTOR: f64 = 8.0;
/// Moves of one item away from slow engines.
const MAX_MOVES: u32 = 4;
/// Time between two looks for runs that would get on better elsewhere, for each
/// run under way.
const CHANCES_PER_RUN: Duration = Duration(125);
/// One more run is moved at a time for so many that are under way.
const RUNS_PER_CHANCE: usize = 64;
/// Time between two looks over all runs that means that this machine was busy or stood
/// still: three times the usual one.
const LATE_LOOK: Duration = Duration::from_millis(60);
/// How long paces are not judged after it: events of all engines came late to this
/// machine, and until then that has faded to a third.
const LATE_LOOK_REST: Duration = Duration::from_millis(400);
/// Time between two looks at the pace of all engines: it must follow a pause of this
/// machine within the time of an event.
const PACES_EVERY: Duration = Duration::from_millis(50);
/// Events after which a text is likely to go on for long.
const LONG_EVENTS: usize = 20;
/// Events after which one that was expected to be long is worth a move.
const EXPECTED_LONG_EVENTS: usize = 6;
/// Events of a run before it is moved to a faster engine: a move costs about one.
const LEAST_RUN_EVENTS: u32 = 4;

/// Why a run is moved to another engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum MoveReason {
    /// The engine is not in the list any more.
    Gone,
    /// The engine has started again since the run began.
    Restarted,
    /// The engine leaves.
    Draining,
    /// Nothing comes from it.
    Silent,
    /// It is far slower than others.
    Slow,
    /// A faster one has room.
    FasterFree,
}

/// A move that would be of use, and what it rests on.
#[derive(Clone, Copy, Debug)]
struct Chance {
    reason: MoveReason,
    /// What was weighed, if it was.
    weighed: Option<Weighed>,
}

/// What was known when a move was weighed.
#[derive(Clone, Copy, Debug)]
struct Weighed {
    /// Events still to come.
    remaining: f64,
    here: Pace,
    there: Pace,
    outcome: MoveEstimate,
}

impl std::fmt::Display for Weighed {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            " remaining={:.0} pace_here_us={:.0} pace_there_us={:.0} gain_ms={:.0} price_ms={:.0}",
            self.remaining,
            self.here.current(),
            self.there.with_additional_run(),
            self.outcome.gain_us / 1_000.0,
            self.outcome.cost_us / 1_000.0
        )
    }
}

impl Chance {
    fn unweighed(reason: MoveReason) -> Self {
        Self {
            reason,
            weighed: None,
        }
    }

    /// How much is gained, as far as that was weighed.
    fn gain(&self) -> f64 {
        self.weighed.map_or(0.0, |weighed| weighed.outcome.gain_us)
    }
}

impl Dispatcher {
    /// Moves runs away from engines that are silent, slow, gone or leaving.
    pub(super) fn watch_runs(&mut self, now: Time, directory: &mut EngineDirectory) {
        let mut moves = Vec::new();
        let mut chances = Vec::new();
        let mut looks: HashMap<Rc<str>, Candidates> = HashMap::new();
        let mut weighed = 0;
        self.refresh_paces(now, directory);
        let seek_chances = now >= self.chances_at;
        if seek_chances {
            self.chances_at = now + Duration(CHANCES_PER_RUN.0 * self.runs.len() as u64);
        }
        for (id, run) in &self.runs {
            if let Some(reason) = self.urgent_reason(now, run, directory) {
                moves.push((*id, Chance::unweighed(reason)));
            } else if seek_chances {
                let chance = self.chance_to_move(now, run, directory, &mut looks);
                weighed += looks.values().map(Candidates::len).max().unwrap_or(0);
                chances.extend(chance.map(|chance| (run.events, *id, chance)));
            }
        }
        self.weighed += weighed as u64;
        // A few at a time, since each takes a place that the others saw free; those that
        // gain most first, else the longest texts.
        chances.sort_by(|(events, id, chance), (other_events, other_id, other)| {
            let gain = other.gain().total_cmp(&chance.gain());
            gain.then((other_events, other_id).cmp(&(events, id)))
        });
        let most = 1 + self.runs.len() / RUNS_PER_CHANCE;
        let chosen = chances.into_iter().take(most);
        moves.extend(chosen.map(|(_, id, chance)| (id, chance)));
        moves.sort_by_key(|(id, _)| *id);
        for (id, chance) in moves {
            self.move_run(now, id, &chance, directory);
        }
    }

    /// Breaks a run off, to go on elsewhere.
    fn move_run(&mut self, now: Time, id: RunId, chance: &Chance, directory: &mut EngineDirectory) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let (key, instance, life) = (run.key.clone(), run.instance.clone(), run.incarnation);
        let reason = chance.reason;
        log::info!(
            "decision=move item={} job={} engine={instance} reason={reason:?} events={}{}",
            self.items[&key].item().id,
            key.0,
            run.events,
            chance.weighed.map_or(String::new(), |w| w.to_string())
        );
        if reason == MoveReason::Silent {
            if let Some(state) = directory.incarnation_mut(&instance, life) {
                state.stats.record_failure(now);
            }
        }
        self.break_off(&key, directory);
        self.placement.note_move(reason);
        if let Some(item) = self.items.get_mut(&key) {
            if chance.weighed.is_some() {
                item.moved_from.push(instance.clone());
            }
            item.avoid = Some((instance, life));
            item.moves += u32::from(reason != MoveReason::Restarted);
        }
    }

    /// Takes note of the time since the last look over all runs.
    pub(super) fn note_look(&mut self, now: Time) {
        if now.since(self.watched_at) >= LATE_LOOK {
            self.paces_judged_from = now + LATE_LOOK_REST;
        }
        self.watched_at = now;
    }

    /// Looks again at the paces of each service, now and then: a fleet is large.
    fn refresh_paces(&mut self, now: Time, directory: &EngineDirectory) {
        if now < self.paces_at {
            return;
        }
        self.paces_at = now + PACES_EVERY;
        self.paces = placement::service_paces(now, directory);
    }

    fn median_at(&self, state: &EngineState) -> Option<f64> {
        let paces = self.paces.get(&state.record.service);
        paces.map(|paces| paces.median)
    }

    /// Why a run gets nowhere where it is.
    fn urgent_reason(
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
        let limit = match (run.last_event_at, self.median_at(state)) {
            (None, _) => FIRST_EVENT_LIMIT,
            (_, None) => SILENCE_MIN,
            (_, Some(pace)) => SILENCE_MIN.max(Duration((pace * SILENCE_FACTOR) as u64)),
        };
        (silence >= limit).then_some(MoveReason::Silent)
    }

    /// Why a run would get on better elsewhere, where there is room.
    fn chance_to_move(
        &self,
        now: Time,
        run: &Run,
        directory: &EngineDirectory,
        looks: &mut HashMap<Rc<str>, Candidates>,
    ) -> Option<Chance> {
        let item = self.items.get(&run.key)?;
        let state = directory.get(&run.instance)?;
        let may_move = item.moves < MAX_MOVES
            && !state.loading_models.contains(&item.spec.model)
            && now >= self.paces_judged_from;
        let slow = may_move && placement::is_slow(now, state, self.median_at(state));
        let paces = self.paces.get(&state.record.service).copied();
        let way = self.placement.way_for(paces);
        let is_priced = way.weighs_move_cost();
        let may_pay = may_move && (slow || run.events >= LEAST_RUN_EVENTS);
        let pays = is_priced && may_pay && self.could_pay(now, item, state);
        let long = !is_priced && may_pay && self.is_long(&run.key, item);
        let unpriced = !is_priced && (slow || long);
        if !(state.record.draining || pays || unpriced) {
            return None;
        }
        // What is moved has lost time: it goes where it ends first.
        let rest = self.placement.rest(item);
        let expected = TextForecast {
            mean_events: rest.mean_events,
            upper_events: rest.upper_events,
            us_until_job_end: 0.0,
        };
        let need = ItemRequirements {
            service: state.record.service.as_str(),
            model: &item.spec.model,
            min_version: item.spec.min_version,
            exact_version: item.exact_version(),
            cached_on: &[],
            avoid: Some(&run.instance),
            moved_from: &item.moved_from,
            expected: Some(expected).filter(|_| way.uses_expected_end()),
        };
        let find = || {
            let anywhere = ItemRequirements {
                exact_version: None,
                avoid: None,
                moved_from: &[],
                expected: None,
                ..need
            };
            Candidates::find(now, directory, &anywhere, paces)
        };
        let look = &*looks.entry(run.key.0.clone()).or_insert_with(find);
        let others = if state.record.draining {
            SlowEngines::Allowed
        } else {
            SlowEngines::Excluded
        };
        let chosen = look.choose(now, directory, &need, u32::MAX, others)?;
        if state.record.draining {
            return Some(Chance::unweighed(MoveReason::Draining));
        }
        let other = directory.get(&chosen)?;
        if is_priced {
            let reason = if slow {
                MoveReason::Slow
            } else {
                MoveReason::FasterFree
            };
            let median = self.median_at(state);
            let here = placement::estimated_pace(now, state, median);
            let there = placement::estimated_pace(now, other, median);
            let outcome = MoveEstimate::new(rest.mean_events, here, there);
            let weighed = Some(Weighed {
                remaining: rest.mean_events,
                here,
                there,
                outcome,
            });
            return outcome
                .is_worthwhile()
                .then_some(Chance { reason, weighed });
        }
        if slow {
            return Some(Chance::unweighed(MoveReason::Slow));
        }
        placement::is_faster(other, state).then_some(Chance::unweighed(MoveReason::FasterFree))
    }

    /// Whether a text may end after the others of its job, and a move could pay if the
    /// fastest engine that has room were empty. Spares weighing all engines for most runs.
    fn could_pay(&self, now: Time, item: &OpenItem, state: &EngineState) -> bool {
        let Some(paces) = self.paces.get(&state.record.service) else {
            return false;
        };
        let here = placement::estimated_pace(now, state, Some(paces.median));
        let there = Pace {
            us_per_event: paces.fastest_free,
            running: 0,
            slots: u32::MAX,
        };
        let expected = self.placement.expected(now, item, Some(*paces));
        expected.is_some_and(|expected| {
            expected.may_finish_last(here)
                && MoveEstimate::new(expected.mean_events, here, there).is_worthwhile()
        })
    }

    /// Whether a text has shown that it is long, or begins to as it was
    /// expected to.
    fn is_long(&self, key: &ItemKey, item: &OpenItem) -> bool {
        let events = item.text.events.len();
        events >= LONG_EVENTS
            || (events >= EXPECTED_LONG_EVENTS && self.is_expected_long(key, item))
    }
}
