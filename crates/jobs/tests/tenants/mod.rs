//! Tenants of items: what engines are told, and which texts are resumed.

use crate::dispatch::{engine, Harness};
use rstest::rstest;

/// Guards against resuming another tenant's text, from the cache or from the log, for an
/// item with the same id and body.
#[rstest]
#[case::same("leeds", Some(3))]
#[case::another("derby", None)]
fn text_is_resumed_for_its_own_tenant_only(
    #[case] tenant: &str,
    #[case] after: Option<u64>,
    #[values(true, false)] new_leader: bool,
) {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    harness.submit_for("leeds", "j", &["i"]);
    harness.poll();
    let run = harness.started[0].run;
    harness.head(run, 200, 5);
    harness.data(run, "1|0|one\n2|0|two\n3|0|three\n");
    if new_leader {
        // Long enough for the events to be logged.
        harness.wait(400);
    }
    harness.end("j");
    if new_leader {
        harness.change_leader();
    }
    harness.submit_for(tenant, "k", &["i"]);
    harness.poll();
    assert_eq!(harness.started.last().unwrap().after, after);
}

#[test]
fn run_request_names_the_tenant() {
    let mut harness = Harness::new(vec![engine("a", 5)]);
    harness.submit_for("leeds", "j", &["i"]);
    harness.poll();
    assert_eq!(harness.started[0].tenant, "leeds");
}
