//! Tests of the log format of counts.

use super::{format_counts, MAX_LOGGED_TENANTS};
use peatgrade_schema::replication::TenantCount;

fn counts(tenants: usize) -> Vec<TenantCount> {
    let counts = (0..tenants).map(|number| TenantCount {
        tenant: format!("t{number}"),
        requests: number as u64,
    });
    counts.collect()
}

#[test]
fn all_tenants_are_included() {
    assert_eq!(format_counts(&counts(3)), "t0:0,t1:1,t2:2");
    assert_eq!(format_counts(&[]), "");
}

#[test]
fn only_the_busiest_tenants_are_included_with_the_number_omitted() {
    let text = format_counts(&counts(MAX_LOGGED_TENANTS + 2));
    assert!(text.starts_with(&format!("t{0}:{0},", MAX_LOGGED_TENANTS + 1)));
    assert!(text.ends_with(",t2:2,and-2-more"));
}
