//! Reward calls under which engines crash.

use peatgrade_jobs::RunPart;
use peatgrade_ports::Instance;
use peatgrade_quarantine::{Fingerprint, RequestParts, RetryScope};

use super::{harness, reward_call, submit};
use crate::dispatch::Harness;

/// Guards against texts that stay without a score because engines crashed under their reward
/// calls, and against calls that take down one engine after the other.
#[test]
fn a_reward_call_under_which_engines_crashed_is_delayed_and_made() {
    let mut harness = harness();
    let call = reward_call("score-i");
    let crashed = Fingerprint::of(&RequestParts {
        method: "POST",
        host: &call.host,
        path: &call.path,
        headers: &[],
        body: &call.body,
        tenant: "",
    });
    for number in 0..4 {
        let engine = Instance(format!("gone-{number}"));
        let quarantine = &mut harness.directory.quarantine;
        let scope = RetryScope::AnyNode;
        quarantine.record_interrupted_run(harness.now, &engine, crashed, scope);
        quarantine.record_engine_crash(harness.now, &engine, None);
    }
    submit(&mut harness, "j", &["i", "other"]);
    harness.poll();
    for run in harness.started.clone() {
        harness.head(run.run, 200, 5);
        harness.data(run.run, "1|0|one\n");
        harness.part(run.run, RunPart::End);
    }
    let called = |harness: &Harness| -> Vec<String> {
        let calls = harness.score_calls.iter();
        calls.map(|(_, call)| call.request.id.clone()).collect()
    };
    harness.wait(400);
    assert_eq!(called(&harness), ["score-other"]);
    harness.wait(200);
    assert_eq!(called(&harness), ["score-other", "score-i"]);
}
