//! Estimates of remaining events from hints, recorded texts and produced events.

use super::*;
use rstest::rstest;

/// Texts with a hint of 850, of which nine in ten have 10 events and the others 50.
fn trained() -> LengthEstimator {
    let mut lengths = LengthEstimator::default();
    for text in 0..200 {
        let events = if text % 10 == 0 { 50 } else { 10 };
        lengths.record_length("m", 850, events);
    }
    lengths
}

#[rstest]
#[case::no_events(0, 850, 11.0, 17.0)]
#[case::double_hint(0, 1_700, 22.0, 34.0)]
#[case::nearly_complete(8, 850, 3.0, 9.0)]
#[case::longer_than_most(15, 850, 30.0, 40.0)]
#[case::longer_than_all(80, 850, 40.0, 40.0)]
fn produced_events_rule_out_shorter_texts(
    #[case] produced: usize,
    #[case] hint: u64,
    #[case] min: f64,
    #[case] max: f64,
) {
    let rest = trained().remaining("m", hint, produced);
    assert!(
        rest.mean_events >= min && rest.mean_events <= max,
        "{rest:?}"
    );
}

#[test]
fn upper_bound_covers_most_texts() {
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
fn without_complete_texts_the_estimate_scales_with_the_hint() {
    let mut lengths = LengthEstimator::default();
    lengths.record_hints("m", [800, 1_000, 1_250].into_iter());
    let average = lengths.remaining("m", 1_000, 0);
    let long = lengths.remaining("m", 5_000, 0);
    assert!(
        average.mean_events > 15.0 && average.mean_events < 35.0,
        "{average:?}"
    );
    assert!(long.mean_events > 4.0 * average.mean_events, "{long:?}");
}

#[test]
fn few_complete_texts_do_not_change_the_estimate() {
    let mut lengths = LengthEstimator::default();
    lengths.record_hints("m", [1_000; 10].into_iter());
    let before = lengths.remaining("m", 1_000, 0);
    for _ in 0..10 {
        lengths.record_length("m", 1_000, 1);
    }
    assert_eq!(lengths.remaining("m", 1_000, 0), before);
}

#[test]
fn estimate_adapts_to_changing_lengths() {
    let mut lengths = trained();
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
    // Further models are estimated as unknown ones.
    assert_eq!(
        lengths.remaining("m999", 100, 0),
        LengthEstimator::default().remaining("m", 100, 0)
    );
}
