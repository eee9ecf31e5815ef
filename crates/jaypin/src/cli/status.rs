//! `jaypin status`

use jaypin_wire::StatusBody;
use lexopt::Parser;

use super::target::{TARGET_HELP, Target};
use super::word::Word;
use super::{Outcome, help, print_json};

const HELP: &str = "\
usage: jaypin status [OPTIONS]

Shows versions and counts of one host, and the fleet as that host sees it.
";

/// Shows a host's status.
pub fn run(parser: &mut Parser) -> Outcome {
    let mut target = Target::default();
    while let Some(word) = Word::next(parser)? {
        match word.option() {
            "--help" => return help(&format!("{HELP}{TARGET_HELP}")),
            _ if target.take(&word, parser)? => {}
            _ => return Err(word.unexpected()),
        }
    }
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
        "own requests: {} wait, {} run",
        status.waiting, status.running
    );
    println!(
        "shards led: {}, in them {} wait, {} run",
        status.shards_led, status.queued_here, status.granted_here
    );
    println!("hosts:");
    for host in &status.hosts {
        println!("  {:24} {:22} {}", host.host, host.address, host.state);
    }
    println!("backend servers:");
    for backend in &status.backends {
        println!(
            "  {:24} {:22} {}",
            backend.backend, backend.service, backend.state
        );
    }
}
