//! A rewrite of the log in steps: appends, trims, replaced entries and reads go
//! on between them, and a crash at any of them loses nothing.

mod site;

use peatgrade_replication::LogFile;
use peatgrade_schema::replication::{LogBase, LogEntry};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use site::{bytes_of, state, Site, COMMAND, HEADER, STEP};
use std::fs;

#[test]
fn a_step_copies_a_bounded_number_of_bytes() {
    let mut site = Site::new("steps", 200);
    site.trim(50);
    site.log.evict_up_to(150);
    let before = bytes_of(&site.folder.log());
    site.begin();
    assert!(site.file.is_rewriting());
    let mut written = bytes_of(&site.folder.new_log());
    assert!(written < HEADER);
    let mut steps = 0;
    while site.copies_on() {
        steps += 1;
        let now = bytes_of(&site.folder.new_log());
        assert!(now > written && now - written <= STEP, "{written} {now}");
        written = now;
        site.check();
    }
    assert!(steps >= 150 * COMMAND as u64 / STEP, "{steps} steps");
    site.finish();
    assert!(!site.file.is_rewriting());
    site.check();
    assert!(!site.folder.new_log().exists());
    let after = bytes_of(&site.folder.log());
    assert_eq!(after, site.file.length());
    assert_eq!(after, site.file.length_after_rewrite());
    assert!(after < before * 4 / 5, "{before} {after}");
    let (_, read) = LogFile::open(&site.folder.0, 78).unwrap();
    assert_eq!(read.log.base().index, 50);
    // A step without a rewrite under way does nothing.
    assert!(site.file.continue_rewrite(STEP).unwrap());
    site.append_next(3, COMMAND);
    site.check();
}

#[test]
fn a_rewrite_holds_just_what_one_at_once_holds() {
    let mut site = Site::new("same", 100);
    site.term = 2;
    site.append(60, 30, COMMAND);
    site.trim(20);
    site.begin();
    site.finish();
    let stepped = fs::read(site.folder.log()).unwrap();
    site.file.rewrite(&state(2), &site.log).unwrap();
    assert_eq!(stepped, fs::read(site.folder.log()).unwrap());
}

#[test]
fn appends_between_steps_are_in_the_new_file() {
    let mut site = Site::new("appends", 100);
    site.trim(10);
    site.begin();
    while site.copies_on() {
        site.term += 1;
        site.append_next(2, 100);
        site.log.evict_up_to(site.log.last_index() - 1);
        site.check();
    }
    site.check();
    site.append_next(2, 100);
    site.check();
}

#[test]
fn a_rewrite_ends_though_appends_outpace_its_steps() {
    let mut site = Site::new("outpaced", 100);
    let planned = bytes_of(&site.folder.log()) / (STEP - COMMAND as u64 - HEADER) + 1;
    site.begin();
    let mut steps = 1;
    while site.copies_on() {
        steps += 1;
        assert!(steps <= planned, "more than {planned} steps");
        site.append_next(30, COMMAND);
    }
    site.check();
}

#[test]
fn entries_that_are_replaced_between_steps_stay_replaced() {
    // Copied entries, those still to be copied, and both.
    for (steps, from) in [(1, 90), (8, 12), (3, 20), (100, 50)] {
        let mut site = Site::new("replaced", 100);
        site.trim(10);
        site.log.evict_up_to(80);
        site.begin();
        for _ in 0..steps {
            site.file.continue_rewrite(STEP).unwrap();
        }
        site.term = 2;
        site.append(from, 3, 50);
        site.check();
        site.finish();
        site.term = 3;
        site.append(from + 1, 4, 50);
        site.log.evict_up_to(from + 4);
        site.check();
    }
}

#[test]
fn entries_that_are_trimmed_between_steps_stay_trimmed() {
    for (steps, index) in [(1, 90), (8, 12), (3, 99), (2, 100)] {
        let mut site = Site::new("trimmed", 100);
        site.trim(10);
        site.log.evict_up_to(100);
        site.begin();
        for _ in 0..steps {
            site.file.continue_rewrite(STEP).unwrap();
        }
        site.trim(index);
        site.check();
        site.finish();
        assert!(site.file.entry_reader().read(index).is_none());
        site.append_next(3, COMMAND);
        site.log.evict_up_to(site.log.last_index());
        site.check();
        site.begin();
        site.finish();
    }
}

#[test]
fn a_new_base_ends_a_rewrite() {
    let mut site = Site::new("base", 100);
    site.begin();
    site.file.continue_rewrite(STEP).unwrap();
    let base = LogBase {
        index: 500,
        term: 1,
        members: None,
    };
    site.file.reset(&state(1), base.clone()).unwrap();
    site.log.reset(base);
    site.expected.clear();
    assert!(!site.file.is_rewriting());
    assert!(site.file.continue_rewrite(STEP).unwrap());
    site.check();
    site.append_next(40, COMMAND);
    site.log.evict_up_to(530);
    site.begin();
    site.finish();
}

#[test]
fn the_log_before_the_rename_is_as_good_as_the_one_after_it() {
    let mut site = Site::new("rename", 60);
    site.trim(10);
    site.begin();
    site.term = 2;
    site.append(40, 5, 50);
    let mut old = fs::read(site.folder.log()).unwrap();
    while site.copies_on() {
        site.append_next(1, 50);
        old = fs::read(site.folder.log()).unwrap();
    }
    // A rename that no sync of the folder has covered may be lost.
    site.check_crash(&old, None);
    site.check();
}

#[test]
fn a_log_that_cannot_be_read_back_is_left_as_it_is() {
    for broken in [2, 50, 100] {
        let mut site = Site::new("broken", 100);
        let whole = fs::read(site.folder.log()).unwrap();
        let mut bytes = whole.clone();
        let entry_bytes = (whole.len() - 10) / 100;
        bytes[10 + entry_bytes * broken - 100] ^= 1;
        fs::write(site.folder.log(), &bytes).unwrap();
        site.begin();
        let error = loop {
            match site.file.continue_rewrite(STEP) {
                Ok(done) => assert!(!done, "a broken record was copied"),
                Err(error) => break error.to_string(),
            }
        };
        assert!(error.contains(&format!("entry {broken} ")), "{error}");
        assert!(!site.file.is_rewriting());
        assert_eq!(fs::read(site.folder.log()).unwrap(), bytes);
        fs::write(site.folder.log(), &whole).unwrap();
        site.begin();
        site.finish();
    }
}

#[test]
fn a_rewrite_waits_for_entries_that_are_not_in_the_file() {
    let mut site = Site::new("not-in-file", 20);
    let mut log = site.log.clone();
    log.push(LogEntry {
        index: 21,
        term: 1,
        ..LogEntry::default()
    });
    assert!(!site.file.begin_rewrite(&state(1), &log).unwrap());
    assert!(!site.file.is_rewriting());
    site.file.trim(5);
    let error = site.file.begin_rewrite(&state(1), &site.log).unwrap_err();
    assert!(error.to_string().contains("entry 1 "), "{error}");
}

#[test]
fn the_old_file_is_freed_in_steps() {
    let mut site = Site::new("freed", 1000);
    let old = fs::File::open(site.folder.log()).unwrap();
    site.trim(900);
    site.begin();
    while site.copies_on() {}
    // Nothing of it goes before the new file is in its place.
    let mut left = old.metadata().unwrap().len();
    assert!(left > 1000 * COMMAND as u64);
    while !site.file.continue_rewrite(STEP).unwrap() {
        let now = old.metadata().unwrap().len();
        assert!(now < left && left - now <= 8 * STEP, "{left} {now}");
        left = now;
        site.append_next(1, COMMAND);
        site.check();
    }
    assert_eq!(old.metadata().unwrap().len(), 0);
    site.check();
}

#[test]
fn the_room_of_a_rewrite_is_known_from_its_begin() {
    let mut site = Site::new("room", 100);
    site.trim(50);
    assert_eq!(site.file.rewrite_length(), 0);
    site.begin();
    let planned = site.file.rewrite_length();
    site.file.continue_rewrite(STEP).unwrap();
    assert_eq!(site.file.rewrite_length(), planned);
    let before = site.file.length();
    site.append_next(2, 1000);
    let wanted = planned + site.file.length() - before;
    assert_eq!(site.file.rewrite_length(), wanted);
    site.finish();
    assert_eq!(site.file.length(), wanted);
    assert_eq!(site.file.rewrite_length(), 0);
}

#[test]
fn no_order_of_events_loses_or_revives_an_entry() {
    let mut finished = 0;
    for seed in 0..40 {
        let mut draws = StdRng::seed_from_u64(seed);
        let mut site = Site::new("order", 20);
        for _ in 0..60 {
            let (first, last) = (site.log.base().index + 1, site.log.last_index());
            match draws.random_range(0..12) {
                0..=2 => site.append_next(draws.random_range(0..5), draws.random_range(0..500)),
                3 if first <= last => {
                    site.term += 1;
                    let from = draws.random_range(first..=last);
                    site.append(from, draws.random_range(1..5), draws.random_range(0..500));
                }
                4 if first <= last => site.trim(draws.random_range(first..=last)),
                5 => site.log.evict_up_to(draws.random_range(0..=last)),
                6 if !site.file.is_rewriting() => site.begin(),
                7..=10 if site.file.is_rewriting() => {
                    let done = site.file.continue_rewrite(draws.random_range(1..1_500));
                    finished += u32::from(done.unwrap());
                }
                _ => {}
            }
            site.check();
        }
    }
    assert!(finished > 40, "{finished} rewrites came to their end");
}
