//! Rules and host list reach every host and never revert, also under platform faults. Only
//! some hosts watch the platform, which limits its load.

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

/// Six of nine hosts watch the platform. An accepted rule file must also reach the three
/// others, or they would apply old rules indefinitely.
#[tokio::test]
async fn hosts_that_do_not_watch_receive_rules_from_peers() {
    let fleet = fleet(9).await;
    let version = fleet.publish_rules(RULES);
    until_in_force(&fleet, version).await;
}

/// The platform becomes unavailable while a host restarts. The host stores nothing on disk,
/// so it must load rules and hosts from the peers in its settings and become ready.
#[tokio::test]
async fn a_host_starts_from_peers_while_the_platform_is_down() {
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

/// Two versions were accepted, and the platform returns an old copy while a host restarts.
/// The host must not become ready with the old version.
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

/// The platform returns old copies while newer rules are in force. No host may revert to
/// the old version.
#[tokio::test]
async fn a_stale_read_does_not_revert_rules() {
    let fleet = fleet(3).await;
    let version = fleet.publish_rules(RULES);
    until_in_force(&fleet, version).await;
    fleet.platform.set_fault(Fault::StaleReads);
    let calls = fleet.platform.calls().watches;
    until("more stale reads", || async {
        fleet.platform.calls().watches > calls + 12
    })
    .await;
    for host in &fleet.hosts {
        assert_eq!(rules_version(host).await, version);
    }
}

/// A network device drops the state of the connections to the platform, so watches hang
/// without an error. They must time out, and new watches must return the new version.
#[tokio::test]
async fn a_silent_watch_is_replaced() {
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
    // Each of the three hosts reads two keys once and then watches both.
    until("all wait on watches", || async {
        fleet.platform.calls().watches >= 2 * 2 * 3
    })
    .await;
    proxy.set(ProxyMode::BlackholeOpen);
    let version = fleet.publish_rules(RULES);
    until_in_force(&fleet, version).await;
}
