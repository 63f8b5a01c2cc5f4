//! Results that complete nothing wait; what a trainer waits for does not.

use super::*;
use peatgrade_schema::replication::JobItem;
use rstest::rstest;

const NOTHING: [usize; 0] = [];

fn ms(at: u64) -> Time {
    Time(at * 1_000)
}

/// Four items in groups of two, of which a trainer desires so many, due after 7 s.
fn listing(desired: u64, is_listed: impl Fn(usize) -> bool) -> ListingQueue {
    let items = ["a", "a", "b", "b"].iter().map(|group| JobItem {
        group: group.to_string(),
        ..JobItem::default()
    });
    let spec = AcceptJob {
        desired,
        items: items.collect(),
        ..AcceptJob::default()
    };
    ListingQueue::new(&spec, ms(1_000), Duration::from_millis(7_000), is_listed)
}

fn whole(item: usize) -> PendingResult {
    PendingResult::Complete(item, String::new())
}

/// Items listed at a moment.
fn due(listing: &mut ListingQueue, at: u64) -> Vec<usize> {
    let due = listing.take_due(ms(at));
    due.iter().map(PendingResult::item).collect()
}

#[test]
fn what_completes_nothing_waits_for_the_next_listing() {
    let mut listing = listing(2, |_| false);
    listing.push(whole(0));
    listing.push(whole(2));
    assert_eq!(due(&mut listing, 2_999), NOTHING);
    assert_eq!(due(&mut listing, 3_000), [0, 2]);
    listing.push(whole(1));
    assert_eq!(due(&mut listing, 3_001), NOTHING, "one group is not enough");
    assert_eq!(listing.len(), 1);
}

#[test]
fn what_makes_the_desired_groups_whole_is_listed_at_once_and_all_after_it() {
    let mut listing = listing(1, |_| false);
    listing.push(whole(0));
    listing.push(whole(2));
    assert_eq!(due(&mut listing, 1_100), NOTHING);
    listing.push(whole(1));
    assert_eq!(due(&mut listing, 1_101), [0, 2, 1]);
    listing.push(whole(3));
    assert_eq!(due(&mut listing, 1_102), [3]);
    assert_eq!(due(&mut listing, 9_000), NOTHING, "nothing is left");
}

#[test]
fn what_is_nearly_due_is_listed_and_once_more_soon_after() {
    let mut listing = listing(2, |_| false);
    assert_eq!(due(&mut listing, 7_600), NOTHING);
    listing.push(whole(0));
    assert_eq!(due(&mut listing, 7_600), [0], "the pace allows it");
    listing.push(whole(1));
    assert_eq!(due(&mut listing, 7_899), NOTHING);
    assert_eq!(due(&mut listing, 7_900), [1], "0.1 s before 8 s");
    listing.push(whole(2));
    assert_eq!(
        due(&mut listing, 8_599),
        NOTHING,
        "the reader was just told"
    );
    assert_eq!(due(&mut listing, 8_600), [2], "0.6 s after 8 s");
}

/// Nothing was there when it was due: the next result is listed as it comes.
#[test]
fn the_first_result_after_the_due_time_does_not_wait() {
    let mut listing = listing(2, |_| false);
    assert_eq!(due(&mut listing, 7_950), NOTHING);
    listing.push(whole(0));
    assert_eq!(due(&mut listing, 8_000), [0]);
}

/// A reader that waits beyond that is told each 1.2 s, and at once what it waits for.
#[test]
fn an_overdue_job_is_listed_at_a_quicker_pace() {
    let mut listing = listing(1, |_| false);
    listing.push(whole(0));
    assert_eq!(due(&mut listing, 8_700), [0]);
    listing.push(whole(2));
    assert_eq!(due(&mut listing, 9_899), NOTHING);
    assert_eq!(due(&mut listing, 9_900), [2]);
    listing.push(whole(1));
    assert_eq!(due(&mut listing, 9_901), [1], "the desired group is whole");
}

/// A reader asks again half a second after it was told something, as trainers do. With
/// the due time 7 s after the job, texts that end all through the two seconds around it,
/// and the last one at each of 60 times, it learns of the last one 0.12 s later on
/// average (0.23 s when each result was listed as it came from the due time on).
#[test]
fn a_reader_learns_soon_of_the_last_result() {
    const ITEMS: usize = 40;
    let spec = AcceptJob {
        desired: 1,
        items: (0..ITEMS)
            .map(|index| JobItem {
                id: format!("i{index}"),
                group: "g".into(),
                ..JobItem::default()
            })
            .collect(),
        ..AcceptJob::default()
    };
    let mut waited = 0;
    for offset in 0..60 {
        let last = 7_100 + offset * 30;
        let deadline = Duration::from_millis(7_000);
        let mut listing = ListingQueue::new(&spec, ms(0), deadline, |_| false);
        let (mut reads_from, mut listed, mut told) = (0, 0, 0);
        let mut next = 0;
        for now in 0..12_000 {
            // All others end evenly between 6 s and the last one.
            let end = |item: usize| 6_000 + (last - 6_000) * item as u64 / (ITEMS as u64 - 1);
            while next < ITEMS && now >= end(next) {
                listing.push(whole(next));
                next += 1;
            }
            listed += due(&mut listing, now).len();
            if now >= reads_from && listed > told {
                told = listed;
                reads_from = now + 500;
            }
            if told == ITEMS {
                waited += now - last;
                break;
            }
        }
        assert_eq!(told, ITEMS);
    }
    let mean = waited as f64 / 60.0;
    assert!(mean < 150.0, "{mean} ms");
}

/// A new leader counts what earlier ones have listed.
#[test]
fn groups_that_were_listed_before_count() {
    let mut listing = listing(2, |item| item < 3);
    listing.push(whole(3));
    assert_eq!(due(&mut listing, 1_001), [3]);
}

/// Nobody waits for whole groups: each result is listed at once.
#[test]
fn without_a_trainer_nothing_waits() {
    let mut listing = listing(0, |_| false);
    listing.push(whole(2));
    assert_eq!(due(&mut listing, 1_001), [2]);
}

/// An item that was given up leaves its group as whole as it gets.
#[rstest]
#[case::given_up(false)]
#[case::listed_again(true)]
fn a_result_that_stands_as_it_is_counts_for_its_group(#[case] completed: bool) {
    let mut listing = listing(1, |_| false);
    listing.push(whole(0));
    listing.push(PendingResult::Ready(ItemResult {
        item: 1,
        completed,
        ..ItemResult::default()
    }));
    assert_eq!(due(&mut listing, 1_001), [0, 1]);
}
