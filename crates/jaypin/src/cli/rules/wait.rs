//! Waits until a version of the rules is in force on every live host.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use jaypin_wire::{StatusBody, WireHostList};

use super::Failure;
use crate::cli::target::OperatorClient;
use crate::platform::{HOSTS, PlatformClient};
use crate::rules_change::Deadline;

/// Timeout of a status query to one host.
const HOST_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between two rounds of queries to all hosts.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of hosts that are queried in parallel.
const MAX_PARALLEL_QUERIES: usize = 16;

/// Waits until all live hosts report the version, and prints the progress. Returns their
/// number, or an error that names the hosts that didn't report the version in time.
pub fn wait_in_force(
    client: &PlatformClient,
    port: u16,
    version: u64,
    deadline: Deadline,
) -> Result<usize, Failure> {
    let mut reported = 0;
    loop {
        let problem = match live_hosts(client, port) {
            Err(error) => format!("the host list can't be read: {error}"),
            Ok(hosts) => {
                let missing: Vec<String> = hosts
                    .chunks(MAX_PARALLEL_QUERIES)
                    .flat_map(|chunk| hosts_without_version(chunk, version))
                    .collect();
                if missing.is_empty() {
                    return Ok(hosts.len());
                }
                let count = hosts.len() - missing.len();
                if count != reported {
                    reported = count;
                    eprintln!("in force on {count} of {} hosts", hosts.len());
                }
                format!("these hosts don't report it: {}", missing.join(", "))
            }
        };
        if deadline.has_passed() {
            return Err(Failure::Failed(format!(
                "version {version} is accepted, but {problem}"
            )));
        }
        thread::sleep(ROUND_PAUSE);
    }
}

/// Returns names and operator listeners of the hosts that the host list doesn't mark as
/// leaving.
fn live_hosts(client: &PlatformClient, port: u16) -> Result<Vec<(String, SocketAddr)>, String> {
    let found = client.get::<WireHostList>(HOSTS)?;
    let (_, list) = found.unwrap_or_default();
    let live = list.hosts.iter().filter(|host| !host.leaving);
    live.map(|host| {
        let link: Result<SocketAddr, _> = host.link.parse();
        let mut address =
            link.map_err(|_| format!("{}: `{}` is not IP:PORT", host.id, host.link))?;
        address.set_port(port);
        Ok((host.id.to_string(), address))
    })
    .collect()
}

/// Queries hosts in parallel and returns the names of those that don't report the version,
/// each with the reason.
fn hosts_without_version(hosts: &[(String, SocketAddr)], version: u64) -> Vec<String> {
    thread::scope(|scope| {
        let queries: Vec<_> = hosts
            .iter()
            .map(|(name, address)| {
                let client = OperatorClient::new(&address.to_string(), HOST_TIMEOUT);
                let query = move || {
                    check_version(&client, version).map_err(|why| format!("{name} ({why})"))
                };
                scope.spawn(query)
            })
            .collect();
        let results = queries.into_iter().filter_map(|host| host.join().ok());
        results.filter_map(Result::err).collect()
    })
}

/// Checks that a host reports the version of the rules or a newer one.
fn check_version(client: &OperatorClient, version: u64) -> Result<(), String> {
    match client.get::<StatusBody>("/status") {
        Ok(status) if status.rules_version >= version => Ok(()),
        Ok(status) => Err(format!("has version {}", status.rules_version)),
        Err(Failure::Usage(error) | Failure::Failed(error)) => Err(error),
    }
}
