//! Selection of a request's route, and the requests that the configuration does not permit.

mod common;

use common::{Decision, TestHost, configuration, route};
use jaypin_router::{Repeat, RouteTable, Unrouted};

fn table() -> RouteTable {
    let mut configuration = configuration(1);
    for (name, prefix) in [("all", "/"), ("a", "/a/"), ("a-b", "/a/b/")] {
        let mut route = route(name, Repeat::Idempotent, "plain");
        prefix.clone_into(&mut route.prefix);
        configuration.routes.push(route);
    }
    RouteTable::new(configuration)
}

macro_rules! routes {
    ($($name:ident: $host:expr, $path:expr => $route:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let table = table();
                let found = table.route($host, $path).map(|it| it.name.as_str());
                assert_eq!(found, $route);
            }
        )*
    };
}

routes! {
    the_longest_prefix_wins: "api.example", "/a/b/c" => Some("a-b");
    a_prefix_ends_at_a_slash: "api.example", "/a/bc" => Some("a");
    a_path_without_its_last_slash_is_a_different_path: "api.example", "/a" => Some("all");
    a_prefix_may_be_the_whole_path: "api.example", "/a/b/" => Some("a-b");
    host_names_are_case_insensitive: "API.example", "/a/x" => Some("a");
    another_host_has_no_routes: "other.example", "/a/x" => None;
    a_path_without_a_slash_has_no_route: "api.example", "a" => None;
}

macro_rules! admissions {
    ($($name:ident: $credential:expr, $path:expr => $decision:pat,)*) => {
        $(
            #[test]
            fn $name() {
                let mut host = TestHost::with_backends();
                let (_, decision) = host.arrive_with(|it| {
                    it.credential = $credential;
                    it.path = $path.to_owned();
                });
                assert!(matches!(decision, $decision), "{decision:?}");
            }
        )*
    };
}

admissions! {
    a_known_credential_is_served: Some("key".to_owned()), "/ask/1" => Decision::Sent(_),
    an_unknown_credential_is_rejected: Some("no".to_owned()), "/ask/1"
        => Decision::Rejected(Unrouted::UnknownCredential),
    a_missing_credential_is_rejected: None, "/ask/1" => Decision::Rejected(Unrouted::UnknownCredential),
    an_unknown_path_is_rejected: Some("key".to_owned()), "/nothing/"
        => Decision::Rejected(Unrouted::NoRoute),
}

/// Guards against a configuration that reverts to an older version: a watch and a listing both
/// read versions, and the older one may be read last.
#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut host = TestHost::with_backends();
    let mut newer = configuration(5);
    newer.routes.retain(|it| it.name != "ask");
    host.configure(newer);
    host.configure(configuration(4));
    let (_, decision) = host.arrive("/ask/1", (10, 10));
    assert_eq!(decision, Decision::Rejected(Unrouted::NoRoute));
}
