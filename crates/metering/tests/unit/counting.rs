//! Counts of a decision in its log line.

use super::{listed, MAX_LISTED};
use peatgrade_schema::replication::TenantCount;

fn counts(tenants: usize) -> Vec<TenantCount> {
    let counts = (0..tenants).map(|number| TenantCount {
        tenant: format!("t{number}"),
        requests: number as u64,
    });
    counts.collect()
}

#[test]
fn all_tenants_of_a_window_are_named() {
    assert_eq!(listed(&counts(3)), "t0:0,t1:1,t2:2");
    assert_eq!(listed(&[]), "");
}

#[test]
fn a_line_names_the_busiest_of_very_many_and_how_many_are_left_out() {
    let text = listed(&counts(MAX_LISTED + 2));
    assert!(text.starts_with(&format!("t{0}:{0},", MAX_LISTED + 1)));
    assert!(text.ends_with(",t2:2,and-2-more"));
}
