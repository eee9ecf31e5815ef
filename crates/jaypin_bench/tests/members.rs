//! Hosts that die, freeze, restart or fall silent, as the others see them.

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

fn others<'a>(fleet: &'a Fleet, gone: &str) -> Vec<&'a Host> {
    fleet.hosts.iter().filter(|host| host.id != gone).collect()
}

/// A host's process is killed. Callers keep its address from the entry list and their
/// connections are refused, until the lists of the other hosts leave it out: the host
/// list of the platform still names it.
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

/// A host freezes: its connections stay open, its kernel still takes new ones, and
/// whoever asks it waits for good. The others must leave it out, and take it back when
/// it thaws and shows that it is the same process.
#[tokio::test]
async fn a_frozen_host_is_left_out_until_it_thaws() {
    let fleet = fleet().await;
    let before = members(&fleet.hosts[0]).await["host-2"].1;
    fleet.hosts[2].signal("STOP");
    let others = others(&fleet, "host-2");
    for host in &others {
        until("host-2 left out", || async {
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

/// A host is frozen for longer than a suspect may refute, so that the others count it
/// as dead and keep no link to it. It thaws: it must come back by itself.
#[tokio::test]
async fn a_host_taken_for_dead_comes_back() {
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

/// A host is killed and started again at its address. What the others knew of the
/// former process says nothing of the new one: it is a new member.
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

/// Three hosts whose links all go through proxies.
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

/// Something between the hosts loses track of their connections: they stay open and
/// pass nothing on, while new ones work. All hosts run, so none may be left out for
/// good; new connections have to take the place of the silent ones.
#[tokio::test]
async fn silent_links_get_new_connections() {
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

/// The network between one host and all others is cut both ways for so long that each
/// side counts the other as dead, and heals. Nobody restarts anything.
#[tokio::test]
async fn a_split_heals() {
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
