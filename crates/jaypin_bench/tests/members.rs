//! Failure detection: hosts that crash, freeze, restart or become unreachable, as the other
//! hosts report them.

mod common;

use common::{all_see, entry_set, link_count, members, sees, until, until_all_alive};
use jaypin_bench::{Fleet, FleetConfig, Host};
use jaypin_standin::{Proxy, ProxyMode};

const HOSTS: usize = 6;

async fn fleet() -> Fleet {
    let cfg = FleetConfig {
        hosts: HOSTS,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(cfg).await.expect("fleet");
    until_all_alive(&fleet).await;
    fleet
}

fn others<'a>(fleet: &'a Fleet, excluded: &str) -> Vec<&'a Host> {
    fleet
        .hosts
        .iter()
        .filter(|host| host.id != excluded)
        .collect()
}

/// A host's process is killed, and the platform's host list still names it. Callers that
/// have its address get refused connections until the address lists of the other hosts omit
/// it.
#[tokio::test]
async fn a_killed_host_leaves_every_entry_list() {
    let mut fleet = fleet().await;
    fleet.hosts[2].kill();
    let others = others(&fleet, "host-2");
    until("host-2 dead everywhere", || {
        all_see(&others, "host-2", "dead")
    })
    .await;
    for host in others {
        assert!(!entry_set(host).await.contains("host-2"), "{}", host.id);
    }
}

/// A host freezes: its connections stay open, its kernel still accepts new ones, and requests
/// to it never complete. The other hosts must omit it from their address lists, and list it
/// again with the same incarnation when it resumes.
#[tokio::test]
async fn a_frozen_host_is_omitted_until_it_resumes() {
    let fleet = fleet().await;
    let before = members(&fleet.hosts[0]).await["host-2"].1;
    fleet.hosts[2].signal("STOP");
    let others = others(&fleet, "host-2");
    for host in &others {
        until("host-2 omitted", || async {
            !entry_set(host).await.contains("host-2")
        })
        .await;
    }
    fleet.hosts[2].signal("CONT");
    until_all_alive(&fleet).await;
    for host in others {
        assert!(entry_set(host).await.contains("host-2"));
        assert_eq!(members(host).await["host-2"].1, before);
    }
}

/// A host is frozen for longer than the time in which a suspect may refute the suspicion, so
/// the others mark it dead and keep no link to it. When it resumes, it must rejoin without
/// intervention.
#[tokio::test]
async fn a_host_marked_dead_rejoins_after_it_resumes() {
    let fleet = fleet().await;
    fleet.hosts[4].signal("STOP");
    let others = others(&fleet, "host-4");
    until("host-4 dead everywhere", || {
        all_see(&others, "host-4", "dead")
    })
    .await;
    fleet.hosts[4].signal("CONT");
    until_all_alive(&fleet).await;
}

/// A host is killed and restarted at the same address. The state that the others hold of the
/// old process does not apply to the new one, so it must join with a higher incarnation.
#[tokio::test]
async fn a_restarted_host_is_a_new_member() {
    let mut fleet = fleet().await;
    let before = members(&fleet.hosts[0]).await["host-1"].1;
    fleet.hosts[1].kill();
    {
        let others = others(&fleet, "host-1");
        until("host-1 dead everywhere", || {
            all_see(&others, "host-1", "dead")
        })
        .await;
    }
    fleet.hosts[1].start().expect("started");
    until_all_alive(&fleet).await;
    for host in &fleet.hosts {
        assert!(members(host).await["host-1"].1 > before, "{}", host.id);
    }
}

/// Starts three hosts whose links all pass through proxies.
async fn proxied() -> (Fleet, Vec<Proxy>) {
    let cfg = FleetConfig::default();
    let mut fleet = Fleet::prepare(cfg).await.expect("fleet");
    let mut proxies = Vec::new();
    for host in &mut fleet.hosts {
        let proxy = Proxy::start("127.0.0.1:0", host.link).await.expect("proxy");
        host.link = proxy.address;
        proxies.push(proxy);
    }
    fleet.publish_hosts();
    for host in &mut fleet.hosts {
        host.start().expect("started");
    }
    until_all_alive(&fleet).await;
    (fleet, proxies)
}

/// A network device drops the state of the connections between hosts: they stay open and
/// carry no data, while new ones work. All hosts run, so none may stay excluded; new
/// connections must replace the silent ones.
#[tokio::test]
async fn silent_links_are_replaced_by_new_connections() {
    let (fleet, proxies) = proxied().await;
    let mut before = Vec::new();
    for host in &fleet.hosts {
        before.push(link_count(host, "opened").await);
    }
    for proxy in &proxies {
        proxy.set(ProxyMode::BlackholeOpen);
    }
    for (host, before) in fleet.hosts.iter().zip(before) {
        until("new links", || async {
            link_count(host, "opened").await > before
        })
        .await;
    }
    until_all_alive(&fleet).await;
}

/// The links between all hosts are cut in both directions until each host marks every other
/// one dead, and are then restored. The hosts must rejoin without a restart.
#[tokio::test]
async fn hosts_rejoin_after_a_network_partition() {
    let (fleet, proxies) = proxied().await;
    for proxy in &proxies {
        proxy.set(ProxyMode::Cut);
    }
    for host in &fleet.hosts {
        for other in others(&fleet, &host.id) {
            let what = format!("{} dead for {}", other.id, host.id);
            until(&what, || sees(host, &other.id, "dead")).await;
        }
    }
    for proxy in &proxies {
        proxy.set(ProxyMode::Pass);
    }
    until_all_alive(&fleet).await;
}
