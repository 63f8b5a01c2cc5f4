//! Incremental rewrites of the log file, with appends, trims, replaced entries, reads and
//! crashes between the steps.

mod fixture;

use fixture::{file_bytes, state, Fixture, COMMAND_BYTES, RECORD_OVERHEAD_BYTES, STEP_BYTES};
use peatgrade_replication::LogFile;
use peatgrade_schema::replication::{LogBase, LogEntry};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fs;

#[test]
fn a_step_copies_a_bounded_number_of_bytes() {
    let mut fixture = Fixture::new("steps", 200);
    fixture.trim(50);
    fixture.log.evict_up_to(150);
    let before = file_bytes(&fixture.folder.log());
    fixture.begin();
    assert!(fixture.file.is_rewriting());
    let mut written = file_bytes(&fixture.folder.new_log());
    assert!(written < RECORD_OVERHEAD_BYTES);
    let mut steps = 0;
    while fixture.copy_step() {
        steps += 1;
        let now = file_bytes(&fixture.folder.new_log());
        assert!(
            now > written && now - written <= STEP_BYTES,
            "{written} {now}"
        );
        written = now;
        fixture.check();
    }
    assert!(
        steps >= 150 * COMMAND_BYTES as u64 / STEP_BYTES,
        "{steps} steps"
    );
    fixture.finish();
    assert!(!fixture.file.is_rewriting());
    fixture.check();
    assert!(!fixture.folder.new_log().exists());
    let after = file_bytes(&fixture.folder.log());
    assert_eq!(after, fixture.file.length());
    assert_eq!(after, fixture.file.length_after_rewrite());
    assert!(after < before * 4 / 5, "{before} {after}");
    let (_, read) = LogFile::open(&fixture.folder.0, 78).unwrap();
    assert_eq!(read.log.base().index, 50);
    // A step without a rewrite in progress has no effect.
    assert!(fixture.file.continue_rewrite(STEP_BYTES).unwrap());
    fixture.append_next(3, COMMAND_BYTES);
    fixture.check();
}

#[test]
fn incremental_and_single_step_rewrites_write_the_same_file() {
    let mut fixture = Fixture::new("same", 100);
    fixture.term = 2;
    fixture.append(60, 30, COMMAND_BYTES);
    fixture.trim(20);
    fixture.begin();
    fixture.finish();
    let stepped = fs::read(fixture.folder.log()).unwrap();
    fixture.file.rewrite(&state(2), &fixture.log).unwrap();
    assert_eq!(stepped, fs::read(fixture.folder.log()).unwrap());
}

#[test]
fn appends_between_steps_are_in_the_new_file() {
    let mut fixture = Fixture::new("appends", 100);
    fixture.trim(10);
    fixture.begin();
    while fixture.copy_step() {
        fixture.term += 1;
        fixture.append_next(2, 100);
        fixture.log.evict_up_to(fixture.log.last_index() - 1);
        fixture.check();
    }
    fixture.check();
    fixture.append_next(2, 100);
    fixture.check();
}

#[test]
fn a_rewrite_completes_when_appends_exceed_its_step_size() {
    let mut fixture = Fixture::new("outpaced", 100);
    let planned = file_bytes(&fixture.folder.log())
        / (STEP_BYTES - COMMAND_BYTES as u64 - RECORD_OVERHEAD_BYTES)
        + 1;
    fixture.begin();
    let mut steps = 1;
    while fixture.copy_step() {
        steps += 1;
        assert!(steps <= planned, "more than {planned} steps");
        fixture.append_next(30, COMMAND_BYTES);
    }
    fixture.check();
}

#[test]
fn entries_replaced_between_steps_stay_replaced() {
    // Replaces copied entries, entries still to be copied, and both.
    for (steps, from) in [(1, 90), (8, 12), (3, 20), (100, 50)] {
        let mut fixture = Fixture::new("replaced", 100);
        fixture.trim(10);
        fixture.log.evict_up_to(80);
        fixture.begin();
        for _ in 0..steps {
            fixture.file.continue_rewrite(STEP_BYTES).unwrap();
        }
        fixture.term = 2;
        fixture.append(from, 3, 50);
        fixture.check();
        fixture.finish();
        fixture.term = 3;
        fixture.append(from + 1, 4, 50);
        fixture.log.evict_up_to(from + 4);
        fixture.check();
    }
}

#[test]
fn entries_trimmed_between_steps_stay_trimmed() {
    for (steps, index) in [(1, 90), (8, 12), (3, 99), (2, 100)] {
        let mut fixture = Fixture::new("trimmed", 100);
        fixture.trim(10);
        fixture.log.evict_up_to(100);
        fixture.begin();
        for _ in 0..steps {
            fixture.file.continue_rewrite(STEP_BYTES).unwrap();
        }
        fixture.trim(index);
        fixture.check();
        fixture.finish();
        assert!(fixture.file.entry_reader().read(index).is_none());
        fixture.append_next(3, COMMAND_BYTES);
        fixture.log.evict_up_to(fixture.log.last_index());
        fixture.check();
        fixture.begin();
        fixture.finish();
    }
}

#[test]
fn a_reset_abandons_a_rewrite() {
    let mut fixture = Fixture::new("base", 100);
    fixture.begin();
    fixture.file.continue_rewrite(STEP_BYTES).unwrap();
    let base = LogBase {
        index: 500,
        term: 1,
        members: None,
    };
    fixture.file.reset(&state(1), base.clone()).unwrap();
    fixture.log.reset(base);
    fixture.expected.clear();
    assert!(!fixture.file.is_rewriting());
    assert!(fixture.file.continue_rewrite(STEP_BYTES).unwrap());
    fixture.check();
    fixture.append_next(40, COMMAND_BYTES);
    fixture.log.evict_up_to(530);
    fixture.begin();
    fixture.finish();
}

#[test]
fn a_lost_rename_loses_no_entries() {
    let mut fixture = Fixture::new("rename", 60);
    fixture.trim(10);
    fixture.begin();
    fixture.term = 2;
    fixture.append(40, 5, 50);
    let mut old = fs::read(fixture.folder.log()).unwrap();
    while fixture.copy_step() {
        fixture.append_next(1, 50);
        old = fs::read(fixture.folder.log()).unwrap();
    }
    // A rename is lost in a crash if the folder was not synced after it.
    fixture.check_crash(&old, None);
    fixture.check();
}

#[test]
fn a_rewrite_of_a_corrupted_log_leaves_it_unchanged() {
    for broken in [2, 50, 100] {
        let mut fixture = Fixture::new("broken", 100);
        let whole = fs::read(fixture.folder.log()).unwrap();
        let mut bytes = whole.clone();
        let entry_bytes = (whole.len() - 10) / 100;
        bytes[10 + entry_bytes * broken - 100] ^= 1;
        fs::write(fixture.folder.log(), &bytes).unwrap();
        fixture.begin();
        let error = loop {
            match fixture.file.continue_rewrite(STEP_BYTES) {
                Ok(done) => assert!(!done, "a corrupted record was copied"),
                Err(error) => break error.to_string(),
            }
        };
        assert!(error.contains(&format!("entry {broken} ")), "{error}");
        assert!(!fixture.file.is_rewriting());
        assert_eq!(fs::read(fixture.folder.log()).unwrap(), bytes);
        fs::write(fixture.folder.log(), &whole).unwrap();
        fixture.begin();
        fixture.finish();
    }
}

#[test]
fn a_rewrite_does_not_begin_before_all_entries_are_in_the_file() {
    let mut fixture = Fixture::new("not-in-file", 20);
    let mut log = fixture.log.clone();
    log.push(LogEntry {
        index: 21,
        term: 1,
        ..LogEntry::default()
    });
    assert!(!fixture.file.begin_rewrite(&state(1), &log).unwrap());
    assert!(!fixture.file.is_rewriting());
    fixture.file.trim(5);
    let error = fixture
        .file
        .begin_rewrite(&state(1), &fixture.log)
        .unwrap_err();
    assert!(error.to_string().contains("entry 1 "), "{error}");
}

#[test]
fn the_old_file_is_freed_in_steps() {
    let mut fixture = Fixture::new("freed", 1000);
    let old = fs::File::open(fixture.folder.log()).unwrap();
    fixture.trim(900);
    fixture.begin();
    while fixture.copy_step() {}
    // The old file is not truncated before the new one has replaced it.
    let mut left = old.metadata().unwrap().len();
    assert!(left > 1000 * COMMAND_BYTES as u64);
    while !fixture.file.continue_rewrite(STEP_BYTES).unwrap() {
        let now = old.metadata().unwrap().len();
        assert!(now < left && left - now <= 8 * STEP_BYTES, "{left} {now}");
        left = now;
        fixture.append_next(1, COMMAND_BYTES);
        fixture.check();
    }
    assert_eq!(old.metadata().unwrap().len(), 0);
    fixture.check();
}

#[test]
fn the_length_of_a_rewrite_is_known_from_its_start() {
    let mut fixture = Fixture::new("room", 100);
    fixture.trim(50);
    assert_eq!(fixture.file.rewrite_length(), 0);
    fixture.begin();
    let planned = fixture.file.rewrite_length();
    fixture.file.continue_rewrite(STEP_BYTES).unwrap();
    assert_eq!(fixture.file.rewrite_length(), planned);
    let before = fixture.file.length();
    fixture.append_next(2, 1000);
    let wanted = planned + fixture.file.length() - before;
    assert_eq!(fixture.file.rewrite_length(), wanted);
    fixture.finish();
    assert_eq!(fixture.file.length(), wanted);
    assert_eq!(fixture.file.rewrite_length(), 0);
}

#[test]
fn random_operations_neither_lose_nor_revive_entries() {
    let mut finished = 0;
    for seed in 0..40 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fixture = Fixture::new("order", 20);
        for _ in 0..60 {
            let (first, last) = (fixture.log.base().index + 1, fixture.log.last_index());
            match random.random_range(0..12) {
                0..=2 => {
                    fixture.append_next(random.random_range(0..5), random.random_range(0..500))
                }
                3 if first <= last => {
                    fixture.term += 1;
                    let from = random.random_range(first..=last);
                    fixture.append(from, random.random_range(1..5), random.random_range(0..500));
                }
                4 if first <= last => fixture.trim(random.random_range(first..=last)),
                5 => fixture.log.evict_up_to(random.random_range(0..=last)),
                6 if !fixture.file.is_rewriting() => fixture.begin(),
                7..=10 if fixture.file.is_rewriting() => {
                    let done = fixture.file.continue_rewrite(random.random_range(1..1_500));
                    finished += u32::from(done.unwrap());
                }
                _ => {}
            }
            fixture.check();
        }
    }
    assert!(finished > 40, "{finished} rewrites finished");
}
