//! Faults that a run can inject at the middle of its measured period.

use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;

use crate::Fleet;

/// Time for which the host list still contains a killed host.
const HOST_LIST_LAG: Duration = Duration::from_secs(5);

/// Faults to inject; none by default.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Faults {
    /// Engine 0 becomes slower by this factor.
    pub slow_engine: Option<f64>,
    /// A host that leads no shard is killed.
    pub kill_host: bool,
    /// A host that leads a shard is killed.
    pub kill_scheduler: bool,
}

impl Faults {
    /// Injects the faults and returns a description of each one injected.
    pub async fn inject(self, fleet: &mut Fleet) -> Vec<String> {
        let mut done = Vec::new();
        if let Some(factor) = self.slow_engine {
            fleet.engines[0].slow_down(factor);
            done.push(format!("engine-0 is {factor} times slower"));
        }
        if self.kill_scheduler {
            done.extend(kill(fleet, true).await);
        }
        if self.kill_host {
            done.extend(kill(fleet, false).await);
        }
        if self.kill_host || self.kill_scheduler {
            sleep(HOST_LIST_LAG).await;
            fleet.publish_hosts();
        }
        done
    }
}

/// Kills the first host that leads shards, or the first that leads none; returns a
/// description, or none when no host matches.
async fn kill(fleet: &mut Fleet, leads_shards: bool) -> Option<String> {
    for index in 0..fleet.hosts.len() {
        let Some((_, status)) = fleet.hosts[index].page("/status").await else {
            continue;
        };
        let leads = status["shards_led"].as_u64().unwrap_or_default();
        if (leads > 0) == leads_shards {
            fleet.hosts[index].kill();
            return Some(format!(
                "{} was killed, which led {leads} shards",
                fleet.hosts[index].id
            ));
        }
    }
    None
}
