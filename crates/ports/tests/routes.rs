//! How a request's route is found.

use peatgrade_ports::{Configuration, Route, RouteKind, RouteTable};
use peatgrade_types::Duration;
use rstest::rstest;
use std::time::{Duration as Span, Instant};

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

/// A leader asks for the route of each waiting item at each look, some hundred
/// items two hundred times a second: that must not take longer the more routes
/// other requests have. Going through 20,000 routes for each of 20,000 lookups takes
/// some seconds even on a fast machine, a lookup by host some milliseconds.
#[test]
fn a_route_is_found_without_a_look_at_those_of_other_hosts() {
    const OTHERS: usize = 20_000;
    const LOOKUPS: usize = 20_000;
    const LIMIT: Span = Span::from_millis(500);
    let others = (0..OTHERS).map(|index| route(&format!("h{index:06}.example"), "/a/"));
    let mut routes: Vec<Route> = others.collect();
    routes.push(route("ours.example", "/a/"));
    routes.push(route("ours.example", "/a/b/"));
    let configuration = Configuration {
        version: 1,
        routes: routes.into(),
        ..Configuration::default()
    };
    let began = Instant::now();
    for _ in 0..LOOKUPS {
        let found = configuration.route("ours.example", "/a/b/c");
        assert_eq!(found.map(|route| route.prefix.as_str()), Some("/a/b/"));
    }
    let took = began.elapsed();
    assert!(took < LIMIT, "{LOOKUPS} lookups took {took:?}");
}

/// Host, path, and the prefix of the route that is due.
#[rstest]
#[case::longest("a.example", "/x/y/z", Some("/x/y/"))]
#[case::shorter("a.example", "/x/q", Some("/x/"))]
#[case::its_own_prefix("a.example", "/x/y/", Some("/x/y/"))]
#[case::without_the_last_slash("a.example", "/x/y", Some("/x/"))]
#[case::everything("b.example", "/any", Some("/"))]
#[case::capital_letters_and_port("A.Example:80", "/x/y/z", Some("/x/y/"))]
#[case::slashes_in_the_query("a.example", "/x/q?/y/", Some("/x/"))]
#[case::other_path("a.example", "/q/x/", None)]
#[case::other_host("c.example", "/x/y/", None)]
#[case::no_slash("b.example", "", None)]
#[case::prefix_without_a_slash_at_its_end("e.example", "/b", Some("/b"))]
#[case::letters_of_several_bytes("a.example", "/é", None)]
fn the_longest_prefix_of_the_host_wins(
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

/// A caller may send a path of any form: it must not cost more than its length.
#[test]
fn a_path_of_many_slashes_costs_no_more_than_another() {
    const SLASHES: usize = 1_000_000;
    const LIMIT: Span = Span::from_millis(500);
    let table = RouteTable::from_iter([route("a.example", "/x/"), route("a.example", "/x/y/")]);
    let path = "/".repeat(SLASHES);
    let began = Instant::now();
    assert!(table.find("a.example", &path).is_none());
    let took = began.elapsed();
    assert!(took < LIMIT, "{took:?}");
}
