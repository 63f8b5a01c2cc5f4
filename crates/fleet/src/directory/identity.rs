//! Which engine answers: everything that tells of an engine's life comes through here.

use peatgrade_ports::{AnswerHead, EngineRecord, EngineReport, Instance, StartedAt};
use peatgrade_types::Time;

use super::{EngineDirectory, EngineState};
use crate::incarnation::{
    Absence, Incarnation, Misdirection, PreviousIncarnation, StartComparison,
};

impl EngineState {
    /// Whether it was not found at its address and nothing goes there now.
    pub fn is_absent(&self, now: Time) -> bool {
        self.absence.is_some_and(|absence| absence.holds(now))
    }

    /// Whether nothing speaks against it now.
    pub fn is_healthy(&self, now: Time) -> bool {
        self.stats.is_healthy(now) && !self.is_absent(now)
    }
}

impl EngineDirectory {
    /// Engines that were found to have started again since this process began. A holder
    /// of requests looks for those of an ended life when it has risen.
    pub fn ended_incarnations(&self) -> u64 {
        self.lives_ended
    }

    /// Engines that were not found at their address and to which nothing goes now.
    pub fn absent_count(&self, now: Time) -> usize {
        self.tracked().filter(|s| s.is_absent(now)).count()
    }

    /// The present life of an engine.
    pub fn incarnation(&self, engine: &Instance) -> Option<Incarnation> {
        self.engines.get(engine).map(|state| state.incarnation)
    }

    /// Whether a life of an engine is known to be over. An engine whose entry is gone
    /// serves on for a while.
    pub fn has_ended(&self, engine: &Instance, life: Incarnation) -> bool {
        self.incarnation(engine).is_some_and(|known| known != life)
    }

    /// An engine, to take note of something that belongs to a life of it; none if that
    /// is over.
    pub fn incarnation_mut(
        &mut self,
        engine: &Instance,
        life: Incarnation,
    ) -> Option<&mut EngineState> {
        let state = self.get_mut(engine);
        state.filter(|state| state.incarnation == life)
    }

    /// A request goes to an engine. The life in which it begins; none if the engine is
    /// not known.
    pub fn begin_request(&mut self, now: Time, engine: &Instance) -> Option<Incarnation> {
        let state = self.get_mut(engine)?;
        state.stats.in_flight += 1;
        if let Some(absence) = &mut state.absence {
            absence.tried(now);
        }
        Some(state.incarnation)
    }

    /// A request that was begun in an earlier life goes on in the present one, whose news
    /// came later. That life; none if the engine is not known.
    pub fn adopt_request(&mut self, engine: &Instance) -> Option<Incarnation> {
        let state = self.get_mut(engine)?;
        state.stats.in_flight += 1;
        Some(state.incarnation)
    }

    /// A request is over. One of an earlier life does not count in the present one.
    pub fn end_request(&mut self, engine: &Instance, life: Incarnation) {
        if let Some(state) = self.incarnation_mut(engine, life) {
            state.stats.in_flight = state.stats.in_flight.saturating_sub(1);
        }
    }

    /// Takes the head of an answer to a request, a report or an order that named `engine`
    /// and was sent in `life`. `version` is what weights it demanded, if any.
    pub fn record_response_head(
        &mut self,
        now: Time,
        engine: &Instance,
        life: Incarnation,
        head: &AnswerHead,
        version: Option<u64>,
    ) -> Option<Misdirection> {
        let names_other = head.instance.as_ref().is_some_and(|told| told != engine);
        let meaning = match (head.misdirected, names_other, version) {
            (_, true, _) => Some(Misdirection::WrongEngine),
            (true, false, Some(_)) => Some(Misdirection::VersionMismatch),
            (true, false, None) => Some(Misdirection::WrongEngine),
            (false, false, _) => None,
        };
        let Some(state) = self.incarnation_mut(engine, life) else {
            return meaning;
        };
        if meaning != Some(Misdirection::WrongEngine) {
            state.absence = None;
            // Answers to orders and reports tell no load, and take back none.
            if let Some(load) = head.load {
                state.stats.load = Some((now, load));
            }
            return meaning;
        }
        if let Some(absence) = &mut state.absence {
            absence.again(now);
            return meaning;
        }
        log::info!(
            "belief=engine-not-there engine={engine} address={} told={:?} life={life}",
            state.record.address,
            head.instance
        );
        state.absence = Some(Absence::begin(now));
        if names_other {
            // Another engine has its address: it is gone, with all that it did.
            let record = state.record.clone();
            self.end_life(now, engine, record, "another-engine-answers");
            if let Some(state) = self.engines.get_mut(engine) {
                state.absence = Some(Absence::begin(now));
            }
        }
        meaning
    }

    /// Takes an engine's own report. One of a later life is the first news of it; one of
    /// an earlier life has been overtaken and says nothing.
    pub fn record_report(
        &mut self,
        now: Time,
        engine: &Instance,
        report: &EngineReport,
    ) -> StartComparison {
        let told = self.record_start(now, engine, report.started);
        if told != StartComparison::Earlier {
            for (model, version) in &report.models {
                self.record_version(engine, model, *version);
            }
        }
        told
    }

    /// Takes when an engine started, as it says itself or another machine has heard.
    pub fn record_start(
        &mut self,
        now: Time,
        engine: &Instance,
        started: Option<StartedAt>,
    ) -> StartComparison {
        let Some(state) = self.engines.get_mut(engine) else {
            return StartComparison::Same;
        };
        let told = StartComparison::compare(state.record.started, started);
        match told {
            StartComparison::Earlier => {}
            StartComparison::Same => state.record.started = state.record.started.or(started),
            StartComparison::Later => {
                // Its entry still tells of the life before; whether it may be used at all
                // (service, address, leaving) is for the entry to say.
                let record = EngineRecord {
                    started,
                    models: state.record.models.keys().map(|m| (m.clone(), 0)).collect(),
                    ..state.record.clone()
                };
                self.end_life(now, engine, record, "later-start");
            }
        }
        told
    }

    /// A life of an engine is over: nothing that was believed of it holds for the next,
    /// of which only `record` is known.
    pub(super) fn end_life(
        &mut self,
        now: Time,
        engine: &Instance,
        record: EngineRecord,
        reason: &str,
    ) {
        let incarnation = self.next_incarnation();
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        self.lives_ended += 1;
        self.changes += 1;
        log::info!(
            "belief=engine-life-ended engine={engine} reason={reason} started={:?} before={:?} life={incarnation} running={} list_age_ms={}",
            record.started,
            state.record.started,
            state.stats.in_flight,
            now.since(self.confirmed_at).as_millis()
        );
        let ended = PreviousIncarnation {
            started: state.record.started,
            left: state.record.draining,
        };
        self.index.put(&record, Some(&state.record.service));
        *state = EngineState {
            record,
            incarnation,
            previous: Some(ended),
            ..EngineState::default()
        };
        if ended.left {
            self.quarantine.record_engine_shutdown(engine);
        } else {
            self.quarantine
                .record_engine_crash(now, engine, ended.started);
        }
    }

    pub(super) fn next_incarnation(&mut self) -> Incarnation {
        self.lives += 1;
        Incarnation(self.lives)
    }
}
