//! Results that complete nothing wait; what a trainer waits for does not.

use super::*;
use peatgrade_schema::replication::JobItem;
use rstest::rstest;

const NOTHING: [usize; 0] = [];

fn ms(at: u64) -> Time {
    Time(at * 1_000)
}

/// Four items in groups of two, of which a trainer desires so many, due after 7 s.
fn listing(desired: u64, is_listed: impl Fn(usize) -> bool) -> JobListing {
    let items = ["a", "a", "b", "b"].iter().map(|group| JobItem {
        group: group.to_string(),
        ..JobItem::default()
    });
    let spec = AcceptJob {
        desired,
        items: items.collect(),
        ..AcceptJob::default()
    };
    JobListing::new(&spec, ms(1_000), Duration::from_millis(7_000), is_listed)
}

fn whole(item: usize) -> Finished {
    Finished::Whole(item, String::new())
}

/// Items listed at a moment.
fn due(listing: &mut JobListing, at: u64) -> Vec<usize> {
    let due = listing.take_due(ms(at));
    due.iter().map(Finished::item).collect()
}

#[test]
fn what_completes_nothing_waits_for_the_next_listing() {
    let mut listing = listing(2, |_| false);
    listing.add(whole(0));
    listing.add(whole(2));
    assert_eq!(due(&mut listing, 2_999), NOTHING);
    assert_eq!(due(&mut listing, 3_000), [0, 2]);
    listing.add(whole(1));
    assert_eq!(due(&mut listing, 3_001), NOTHING, "one group is not enough");
    assert_eq!(listing.waiting(), 1);
}

#[test]
fn what_makes_the_desired_groups_whole_is_listed_at_once_and_all_after_it() {
    let mut listing = listing(1, |_| false);
    listing.add(whole(0));
    listing.add(whole(2));
    assert_eq!(due(&mut listing, 1_100), NOTHING);
    listing.add(whole(1));
    assert_eq!(due(&mut listing, 1_101), [0, 2, 1]);
    listing.add(whole(3));
    assert_eq!(due(&mut listing, 1_102), [3]);
    assert_eq!(due(&mut listing, 9_000), NOTHING, "nothing is left");
}

#[test]
fn what_is_nearly_due_is_listed_at_once() {
    let mut listing = listing(2, |_| false);
    assert_eq!(due(&mut listing, 7_600), NOTHING);
    listing.add(whole(0));
    assert_eq!(due(&mut listing, 7_600), [0], "the pace allows it");
    listing.add(whole(1));
    assert_eq!(due(&mut listing, 7_899), NOTHING);
    assert_eq!(due(&mut listing, 7_900), [1], "0.1 s before 8 s");
    listing.add(whole(2));
    assert_eq!(due(&mut listing, 7_901), [2]);
}

/// A new leader counts what earlier ones have listed.
#[test]
fn groups_that_were_listed_before_count() {
    let mut listing = listing(2, |item| item < 3);
    listing.add(whole(3));
    assert_eq!(due(&mut listing, 1_001), [3]);
}

/// Nobody waits for whole groups: each result is listed at once.
#[test]
fn without_a_trainer_nothing_waits() {
    let mut listing = listing(0, |_| false);
    listing.add(whole(2));
    assert_eq!(due(&mut listing, 1_001), [2]);
}

/// An item that was given up leaves its group as whole as it gets.
#[rstest]
#[case::given_up(false)]
#[case::listed_again(true)]
fn a_result_that_stands_as_it_is_counts_for_its_group(#[case] completed: bool) {
    let mut listing = listing(1, |_| false);
    listing.add(whole(0));
    listing.add(Finished::Ready(ItemResult {
        item: 1,
        completed,
        ..ItemResult::default()
    }));
    assert_eq!(due(&mut listing, 1_001), [0, 1]);
}
