//! What goes wrong halfway through a run, when asked for.

use std::time::Duration;

use serde::Serialize;
use tokio::time::sleep;

use crate::Fleet;

/// How long the host list still names a host that is gone.
const HOST_LIST_LAG: Duration = Duration::from_secs(5);

/// What goes wrong.
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
    /// Makes it go wrong now; gives what was done.
    pub async fn strike(self, fleet: &mut Fleet) -> Vec<String> {
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

/// Kills the first host that leads shards, or that leads none.
async fn kill(fleet: &mut Fleet, leading: bool) -> Option<String> {
    for index in 0..fleet.hosts.len() {
        let Some((_, status)) = fleet.hosts[index].page("/status").await else {
            continue;
        };
        let leads = status["shards_led"].as_u64().unwrap_or_default();
        if (leads > 0) == leading {
            fleet.hosts[index].kill();
            return Some(format!(
                "{} was killed, which led {leads} shards",
                fleet.hosts[index].id
            ));
        }
    }
    None
}
