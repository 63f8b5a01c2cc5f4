//! Handling of engine responses.

use peatgrade_fleet::EngineDirectory;
use peatgrade_ports::{Configuration, EngineResponseHead};
use peatgrade_quarantine::is_harmless;
use peatgrade_types::{Duration, Time};

use super::{DispatchAction, Dispatcher, RunId, RunPart};
use crate::item::ItemKey;
use crate::streams::receive_bytes;

/// Delay before a refused item, or the engine that refused it, is tried again.
const REFUSED_BACKOFF: Duration = Duration::from_millis(60);
/// Delay before a failed item is tried again.
const FAILED_BACKOFF: Duration = Duration::from_millis(30);
/// Number of consecutive runs without events after which a text is considered complete.
const MIN_EMPTY_RUNS: u32 = 2;

impl Dispatcher {
    /// Handles a part of an engine's response.
    pub fn on_part(
        &mut self,
        now: Time,
        id: RunId,
        part: RunPart,
        configuration: &Configuration,
        directory: &mut EngineDirectory,
    ) {
        match part {
            RunPart::Head(head) => self.on_head(now, id, head, directory),
            RunPart::Data(bytes) => self.on_data(now, id, &bytes, directory),
            RunPart::End => self.on_end(now, id, configuration, directory),
            RunPart::Failed(reason) => self.fail_run(now, id, &reason, directory),
        }
    }

    fn on_head(
        &mut self,
        now: Time,
        id: RunId,
        head: EngineResponseHead,
        directory: &mut EngineDirectory,
    ) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        let Some(item) = self.items.get(&run.key) else {
            return;
        };
        let is_mismatched = head
            .id
            .as_ref()
            .is_some_and(|response_id| *response_id != item.item().id);
        if !is_mismatched {
            directory.record_response_head(
                now,
                &run.instance,
                run.incarnation,
                &head,
                run.exact_version,
            );
        }
        if let Some(version) = head.version {
            run.version = version;
            if !directory.has_ended(&run.instance, run.incarnation) {
                directory.record_version(&run.instance, &item.spec.model, version);
            }
        }
        if head.status == 200 {
            self.placement
                .record_prompt(now, item, &run.instance, run.version);
        }
        run.head = Some(head);
        if is_mismatched {
            self.fail_run(
                now,
                id,
                "response carries the id of another request",
                directory,
            );
        }
    }

    fn on_data(&mut self, now: Time, id: RunId, bytes: &[u8], directory: &mut EngineDirectory) {
        let Some(run) = self.runs.get_mut(&id) else {
            return;
        };
        if run.head.as_ref().is_none_or(|head| head.status != 200) {
            return;
        }
        let Some(item) = self.items.get_mut(&run.key) else {
            return;
        };
        let added = receive_bytes(run, item, bytes);
        match added {
            Ok(0) => {}
            Ok(count) => {
                item.empty_runs = 0;
                if let (Some(last), Some(state)) = (
                    run.last_event_at,
                    directory.incarnation_mut(&run.instance, run.incarnation),
                ) {
                    if state.loading_models.is_empty() {
                        let span = now.since(last);
                        state.stats.record_events(now, span, count as u32);
                    }
                }
                run.last_event_at = Some(now);
                run.first_event_at = run.first_event_at.or(run.last_event_at);
                if !run.is_cleared && is_harmless(now, run.first_event_at) {
                    run.is_cleared = true;
                    if !directory.quarantine.is_empty() {
                        directory
                            .quarantine
                            .record_completed_run(now, item.fingerprint());
                    }
                }
            }
            Err(error) => {
                let reason = error.to_string();
                let is_engine_fault = error.is_engine_fault();
                self.abort_run(now, id, &reason, is_engine_fault, directory);
            }
        }
    }

    fn on_end(
        &mut self,
        now: Time,
        id: RunId,
        configuration: &Configuration,
        directory: &mut EngineDirectory,
    ) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let head = run.head.clone().unwrap_or_default();
        let key = run.key.clone();
        if head.status == 200 {
            if run.reader.has_partial_event()
                || (run.events == 0 && !self.confirms_completion(&key))
            {
                return self.fail_run(
                    now,
                    id,
                    "response ended inside an event or without any event",
                    directory,
                );
            }
            return self.complete_run(now, id, directory);
        }
        let Some(run) = self.remove_run(id, directory) else {
            return;
        };
        let Some(item) = self.items.get_mut(&key) else {
            return;
        };
        item.end_run(now);
        item.avoid = Some((run.instance.clone(), run.incarnation));
        self.requeued.push(key.clone());
        log::info!(
            "decision=retry item={} job={} engine={} status={} not_run={} failures={}",
            item.item().id,
            key.0,
            run.instance,
            head.status,
            head.is_refusal(),
            item.failures.runs
        );
        if head.is_refusal() {
            item.not_before = now + REFUSED_BACKOFF;
            if directory
                .get(&run.instance)
                .is_some_and(|state| state.is_absent(now))
            {
                // No run is sent to an absent engine, so the item need not wait.
                item.not_before = now;
            }
            if let Some(state) = directory.incarnation_mut(&run.instance, run.incarnation) {
                state.stats.record_rejection(now, REFUSED_BACKOFF);
            }
            return;
        }
        item.not_before = now + FAILED_BACKOFF;
        match head.status {
            422 => self.give_up(now, &key, "can-never-be-done", configuration),
            500 => {
                item.failures.runs += 1;
                self.give_up_if_ineligible(now, &key, configuration, directory);
            }
            _ => {
                if let Some(state) = directory.incarnation_mut(&run.instance, run.incarnation) {
                    state.stats.record_failure(now);
                }
            }
        }
    }

    /// Whether a run without events confirms that the text was already complete. The previous run
    /// may have lost the end of its response. A single empty response may be faulty, so several
    /// are required.
    fn confirms_completion(&mut self, key: &ItemKey) -> bool {
        let Some(item) = self.items.get_mut(key) else {
            return false;
        };
        item.empty_runs += 1;
        !item.text.events.is_empty() && item.empty_runs >= MIN_EMPTY_RUNS
    }

    fn complete_run(&mut self, now: Time, id: RunId, directory: &mut EngineDirectory) {
        let Some(run) = self.remove_run(id, directory) else {
            return;
        };
        if let Some(state) = directory.incarnation_mut(&run.instance, run.incarnation) {
            state.stats.record_response(now, now.since(run.started_at));
        }
        let Some(item) = self.items.get_mut(&run.key) else {
            return;
        };
        item.end_run(now);
        item.text.complete = true;
        let (hint, events) = (item.item().length_hint, item.text.events.len());
        self.lengths.record(&item.spec.model, hint, events);
        self.placement.record_length(item);
        self.placement
            .record_prompt(now, item, &run.instance, run.version);
        log::info!(
            "decision=complete item={} job={} engine={} events={} versions={:?} runs={} hint={} age_ms={} run_ms={} run_events={} told_slowdown={:?}",
            item.item().id,
            run.key.0,
            run.instance,
            item.text.events.len(),
            item.text.versions(),
            item.runs,
            item.item().length_hint,
            now.since(item.known_since).as_millis(),
            now.since(run.started_at).as_millis(),
            run.events,
            run.head.as_ref().and_then(|head| head.load?.slowdown_percent)
        );
        self.on_text_complete(now, &run.key);
    }

    fn fail_run(&mut self, now: Time, id: RunId, reason: &str, directory: &mut EngineDirectory) {
        self.abort_run(now, id, reason, true, directory);
    }

    /// Aborts a run; the item resumes on another engine after its last event.
    fn abort_run(
        &mut self,
        now: Time,
        id: RunId,
        reason: &str,
        is_engine_fault: bool,
        directory: &mut EngineDirectory,
    ) {
        self.actions.push(DispatchAction::Cancel(id));
        let Some(run) = self.remove_run(id, directory) else {
            return;
        };
        if let Some(state) = directory
            .incarnation_mut(&run.instance, run.incarnation)
            .filter(|_| is_engine_fault)
        {
            state.stats.record_failure(now);
        }
        let Some(item) = self.items.get_mut(&run.key) else {
            return;
        };
        log::info!(
            "decision=resume item={} job={} engine={} reason={reason} events={} runs={} run_ms={} fingerprint={}",
            item.item().id,
            run.key.0,
            run.instance,
            item.text.events.len(),
            item.runs,
            now.since(run.started_at).as_millis(),
            item.fingerprint()
        );
        item.end_run(now);
        item.avoid = Some((run.instance, run.incarnation));
        item.not_before = now + FAILED_BACKOFF;
        self.requeued.push(run.key);
    }
}
