//! From the logs of several processes to one request's story.

use peatgrade::ctl::explain::{explain, LogLine};

fn lines(texts: &[&str]) -> Vec<LogLine> {
    texts
        .iter()
        .filter_map(|text| LogLine::parse(text))
        .collect()
}

const LOG: [&str; 7] = [
    r#"1.0 gw-1 {"time_ms":1000,"node":"gw-1","level":"INFO","target":"t","belief":"engine","instance":"e1","draining":"false"}"#,
    r#"{"time_ms":1100,"node":"gw-1","level":"INFO","target":"t","belief":"engine-gone","instance":"other"}"#,
    r#"{"time_ms":2000,"node":"gw-1","level":"INFO","target":"t","decision":"send","request":"r1","engine":"e1","list_age_ms":"40"}"#,
    r#"{"time_ms":2010,"node":"gw-1","level":"INFO","target":"t","decision":"send","request":"r2","engine":"e1"}"#,
    r#"{"time_ms":2100,"node":"gw-1","level":"INFO","target":"t","decision":"attempt-failed","request":"r1","engine":"e1","error":"reset"}"#,
    r#"{"time_ms":2101,"node":"gw-1","level":"INFO","target":"t","decision":"refuse","request":"r1","refusal":"Unknown"}"#,
    "no document at all",
];

#[test]
fn the_lines_of_a_request_stand_in_order_with_what_was_believed() {
    let story = explain("r1", &lines(&LOG)).unwrap();
    let marked: Vec<&String> = story.iter().filter(|line| line.starts_with("* ")).collect();
    assert_eq!(marked.len(), 3);
    assert!(marked[0].contains("0 ms") && marked[0].contains("list_age_ms=40"));
    assert!(marked[1].contains("100 ms"));
    assert!(story.iter().any(|line| line.contains("belief=engine ")));
    assert!(!story.iter().any(|line| line.contains("instance=other")));
    assert!(!story.iter().any(|line| line.contains("request=r2")));
    let last = story.last().unwrap();
    assert!(last.starts_with("decided by:") && last.contains("decision=refuse"));
}

#[test]
fn an_id_that_nobody_names_is_told_so() {
    assert!(explain("r9", &lines(&LOG)).is_err());
}

const USAGE: [&str; 4] = [
    r#"{"time_ms":1000,"node":"st-1","level":"INFO","target":"t","decision":"usage","window":"357","requests":"3","fence":"4","counts":"acme:2,beta:1"}"#,
    r#"{"time_ms":1400,"node":"st-1","level":"INFO","target":"t","belief":"usage-report","window":"357","answer":"Unknown","try":"1","fence":"4"}"#,
    r#"{"time_ms":1500,"node":"st-1","level":"INFO","target":"t","decision":"run","item":"357f","engine":"e1"}"#,
    r#"{"time_ms":1900,"node":"st-1","level":"INFO","target":"t","belief":"usage-report","window":"357","answer":"Taken","try":"2","fence":"4"}"#,
];

#[test]
fn a_window_of_usage_has_its_decision_and_all_tries() {
    let story = explain("357", &lines(&USAGE)).unwrap();
    let marked: Vec<&String> = story.iter().filter(|line| line.starts_with("* ")).collect();
    assert_eq!(marked.len(), 3);
    assert!(marked[0].contains("counts=acme:2,beta:1"));
    assert!(marked[2].contains("answer=Taken") && marked[2].contains("fence=4"));
    assert!(story.last().unwrap().contains("decision=usage"));
}

#[test]
fn reports_of_usage_are_no_part_of_an_items_story() {
    let lines = lines(&USAGE[1..]);
    let story = explain("357f", &lines).unwrap();
    assert!(!story.iter().any(|line| line.contains("usage-report")));
}
