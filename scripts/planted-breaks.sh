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
plant "entries are acknowledged before they are synced to disk" $R/replicate.rs "return self.persisted_index;" \
    "return self.log.last_index();" peatgrade-replication ""
plant "a leader without a valid lease serves reads" $R/replica.rs \
    "&& lease::is_valid(
                now,
                self.lease_start(now),
                self.settings.timing.lease_duration,
            )" "" \
    peatgrade-replication ""
plant "a new leader serves reads before it applies an entry of its term" $R/replica.rs \
    "&& self.log.term(self.applied_index) == Some(self.term)" "" \
    peatgrade-replication a_leader_serves_only
plant "a wiped replica counts as a healthy copy" $R/membership_planner.rs \
    "machine.is_some_and(|m| m.member.replica != member.replica)" "false && machine.is_some()" \
    peatgrade-replication ""
plant "three replicas where two losses must be tolerated" $R/membership_planner.rs "2 * losses.max(1) + 1" "3 + 0 * losses" \
    peatgrade-replication two_wiped
plant "a lost voter is skipped" $R/membership_planner.rs \
    "self.is_lost(now, replica, member)
                && Self::has_active_majority(now, replica, &remaining)" \
    "self.is_replaced(member)
                && Self::has_active_majority(now, replica, &remaining)" \
    peatgrade-replication member_series
plant "a learner without the log is promoted" $R/membership_planner.rs \
    "&& p.match_index >= required.copied().unwrap_or(0)" "&& required.copied().unwrap_or(0) < u64::MAX" \
    peatgrade-replication member_series
plant "a retiring voter is removed before its replacement" $R/membership_planner.rs \
    "if voters.len() <= self.target_voters {
            return None;
        }
        let removed" \
    "if voters.len() < self.target_voters || !voters.iter().any(|m| self.is_retiring(&m.name)) {
            return None;
        }
        let removed" \
    peatgrade-replication member_series
plant "a retiring machine that lost its disk is not taken back" $R/membership_planner.rs \
    "usable + retiring.len() < missing.lost" "false" peatgrade-replication member_series
plant "a machine is released although a voter is lost" $R/release.rs \
    "self.voter_obstacle(now, replica, &others)
            .or(is_member" "None.or(is_member" \
    peatgrade-replication retirement
plant "a new machine counts as a spare at once" $R/release.rs \
    "now.since(report.first_seen) >= self.catch_up_time + RELEASE_MARGIN" "true" \
    peatgrade-replication retirement
plant "a request is judged by the limits in force when the wait for it began" crates/runtime/src/server_limits.rs \
    "pub fn limits(&self) -> ServerLimits {
        self.limits.get()" \
    "pub fn limits(&self) -> ServerLimits {
        thread_local!(static FIRST: Cell<Option<ServerLimits>> = const { Cell::new(None) });
        FIRST.set(FIRST.get().or(Some(self.limits.get())));
        FIRST.get().unwrap()" \
    peatgrade-runtime changed
plant "a response without an id on a shared connection is taken" crates/runtime/src/http_client.rs \
    "if connection.is_shared && !is_attributed {" "if connection.is_shared && !is_attributed && false {" \
    peatgrade-runtime surplus
plant "time limits run while a response is pending" crates/runtime/src/server_limits.rs \
    "self.waiting_since.set(None);" "self.waiting_since.set(Some(Instant::now()));" \
    peatgrade-runtime no_time_limit_runs
plant "evicted log entries are sent without their commands" $R/log_store.rs \
    "reader.read(index).map(Rc::new)" \
    "reader.read(index).map(|mut e| { e.command.clear(); Rc::new(e) })" \
    peatgrade-replication evicted_entries
plant "a result is recorded twice for one item" $J/store.rs \
    "item >= job.spec.items.len() || job.positions.contains_key(&item)" \
    "item >= job.spec.items.len()" peatgrade-jobs ""
plant "events are duplicated when a run resumes" $J/dispatcher/starting.rs \
    "last_event: item.text.last_event," "last_event: None," peatgrade-jobs ""
plant "gaps in event ids are not detected" $J/streams.rs "Some(last) => event.id == last + 1," \
    "Some(_) => true," peatgrade-jobs invalid_bytes
plant "a run on a version below the minimum is accepted" $J/streams.rs "if run.version < min_version {" "if false && run.version < min_version {" \
    peatgrade-jobs invalid_bytes
plant "a single-version text mixes two versions" $J/streams.rs "filter(|first| *first != run.version)" \
    "filter(|_| false)" peatgrade-jobs single_version
plant "version orders omit the expected order count" crates/fleet/src/coordinator/mod.rs \
    "expected: Some(progress.orders)," "expected: None," peatgrade-fleet ""
plant "orders are sent before the previous holder's lease ends" crates/fleet/src/coordinator/mod.rs \
    "Phase::Idle if self.not_before.get(&instance).is_some_and(|at| now < *at) => {}" "" \
    peatgrade-fleet ""
plant "an older configuration replaces a newer one" crates/gateway/src/gateway.rs \
    "if configuration.version <= current {" "if configuration.version == current {" peatgrade-gateway ""
plant "a request is reported as not run while another copy is outstanding" crates/gateway/src/relay/mod.rs \
    "let is_last_copy = pending.unanswered_copies <= 1;" "let is_last_copy = true;" peatgrade-gateway copy
plant "a lost watch resumes from its old revision" crates/server/src/watcher.rs \
    "                revision = None;
                // Jitter" "                // Jitter" peatgrade-platform relists_after_a_lost_watch
plant "a rejected append backs off one entry at a time" $R/replicate.rs \
    "response.match_index = self.commit_index;" \
    "response.match_index = request.previous_index.saturating_sub(1).min(self.log.last_index());" \
    peatgrade-replication uncommitted_entries_of
plant "a learner is promoted only without any lag" $R/membership_planner.rs "MAX_CAUGHT_UP_LAG_ENTRIES: u64 = 1_024" \
    "MAX_CAUGHT_UP_LAG_ENTRIES: u64 = 0" peatgrade-replication a_learner_with_constant_lag
plant "loads longer than expected do not count against the limit" crates/fleet/src/coordinator/progress.rs \
    "load.exceeds(load_time) || " "" peatgrade-fleet loads_that
plant "the expected load time never decreases" crates/fleet/src/coordinator/progress.rs \
    "let decreased = expected.0 * DECREASE_NUMERATOR / DECREASE_DENOMINATOR;" \
    "let decreased = expected.0;" peatgrade-fleet one_slow
plant "slow engines are not excluded from placement" $J/placement/mod.rs \
    "slow == SlowEngines::Allowed || !is_slow(now, state, self.median())" \
    "slow == SlowEngines::Allowed || state.record.slots > 0" peatgrade-jobs items_go
plant "a run migrates without sufficient gain" $J/placement/expected_end.rs "self.gain_us >= self.cost_us * MIN_GAIN_RATIO" \
    "self.gain_us >= 0.0" peatgrade-jobs move_must
plant "a run migrates back to an earlier engine" $J/dispatcher/migration.rs "item.moved_from.push(instance.clone());" "" \
    peatgrade-jobs does_not_move_back
plant "the length estimate ignores events already produced" $J/placement/length.rs \
    "(length - produced as f64, *weight)" "(*length, *weight)" peatgrade-jobs produced_events
plant "cached prompts are kept across version changes" $J/dispatcher/placement_state.rs \
    "if has_same_version && !holders.contains(engine)" "if !holders.contains(engine) || !has_same_version" \
    peatgrade-jobs resubmitted_group
plant "length statistics of models are unbounded" $J/placement/length.rs \
    "if self.models.len() >= MAX_MODELS" "if self.models.len() >= 1_000_000" \
    peatgrade-jobs models_are_bounded
plant "short texts occupy scarce fast slots" $J/placement/choice.rs \
    "spares_fast_slot = is_in_time && !is_scarce" "spares_fast_slot = is_in_time" \
    peatgrade-jobs fast_slots
plant "a new leader resets failure counts" $J/dispatcher/opening.rs \
    "open.failures = job.failures.get(&index).copied().unwrap_or_default();" "" peatgrade-jobs failures_of
plant "a single-request connection is reused" crates/runtime/src/http_client.rs \
    "let is_poolable = sent_whole && !self.options.new_connection;" "let is_poolable = sent_whole;" \
    peatgrade-runtime new_connections_are
plant "a draining gateway accepts requests" crates/gateway/src/gateway.rs \
    "if self.draining && !matches" "if false && !matches" peatgrade-gateway a_draining_gateway
plant "listing from an unresponsive store does not use the page timeout" crates/server/src/listing.rs \
    "monoio::time::timeout(self.page_timeout, first_reply" \
    "monoio::time::timeout(CALL_TIMEOUT, first_reply" \
    peatgrade-platform a_silent
plant "a text is scored before it is complete" $J/dispatcher/mod.rs \
    "        self.start_reward_calls(now, configuration, directory);" \
    "        let begun = self.items.iter().filter(|(_, item)| !item.text.events.is_empty());
        let begun: Vec<ItemKey> = begun.map(|(key, _)| key.clone()).collect();
        for key in begun {
            self.on_text_complete(now, &key);
        }
        self.start_reward_calls(now, configuration, directory);" peatgrade-jobs scoring
plant "a score from a different reward call is reused" $J/dispatcher/opening.rs \
    "reward_call.is_none() || reward_call == scored_by" \
    "reward_call.is_none() || scored_by.is_some()" peatgrade-jobs scoring
plant "complete texts are not marked in the log" $J/dispatcher/records.rs \
    "whole: item.text.complete && !item.restarted," "whole: false," peatgrade-jobs scoring
plant "failed reward calls are retried without limit" $J/dispatcher/scoring.rs \
    "item.failures.reward_calls >= route.max_attempts" \
    "item.failures.reward_calls > 1_000 * route.max_attempts" peatgrade-jobs scoring
plant "reward calls are not cancelled with their job" $J/dispatcher/mod.rs \
    "            self.cancel_scoring(&key);
            if let Some(item)" "            if let Some(item)" peatgrade-jobs scoring
plant "reward calls may use all slots" $J/dispatcher/scoring.rs "SLOTS_DIVISOR: u32 = 2" \
    "SLOTS_DIVISOR: u32 = 1" peatgrade-jobs scoring
plant "a follower serves results that are too recent" $J/job.rs \
    "first.is_some_and(|result| now.since(result.known_since) >= age)" \
    "first.is_some_and(|result| now >= result.known_since || age.0 == 0)" \
    peatgrade-jobs settled
plant "log entries are sent by datagram" crates/server/src/storage/replication.rs \
    "!append.entries.is_empty() => Delivery::Stream" \
    "!append.entries.is_empty() => Delivery::Datagram" peatgrade-server entries
plant "engines with a lapsed lease are removed without a grace period" crates/fleet/src/directory/list.rs \
    "RETURN_GRACE: Duration = Duration::from_millis(2_000)" \
    "RETURN_GRACE: Duration = Duration::from_millis(0)" peatgrade-fleet entr
plant "engines with a lapsed lease are never removed" crates/fleet/src/directory/list.rs \
    "state.lapsed_until.is_some_and(|at| now >= at)" \
    "state.lapsed_until.is_some_and(|at| now.0 == 0 && at.0 == 0)" peatgrade-fleet entr
G=crates/gateway/src/relay
S=crates/server/src
plant "poll: starts per poll are unbounded" $J/dispatcher/starting.rs \
    "MAX_STARTS_PER_POLL: usize = 8" "MAX_STARTS_PER_POLL: usize = 100_000" peatgrade-server leader
plant "poll: reward calls per poll are unbounded" $J/dispatcher/scoring.rs \
    "MAX_REWARD_CALLS_PER_POLL: usize = 4" "MAX_REWARD_CALLS_PER_POLL: usize = 100_000" \
    peatgrade-jobs scoring
plant "poll: committed entries per ready are unbounded" $R/replica.rs \
    "MAX_COMMITTED_ENTRIES_PER_READY: usize = 256" "MAX_COMMITTED_ENTRIES_PER_READY: usize = 1_000_000" \
    peatgrade-replication committed_entries_are
plant "poll: routes are matched by a linear scan" crates/ports/src/routes.rs \
    "        let routes = self.by_host.get(to_lowercase_host(host).as_ref())?;
        self.routes.get(routes.find(path)?)" \
    "        let mut matching: Vec<&Route> = self.routes.iter().collect();
        matching.retain(|r| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix));
        matching.into_iter().max_by_key(|r| r.prefix.len())" peatgrade-ports ""
plant "end: an end call is dropped when its caller disconnects" $G/mod.rs "if !pending.is_end_call() {" \
    "if pending.was_sent || !pending.is_end_call() {" peatgrade-gateway end
plant "end: an end call is rejected as not run" $G/answers.rs "pending.is_end_call() || (submits" \
    "(submits" peatgrade-gateway end
plant "end: an end call is sent to one replica only" $G/mod.rs "        if pending.is_end_call() {
            let others" "        if false && pending.is_end_call() {
            let others" peatgrade-gateway end
plant "end: an end call is resent although the leader has a copy" $G/mod.rs \
    "if known && !leader_has_it && !self.replicas.contains(leader)" \
    "if known && (leader_has_it || !leader_has_it)" peatgrade-gateway slow
plant "end: a received end request is not written to disk" $S/storage/end_requests.rs "self.end_request_file.add(end)" \
    "std::io::Result::Ok(())" peatgrade-platform only_heard
plant "stop: a gateway exits before its connections are closed" $S/gateway_process/mod.rs \
    "if is_closing && process.close_connections()" "if is_closing" \
    peatgrade-platform overlapping
plant "text: assembled from records that differ from the listing" $J/listed_text.rs \
    "let is_complete = events_left == 0 && joined.len() == text.length;" \
    "let is_complete = joined.len() <= text.length;" peatgrade-jobs missing_log
plant "text: bodies are not compared by hash" $J/job.rs \
    "Some(hash) => *hash == hash_bytes(body)," "Some(_) => true," peatgrade-jobs same_body
plant "start: some entries are skipped when the log is read" $R/log_file.rs \
    "if entry.index == log.last_index() + 1 {" \
    "if entry.index == log.last_index() + 1 && entry.index % 100 != 0 {" \
    peatgrade-replication recovery_
plant "start: entries read from the log stay in memory" $R/log_file.rs \
    "log.push_from_file(entry);" "log.push(entry);" peatgrade-replication recovery_
M=crates/mirror/src
plant "mirror: a publisher reports age zero for a stalled watch" $M/watch_cache.rs \
    "age: now.since(self.confirmed_at).0," "age: 0," peatgrade-mirror subscriber
plant "mirror: messages of an older revision are accepted" $M/subscriber.rs \
    "if message.revision < state.revision {" "if message.revision < state.revision && false {" \
    peatgrade-mirror ""
plant "mirror: a publisher behind the subscriber's revision replies" $M/watch_cache.rs \
    "if since > self.revision {" "if false && since > self.revision {" peatgrade-mirror ""
plant "mirror: a stale subscriber does not fall back to watching the store" $M/subscriber.rs \
    "if is_stale && !self.watches_store {" \
    "if is_stale && self.publishers.is_empty() && !self.watches_store {" \
    peatgrade-mirror subscriber
plant "listing: groups that complete the request are delayed by batching" $J/listing.rs \
    "let completes = self.complete_groups >= self.desired;" \
    "let completes = self.desired == 0;" peatgrade-jobs listing
plant "pace: a pause of the leader is counted against engines" $J/dispatcher/migration.rs \
    "if now.since(self.runs_checked_at) >= LATE_CHECK {" \
    "if now.since(self.runs_checked_at) >= LATE_CHECK && now.0 == 0 {" peatgrade-jobs pace
Q=crates/quarantine/src
F=crates/forward/src
plant "quarantine: a broken request is reported as never sent" crates/runtime/src/http_client.rs \
    "connected.map_err(|failure| broken.unwrap_or(failure))" \
    "connected.map_err(|failure| { let _ = &broken; failure })" peatgrade-runtime server_exit_during
plant "quarantine: gateways do not share crash records" $S/gateway_process/crash_exchange.rs \
    "let records = self.gateway.directory.quarantine.records(now);" \
    "let records = { let _ = now; Vec::new() };" \
    peatgrade-platform gateways_share_crashes
plant "quarantine: storage members do not publish crash records" $S/storage/publishing.rs \
    "match crash_digest == pending_reply.crash_digest {" \
    "match crash_digest == pending_reply.crash_digest || now.0 > 0 {" \
    peatgrade-platform gateways_share_crashes
plant "quarantine: crash records are not written to disk" $S/storage/crashes.rs \
    "if self.crashes.is_dirty && is_due {" \
    "if self.crashes.is_dirty && is_due && now.0 == 0 {" \
    peatgrade-platform outlives_all_processes
plant "quarantine: a broken connection counts as a crash" $F/quarantine.rs \
    "directory.quarantine.record_engine_alive(&probe.instance);" \
    "directory.engine_refused(now, &probe.instance);" peatgrade-gateway did_not_crash
plant "quarantine: a suspect request is sent to the last healthy engine of a service" $F/quarantine.rs \
    "(is_only || spares > 0)" "(is_only || spares + 1 > 0)" peatgrade-gateway last_engine
plant "quarantine: a request is retried while another attempt is open" $F/responses.rs \
    "let is_alone = unsent || forward.open_attempts.is_empty();" \
    "let is_alone = unsent || forward.open_attempts.len() < 9;" peatgrade-gateway third_engine
plant "quarantine: correlated crashes convict at the regular threshold" $Q/ledger.rs \
    "true => CRASHES_TO_CONVICT_CORRELATED," "true => CRASHES_TO_CONVICT," \
    peatgrade-quarantine correlated_requests
plant "quarantine: a completed request keeps its crashes" $Q/ledger.rs \
    "self.crashes.retain(|_, at| *at > completed);" "let _ = completed;" \
    peatgrade-quarantine ""
plant "quarantine: a long run is suspected of a crash" $Q/evidence.rs \
    "now.since(at) <= MAX_SUSPECT_RUN_AGE" "now.since(at) >= Duration(0)" \
    peatgrade-jobs not_the_cause
plant "quarantine: a convicted item is held" $J/dispatcher/suspects.rs \
    "crashes.age >= MAX_RETRY_DELAY" "false" \
    peatgrade-jobs wait_for_a_second_engine_that_never
plant "quarantine: the delay of a reward call never ends" $J/dispatcher/suspects.rs \
    ".min(MAX_RETRY_DELAY)" ".max(Duration(u64::MAX / 2))" \
    peatgrade-jobs a_reward_call_under_which
plant "quarantine: a convicted item is not delayed" $J/dispatcher/suspects.rs \
    "self.age >= self.retry_delay()" "self.age >= Duration(0)" \
    peatgrade-jobs crashes_every_engine
plant "quarantine: every crash lengthens the delay" crates/quarantine/src/ledger.rs \
    "apart <= COINCIDENCE &&" "false &&" \
    peatgrade-jobs many_engines_crashed_at_once
plant "quarantine: a convicted reward call is refused" crates/forward/src/quarantine.rs \
    "forward.quarantine_policy == QuarantinePolicy::Refuse
        && matches" "matches" \
    peatgrade-platform reward_call_is_made_again
plant "placement: full engines displace free ones" crates/jobs/src/placement/mod.rs \
    "free.then(cost(a)" "std::cmp::Ordering::Equal.then(cost(a)" \
    peatgrade-jobs fastest_hundred
plant "client: bodies without end are read" crates/runtime/src/http_client.rs \
    "if body_bytes > self.options.max_body_bytes {" "if false {" \
    peatgrade-platform without_end
plant "client: interim responses without end are read" crates/runtime/src/response_reader.rs \
    "&& skipped > MAX_HEAD_BYTES" "&& skipped > usize::MAX - 1" \
    peatgrade-platform without_end
plant "suspend: the clock stops while the machine is suspended" crates/runtime/src/boot_clock.rs \
    "Self(read_clock(libc::CLOCK_BOOTTIME))" "Self(read_clock(libc::CLOCK_MONOTONIC))" \
    peatgrade-platform was_suspended

G=crates/gateway/src
M=crates/metering/src
plant "an API key is forwarded to an engine" platform/src/names.rs "ENGINE_CONTROL_HEADERS: [&str; 11] = [
    API_KEY," "ENGINE_CONTROL_HEADERS: [&str; 10] = [" peatgrade-platform engine_requests_carry_only
plant "a caller's tenant header is forwarded to an engine" platform/src/names.rs "ENGINE_CONTROL_HEADERS: [&str; 11] = [
    API_KEY,
    TENANT," "ENGINE_CONTROL_HEADERS: [&str; 10] = [
    API_KEY," peatgrade-platform engine_requests_carry_only
plant "an API key is left in the request headers" platform/src/callers.rs "ApiKey::new(std::mem::take(value)));
        }
        !is_key" "ApiKey::new(value.clone()));
        }
        true" peatgrade-platform messages_carry_the_key_digest
plant "a key digest is printed by Debug" crates/authentication/src/key.rs \
    'formatter.write_str("KeyDigest(..)")' 'write!(formatter, "{:?}", self.0)' \
    peatgrade-authentication debug_output_redacts
plant "an unknown API key is accepted" crates/authentication/src/tenants.rs \
    "self.by_key.get(&key).ok_or(AuthError::UnknownKey)?" "self.by_key.get(&key).unwrap_or(&0)" \
    peatgrade-authentication ""
plant "keys are accepted from a stale store" $G/gateway.rs "self.store_staleness >= limit" "false && self.store_staleness >= limit" \
    peatgrade-gateway keys_are_not_accepted
plant "another tenant reads a job" crates/jobs/src/job.rs \
    "self.spec.tenant.is_empty() || self.spec.tenant == tenant" "tenant.len() < usize::MAX" \
    peatgrade-jobs tenant_cannot_end
plant "kept texts are not bound to a tenant" crates/jobs/src/item.rs \
    "tenant: self.spec.tenant.clone()," "tenant: String::new()," peatgrade-jobs ""
plant "a metering batch is counted twice" $M/ledger.rs "if !self.is_counted(batch.meter, batch.sequence) {" \
    "if true {" peatgrade-metering ""
plant "a batch is not resent after the resend interval" $M/meter.rs "if now.since(outstanding.sent_at) < RESEND_INTERVAL {" \
    "if true {" peatgrade-metering ""
plant "a window is decided twice" $M/ledger.rs "            return;
        }
        self.last_decided = Some((window, index));" "        }
        self.last_decided = Some((window, index));" peatgrade-metering ""
plant "reports are sent within another holder's lease" $M/reporter.rs "!self.is_fenced && is_exclusive" \
    "!self.is_fenced" peatgrade-metering ""
plant "reports continue with a rejected fencing token" $M/reporter.rs "self.is_fenced = true;" "" \
    peatgrade-metering ""
plant "a window is decided before its counts are complete" $M/reporter.rs "is_due && (is_complete || is_forced)" \
    "is_due" peatgrade-metering ""
plant "the log is truncated past a decision still needed" $M/ledger.rs ".chain(decided).min()" ".min()" \
    peatgrade-metering log_entries_that_are_needed
plant "alternating holders send orders without a lease in between" crates/fleet/src/order_history.rs "if last.holder == holder {" \
    "if rules.fences_checked {" peatgrade-fleet ""
plant "versions are not published" crates/mirror/src/publisher.rs \
    "request.wants_versions || kind != ObjectKind::Versions" "kind != ObjectKind::Versions" \
    peatgrade-mirror versions
plant "an end call before the first configuration is not deferred" $G/gateway.rs \
    "if self.deferred_end_calls.push(now, call, end.job, key) {" \
    "if false && self.deferred_end_calls.push(now, call, end.job, key) {" peatgrade-gateway an_end
plant "late windows are decided without waiting for queued counts" $M/reporter.rs "(has_waited && is_complete)" "true" \
    peatgrade-metering ""
plant "a failed proposal is recorded outside a leader session" crates/server/src/storage/leader_session.rs \
    "self.has_failed_proposal = self.is_active;" "self.has_failed_proposal = true;" peatgrade-server leader_session
plant "a new leader session inherits a failed proposal" crates/server/src/storage/leader_session.rs \
    "has_failed_proposal: false," "has_failed_proposal: self.has_failed_proposal," peatgrade-server leader_session
plant "requests in flight are dropped at shutdown" crates/server/src/gateway_process/shutdown.rs \
    "(in_flight == 0 || stopping >= last_moment)" "true" peatgrade-server shutdown
F=crates/forward/src
plant "a request that never connected counts as possibly run" $F/timers.rs \
    "forward.may_have_run |= open.any(|id| attempts.get(id).is_some_and(|a| a.is_connected));" \
    "let _ = attempts; forward.may_have_run |= open.next().is_some();" peatgrade-gateway unavailable_engines
plant "the connect timeout is not applied to an unreachable engine" $F/timers.rs \
    "now.since(attempt.sent_at) >= attempt.connect_timeout" \
    "now.since(attempt.sent_at) >= Duration(1_000_000)" peatgrade-gateway unavailable_engines
plant "a stalled gateway abandons attempts on the first late check" $F/timers.rs \
    "std::mem::replace(&mut attempt.was_overdue, is_overdue)
                && is_overdue" "is_overdue" \
    peatgrade-gateway unavailable_engines
plant "a hedge spends the retry budget without an available engine" $F/timers.rs "if has_engine && self.take_extra_attempt" \
    "if self.take_extra_attempt" peatgrade-gateway unavailable_engines
plant "a connect failure counts as an attempt" $F/responses.rs "            forward.attempts -= 1;
            forward.connect_failures += 1;" "            forward.connect_failures += 1;" peatgrade-gateway unavailable_engines
plant "later attempts use pooled connections" $F/forwarder.rs " || forward.attempts > 1," "," \
    peatgrade-gateway unavailable_engines
plant "requests are rejected after the engines' backoff ends" $F/admission.rs "is_unreachable && stats.is_backing_off(now)" \
    "is_unreachable" peatgrade-gateway unavailable_engines
plant "unservable requests are not rejected" $F/dispatch.rs "match self.rejects_unservable {" \
    "match false && self.rejects_unservable {" peatgrade-gateway unavailable_engines
plant "retry delays of rejected callers have no jitter" $F/admission.rs "first + draw * spread" \
    "first + 0.0 * draw * spread" peatgrade-forward ""
plant "the retry delay ignores the remaining time" $F/admission.rs \
    "delay.min(Duration(self.time_remaining.0 / DEADLINE_DIVISOR))" "delay" peatgrade-forward ""
plant "the retry budget does not bound extra attempts" $F/retry_budget.rs "let granted = self.tokens >= 1.0 + reserved;" \
    "let granted = self.tokens >= -1e9 + reserved;" peatgrade-forward ""
plant "the connect timeout does not grow after failures" $F/connect_times.rs \
    "first.0 << failures.min(MAX_DOUBLINGS)" "first.0 << failures.min(0)" \
    peatgrade-forward ""
plant "a request is sent on a connection that opens as it is cancelled" crates/runtime/src/http_client.rs \
    "if let Either::Right((Err(failure), _)) = select(cancelled, work).await" \
    "if let Either::Left((Err(failure), _)) = select(work, cancelled).await" \
    peatgrade-runtime ""
plant "a reward call is retried before the requested delay" $J/dispatcher/scoring.rs \
    "|delay| delay.max(REFUSED_BACKOFF)" "|_| REFUSED_BACKOFF" peatgrade-jobs scoring
R=crates/runtime/src
plant "the buffer of an unread response is unbounded" $R/responder.rs "if is_too_much || " "if " \
    peatgrade-runtime unread_response
plant "a client that reads is disconnected as stalled" $R/memory_budget.rs ".is_some_and(|span| span >= STALLED_AFTER)" \
    ".is_none_or(|span| span >= STALLED_AFTER)" peatgrade-runtime largest_stalled
plant "request body bytes are not charged to the memory budget" $R/server_limits.rs "self.reserved.borrow_mut().grow(*count).is_err()" \
    "false" peatgrade-runtime body_over_budget

E=crates/fleet/src
plant "state is kept across a restart of the engine" $E/directory/list.rs \
    "StartComparison::Later => {
                return self.end_incarnation(now, &instance, record, \"later-start\")
            }" "StartComparison::Later => {}" peatgrade-fleet ""
plant "a late heartbeat restores the previous incarnation" $E/directory/list.rs \
    "StartComparison::Earlier => return," "StartComparison::Earlier => {}" peatgrade-fleet ""
plant "a request of an ended incarnation counts in the next" $E/directory/identity.rs \
    "state.filter(|state| state.incarnation == incarnation)" \
    "state.filter(|state| state.incarnation == incarnation || true)" peatgrade-fleet ""
plant "the order count of an ended incarnation is used for the next" $E/coordinator/mod.rs \
    "directory.incarnation(instance) == Some(progress.incarnation)" \
    "directory.incarnation(instance).map(|_| progress.incarnation).is_some()" \
    peatgrade-fleet ""
plant "a report of an ended incarnation is accepted" $E/coordinator/answers.rs \
    "report.filter(|_| comparison != Some(StartComparison::Earlier))" "report.filter(|_| comparison.is_some())" \
    peatgrade-fleet ""
plant "an absent engine is probed without a pause" $E/directory/identity.rs \
    "self.absence.is_some_and(|absence| absence.is_paused(now))" \
    "self.absence.is_some_and(|absence| absence.is_paused(now)) && false" peatgrade-fleet ""
plant "the pause of an absent engine does not grow" $E/incarnation.rs \
    "1_u64 << self.misses.min(MAX_DOUBLINGS)" "1_u64 << 0" peatgrade-fleet ""
plant "items are placed on an absent engine" $J/placement/mod.rs \
    "        && !state.is_absent(now)
" "" peatgrade-jobs restarts
plant "requests are sent to an absent engine" crates/forward/src/selection.rs \
    "untried.filter(|state| !state.is_absent(self.now))" "untried" peatgrade-gateway restarts
plant "a run waits for an ended incarnation" $J/dispatcher/migration.rs \
    "if state.incarnation != run.incarnation {" "if false && state.incarnation != run.incarnation {" \
    peatgrade-jobs restarts
plant "a run with recent output is not kept after a restart" $J/dispatcher/restarts.rs \
    "let is_active = now.since(last_output) < RECENT_OUTPUT;" "let is_active = now < last_output;" \
    peatgrade-jobs restarts
plant "a probe ignores the incarnation in the report" crates/forward/src/quarantine.rs \
    "directory.record_report(now, &probe.instance, &report);" "let _ = report;" \
    peatgrade-gateway restarts
plant "requests wait for an ended incarnation" crates/forward/src/timers.rs \
    "self.fail_over_restarted_engines(now, directory, actions);" "" peatgrade-gateway restarts
plant "an unknown engine state counts as ready" platform/src/objects.rs \
    'other => return Err(format!("unknown state {other:?}")),' "_ => false," \
    peatgrade-platform malformed_entry
plant "an unreadable entry fails the whole page" platform/src/objects.rs \
    "Err(error) => return unreadable(String::new(), error.to_string())," \
    "Err(error) => panic!(\"{error}\")," peatgrade-platform entry_without_name
plant "an engine with an unreadable entry is still published" crates/mirror/src/publisher.rs \
    "if *kind == ObjectKind::Engines =>" "if *kind == ObjectKind::Replicas =>" \
    peatgrade-mirror unreadable

plant "crashes of several incarnations count as one" crates/quarantine/src/quarantine.rs \
    'format!("{engine} {started}").as_bytes()' 'format!("{engine}{}", started.0 * 0).as_bytes()' \
    peatgrade-fleet ""
plant "an item avoids the next incarnation of an engine" $J/dispatcher/starting.rs \
    "(!directory.has_ended(engine, *incarnation)).then_some(engine)" \
    "(directory.len() > 0 || incarnation == incarnation).then_some(engine)" peatgrade-jobs restarts

O=crates/observations/src
plant "an engine is avoided after the report of one source" $O/peer_observations.rs "const MIN_FAILING_SOURCES: usize = 2;" \
    "const MIN_FAILING_SOURCES: usize = 1;" peatgrade-observations one_source
plant "reports of an earlier incarnation are accepted" $O/peer_observations.rs \
    "seen.started == started || seen.started.is_none() || started.is_none()" "true" \
    peatgrade-observations earlier_incarnation
plant "local observations do not override reports" $O/peer_observations.rs \
    "trusted.filter(|failure| failure.observed_at > local.last_response)" "trusted.filter(|_| true)" \
    peatgrade-observations overrides
plant "contradicted sources are trusted" $O/reliability.rs \
    "*contradicted >= MIN_CONTRADICTED_REPORTS && contradicted * 2 > *all" "false && contradicted > all" \
    peatgrade-fleet contradicted
plant "a machine with a suspect link reports failures" crates/fleet/src/observation_exchange.rs \
    "observation.indicates_failure() && link_is_suspect" "false && link_is_suspect" \
    peatgrade-fleet reports_no_failure
plant "observations without a byte limit" $O/outbox.rs "if bytes > max_bytes {" "if false {" \
    peatgrade-observations bounded
plant "ages of observations are sent as zero" $O/wire.rs "age: now.since(observation.observed_at).0," "age: 0," \
    peatgrade-observations carry_ages
plant "reports of peers alone reject requests" crates/forward/src/admission.rs \
    "is_unreachable && stats.is_backing_off(now)" "is_unreachable && snapshot.is_avoided" \
    peatgrade-gateway own_failure_last_longer
plant "engine selection always prefers the best engine" crates/fleet/src/two_choices.rs \
    "as f64).recip()" "as f64).powi(-40)" peatgrade-fleet overrun

P=crates/scheduling/src
plant "surplus groups are kept" $P/plan.rs \
    "let kept = wanted.max(required.count()).min(own.len());" \
    "let kept = wanted.max(required.count()).max(own.len());" peatgrade-scheduling ""
plant "a group yields to a group of lower priority" $P/plan.rs \
    "through_late.filter(|(_, group)| group.priority == priority)" "through_late.filter(|_| true)" \
    peatgrade-scheduling ""
plant "the priority delay is left out of the order" $P/order.rs "step.deadline + step.priority_delay()," "step.deadline," \
    peatgrade-jobs scarcity
plant "low priorities have no guaranteed share" $P/order.rs "*shortfall = guaranteed.saturating_sub(running[*flow]);" \
    "*shortfall = 0 * guaranteed;" peatgrade-scheduling guaranteed
plant "jobs that cannot meet their deadline are admitted" $P/admission.rs "if earliest <= time_limit {" "if earliest >= 0.0 {" \
    peatgrade-scheduling ""
plant "the queue is reordered on every poll" $J/dispatcher/queue.rs "self.is_stale" "true" \
    peatgrade-jobs the_cost_of_a_poll
plant "a rejected job receives the default retry delay" $G/relay/answers.rs \
    "millis => Duration::from_millis(millis)," "_ => DEFAULT_NO_ROOM_RETRY_AFTER," peatgrade-gateway a_refused_job

exit $unnoticed
