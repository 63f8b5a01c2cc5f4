//! Routes whose texts one version of the weights must make.

use crate::completed;
use crate::dispatch::{engine, Harness};
use peatgrade_jobs::RunPart;
use peatgrade_ports::Instance;

fn single_version_scene(engines: &[(&str, u64)]) -> Harness {
    let records = engines.iter().map(|(name, version)| engine(name, *version));
    let mut scene = Harness::new(records.collect());
    scene.change_routes(|routes| routes[0].single_version = true);
    scene
}

#[test]
fn a_text_of_one_version_goes_on_only_where_that_version_is() {
    let mut scene = single_version_scene(&[("a", 5), ("b", 6), ("c", 5)]);
    scene.submit("j", 5, &["i"]);
    scene
        .directory
        .get_mut(&Instance("c".into()))
        .unwrap()
        .stats
        .in_flight = 4;
    scene
        .directory
        .get_mut(&Instance("b".into()))
        .unwrap()
        .stats
        .in_flight = 4;
    scene.poll();
    let first = scene.last_started();
    assert_eq!(first.engine, "a");
    scene.head(first.run, 200, 5);
    // New weights arrive in the middle: what they made is not taken.
    scene.data(first.run, "1|0|one\n2|6|TWO\n");
    assert_eq!(scene.cancelled, vec![first.run]);
    scene
        .directory
        .record_version(&Instance("a".into()), "m", 6);
    scene
        .directory
        .get_mut(&Instance("b".into()))
        .unwrap()
        .stats
        .in_flight = 0;
    scene.wait(100);
    assert_eq!(scene.started.len(), 1, "b has room, but another version");
    scene
        .directory
        .get_mut(&Instance("c".into()))
        .unwrap()
        .stats
        .in_flight = 0;
    scene.wait(100);
    let second = scene.last_started();
    assert_eq!((second.engine.as_str(), second.after), ("c", Some(1)));
    scene.head(second.run, 200, 5);
    scene.data(second.run, "2|0|two\n");
    scene.part(second.run, RunPart::End);
    scene.poll();
    assert_eq!(scene.results("j"), vec![completed("i", "one\ntwo", &[5])]);
}

#[test]
fn a_text_whose_version_is_nowhere_any_more_is_made_anew() {
    let mut scene = single_version_scene(&[("a", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let first = scene.last_started().run;
    scene.head(first, 200, 5);
    scene.data(first, "1|0|one\n2|0|two\n3|0|three\n");
    // These three stand in the log now.
    scene.wait(200);
    scene.data(first, "4|6|FOUR\n");
    scene
        .directory
        .record_version(&Instance("a".into()), "m", 6);
    scene.wait(700);
    scene.wait(700);
    let again = scene.last_started();
    assert_ne!(again.run, first);
    assert_eq!(again.after, None);
    scene.head(again.run, 200, 6);
    scene.data(again.run, "1|0|EINS\n2|0|ZWEI\n3|0|DREI\n4|0|VIER\n");
    scene.wait(200);
    scene.part(again.run, RunPart::End);
    scene.poll();
    let text = "EINS\nZWEI\nDREI\nVIER";
    assert_eq!(scene.results("j"), vec![completed("i", text, &[6])]);
}

#[test]
fn a_text_of_several_versions_does_not_come_back_where_one_is_wanted() {
    let mut scene = Harness::new(vec![engine("a", 5)]);
    scene.submit("j", 5, &["i"]);
    scene.poll();
    let run = scene.last_started().run;
    scene.head(run, 200, 5);
    scene.data(run, "1|0|one\n2|6|two\n");
    scene.part(run, RunPart::End);
    scene.poll();
    scene
        .directory
        .record_version(&Instance("a".into()), "m", 6);
    scene.change_routes(|routes| routes[0].single_version = true);
    scene.submit("k", 5, &["i"]);
    scene.poll();
    assert_eq!(scene.results("k"), vec![], "not listed again");
    assert_eq!(scene.last_started().after, None, "but made anew");
}
