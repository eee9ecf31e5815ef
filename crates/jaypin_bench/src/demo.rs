//! Demonstration: runs each component as a separate process and sends requests through
//! each host.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use jaypin_standin::expected_answer;

use crate::{BackendSpec, Client, Fleet, FleetConfig, binary, completion_body};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// A stand-in that runs as a separate process, which is killed on drop.
struct Standin {
    child: Child,
    address: std::net::SocketAddr,
}

impl Standin {
    fn start(args: &[&str]) -> Result<Self, AnyError> {
        let mut child = Command::new(binary("jaypin-standin")?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or("the stand-in has no standard output")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let address = line.trim().rsplit(' ').next().unwrap_or_default().parse()?;
        println!("stand-in {}: process {}, {address}", args[0], child.id());
        Ok(Self { child, address })
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs an engine, an application worker and three hosts, sends a streamed request and
/// a plain call through each host, and shuts the hosts down.
///
/// # Errors
/// When a process does not start or a streamed answer differs from the expected one.
pub async fn demo() -> Result<(), AnyError> {
    let engine = Standin::start(&["engine"])?;
    let app = Standin::start(&["app"])?;
    let cfg = FleetConfig {
        engines: Vec::new(),
        apps: 0,
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::prepare(cfg).await?;
    for (id, address, service) in [
        ("engine-0", engine.address, "chat"),
        ("app-0", app.address, "robots"),
    ] {
        fleet.backends.push(BackendSpec {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            leaving: false,
            slots: 16,
        });
    }
    fleet.publish_hosts();
    for host in &mut fleet.hosts {
        host.start()?;
        println!(
            "{}: process {:?}, callers at {}",
            host.id,
            host.pid(),
            host.address
        );
    }
    fleet.wait_ready().await?;
    for host in &fleet.hosts {
        let client = Client::new(host.address, "farm-yilan-secret");
        let text = format!("How is cow 17, asked at {}?", host.id);
        let answer = client
            .complete(&completion_body("cow-small", &text, 12, true), &[])
            .await?;
        println!(
            "{} streamed {} tokens: {}",
            host.id,
            answer.events.len(),
            answer.text()
        );
        if !answer.done || answer.text() != expected_answer(&text, 12) {
            return Err("the answer is not the expected one".into());
        }
        let headers = [("idempotency-key", "demo")];
        let status = client
            .call(
                hyper::Method::GET,
                "/v1/services/robots/status",
                &headers,
                bytes::Bytes::new(),
            )
            .await?;
        println!(
            "{} plain call: {} {}",
            host.id,
            status.status,
            status.json()
        );
    }
    for host in &mut fleet.hosts {
        host.signal("TERM");
        let ended = host.wait_exit(Duration::from_secs(10)).await;
        println!("{} left: {}", host.id, ended == Some(true));
    }
    Ok(())
}
