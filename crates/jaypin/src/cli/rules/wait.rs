//! Waits until every live host has a version of the rules in force.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use jaypin_wire::{StatusBody, WireHostList};

use super::Failure;
use crate::cli::target::OperatorClient;
use crate::platform::{HOSTS, PlatformClient};
use crate::rules_change::Deadline;

/// Time for one host to answer.
const HOST_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two rounds over the hosts.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Hosts that are asked at once.
const ASKED_AT_ONCE: usize = 16;

/// Waits, telling progress; names the hosts that did not report the version in time.
pub fn wait_in_force(
    client: &PlatformClient,
    port: u16,
    version: u64,
    deadline: Deadline,
) -> Result<usize, Failure> {
    let mut reported = 0;
    loop {
        let late = match live_hosts(client, port) {
            Err(error) => format!("the host list can't be read: {error}"),
            Ok(hosts) => {
                let missing: Vec<String> = hosts
                    .chunks(ASKED_AT_ONCE)
                    .flat_map(|some| not_reporting(some, version))
                    .collect();
                if missing.is_empty() {
                    return Ok(hosts.len());
                }
                let have = hosts.len() - missing.len();
                if have != reported {
                    reported = have;
                    eprintln!("in force on {have} of {} hosts", hosts.len());
                }
                format!("these hosts don't report it: {}", missing.join(", "))
            }
        };
        if deadline.has_passed() {
            return Err(Failure::Failed(format!(
                "version {version} is accepted, but {late}"
            )));
        }
        thread::sleep(ROUND_PAUSE);
    }
}

/// Names and operator listeners of the hosts that the host list gives as live.
fn live_hosts(client: &PlatformClient, port: u16) -> Result<Vec<(String, SocketAddr)>, String> {
    let found = client.get::<WireHostList>(HOSTS)?;
    let (_, list) = found.unwrap_or_default();
    let live = list.hosts.iter().filter(|host| !host.leaving);
    live.map(|host| {
        let link: Result<SocketAddr, _> = host.link.parse();
        let mut address = link.map_err(|_| format!("{}: {} is no IP:PORT", host.id, host.link))?;
        address.set_port(port);
        Ok((host.id.to_string(), address))
    })
    .collect()
}

fn not_reporting(hosts: &[(String, SocketAddr)], version: u64) -> Vec<String> {
    thread::scope(|scope| {
        let asked: Vec<_> = hosts
            .iter()
            .map(|(name, address)| {
                let client = OperatorClient::new(&address.to_string(), HOST_TIMEOUT);
                let ask =
                    move || reports(&client, version).map_err(|why| format!("{name} ({why})"));
                scope.spawn(ask)
            })
            .collect();
        let answers = asked.into_iter().filter_map(|host| host.join().ok());
        answers.filter_map(Result::err).collect()
    })
}

fn reports(client: &OperatorClient, version: u64) -> Result<(), String> {
    match client.get::<StatusBody>("/status") {
        Ok(status) if status.rules_version >= version => Ok(()),
        Ok(status) => Err(format!("has version {}", status.rules_version)),
        Err(Failure::Usage(error) | Failure::Failed(error)) => Err(error),
    }
}
