//! Tests of the route lookup.

use peatgrade_ports::{Configuration, Route, RouteKind, RouteTable};
use peatgrade_types::Duration;
use rstest::rstest;
use std::time::{Duration as StdDuration, Instant};

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}"),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        priority: 1,
        targets: Vec::new(),
        max_attempts: 1,
        resumable: false,
        max_queue: Duration::from_secs(1),
        result_deadline: Duration::from_secs(1),
        single_version: false,
        public: false,
    }
}

/// A lookup must not scan the routes of other hosts: the leader looks up the route of each
/// waiting item many times a second.
#[test]
fn lookup_time_does_not_depend_on_routes_of_other_hosts() {
    const OTHER_ROUTES: usize = 20_000;
    const LOOKUPS: usize = 20_000;
    const TIME_LIMIT: StdDuration = StdDuration::from_millis(500);
    let other_routes = (0..OTHER_ROUTES).map(|index| route(&format!("h{index:06}.example"), "/a/"));
    let mut routes: Vec<Route> = other_routes.collect();
    routes.push(route("ours.example", "/a/"));
    routes.push(route("ours.example", "/a/b/"));
    let configuration = Configuration {
        version: 1,
        routes: routes.into(),
        ..Configuration::default()
    };
    let start = Instant::now();
    for _ in 0..LOOKUPS {
        let found = configuration.route("ours.example", "/a/b/c");
        assert_eq!(found.map(|route| route.prefix.as_str()), Some("/a/b/"));
    }
    let elapsed = start.elapsed();
    assert!(elapsed < TIME_LIMIT, "{LOOKUPS} lookups took {elapsed:?}");
}

/// Host, path, and the prefix of the expected route.
#[rstest]
#[case::longest("a.example", "/x/y/z", Some("/x/y/"))]
#[case::shorter("a.example", "/x/q", Some("/x/"))]
#[case::exact_prefix("a.example", "/x/y/", Some("/x/y/"))]
#[case::missing_trailing_slash("a.example", "/x/y", Some("/x/"))]
#[case::root_prefix("b.example", "/any", Some("/"))]
#[case::upper_case_and_port("A.Example:80", "/x/y/z", Some("/x/y/"))]
#[case::slashes_in_the_query("a.example", "/x/q?/y/", Some("/x/"))]
#[case::other_path("a.example", "/q/x/", None)]
#[case::other_host("c.example", "/x/y/", None)]
#[case::no_slash("b.example", "", None)]
#[case::prefix_without_trailing_slash("e.example", "/b", Some("/b"))]
#[case::multibyte_characters("a.example", "/é", None)]
fn longest_matching_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] prefix: Option<&str>,
) {
    let routes = [
        route("a.example", "/x/"),
        route("a.example", "/x/y/"),
        route("b.example", "/"),
        route("d.example", "/q/"),
        route("e.example", "/b"),
    ];
    let table = RouteTable::from_iter(routes);
    let found = table.find(host, path);
    assert_eq!(found.map(|route| route.prefix.as_str()), prefix);
}

/// The lookup time must be bounded for hostile paths.
#[test]
fn lookup_time_is_bounded_for_a_path_of_many_slashes() {
    const SLASHES: usize = 1_000_000;
    const TIME_LIMIT: StdDuration = StdDuration::from_millis(500);
    let table = RouteTable::from_iter([route("a.example", "/x/"), route("a.example", "/x/y/")]);
    let path = "/".repeat(SLASHES);
    let start = Instant::now();
    assert!(table.find("a.example", &path).is_none());
    let elapsed = start.elapsed();
    assert!(elapsed < TIME_LIMIT, "lookup took {elapsed:?}");
}
