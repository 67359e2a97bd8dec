//! Routing of requests to routes and services.

use lagoon_gateway::{Config, Limits, Route, RouteKind, TrafficSplit};
use yare::parameterized;

fn route(name: &str, host: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        traffic_split: services
            .iter()
            .map(|(service, weight)| TrafficSplit {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
        max_attempts: 1,
        resumable: false,
        sticky: false,
        retention_ms: 0,
        keeps_turns: false,
        is_public: false,
    }
}

fn config() -> Config {
    let routes = vec![
        route("all", "a.example", "/", &[("x", 1)]),
        route("deep", "a.example", "/deep/er/", &[("x", 1)]),
        route("mid", "a.example", "/deep/", &[("x", 1)]),
        route("only", "b.example", "/only/", &[("x", 1)]),
    ];
    Config::new(1, Limits::default(), routes, Vec::new())
}

#[parameterized(
    longest_prefix = { "a.example", "/deep/er/1", Some("deep") },
    middle_prefix = { "a.example", "/deep/other", Some("mid") },
    shortest_prefix = { "a.example", "/", Some("all") },
    host_in_other_case = { "A.Example", "/deep/", Some("mid") },
    host_with_port = { "a.example:8080", "/x", Some("all") },
    path_without_final_slash = { "b.example", "/only", None },
    other_host = { "c.example", "/only/1", None },
)]
fn route_prefix(host: &str, path: &str, expected: Option<&str>) {
    let config = config();
    let route = config.route(host, path);
    assert_eq!(route.map(|route| route.name.as_str()), expected);
}

// Guards against a VM that is sure of a turn's absence, as the routes that it has
// served keep turns for a shorter time than others.
#[test]
fn max_turn_retention_is_that_of_routes_that_keep_turns() {
    let retained = |name: &str, retention_ms: u64, keeps_turns: bool| Route {
        retention_ms,
        keeps_turns,
        ..route(name, "a.example", &format!("/{name}/"), &[])
    };
    let routes = vec![
        retained("short", 60_000, true),
        retained("long", 600_000, true),
        retained("other", 900_000, false),
    ];
    let config = Config::new(1, Limits::default(), routes, Vec::new());
    assert_eq!(config.max_turn_retention_ms(), 600_000);
    assert_eq!(self::config().max_turn_retention_ms(), 0);
}

#[test]
fn service_gets_share_of_its_weight() {
    let route = route("r", "h", "/", &[("x", 90), ("y", 10)]);
    let to_y = (0..1_000).filter(|hash| route.service(*hash).is_some_and(|s| s == "y"));
    assert_eq!(to_y.count(), 100);
}

#[test]
fn service_of_weight_zero_gets_no_requests() {
    let route = route("r", "h", "/", &[("x", 0), ("y", 5)]);
    assert!((0..100).all(|hash| route.service(hash).is_some_and(|s| s == "y")));
}

#[test]
fn service_is_the_first_if_all_weights_are_zero() {
    let route = route("r", "h", "/", &[("x", 0), ("y", 0)]);
    assert_eq!(route.service(7).map(|s| s.as_str()), Some("x"));
}

#[test]
fn service_is_none_without_traffic_split() {
    assert_eq!(route("r", "h", "/", &[]).service(7), None);
}
