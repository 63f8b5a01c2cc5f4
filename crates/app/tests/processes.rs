//! What `peatgradectl processes` makes of metrics.

use peatgrade::ctl::processes::{line, read_state, warning};

const LEADER: &str = "# HELP peatgrade_state Present state of the process
peatgrade_state{name=\"leads\"} 1
peatgrade_state{name=\"members\"} 2
peatgrade_state{name=\"members_wanted\"} 3
peatgrade_state{name=\"term\"} 7
peatgrade_state{name=\"log_bytes\"} 2500000
peatgrade_events_total{event=\"paused\"} 4
";

#[test]
fn a_leader_without_all_copies_stands_out() {
    let state = read_state(LEADER);
    assert_eq!(state["term"], 7.0);
    assert_eq!(state.len(), 5, "other metrics are no state");
    let line = line("10.0.0.1:9464", Some(&state));
    assert!(line.contains("leads"), "{line}");
    assert!(line.contains("members 2/3"), "{line}");
    assert!(line.contains("log 2.5 MB"), "{line}");
    assert!(line.ends_with("COPIES MISSING"), "{line}");
}

#[test]
fn a_group_that_tolerates_no_loss_is_named_first() {
    let leader = |losses: u32| {
        read_state(&format!(
            "{LEADER}peatgrade_state{{name=\"works_as_leader\"}} 1\n\
             peatgrade_state{{name=\"retirements_open\"}} 1\n\
             peatgrade_state{{name=\"tolerated_losses\"}} {losses}\n"
        ))
    };
    let follower = read_state("peatgrade_state{name=\"leads\"} 0\n");
    let (whole, bare) = (leader(1), leader(0));
    assert_eq!(warning(&[("a", Some(&whole)), ("b", None)]), None);
    assert_eq!(warning(&[("a", Some(&follower)), ("b", None)]), None);
    let text = warning(&[("a", Some(&follower)), ("b", Some(&bare)), ("c", None)]).unwrap();
    assert!(text.contains("leader b, members 2 of 3"), "{text}");
    assert!(text.contains("1 processes do not answer"), "{text}");
    assert!(text.contains("1 retirements wait"), "{text}");
}

#[test]
fn roles_are_told_apart() {
    let gateway = read_state("peatgrade_state{name=\"ready\"} 0\n");
    assert!(line("a", Some(&gateway)).contains("gateway  NOT READY"));
    let spare = read_state("peatgrade_state{name=\"leads\"} 0\n");
    assert!(line("a", Some(&spare)).contains("storage  spare"));
    assert!(line("a", None).ends_with("does not answer"));
}
