//! Measures what a host's memory grows by while its decision records fill up.
//!
//! `cargo run --release -p jaypin_bench --example records`, after
//! `cargo build --release --workspace --bins`

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use jaypin_bench::{Client, Fleet, FleetConfig};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// Requests between two looks at the memory.
const STEP: u32 = 6_000;
/// Looks; the records are full after 20,000 requests.
const LOOKS: u32 = 5;
/// Callers that ask at once.
const CALLERS: u32 = 20;

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let cfg = FleetConfig {
        hosts: 1,
        engines: Vec::new(),
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(cfg).await?;
    println!("requests  resident KiB");
    println!("{:8}  {:12}", 0, resident(&fleet)?);
    for look in 1..=LOOKS {
        let address = fleet.hosts[0].address;
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| tokio::spawn(ask(Client::new(address, "farm-yilan-secret"))))
            .collect();
        for caller in callers {
            caller.await??;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        println!("{:8}  {:12}", look * STEP, resident(&fleet)?);
    }
    Ok(())
}

async fn ask(client: Client) -> Result<(), AnyError> {
    for _ in 0..STEP / CALLERS {
        let path = "/v1/services/robots/status";
        client.call(Method::GET, path, &[], Bytes::new()).await?;
    }
    Ok(())
}

fn resident(fleet: &Fleet) -> Result<u64, AnyError> {
    let pid = fleet.hosts[0].pid().ok_or("not running")?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let text = line.ok_or("no VmRSS")?.trim_start_matches("VmRSS:");
    Ok(text.trim().trim_end_matches(" kB").parse()?)
}
