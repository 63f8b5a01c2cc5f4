//! What is expected of a text, by its guess, by what came of others and of itself.

use super::*;
use rstest::rstest;

/// Texts whose guess of 850 was right nine times of ten; the others are five times longer.
fn learnt() -> LengthEstimator {
    let mut lengths = LengthEstimator::default();
    for text in 0..200 {
        let events = if text % 10 == 0 { 50 } else { 10 };
        lengths.record_length("m", 850, events);
    }
    lengths
}

#[rstest]
#[case::begun(0, 850, 11.0, 17.0)]
#[case::guessed_twice_as_long(0, 1_700, 22.0, 34.0)]
#[case::nearly_done(8, 850, 3.0, 9.0)]
#[case::longer_than_most(15, 850, 30.0, 40.0)]
#[case::longer_than_all(80, 850, 40.0, 40.0)]
fn what_has_come_rules_out_shorter_texts(
    #[case] made: usize,
    #[case] guess: u64,
    #[case] least: f64,
    #[case] most: f64,
) {
    let rest = learnt().remaining("m", guess, made);
    assert!(
        rest.mean_events >= least && rest.mean_events <= most,
        "{rest:?}"
    );
}

#[test]
fn most_texts_are_no_longer_than_the_most_expected() {
    let mut lengths = LengthEstimator::default();
    for text in 0..300_usize {
        lengths.record_length("m", 1_000, 10 + text % 100);
    }
    let rest = lengths.remaining("m", 1_000, 0);
    assert!(
        rest.mean_events > 45.0 && rest.mean_events < 75.0,
        "{rest:?}"
    );
    assert!(rest.upper_events > 85.0, "{rest:?}");
}

#[test]
fn before_any_text_is_whole_a_longer_guess_means_a_longer_text() {
    let mut lengths = LengthEstimator::default();
    lengths.record_hints("m", [800, 1_000, 1_250].into_iter());
    let usual = lengths.remaining("m", 1_000, 0);
    let long = lengths.remaining("m", 5_000, 0);
    assert!(
        usual.mean_events > 15.0 && usual.mean_events < 35.0,
        "{usual:?}"
    );
    assert!(long.mean_events > 4.0 * usual.mean_events, "{long:?}");
}

#[test]
fn a_few_whole_texts_say_nothing_yet() {
    let mut lengths = LengthEstimator::default();
    lengths.record_hints("m", [1_000; 10].into_iter());
    let before = lengths.remaining("m", 1_000, 0);
    for _ in 0..10 {
        lengths.record_length("m", 1_000, 1);
    }
    assert_eq!(lengths.remaining("m", 1_000, 0), before);
}

#[test]
fn texts_that_change_are_followed() {
    let mut lengths = learnt();
    for _ in 0..3_000 {
        lengths.record_length("m", 850, 40);
    }
    let rest = lengths.remaining("m", 850, 0);
    assert!(
        rest.mean_events > 35.0 && rest.mean_events < 45.0,
        "{rest:?}"
    );
}

#[test]
fn models_are_bounded() {
    let mut lengths = LengthEstimator::default();
    for model in 0..1_000 {
        lengths.record_length(&format!("m{model}"), 100, 10);
    }
    assert_eq!(lengths.models.len(), MAX_MODELS);
    // One more is expected to be as any unknown one.
    assert_eq!(
        lengths.remaining("m999", 100, 0),
        LengthEstimator::default().remaining("m", 100, 0)
    );
}
