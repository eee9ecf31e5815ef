//! Measures the growth of a host's resident memory while its decision records fill up.
//!
//! Run `cargo build --release --workspace --bins` first, then
//! `cargo run --release -p jaypin_bench --example records`.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use jaypin_bench::{Client, Fleet, FleetConfig};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// Number of requests between two memory samples.
const REQUESTS_PER_SAMPLE: u32 = 6_000;
/// Number of memory samples under load; the records are full after 20,000 requests.
const SAMPLES: u32 = 5;
/// Number of concurrent callers.
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
    println!("{:8}  {:12}", 0, resident_kib(&fleet)?);
    for sample in 1..=SAMPLES {
        let address = fleet.hosts[0].address;
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| tokio::spawn(send_requests(Client::new(address, "farm-yilan-secret"))))
            .collect();
        for caller in callers {
            caller.await??;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        println!(
            "{:8}  {:12}",
            sample * REQUESTS_PER_SAMPLE,
            resident_kib(&fleet)?
        );
    }
    Ok(())
}

async fn send_requests(client: Client) -> Result<(), AnyError> {
    for _ in 0..REQUESTS_PER_SAMPLE / CALLERS {
        let path = "/v1/services/robots/status";
        client.call(Method::GET, path, &[], Bytes::new()).await?;
    }
    Ok(())
}

fn resident_kib(fleet: &Fleet) -> Result<u64, AnyError> {
    let pid = fleet.hosts[0].pid().ok_or("not running")?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let text = line.ok_or("no VmRSS")?.trim_start_matches("VmRSS:");
    Ok(text.trim().trim_end_matches(" kB").parse()?)
}
