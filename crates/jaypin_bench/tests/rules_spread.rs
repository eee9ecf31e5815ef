//! Rules and host list reach every host, never go back, and cost the platform little.

mod common;

use common::{status_number, until, until_all_alive};
use jaypin_bench::{Fleet, FleetConfig, Host, RULES};
use jaypin_standin::{Fault, Proxy, ProxyMode};

async fn rules_version(host: &Host) -> u64 {
    status_number(host, "rules_version").await
}

async fn until_in_force(fleet: &Fleet, version: u64) {
    for host in &fleet.hosts {
        let what = format!("version {version} at {}", host.id);
        until(&what, || async { rules_version(host).await >= version }).await;
    }
}

async fn fleet(hosts: usize) -> Fleet {
    let cfg = FleetConfig {
        hosts,
        apps: 0,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(cfg).await.expect("fleet");
    until_all_alive(&fleet).await;
    fleet
}

/// Nine hosts, of which six watch the platform. An accepted rule file has to be in force
/// on the three others too, or they would serve by old rules for good.
#[tokio::test]
async fn hosts_that_do_not_watch_hear_from_those_that_do() {
    let fleet = fleet(9).await;
    let version = fleet.publish_rules(RULES);
    until_in_force(&fleet, version).await;
}

/// The platform goes out for good just as a host starts again. The host has no disk: it
/// must learn rules and hosts from the peers in its settings, and serve.
#[tokio::test]
async fn a_host_starts_from_peers_while_the_platform_is_out() {
    let mut fleet = Fleet::prepare(FleetConfig::default()).await.expect("fleet");
    let peers = [fleet.hosts[0].link, fleet.hosts[1].link];
    let peers = format!("peers: [\"{}\", \"{}\"]\n", peers[0], peers[1]);
    fleet.hosts[2]
        .edit_settings(|text| text + &peers)
        .expect("settings");
    for host in &mut fleet.hosts {
        host.start().expect("started");
    }
    until_all_alive(&fleet).await;
    let version = rules_version(&fleet.hosts[0]).await;
    fleet.hosts[2].kill();
    fleet.platform.set_fault(Fault::Unavailable);
    fleet.hosts[2].start().expect("started");
    fleet.hosts[2].wait_ready().await.expect("ready");
    assert_eq!(rules_version(&fleet.hosts[2]).await, version);
}

/// Two versions were accepted. The platform answers from an old copy while a host
/// starts again: it must not serve by the old version for a moment.
#[tokio::test]
async fn a_restarted_host_is_not_ready_with_an_old_copy() {
    let mut fleet = fleet(3).await;
    let version = fleet.publish_rules(RULES);
    until_in_force(&fleet, version).await;
    fleet.platform.set_fault(Fault::StaleReads);
    fleet.hosts[1].kill();
    fleet.hosts[1].start().expect("started");
    fleet.hosts[1].wait_ready().await.expect("ready");
    assert_eq!(rules_version(&fleet.hosts[1]).await, version);
}

/// The platform answers old copies while rules are in force: no host goes back.
#[tokio::test]
async fn an_old_copy_reverts_nothing() {
    let fleet = fleet(3).await;
    let version = fleet.publish_rules(RULES);
    until_in_force(&fleet, version).await;
    fleet.platform.set_fault(Fault::StaleReads);
    let calls = fleet.platform.calls().watches;
    until("more old answers", || async {
        fleet.platform.calls().watches > calls + 12
    })
    .await;
    for host in &fleet.hosts {
        assert_eq!(rules_version(host).await, version);
    }
}

/// Something between hosts and platform loses track of open connections: watches hang
/// without an error. They must be given up, and new ones bring the new version.
#[tokio::test]
async fn a_silent_watch_is_given_up() {
    let mut fleet = Fleet::prepare(FleetConfig::default()).await.expect("fleet");
    let proxy = Proxy::start("127.0.0.1:0", fleet.platform.address)
        .await
        .expect("proxy");
    for host in &mut fleet.hosts {
        let (old, new) = (fleet.platform.address, proxy.address);
        host.edit_settings(|text| text.replace(&old.to_string(), &new.to_string()))
            .expect("settings");
        host.start().expect("started");
    }
    until_all_alive(&fleet).await;
    // Each of the three hosts reads two keys once and then waits on both.
    until("all wait on watches", || async {
        fleet.platform.calls().watches >= 2 * 2 * 3
    })
    .await;
    proxy.set(ProxyMode::BlackholeOpen);
    let version = fleet.publish_rules(RULES);
    until_in_force(&fleet, version).await;
}
