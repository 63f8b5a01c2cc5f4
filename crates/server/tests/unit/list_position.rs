use super::*;

fn position(names: &[&str]) -> ListPosition {
    let mut position = ListPosition::default();
    position.advance(names.iter().map(|name| ListCursor::from(*name)).collect());
    position
}

#[test]
fn earlier_names_are_tried_down_to_the_first() {
    let mut position = position(&["a", "b", "c", "d", "e", "f", "g", "h"]);
    let mut tried = vec![position.cursor().cloned().unwrap()];
    while position.step_back() {
        tried.push(position.cursor().cloned().unwrap());
    }
    assert_eq!(tried, ["h", "g", "e", "a"].map(ListCursor::from));
}

#[test]
fn page_of_500_names_is_crossed_in_few_calls() {
    let names = (0..500).map(|number| ListCursor::from(number.to_string()));
    let mut position = ListPosition::default();
    position.advance(names.collect());
    let mut calls = 0;
    while position.step_back() {
        calls += 1;
    }
    assert!(calls <= 10, "{calls}");
}

#[test]
fn start_of_a_list_has_no_name() {
    let mut position = ListPosition::default();
    assert_eq!(position.cursor(), None);
    assert!(!position.step_back());
}

#[test]
fn name_is_left_after_repeated_calls_without_a_response() {
    let mut position = position(&["a", "b"]);
    let lost: Vec<bool> = (0..3).map(|_| position.record_lost_call()).collect();
    assert_eq!(lost, [false, false, true]);
    assert!(position.step_back());
    assert!(!position.record_lost_call());
}
