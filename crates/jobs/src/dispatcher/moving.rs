//! Runs that get nowhere, or would get on faster elsewhere.

use peatgrade_fleet::{EngineDirectory, EngineState};
use peatgrade_types::{Duration, Time};
use std::collections::HashMap;
use std::rc::Rc;

use super::Dispatcher;
use crate::item::{ItemKey, OpenItem};
use crate::placement::{self, Candidates, Need, SlowEngines};
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
const MEDIANS_EVERY: Duration = Duration::from_millis(50);
/// Events after which a text is likely to go on for long.
const LONG_EVENTS: usize = 20;
/// Events after which one that was expected to be long is worth a move.
const EXPECTED_LONG_EVENTS: usize = 6;
/// Events of a run before it is moved to a faster engine: a move costs about one.
const LEAST_RUN_EVENTS: u32 = 4;

/// Why a run is moved to another engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum MoveReason {
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

impl Dispatcher {
    /// Moves runs away from engines that are silent, slow, gone or leaving.
    pub(super) fn watch_runs(&mut self, now: Time, directory: &mut EngineDirectory) {
        let mut moves = Vec::new();
        let mut chances = Vec::new();
        let mut looks: HashMap<Rc<str>, Candidates> = HashMap::new();
        let mut weighed = 0;
        self.refresh_medians(now, directory);
        let seek_chances = now >= self.chances_at;
        if seek_chances {
            self.chances_at = now + Duration(CHANCES_PER_RUN.0 * self.runs.len() as u64);
        }
        for (id, run) in &self.runs {
            if let Some(reason) = self.urgent_reason(now, run, directory) {
                moves.push((*id, reason));
            } else if seek_chances {
                let reason = self.chance_to_move(now, run, directory, &mut looks);
                weighed += looks.values().map(Candidates::len).max().unwrap_or(0);
                chances.extend(reason.map(|reason| (run.events, *id, reason)));
            }
        }
        self.weighed += weighed as u64;
        // A few at a time, since each takes a place that the others saw free; the
        // longest texts first.
        chances.sort_by_key(|(events, id, _)| std::cmp::Reverse((*events, *id)));
        let most = 1 + self.runs.len() / RUNS_PER_CHANCE;
        let chosen = chances.into_iter().take(most);
        moves.extend(chosen.map(|(_, id, reason)| (id, reason)));
        moves.sort_by_key(|(id, _)| *id);
        for (id, reason) in moves {
            let Some(run) = self.runs.get(&id) else {
                continue;
            };
            let (key, instance, life) = (run.key.clone(), run.instance.clone(), run.life);
            log::info!(
                "decision=move item={} job={} engine={instance} reason={reason:?} events={}",
                self.items[&key].item().id,
                key.0,
                run.events
            );
            if reason == MoveReason::Silent {
                if let Some(state) = directory.life_mut(&instance, life) {
                    state.experience.failed(now);
                }
            }
            self.break_off(&key, directory);
            // The engine's new life has done nothing to be avoided for.
            let item = self.items.get_mut(&key);
            if let Some(item) = item.filter(|_| reason != MoveReason::Restarted) {
                item.avoid = Some(instance);
                item.moves += 1;
            }
        }
    }

    /// Takes note of the time since the last look over all runs.
    pub(super) fn note_look(&mut self, now: Time) {
        if now.since(self.watched_at) >= LATE_LOOK {
            self.paces_judged_from = now + LATE_LOOK_REST;
        }
        self.watched_at = now;
    }

    /// Looks again at the pace of each service, now and then: a fleet is large.
    fn refresh_medians(&mut self, now: Time, directory: &EngineDirectory) {
        if now < self.medians_at {
            return;
        }
        self.medians_at = now + MEDIANS_EVERY;
        self.medians = placement::median_paces(now, directory);
    }

    fn median_at(&self, state: &EngineState) -> Option<f64> {
        self.medians.get(&state.record.service).copied()
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
        if state.incarnation != run.life {
            return Some(MoveReason::Restarted);
        }
        if state.loading.contains(&item.spec.model) {
            return None;
        }
        let silence = now.since(run.last.unwrap_or(run.started));
        let limit = match (run.last, self.median_at(state)) {
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
    ) -> Option<MoveReason> {
        let item = self.items.get(&run.key)?;
        let state = directory.get(&run.instance)?;
        let may_move = item.moves < MAX_MOVES
            && !state.loading.contains(&item.spec.model)
            && now >= self.paces_judged_from;
        let slow = may_move && placement::is_slow(now, state, self.median_at(state));
        let long = may_move && run.events >= LEAST_RUN_EVENTS && self.is_long(&run.key, item);
        if !(state.record.draining || slow || long) {
            return None;
        }
        let need = Need {
            service: state.record.service.as_str(),
            model: &item.spec.model,
            min_version: item.spec.min_version,
            exact: item.exact_version(),
            companions: &[],
            avoid: Some(&run.instance),
        };
        let find = || {
            let anywhere = Need {
                exact: None,
                avoid: None,
                ..need
            };
            Candidates::find(now, directory, &anywhere)
        };
        let look = &*looks.entry(run.key.0.clone()).or_insert_with(find);
        let others = if state.record.draining {
            SlowEngines::Allowed
        } else {
            SlowEngines::LeftOut
        };
        let chosen = look.choose(now, directory, &need, u32::MAX, others)?;
        if state.record.draining {
            return Some(MoveReason::Draining);
        }
        if slow {
            return Some(MoveReason::Slow);
        }
        let other = directory.get(&chosen)?;
        placement::is_faster(other, state).then_some(MoveReason::FasterFree)
    }

    /// Whether a text has shown that it is long, or begins to as it was
    /// expected to.
    fn is_long(&self, key: &ItemKey, item: &OpenItem) -> bool {
        let events = item.text.events.len();
        events >= LONG_EVENTS
            || (events >= EXPECTED_LONG_EVENTS && self.is_expected_long(key, item))
    }
}
