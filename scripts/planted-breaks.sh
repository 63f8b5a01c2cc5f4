#!/usr/bin/env bash
# Plants one break after another into a scratch copy and runs the tests that
# should notice it. Prints a line for each; ends with 1 if one goes unnoticed.
# ONLY=PATTERN plants those whose name matches.
# Planted libraries stay in the target folder, and cargo takes them for those of this
# checkout: the sources are touched at the end, so that it builds them again.
set -euo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
copy=${1:-$(mktemp -d)}
git -C "$top" worktree add --detach --force "$copy" HEAD >/dev/null
finish() {
    git -C "$top" worktree remove --force "$copy"
    find "$top/crates" "$top/platform" -name '*.rs' -exec touch {} +
}
trap finish EXIT
export CARGO_TARGET_DIR="${CARGO_TARGET_DIR:-$top/target}"
unnoticed=0

# name | file | what to replace | by what | package | tests
plant() {
    local name=$1 file=$2 from=$3 to=$4 package=$5 tests=$6
    [[ $name =~ ${ONLY:-} ]] || return 0
    if ! FROM="$from" TO="$to" perl -0777 -i -pe \
        'BEGIN{$n=0} $n+=s/\Q$ENV{FROM}\E/$ENV{TO}/; END{exit($n?0:1)}' "$copy/$file"; then
        echo "$name: NOT PLANTED, $file has changed"
        unnoticed=1
        return
    fi
    local log="$copy/planted.log"
    if (cd "$copy" && cargo test -q -p "$package" "$tests" >"$log" 2>&1); then
        echo "$name: UNNOTICED"
        unnoticed=1
    elif grep -q '^error\[' "$log"; then
        echo "$name: DOES NOT BUILD"
        unnoticed=1
    else
        echo "$name: noticed by $(grep -c '\.\.\. FAILED\|^    [a-z_:0-9]*$' "$log") lines of failed tests"
    fi
    git -C "$copy" checkout -q -- "$file"
}

R=crates/replication/src
J=crates/jobs/src
plant "acknowledged before the sync" $R/replicate.rs "return self.persisted_index;" \
    "return self.log.last_index();" peatgrade-replication ""
plant "answered without a lease" $R/replica.rs \
    "&& lease::is_valid(
                now,
                self.lease_start(now),
                self.settings.timing.lease_duration,
            )" "" \
    peatgrade-replication ""
plant "answered before all earlier entries are applied" $R/replica.rs \
    "&& self.log.term(self.applied_index) == Some(self.term)" "" \
    peatgrade-replication a_leader_serves_only
plant "an emptied disk still counts as a copy" $R/membership_planner.rs \
    "machine.is_some_and(|m| m.member.replica != member.replica)" "false && machine.is_some()" \
    peatgrade-replication ""
plant "three copies where two may be lost" $R/membership_planner.rs "2 * losses.max(1) + 1" "3 + 0 * losses" \
    peatgrade-replication two_wiped
plant "released entries are sent without content" $R/log_store.rs \
    "reader.read(index).map(Rc::new)" \
    "reader.read(index).map(|mut e| { e.command.clear(); Rc::new(e) })" \
    peatgrade-replication evicted_entries
plant "a position is written twice" $J/store.rs \
    "item >= job.spec.items.len() || job.positions.contains_key(&item)" \
    "item >= job.spec.items.len()" peatgrade-jobs ""
plant "an event stands twice after a resume" $J/dispatcher/starting.rs \
    "last_event: item.text.last_event," "last_event: None," peatgrade-jobs ""
plant "events without a gap check" $J/streams.rs "Some(last) => event.id == last + 1," \
    "Some(_) => true," peatgrade-jobs invalid_bytes
plant "weights older than allowed" $J/streams.rs "if run.version < min_version {" "if false && run.version < min_version {" \
    peatgrade-jobs invalid_bytes
plant "two versions in a text of one" $J/streams.rs "filter(|first| *first != run.version)" \
    "filter(|_| false)" peatgrade-jobs single_version
plant "an order without the expected count" crates/fleet/src/coordinator/mod.rs \
    "expected: Some(progress.orders)," "expected: None," peatgrade-fleet ""
plant "orders within another holder's lease" crates/fleet/src/coordinator/mod.rs \
    "Phase::Idle if self.not_before.get(&instance).is_some_and(|at| now < *at) => {}" "" \
    peatgrade-fleet ""
plant "a configuration taken backwards" crates/gateway/src/gateway.rs \
    "if configuration.version <= current {" "if configuration.version == current {" peatgrade-gateway ""
plant "a promise while another copy may arrive" crates/gateway/src/relay/mod.rs \
    "let is_last_copy = pending.unanswered_copies <= 1;" "let is_last_copy = true;" peatgrade-gateway copy
plant "a lost watch goes on from where it was" crates/server/src/watcher.rs \
    "                revision = None;
                // Jitter" "                // Jitter" peatgrade-platform relists_after_a_lost_watch
plant "a refusal goes back one entry at a time" $R/replicate.rs \
    "response.match_index = self.commit_index;" \
    "response.match_index = request.previous_index.saturating_sub(1).min(self.log.last_index());" \
    peatgrade-replication uncommitted_entries_of
plant "a vote only for who has all" $R/membership_planner.rs "MAX_CAUGHT_UP_LAG_ENTRIES: u64 = 1_024" \
    "MAX_CAUGHT_UP_LAG_ENTRIES: u64 = 0" peatgrade-replication a_learner_with_constant_lag
plant "loads hold no place beyond what was expected" crates/fleet/src/coordinator/progress.rs \
    "load.exceeds(load_time) || " "" peatgrade-fleet loads_that
plant "the time of a load only rises" crates/fleet/src/coordinator/progress.rs \
    "let decreased = expected.0 * DECREASE_NUMERATOR / DECREASE_DENOMINATOR;" \
    "let decreased = expected.0;" peatgrade-fleet one_slow
plant "slow engines count as any other" $J/placement/mod.rs \
    "slow == SlowEngines::Allowed || !is_slow(now, state, self.median())" \
    "slow == SlowEngines::Allowed || state.record.slots > 0" peatgrade-jobs items_go
plant "a move need not pay" $J/placement/expected_end.rs "self.gain_us >= self.cost_us * MIN_GAIN_RATIO" \
    "self.gain_us >= 0.0" peatgrade-jobs move_must
plant "a run moves back" $J/dispatcher/migration.rs "item.moved_from.push(instance.clone());" "" \
    peatgrade-jobs does_not_move_back
plant "what has come of a text is left out" $J/placement/length.rs \
    "(length - produced as f64, *weight)" "(*length, *weight)" peatgrade-jobs produced_events
plant "prompts outlive their weights" $J/dispatcher/placement_state.rs \
    "if has_same_version && !holders.contains(engine)" "if !holders.contains(engine) || !has_same_version" \
    peatgrade-jobs resubmitted_group
plant "lengths of models are not bounded" $J/placement/length.rs \
    "if self.models.len() >= MAX_MODELS" "if self.models.len() >= 1_000_000" \
    peatgrade-jobs models_are_bounded
plant "short texts take fast places" $J/placement/choice.rs \
    "spares_fast_slot = is_in_time && !is_scarce" "spares_fast_slot = is_in_time" \
    peatgrade-jobs fast_slots
plant "each leader counts failures anew" $J/dispatcher/opening.rs \
    "open.failures = job.failures.get(&index).copied().unwrap_or_default();" "" peatgrade-jobs failures_of
plant "a connection for one request is kept" crates/runtime/src/http_client.rs \
    "let is_poolable = sent_whole && !self.options.new_connection;" "let is_poolable = sent_whole;" \
    peatgrade-runtime new_connections_are
plant "a gateway that leaves takes requests" crates/gateway/src/gateway.rs \
    "if self.draining && !matches" "if false && !matches" peatgrade-gateway a_draining_gateway
plant "a silent store is waited for" crates/server/src/listing.rs \
    "monoio::time::timeout(self.page_timeout, first_reply" \
    "monoio::time::timeout(CALL_TIMEOUT, first_reply" \
    peatgrade-platform a_silent
plant "a text is scored before its end has come" $J/dispatcher/mod.rs \
    "        self.start_reward_calls(now, configuration, directory);" \
    "        let begun = self.items.iter().filter(|(_, item)| !item.text.events.is_empty());
        let begun: Vec<ItemKey> = begun.map(|(key, _)| key.clone()).collect();
        for key in begun {
            self.on_text_complete(now, &key);
        }
        self.start_reward_calls(now, configuration, directory);" peatgrade-jobs scoring
plant "a score of another reward call is kept" $J/dispatcher/opening.rs \
    "reward_call.is_none() || reward_call == scored_by" \
    "reward_call.is_none() || scored_by.is_some()" peatgrade-jobs scoring
plant "a whole text is not in the log" $J/dispatcher/records.rs \
    "whole: item.text.complete && !item.restarted," "whole: false," peatgrade-jobs scoring
plant "a reward call that fails is tried for ever" $J/dispatcher/scoring.rs \
    "item.failures.reward_calls >= route.max_attempts" \
    "item.failures.reward_calls > 1_000 * route.max_attempts" peatgrade-jobs scoring
plant "reward calls outlive their job" $J/dispatcher/mod.rs \
    "            self.cancel_scoring(&key);
            if let Some(item)" "            if let Some(item)" peatgrade-jobs scoring
plant "reward calls take all slots" $J/dispatcher/scoring.rs "SLOTS_DIVISOR: u32 = 2" \
    "SLOTS_DIVISOR: u32 = 1" peatgrade-jobs scoring
plant "a replica that follows answers for what is new" $J/job.rs \
    "first.is_some_and(|result| now.since(result.known_since) >= age)" \
    "first.is_some_and(|result| now >= result.known_since || age.0 == 0)" \
    peatgrade-jobs settled
plant "entries by datagram" crates/server/src/storage/replication.rs \
    "!append.entries.is_empty() => Delivery::Stream" \
    "!append.entries.is_empty() => Delivery::Datagram" peatgrade-server entries
plant "lapsed engines are gone at once" crates/fleet/src/directory/list.rs \
    "RETURN_GRACE: Duration = Duration::from_millis(2_000)" \
    "RETURN_GRACE: Duration = Duration::from_millis(0)" peatgrade-fleet entr
plant "lapsed engines stay for good" crates/fleet/src/directory/list.rs \
    "state.lapsed_until.is_some_and(|at| now >= at)" \
    "state.lapsed_until.is_some_and(|at| now.0 == 0 && at.0 == 0)" peatgrade-fleet entr
G=crates/gateway/src/relay
S=crates/server/src
plant "turn: all open items start in one look" $J/dispatcher/starting.rs \
    "MAX_STARTS_PER_POLL: usize = 8" "MAX_STARTS_PER_POLL: usize = 100_000" peatgrade-server leader
plant "turn: reward calls without bound" $J/dispatcher/scoring.rs \
    "MAX_REWARD_CALLS_PER_POLL: usize = 4" "MAX_REWARD_CALLS_PER_POLL: usize = 100_000" \
    peatgrade-jobs scoring
plant "turn: a whole log is applied at once" $R/replica.rs \
    "MAX_COMMITTED_ENTRIES_PER_READY: usize = 256" "MAX_COMMITTED_ENTRIES_PER_READY: usize = 1_000_000" \
    peatgrade-replication committed_entries_are
plant "turn: routes are gone through one by one" crates/ports/src/routes.rs \
    "        let routes = self.by_host.get(to_lowercase_host(host).as_ref())?;
        self.routes.get(routes.find(path)?)" \
    "        let mut matching: Vec<&Route> = self.routes.iter().collect();
        matching.retain(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix));
        matching.into_iter().max_by_key(|r| r.prefix.len())" peatgrade-ports ""
plant "end: dropped with its caller" $G/mod.rs "if !pending.is_end_call() {" \
    "if pending.was_sent || !pending.is_end_call() {" peatgrade-gateway end
plant "end: refused as not run" $G/answers.rs "pending.is_end_call() || (submits" \
    "(submits" peatgrade-gateway end
plant "end: told to one replica" $G/mod.rs "        if pending.is_end_call() {
            let others" "        if false && pending.is_end_call() {
            let others" peatgrade-gateway end
plant "end: a slow leader is asked more often" $G/mod.rs \
    "if known && !leader_has_it && !self.replicas.contains(leader)" \
    "if known && (leader_has_it || !leader_has_it)" peatgrade-gateway slow
plant "end: what was heard is not on disk" $S/storage/end_requests.rs "self.end_request_file.add(end)" \
    "std::io::Result::Ok(())" peatgrade-platform only_heard
plant "stop: a gateway ends while it reads" $S/gateway_process/mod.rs \
    "if is_closing && process.close_connections()" "if is_closing" \
    peatgrade-platform overlapping
plant "text: put together from other records than it was listed with" $J/listed_text.rs \
    "let is_complete = events_left == 0 && joined.len() == text.length;" \
    "let is_complete = joined.len() <= text.length;" peatgrade-jobs missing_log
plant "text: a body of another item is taken for the same" $J/job.rs \
    "Some(hash) => *hash == hash_bytes(body)," "Some(_) => true," peatgrade-jobs same_body
plant "start: the last entry of a log is left out" $R/log_file.rs \
    "if entry.index == log.last_index() + 1 {" \
    "if entry.index == log.last_index() + 1 && entry.index % 100 != 0 {" \
    peatgrade-replication recovery_
plant "start: entries of a log are held in memory" $R/log_file.rs \
    "log.push_from_file(entry);" "log.push(entry);" peatgrade-replication recovery_
M=crates/mirror/src
plant "mirror: a publisher vouches for a watch that is dead" $M/watch_cache.rs \
    "age: now.since(self.confirmed_at).0," "age: 0," peatgrade-mirror subscriber
plant "mirror: older news are taken" $M/subscriber.rs \
    "if message.revision < state.revision {" "if message.revision < state.revision && false {" \
    peatgrade-mirror ""
plant "mirror: a publisher that is behind answers" $M/watch_cache.rs \
    "if since > self.revision {" "if false && since > self.revision {" peatgrade-mirror ""
plant "mirror: nobody watches the store when no publisher is heard" $M/subscriber.rs \
    "if is_stale && !self.watches_store {" \
    "if is_stale && self.publishers.is_empty() && !self.watches_store {" \
    peatgrade-mirror subscriber
plant "listing: what a trainer waits for waits for the pace" $J/listing.rs \
    "let completes = self.complete_groups >= self.desired;" \
    "let completes = self.desired == 0;" peatgrade-jobs listing
plant "pace: a pause of the leader is the engines' fault" $J/dispatcher/migration.rs \
    "if now.since(self.runs_checked_at) >= LATE_CHECK {" \
    "if now.since(self.runs_checked_at) >= LATE_CHECK && now.0 == 0 {" peatgrade-jobs pace
Q=crates/quarantine/src
F=crates/forward/src
plant "deadly: a broken run is taken for one that was never sent" crates/runtime/src/http_client.rs \
    "connected.map_err(|failure| broken.unwrap_or(failure))" \
    "connected.map_err(|failure| { let _ = &broken; failure })" peatgrade-runtime server_exit_during
plant "deadly: gateways tell nobody" $S/gateway_process/crash_exchange.rs \
    "let records = self.gateway.directory.quarantine.records(now);" \
    "let records = { let _ = now; Vec::new() };" \
    peatgrade-platform gateways_share_crashes
plant "deadly: members tell no gateway" $S/storage/publishing.rs \
    "match crash_digest == pending_reply.crash_digest {" \
    "match crash_digest == pending_reply.crash_digest || now.0 > 0 {" \
    peatgrade-platform gateways_share_crashes
plant "deadly: nothing is kept on disk" $S/storage/crashes.rs \
    "if self.crashes.is_dirty && is_due {" \
    "if self.crashes.is_dirty && is_due && now.0 == 0 {" \
    peatgrade-platform survives_restart_of_all_processes
plant "deadly: a broken connection counts as a crash" $F/quarantine.rs \
    "directory.quarantine.record_engine_alive(&probe.instance);" \
    "directory.engine_refused(now, &probe.instance);" peatgrade-gateway did_not_crash
plant "deadly: the last engine of a service is risked" $F/quarantine.rs \
    "(is_only || spares > 0)" "(is_only || spares + 1 > 0)" peatgrade-gateway last_engine
plant "deadly: a third engine beside the second" $F/responses.rs \
    "let is_alone = unsent || forward.open_attempts.is_empty();" \
    "let is_alone = unsent || forward.open_attempts.len() < 9;" peatgrade-gateway third_engine
plant "deadly: company is not weighed" $Q/ledger.rs \
    "true => CRASHES_TO_CONVICT_CORRELATED," "true => CRASHES_TO_CONVICT," \
    peatgrade-quarantine correlated_requests
plant "deadly: what ran to its end is still blamed" $Q/ledger.rs \
    "self.crashes.retain(|_, at| *at > completed);" "let _ = completed;" \
    peatgrade-quarantine ""
plant "deadly: a long run is blamed for a crash" $Q/evidence.rs \
    "now.since(at) <= MAX_SUSPECT_RUN_AGE" "now.since(at) >= Duration(0)" \
    peatgrade-jobs not_the_cause
plant "deadly: items know no verdict" $J/dispatcher/suspects.rs \
    "Verdict::Convicted { .. } => false," "Verdict::Convicted { .. } => true," \
    peatgrade-jobs convicted_item_does
plant "suspended: spans are too short by the suspension" crates/runtime/src/boot_clock.rs \
    "Self(read_clock(libc::CLOCK_BOOTTIME))" "Self(read_clock(libc::CLOCK_MONOTONIC))" \
    peatgrade-platform was_suspended

G=crates/gateway/src
M=crates/metering/src
plant "a key goes on to an engine" platform/src/names.rs "ENGINE_CONTROL_HEADERS: [&str; 11] = [
    API_KEY," "ENGINE_CONTROL_HEADERS: [&str; 10] = [" peatgrade-platform engine_requests_carry_only
plant "a caller names its own tenant" platform/src/names.rs "ENGINE_CONTROL_HEADERS: [&str; 11] = [
    API_KEY,
    TENANT," "ENGINE_CONTROL_HEADERS: [&str; 10] = [
    API_KEY," peatgrade-platform engine_requests_carry_only
plant "a key stays in the request" platform/src/callers.rs "ApiKey::new(std::mem::take(value)));
        }
        !is_key" "ApiKey::new(value.clone()));
        }
        true" peatgrade-platform messages_carry_the_key_digest
plant "the digest shows in logs" crates/authentication/src/key.rs \
    'formatter.write_str("KeyDigest(..)")' 'write!(formatter, "{:?}", self.0)' \
    peatgrade-authentication debug_output_redacts
plant "an unknown key serves" crates/authentication/src/tenants.rs \
    "self.by_key.get(&key).ok_or(AuthError::UnknownKey)?" "self.by_key.get(&key).unwrap_or(&0)" \
    peatgrade-authentication ""
plant "old news keep a key alive" $G/gateway.rs "self.store_staleness >= limit" "false && self.store_staleness >= limit" \
    peatgrade-gateway keys_are_not_accepted
plant "another tenant reads a job" crates/jobs/src/job.rs \
    "self.spec.tenant.is_empty() || self.spec.tenant == tenant" "tenant.len() < usize::MAX" \
    peatgrade-jobs tenant_cannot_end
plant "another tenant gets a kept text" crates/jobs/src/item.rs \
    "tenant: self.spec.tenant.clone()," "tenant: String::new()," peatgrade-jobs ""
plant "a batch counts twice" $M/ledger.rs "if !self.is_counted(batch.meter, batch.sequence) {" \
    "if true {" peatgrade-metering ""
plant "a batch that was lost is not told again" $M/meter.rs "if now.since(outstanding.sent_at) < RESEND_INTERVAL {" \
    "if true {" peatgrade-metering ""
plant "a second decision for a window" $M/ledger.rs "            return;
        }
        self.last_decided = Some((window, index));" "        }
        self.last_decided = Some((window, index));" peatgrade-metering ""
plant "reports within another holder's lease" $M/reporter.rs "!self.is_fenced && is_exclusive" \
    "!self.is_fenced" peatgrade-metering ""
plant "reports with a token that was refused" $M/reporter.rs "self.is_fenced = true;" "" \
    peatgrade-metering ""
plant "a window decided before its counts" $M/reporter.rs "is_due && (is_complete || is_forced)" \
    "is_due" peatgrade-metering ""
plant "the log drops a decision that is needed" $M/ledger.rs ".chain(decided).min()" ".min()" \
    peatgrade-metering log_entries_that_are_needed
plant "holders take turns with orders" crates/fleet/src/order_history.rs "if last.holder == holder {" \
    "if rules.fences_checked {" peatgrade-fleet ""
plant "versions told to nobody" crates/mirror/src/publisher.rs \
    "request.wants_versions || kind != ObjectKind::Versions" "kind != ObjectKind::Versions" \
    peatgrade-mirror versions
plant "an end before the first configuration is dropped" $G/gateway.rs \
    "if self.deferred_end_calls.push(now, call, end.job, key) {" \
    "if false && self.deferred_end_calls.push(now, call, end.job, key) {" peatgrade-gateway an_end
plant "late windows go without what was kept" $M/reporter.rs "(has_waited && is_complete)" "true" \
    peatgrade-metering ""
plant "a failed proposal outlives its lead" crates/server/src/storage/leader_session.rs \
    "self.has_failed_proposal = self.is_active;" "self.has_failed_proposal = true;" peatgrade-server leader_session
plant "a late lead begins void" crates/server/src/storage/leader_session.rs \
    "has_failed_proposal: false," "has_failed_proposal: self.has_failed_proposal," peatgrade-server leader_session
plant "what was read last is dropped at a stop" crates/server/src/gateway_process/shutdown.rs \
    "(in_flight == 0 || stopping >= last_moment)" "true" peatgrade-server shutdown
F=crates/forward/src
plant "a request without a connection counts as run" $F/timers.rs \
    "forward.may_have_run |= open.any(|id| attempts.get(id).is_some_and(|a| a.is_connected));" \
    "let _ = attempts; forward.may_have_run |= open.next().is_some();" peatgrade-gateway unavailable_engines
plant "a dark engine holds a request" $F/timers.rs \
    "now.since(attempt.sent_at) >= attempt.connect_timeout" \
    "now.since(attempt.sent_at) >= Duration(1_000_000)" peatgrade-gateway unavailable_engines
plant "a gateway that was held up gives up good connections" $F/timers.rs \
    "std::mem::replace(&mut attempt.was_overdue, is_overdue)
                && is_overdue" "is_overdue" \
    peatgrade-gateway unavailable_engines
plant "a hedge takes from the budget for nobody" $F/timers.rs "if has_engine && self.take_extra_attempt" \
    "if self.take_extra_attempt" peatgrade-gateway unavailable_engines
plant "a dark engine uses up an attempt" $F/responses.rs "            forward.attempts -= 1;
            forward.connect_failures += 1;" "            forward.connect_failures += 1;" peatgrade-gateway unavailable_engines
plant "a second attempt proves nothing" $F/forwarder.rs " || forward.attempts > 1," "," \
    peatgrade-gateway unavailable_engines
plant "a rejection outlives its cause" $F/admission.rs "is_unreachable && stats.is_backing_off(now)" \
    "is_unreachable" peatgrade-gateway unavailable_engines
plant "what no engine can serve is sent" $F/dispatch.rs "match self.rejects_unservable {" \
    "match false && self.rejects_unservable {" peatgrade-gateway unavailable_engines
plant "rejected callers come back together" $F/admission.rs "first + draw * spread" \
    "first + 0.0 * draw * spread" peatgrade-forward ""
plant "a caller comes back too late for its answer" $F/admission.rs \
    "delay.min(Duration(self.time_remaining.0 / DEADLINE_DIVISOR))" "delay" peatgrade-forward ""
plant "copies have no bound" $F/retry_budget.rs "let granted = self.tokens >= 1.0 + reserved;" \
    "let granted = self.tokens >= -1e9 + reserved;" peatgrade-forward ""
plant "a path that became slow counts as dark for good" $F/connect_times.rs \
    "first.0 << failures.min(MAX_DOUBLINGS)" "first.0 << failures.min(0)" \
    peatgrade-forward ""
plant "a request that was dropped leaves all the same" crates/runtime/src/http_client.rs \
    "if let Either::Right((Err(failure), _)) = select(cancelled, work).await" \
    "if let Either::Left((Err(failure), _)) = select(work, cancelled).await" \
    peatgrade-runtime ""
plant "a reward call comes back before it was told to" $J/dispatcher/scoring.rs \
    "|delay| delay.max(REFUSED_BACKOFF)" "|_| REFUSED_BACKOFF" peatgrade-jobs scoring
R=crates/runtime/src
plant "an unread answer grows without bound" $R/responder.rs "if is_too_much || " "if " \
    peatgrade-runtime unread_response
plant "who reads is cut off" $R/memory_budget.rs ".is_some_and(|span| span >= STALLED_AFTER)" \
    ".is_none_or(|span| span >= STALLED_AFTER)" peatgrade-runtime largest_stalled
plant "bytes of a body count for nobody" $R/server_limits.rs "self.reserved.borrow_mut().grow(*count).is_err()" \
    "false" peatgrade-runtime body_over_budget

E=crates/fleet/src
plant "what was believed goes on in the next life" $E/directory/list.rs \
    "StartComparison::Later => {
                return self.end_incarnation(now, &instance, record, \"later-start\")
            }" "StartComparison::Later => {}" peatgrade-fleet ""
plant "a late heartbeat brings the life before back" $E/directory/list.rs \
    "StartComparison::Earlier => return," "StartComparison::Earlier => {}" peatgrade-fleet ""
plant "a request of an ended life counts in the next" $E/directory/identity.rs \
    "state.filter(|state| state.incarnation == incarnation)" \
    "state.filter(|state| state.incarnation == incarnation || true)" peatgrade-fleet ""
plant "orders go on by the count of an ended life" $E/coordinator/mod.rs \
    "directory.incarnation(instance) == Some(progress.incarnation)" \
    "directory.incarnation(instance).map(|_| progress.incarnation).is_some()" \
    peatgrade-fleet ""
plant "a report of an ended life is believed" $E/coordinator/answers.rs \
    "report.filter(|_| comparison != Some(StartComparison::Earlier))" "report.filter(|_| comparison.is_some())" \
    peatgrade-fleet ""
plant "an engine that is not there is asked again and again" $E/directory/identity.rs \
    "self.absence.is_some_and(|absence| absence.is_paused(now))" \
    "self.absence.is_some_and(|absence| absence.is_paused(now)) && false" peatgrade-fleet ""
plant "the pause of an engine that is not there does not grow" $E/incarnation.rs \
    "1_u64 << self.misses.min(MAX_DOUBLINGS)" "1_u64 << 0" peatgrade-fleet ""
plant "items go on to an engine that is not there" $J/placement/mod.rs \
    "        && !state.is_absent(now)
" "" peatgrade-jobs restarts
plant "lookups go on to an engine that is not there" crates/forward/src/selection.rs \
    "untried.filter(|state| !state.is_absent(self.now))" "untried" peatgrade-gateway restarts
plant "a run waits for an engine whose life is over" $J/dispatcher/migration.rs \
    "if state.incarnation != run.incarnation {" "if false && state.incarnation != run.incarnation {" \
    peatgrade-jobs restarts
plant "a run that goes on is broken off" $J/dispatcher/restarts.rs \
    "let is_active = now.since(last_output) < RECENT_OUTPUT;" "let is_active = now < last_output;" \
    peatgrade-jobs restarts
plant "a check believes whoever answers under the name" crates/forward/src/quarantine.rs \
    "directory.record_report(now, &probe.instance, &report);" "let _ = report;" \
    peatgrade-gateway restarts
plant "lookups wait for an engine whose life is over" crates/forward/src/timers.rs \
    "self.fail_over_restarted_engines(now, directory, actions);" "" peatgrade-gateway restarts
plant "an unknown state counts as ready" platform/src/objects.rs \
    'other => return Err(format!("unknown state {other:?}")),' "_ => false," \
    peatgrade-platform malformed_entry
plant "one bad entry spoils the page" platform/src/objects.rs \
    "Err(error) => return unreadable(String::new(), error.to_string())," \
    "Err(error) => panic!(\"{error}\")," peatgrade-platform entry_without_name
plant "an engine whose entry was spoilt is still told" crates/mirror/src/publisher.rs \
    "if *kind == ObjectKind::Engines =>" "if *kind == ObjectKind::Replicas =>" \
    peatgrade-mirror unreadable

plant "an engine's lives count as one crash" crates/quarantine/src/quarantine.rs \
    'format!("{engine} {started}").as_bytes()' 'format!("{engine}{}", started.0 * 0).as_bytes()' \
    peatgrade-fleet ""
plant "an item shuns the next life" $J/dispatcher/starting.rs \
    "(!directory.has_ended(engine, *incarnation)).then_some(engine)" \
    "(directory.len() > 0 || incarnation == incarnation).then_some(engine)" peatgrade-jobs restarts

O=crates/observations/src
plant "one report makes an engine avoided" $O/peer_observations.rs "const MIN_FAILING_SOURCES: usize = 2;" \
    "const MIN_FAILING_SOURCES: usize = 1;" peatgrade-observations one_source
plant "reports of an earlier life are believed" $O/peer_observations.rs \
    "seen.started == started || seen.started.is_none() || started.is_none()" "true" \
    peatgrade-observations earlier_incarnation
plant "what was seen here does not outweigh reports" $O/peer_observations.rs \
    "trusted.filter(|failure| failure.observed_at > local.last_response)" "trusted.filter(|_| true)" \
    peatgrade-observations overrides
plant "refuted sources are believed" $O/reliability.rs \
    "*contradicted >= MIN_CONTRADICTED_REPORTS && contradicted * 2 > *all" "false && contradicted > all" \
    peatgrade-fleet contradicted
plant "a machine with a bad link tells failures" crates/fleet/src/observation_exchange.rs \
    "observation.indicates_failure() && link_is_suspect" "false && link_is_suspect" \
    peatgrade-fleet reports_no_failure
plant "observations without a byte limit" $O/outbox.rs "if bytes > max_bytes {" "if false {" \
    peatgrade-observations bounded
plant "ages do not grow on the way" $O/wire.rs "age: now.since(observation.observed_at).0," "age: 0," \
    peatgrade-observations carry_ages
plant "what others told rejects requests" crates/forward/src/admission.rs \
    "is_unreachable && stats.is_backing_off(now)" "is_unreachable && snapshot.is_avoided" \
    peatgrade-gateway own_failure_last_longer
plant "all go to the best engine" crates/fleet/src/two_choices.rs \
    "as f64).recip()" "as f64).powi(-40)" peatgrade-fleet overrun

P=crates/scheduling/src
plant "groups that nobody waits for are wanted" $P/plan.rs \
    "let kept = wanted.max(required.count()).min(own.len());" \
    "let kept = wanted.max(required.count()).max(own.len());" peatgrade-scheduling ""
plant "a group gives way to one of lower rank" $P/plan.rs \
    "through_late.filter(|(_, group)| group.priority == priority)" "through_late.filter(|_| true)" \
    peatgrade-scheduling ""
plant "urgent groups pay for others" $P/order.rs "step.deadline + step.priority_delay()," "step.deadline," \
    peatgrade-jobs scarcity
plant "a low rank has no floor" $P/order.rs "*shortfall = guaranteed.saturating_sub(running[*flow]);" \
    "*shortfall = 0 * guaranteed;" peatgrade-scheduling guaranteed
plant "any job is taken" $P/admission.rs "if earliest <= time_limit {" "if earliest >= 0.0 {" \
    peatgrade-scheduling ""
plant "the order is made anew in each look" $J/dispatcher/queue.rs "self.is_stale" "true" \
    peatgrade-jobs the_cost_of_a_poll
plant "a refused job is not told when there is room" $G/relay/answers.rs \
    "millis => Duration::from_millis(millis)," "_ => DEFAULT_NO_ROOM_RETRY_AFTER," peatgrade-gateway a_refused_job

exit $unnoticed
