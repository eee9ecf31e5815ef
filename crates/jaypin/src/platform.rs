//! The platform's object API: reads, conditional writes, watches.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Sender;
use jaypin_core::Event;
use jaypin_wire::{RulesObject, WireHostList};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Key of the rules.
pub const RULES: &str = "rules";
/// Key of the host list.
pub const HOSTS: &str = "hosts";
/// How long one watch waits at the platform.
const WATCH: Duration = Duration::from_secs(20);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time allowed beyond what a watch waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// A client of the platform.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    base: String,
    timeout: Duration,
}

/// What became of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// It was written, as this version.
    Written(u64),
    /// Another version was there.
    Conflict(u64),
}

impl PlatformClient {
    /// Builds a client for an address.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self {
            base: format!("http://{address}/objects"),
            timeout,
        }
    }

    /// Reads an object once it is newer than `after`, or gives nothing after a while.
    pub fn watch<T: DeserializeOwned>(
        &self,
        key: &str,
        after: u64,
    ) -> Result<Option<(u64, T)>, String> {
        let wait = WATCH.as_millis();
        let url = format!("{}/{key}?after={after}&wait_ms={wait}", self.base);
        let response = attohttpc::get(url)
            .timeout(WATCH + self.timeout)
            .send()
            .map_err(|error| error.to_string())?;
        if response.status().as_u16() == 404 {
            return Ok(None);
        }
        if !response.is_success() {
            return Err(format!("the platform answered {}", response.status()));
        }
        let version = response
            .headers()
            .get("x-version")
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .ok_or("the platform gave no version")?;
        let value = response.json().map_err(|error| error.to_string())?;
        Ok(Some((version, value)))
    }

    /// Reads an object as it is.
    pub fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Option<(u64, T)>, String> {
        let response = attohttpc::get(format!("{}/{key}", self.base))
            .timeout(self.timeout)
            .send()
            .map_err(|error| error.to_string())?;
        if response.status().as_u16() == 404 {
            return Ok(None);
        }
        let version = response
            .headers()
            .get("x-version")
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .ok_or_else(|| format!("the platform answered {}", response.status()))?;
        let value = response.json().map_err(|error| error.to_string())?;
        Ok(Some((version, value)))
    }

    /// Writes an object if it has the expected version.
    pub fn put(
        &self,
        key: &str,
        expected: u64,
        value: &impl Serialize,
    ) -> Result<PutOutcome, String> {
        #[derive(serde::Deserialize)]
        struct Answer {
            version: u64,
        }
        let response = attohttpc::put(format!("{}/{key}?if_version={expected}", self.base))
            .timeout(self.timeout)
            .json(value)
            .map_err(|error| error.to_string())?
            .send()
            .map_err(|error| error.to_string())?;
        let status = response.status().as_u16();
        if status != 200 && status != 409 {
            return Err(format!("the platform answered {status}"));
        }
        let answer: Answer = response.json().map_err(|error| error.to_string())?;
        Ok(match status {
            200 => PutOutcome::Written(answer.version),
            _ => PutOutcome::Conflict(answer.version),
        })
    }
}

/// Watches rules and host list, each in a thread that ends with the process.
pub fn spawn_watches(address: &str, events: &Sender<Event>) -> std::io::Result<()> {
    let client = PlatformClient::new(address, CALL_TIMEOUT);
    let (rules_client, rules_events) = (client.clone(), events.clone());
    thread::Builder::new()
        .name("watch-rules".to_owned())
        .spawn(move || {
            watch_object(&rules_client, RULES, |version, object| {
                rules_event(version, &object).is_none_or(|event| rules_events.send(event).is_ok())
            });
        })?;
    let hosts_events = events.clone();
    thread::Builder::new()
        .name("watch-hosts".to_owned())
        .spawn(move || {
            watch_object(&client, HOSTS, |version, object: WireHostList| {
                hosts_events
                    .send(Event::Hosts(object.at_version(version)))
                    .is_ok()
            });
        })?;
    Ok(())
}

fn watch_object<T: DeserializeOwned>(
    client: &PlatformClient,
    key: &str,
    mut tell: impl FnMut(u64, T) -> bool,
) {
    let mut seen = 0;
    loop {
        match client.watch::<T>(key, seen) {
            Ok(Some((version, value))) if version > seen => {
                seen = version;
                if !tell(version, value) {
                    return;
                }
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!(key, error; "can't watch the platform");
                thread::sleep(RETRY_PAUSE);
            }
        }
    }
}

fn rules_event(version: u64, object: &RulesObject) -> Option<Event> {
    match jaypin_rules::parse(&object.text) {
        Ok(rules) => {
            log::info!(version; "rules read");
            Some(Event::Rules {
                version,
                rules: Arc::new(rules),
            })
        }
        Err(mistakes) => {
            let first = mistakes
                .first()
                .map(ToString::to_string)
                .unwrap_or_default();
            log::error!(version, first; "the platform holds a wrong rule file");
            None
        }
    }
}
