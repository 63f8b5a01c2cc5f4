//! Items of tenants: what their engines are told, and whose texts go on.

use crate::dispatch::{engine, Harness};
use rstest::rstest;

/// The item comes back under its id with its body, of the same tenant or of another. The
/// same tenant's goes on after the events that were made; another's begins anew, whether
/// the text is kept in memory or in the log.
#[rstest]
#[case::same("leeds", Some(3))]
#[case::another("derby", None)]
fn a_text_goes_on_for_its_own_tenant_only(
    #[case] tenant: &str,
    #[case] after: Option<u64>,
    #[values(true, false)] new_leader: bool,
) {
    let mut scene = Harness::new(vec![engine("a", 5)]);
    scene.submit_for("leeds", "j", &["i"]);
    scene.poll();
    let run = scene.started[0].run;
    scene.head(run, 200, 5);
    scene.data(run, "1|0|one\n2|0|two\n3|0|three\n");
    if new_leader {
        // Long enough for the log to have the events.
        scene.wait(400);
    }
    scene.end("j");
    if new_leader {
        scene.change_leader();
    }
    scene.submit_for(tenant, "k", &["i"]);
    scene.poll();
    assert_eq!(scene.started.last().unwrap().after, after);
}

#[test]
fn engines_are_told_the_tenant_of_an_item() {
    let mut scene = Harness::new(vec![engine("a", 5)]);
    scene.submit_for("leeds", "j", &["i"]);
    scene.poll();
    assert_eq!(scene.started[0].tenant, "leeds");
}
