//! Detection of engine restarts: all information on incarnations is processed here.

use peatgrade_ports::{EngineRecord, EngineReport, EngineResponseHead, Instance, StartedAt};
use peatgrade_types::Time;

use super::{EngineDirectory, EngineState};
use crate::incarnation::{
    Absence, Incarnation, Misdirection, PreviousIncarnation, StartComparison,
};

impl EngineState {
    /// Whether it was not found at its address and requests must not be sent there now.
    pub fn is_absent(&self, now: Time) -> bool {
        self.absence.is_some_and(|absence| absence.is_paused(now))
    }

    /// Whether it is reachable and not backing off.
    pub fn is_healthy(&self, now: Time) -> bool {
        self.stats.is_healthy(now) && !self.is_absent(now)
    }
}

impl EngineDirectory {
    /// Number of incarnations that have ended since this process started. When it increases,
    /// owners of requests check for those sent to an ended incarnation.
    pub fn ended_incarnations(&self) -> u64 {
        self.ended_count
    }

    /// Number of engines to which no requests are sent because they were not found at their
    /// address.
    pub fn absent_count(&self, now: Time) -> usize {
        self.tracked().filter(|s| s.is_absent(now)).count()
    }

    /// The current incarnation of an engine.
    pub fn incarnation(&self, engine: &Instance) -> Option<Incarnation> {
        self.engines.get(engine).map(|state| state.incarnation)
    }

    /// Whether an incarnation of an engine is known to have ended. An unlisted engine is not:
    /// it may go on serving for a while.
    pub fn has_ended(&self, engine: &Instance, incarnation: Incarnation) -> bool {
        self.incarnation(engine)
            .is_some_and(|current| current != incarnation)
    }

    /// An engine to be updated with information on one incarnation; `None` if that has ended.
    pub fn incarnation_mut(
        &mut self,
        engine: &Instance,
        incarnation: Incarnation,
    ) -> Option<&mut EngineState> {
        let state = self.get_mut(engine);
        state.filter(|state| state.incarnation == incarnation)
    }

    /// Records that a request is sent to an engine. Returns the engine's incarnation; `None` if
    /// the engine is not known.
    pub fn begin_request(&mut self, now: Time, engine: &Instance) -> Option<Incarnation> {
        let state = self.get_mut(engine)?;
        state.stats.in_flight += 1;
        if let Some(absence) = &mut state.absence {
            absence.begin_probe(now);
        }
        Some(state.incarnation)
    }

    /// Moves a request to the current incarnation, which had received it before its start was
    /// known here. Returns that incarnation; `None` if the engine is not known.
    pub fn adopt_request(&mut self, engine: &Instance) -> Option<Incarnation> {
        let state = self.get_mut(engine)?;
        state.stats.in_flight += 1;
        Some(state.incarnation)
    }

    /// Records the end of a request, unless its incarnation has ended.
    pub fn end_request(&mut self, engine: &Instance, incarnation: Incarnation) {
        if let Some(state) = self.incarnation_mut(engine, incarnation) {
            state.stats.in_flight = state.stats.in_flight.saturating_sub(1);
        }
    }

    /// Handles the head of the response to a request, report request or order that was sent to
    /// an incarnation of `engine`. `version` is the weight version that the request required, if
    /// any.
    pub fn record_response_head(
        &mut self,
        now: Time,
        engine: &Instance,
        incarnation: Incarnation,
        head: &EngineResponseHead,
        version: Option<u64>,
    ) -> Option<Misdirection> {
        let is_other_instance = head
            .instance
            .as_ref()
            .is_some_and(|reported| reported != engine);
        let misdirection = match (head.is_misdirected(), is_other_instance, version) {
            (_, true, _) => Some(Misdirection::WrongEngine),
            (true, false, Some(_)) => Some(Misdirection::VersionMismatch),
            (true, false, None) => Some(Misdirection::WrongEngine),
            (false, false, _) => None,
        };
        let Some(state) = self.incarnation_mut(engine, incarnation) else {
            return misdirection;
        };
        if misdirection != Some(Misdirection::WrongEngine) {
            state.absence = None;
            // Responses to orders and report requests contain no load.
            if let Some(load) = head.load {
                state.stats.load = Some((now, load));
            }
            return misdirection;
        }
        if let Some(absence) = &mut state.absence {
            absence.record_miss(now);
            return misdirection;
        }
        log::info!(
            "belief=engine-not-there engine={engine} address={} told={:?} life={incarnation}",
            state.record.address,
            head.instance
        );
        state.absence = Some(Absence::begin(now));
        if is_other_instance {
            // Another engine has its address, so this incarnation has ended.
            let record = state.record.clone();
            self.end_incarnation(now, engine, record, "another-engine-answers");
            if let Some(state) = self.engines.get_mut(engine) {
                state.absence = Some(Absence::begin(now));
            }
        }
        misdirection
    }

    /// Handles an engine's report. A report of a later incarnation ends the known one; a report
    /// of an earlier incarnation is ignored.
    pub fn record_report(
        &mut self,
        now: Time,
        engine: &Instance,
        report: &EngineReport,
    ) -> StartComparison {
        let comparison = self.record_start(now, engine, report.started);
        if comparison != StartComparison::Earlier {
            for (model, version) in &report.models {
                self.record_version(engine, model, *version);
            }
        }
        comparison
    }

    /// Handles a start time reported by the engine itself or by another node.
    pub fn record_start(
        &mut self,
        now: Time,
        engine: &Instance,
        started: Option<StartedAt>,
    ) -> StartComparison {
        let Some(state) = self.engines.get_mut(engine) else {
            return StartComparison::Same;
        };
        let comparison = StartComparison::compare(state.record.started, started);
        match comparison {
            StartComparison::Earlier => {}
            StartComparison::Same => state.record.started = state.record.started.or(started),
            StartComparison::Later => {
                // Service, address and draining are kept until the list has an entry of the
                // new incarnation; its versions are not known yet.
                let record = EngineRecord {
                    started,
                    models: state.record.models.keys().map(|m| (m.clone(), 0)).collect(),
                    ..state.record.clone()
                };
                self.end_incarnation(now, engine, record, "later-start");
            }
        }
        comparison
    }

    /// Ends the incarnation of an engine and resets its state. Of the next incarnation, only
    /// `record` is known.
    pub(super) fn end_incarnation(
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
        self.ended_count += 1;
        self.changes += 1;
        log::info!(
            "belief=engine-life-ended engine={engine} reason={reason} started={:?} before={:?} life={incarnation} running={} list_age_ms={}",
            record.started,
            state.record.started,
            state.stats.in_flight,
            now.since(self.confirmed_at).as_millis()
        );
        let previous = PreviousIncarnation {
            started: state.record.started,
            was_draining: state.record.draining,
        };
        self.service_index.put(&record, Some(&state.record.service));
        *state = EngineState {
            record,
            incarnation,
            previous: Some(previous),
            ..EngineState::default()
        };
        if previous.was_draining {
            self.quarantine.record_engine_shutdown(engine);
        } else {
            self.quarantine
                .record_engine_crash(now, engine, previous.started);
        }
    }

    pub(super) fn next_incarnation(&mut self) -> Incarnation {
        self.last_incarnation += 1;
        Incarnation(self.last_incarnation)
    }
}
