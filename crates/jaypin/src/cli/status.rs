//! `jaypin status`

use jaypin_wire::{ShardState, StatusBody};
use lexopt::Parser;

use super::target::Target;
use super::{Outcome, print_json};

const HELP: &str = "\
usage: jaypin status [OPTIONS]

Shows versions and counts of one host, and the fleet as that host knows it.
";

/// Shows a host's status.
pub fn run(parser: &mut Parser) -> Outcome {
    let Some(target) = Target::read(parser, HELP)? else {
        return Ok(());
    };
    let status: StatusBody = target.host().get("/status")?;
    if target.json {
        return print_json(&status);
    }
    print(&status);
    Ok(())
}

fn print(status: &StatusBody) {
    let state = if status.draining {
        "draining"
    } else {
        "serving"
    };
    println!(
        "{} in {}: {state}, incarnation {}",
        status.host, status.failure_domain, status.incarnation
    );
    println!(
        "rules version {}, host list version {}, platform {}",
        status.rules_version, status.hosts_version, status.platform
    );
    println!(
        "own requests: {} waiting, {} running",
        status.waiting, status.running
    );
    println!(
        "shards led: {}, in these {} waiting, {} running",
        status.shards_led, status.queued_here, status.granted_here
    );
    println!(
        "suspected request contents: {}, of these quarantined: {}",
        status.suspected_requests, status.quarantined_requests
    );
    for shard in &status.shards {
        print_shard(shard);
    }
    println!("hosts:");
    for host in &status.hosts {
        println!("  {:24} {:22} {}", host.host, host.address, host.state);
    }
    println!("backend servers in the host list:");
    for backend in &status.backends {
        println!(
            "  {:24} {:22} {}",
            backend.backend, backend.service, backend.state
        );
    }
}

fn print_shard(shard: &ShardState) {
    let waiting: Vec<String> = shard
        .waiting
        .iter()
        .map(|it| format!("{} of `{}`", it.requests, it.tier))
        .collect();
    let waiting = if waiting.is_empty() {
        "none".to_owned()
    } else {
        waiting.join(", ")
    };
    println!(
        "shard {}: waiting: {waiting}; running: {}",
        shard.shard, shard.running
    );
    for backend in &shard.backends {
        println!(
            "  {:24} {:8} {} of {} run, {} prompt tokens/s",
            backend.backend,
            backend.state,
            backend.running,
            backend.limit,
            backend.prefill_tokens_per_second
        );
    }
}
