//! When pending results are listed.

use super::*;
use peatgrade_schema::replication::JobItem;
use rstest::rstest;

const NOTHING: [usize; 0] = [];

fn ms(at: u64) -> Time {
    Time(at * 1_000)
}

/// Four items in groups of two, with `desired` groups, due 7 s after acceptance.
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

fn complete(item: usize) -> PendingResult {
    PendingResult::Complete(item, String::new())
}

/// Items listed at this time.
fn due(listing: &mut ListingQueue, at: u64) -> Vec<usize> {
    let due = listing.take_due(ms(at));
    due.iter().map(PendingResult::item).collect()
}

#[test]
fn results_that_complete_no_group_wait_for_the_interval() {
    let mut listing = listing(2, |_| false);
    listing.push(complete(0));
    listing.push(complete(2));
    assert_eq!(due(&mut listing, 2_999), NOTHING);
    assert_eq!(due(&mut listing, 3_000), [0, 2]);
    listing.push(complete(1));
    assert_eq!(
        due(&mut listing, 3_001),
        NOTHING,
        "one group of two is complete"
    );
    assert_eq!(listing.len(), 1);
}

#[test]
fn completing_the_desired_groups_lists_at_once() {
    let mut listing = listing(1, |_| false);
    listing.push(complete(0));
    listing.push(complete(2));
    assert_eq!(due(&mut listing, 1_100), NOTHING);
    listing.push(complete(1));
    assert_eq!(due(&mut listing, 1_101), [0, 2, 1]);
    listing.push(complete(3));
    assert_eq!(due(&mut listing, 1_102), [3]);
    assert_eq!(due(&mut listing, 9_000), NOTHING, "nothing is pending");
}

#[test]
fn results_are_listed_before_and_after_the_deadline() {
    let mut listing = listing(2, |_| false);
    assert_eq!(due(&mut listing, 7_600), NOTHING);
    listing.push(complete(0));
    assert_eq!(due(&mut listing, 7_600), [0], "the interval is over");
    listing.push(complete(1));
    assert_eq!(due(&mut listing, 7_899), NOTHING);
    assert_eq!(due(&mut listing, 7_900), [1], "0.1 s before the deadline");
    listing.push(complete(2));
    assert_eq!(
        due(&mut listing, 8_599),
        NOTHING,
        "the reader was just served"
    );
    assert_eq!(due(&mut listing, 8_600), [2], "0.6 s after the deadline");
}

#[test]
fn first_result_after_the_deadline_is_listed_at_once() {
    let mut listing = listing(2, |_| false);
    assert_eq!(due(&mut listing, 7_950), NOTHING);
    listing.push(complete(0));
    assert_eq!(due(&mut listing, 8_000), [0]);
}

#[test]
fn overdue_job_is_listed_at_a_shorter_interval() {
    let mut listing = listing(1, |_| false);
    listing.push(complete(0));
    assert_eq!(due(&mut listing, 8_700), [0]);
    listing.push(complete(2));
    assert_eq!(due(&mut listing, 9_899), NOTHING);
    assert_eq!(due(&mut listing, 9_900), [2]);
    listing.push(complete(1));
    assert_eq!(
        due(&mut listing, 9_901),
        [1],
        "the desired group is complete"
    );
}

/// Guards against listings just before the last result, which a reader that polls every
/// half second would then receive late.
#[test]
fn last_result_reaches_a_polling_reader_soon() {
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
    let mut total_delay_ms = 0;
    for offset in 0..60 {
        let last = 7_100 + offset * 30;
        let deadline = Duration::from_millis(7_000);
        let mut listing = ListingQueue::new(&spec, ms(0), deadline, |_| false);
        let (mut next_read_at, mut listed, mut read) = (0, 0, 0);
        let mut next = 0;
        for now in 0..12_000 {
            // The other items end at regular intervals between 6 s and the last one.
            let end = |item: usize| 6_000 + (last - 6_000) * item as u64 / (ITEMS as u64 - 1);
            while next < ITEMS && now >= end(next) {
                listing.push(complete(next));
                next += 1;
            }
            listed += due(&mut listing, now).len();
            if now >= next_read_at && listed > read {
                read = listed;
                next_read_at = now + 500;
            }
            if read == ITEMS {
                total_delay_ms += now - last;
                break;
            }
        }
        assert_eq!(read, ITEMS);
    }
    let mean = total_delay_ms as f64 / 60.0;
    assert!(mean < 150.0, "{mean} ms");
}

#[test]
fn groups_listed_by_earlier_leaders_count() {
    let mut listing = listing(2, |item| item < 3);
    listing.push(complete(3));
    assert_eq!(due(&mut listing, 1_001), [3]);
}

#[test]
fn without_desired_groups_results_are_listed_at_once() {
    let mut listing = listing(0, |_| false);
    listing.push(complete(2));
    assert_eq!(due(&mut listing, 1_001), [2]);
}

/// Items that were given up count as well, or their group would never be complete.
#[rstest]
#[case::given_up(false)]
#[case::listed_again(true)]
fn ready_result_counts_for_its_group(#[case] completed: bool) {
    let mut listing = listing(1, |_| false);
    listing.push(complete(0));
    listing.push(PendingResult::Ready(ItemResult {
        item: 1,
        completed,
        ..ItemResult::default()
    }));
    assert_eq!(due(&mut listing, 1_001), [0, 1]);
}
