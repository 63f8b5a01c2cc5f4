//! Guards against resident memory that is read too small on machines with large pages, where
//! processes then accept more than fits.

use super::*;

/// Memory that may be allocated or freed between two readings.
const TOLERANCE: u64 = 8 * 1024 * 1024;

/// The kernel's own figure, which does not depend on the size of pages.
fn resident_by_status() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1));
    kibibytes.unwrap().parse::<u64>().unwrap() * 1024
}

#[test]
fn resident_memory_is_that_of_the_kernel() {
    // Far above the tolerance, so that a wrong size of pages shows.
    let held = vec![1_u8; 64 * 1024 * 1024];
    let (own, kernel) = (resident_bytes(), resident_by_status());
    assert!(own.abs_diff(kernel) <= TOLERANCE, "{own} and {kernel}");
    assert!(own > held.len() as u64);
}

#[test]
fn pages_are_those_of_the_machine() {
    // Entries of the vector that the kernel hands to each program: type and value.
    let entries = std::fs::read("/proc/self/auxv").unwrap();
    let words: Vec<u64> = entries
        .chunks_exact(8)
        .map(|word| u64::from_ne_bytes(word.try_into().unwrap()))
        .collect();
    let mut pairs = words.chunks_exact(2);
    let entry = pairs.find(|pair| pair[0] == libc::AT_PAGESZ);
    assert_eq!(entry.map(|pair| pair[1]), Some(page_bytes()));
}

#[test]
fn resident_pages_are_the_second_number() {
    assert_eq!(resident_pages("900 300 20 5 0 60 0\n"), 300);
    assert_eq!(resident_pages(""), 0);
}
