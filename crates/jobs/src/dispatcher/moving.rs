//! Runs that get nowhere, or would get on faster elsewhere.

use peatgrade_fleet::EngineDirectory;
use peatgrade_types::{Duration, Time};
use std::collections::HashMap;
use std::rc::Rc;

use super::Dispatcher;
use crate::placement::{self, Candidates, Need, SLOW_FACTOR};
use crate::streams::Run;

/// Silence before the first event after which a run is moved.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(900);
/// Least silence between events after which a run is moved.
const SILENCE_MIN: Duration = Duration::from_millis(450);
/// Silence as a multiple of the usual pace after which a run is moved.
const SILENCE_FACTOR: f64 = 8.0;
/// Moves of one item away from slow engines.
const MAX_MOVES: u32 = 4;
/// Events of one run after which its text is likely to go on for long.
const LONG_EVENTS: u32 = 20;
/// Events after which an engine's pace is believed.
const PACE_EVENTS: u32 = 3;

/// Why a run is moved to another engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum MoveReason {
    /// The engine is not in the list any more.
    Gone,
    /// The engine leaves.
    Draining,
    /// Nothing comes from it.
    Silent,
    /// It is far slower than others.
    Slow,
    /// A faster one has room.
    FasterFree,
}

impl MoveReason {
    /// Whether the run gets nowhere where it is.
    fn is_urgent(self) -> bool {
        matches!(self, MoveReason::Gone | MoveReason::Silent)
    }
}

impl Dispatcher {
    /// Moves runs away from engines that are silent, slow, gone or leaving.
    pub(super) fn watch_runs(&mut self, now: Time, directory: &mut EngineDirectory) {
        let mut moves = Vec::new();
        let mut chances = Vec::new();
        let mut looks: HashMap<Rc<str>, Candidates> = HashMap::new();
        for (id, run) in &self.runs {
            match self.reason_to_move(now, run, directory, &mut looks) {
                Some(reason) if reason.is_urgent() => moves.push((*id, reason)),
                Some(reason) => chances.push((run.events, *id, reason)),
                None => {}
            }
        }
        // One at a time, since each takes a place that the others saw free; the
        // longest text first.
        let chance = chances
            .into_iter()
            .max_by_key(|(events, id, _)| (*events, *id));
        moves.extend(chance.map(|(_, id, reason)| (id, reason)));
        moves.sort_by_key(|(id, _)| *id);
        for (id, reason) in moves {
            let Some(run) = self.runs.get(&id) else {
                continue;
            };
            let (key, instance) = (run.key.clone(), run.instance.clone());
            log::info!(
                "decision=move item={} job={} engine={instance} reason={reason:?} events={}",
                self.items[&key].item().id,
                key.0,
                run.events
            );
            if reason == MoveReason::Silent {
                if let Some(state) = directory.get_mut(&instance) {
                    state.experience.failed(now);
                }
            }
            self.break_off(&key, directory);
            if let Some(item) = self.items.get_mut(&key) {
                item.avoid = Some(instance);
                item.moves += 1;
            }
        }
    }

    fn reason_to_move(
        &self,
        now: Time,
        run: &Run,
        directory: &EngineDirectory,
        looks: &mut HashMap<Rc<str>, Candidates>,
    ) -> Option<MoveReason> {
        let item = self.items.get(&run.key)?;
        let Some(state) = directory.get(&run.instance) else {
            return Some(MoveReason::Gone);
        };
        let model = &item.spec.model;
        let service = state.record.service.as_str();
        let need = Need {
            service,
            model,
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
        let room = || look.choose(now, directory, &need, u32::MAX).is_some();
        if state.record.draining && room() {
            return Some(MoveReason::Draining);
        }
        if state.loading.iter().any(|loading| loading == model) {
            return None;
        }
        let median = look.median;
        let silence = now.since(run.last.unwrap_or(run.started));
        let limit = match (run.last, median) {
            (None, _) => FIRST_EVENT_LIMIT,
            (_, None) => SILENCE_MIN,
            (_, Some(pace)) => SILENCE_MIN.max(Duration((pace * SILENCE_FACTOR) as u64)),
        };
        if silence >= limit {
            return Some(MoveReason::Silent);
        }
        let known = run.events >= PACE_EVENTS && item.moves < MAX_MOVES;
        if !known {
            return None;
        }
        let slow = placement::relative_pace(state, median) >= SLOW_FACTOR;
        if slow && room() {
            return Some(MoveReason::Slow);
        }
        let long = run.events >= LONG_EVENTS;
        let faster = || look.has_faster(now, directory, &need, state);
        (long && faster()).then_some(MoveReason::FasterFree)
    }
}
