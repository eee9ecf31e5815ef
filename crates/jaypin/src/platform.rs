//! Client of the platform's object API, with reads, conditional writes and watches.

use std::io::{BufReader, Read};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::Sender;
use jaypin_core::Event;
use jaypin_wire::{RulesObject, WireHostList};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use crate::metrics::{self, PlatformCall};
use crate::rules_change::read_parts;
use crate::snapshot::Snapshot;

/// Object key of the rules.
pub const RULES: &str = "rules";
/// Object key of the host list.
pub const HOSTS: &str = "hosts";
/// Time for which the platform holds a watch call open without a change.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Pause after each watch call, also if it failed or returned an old version.
const WATCH_PAUSE: Duration = Duration::from_millis(250);
/// Largest response, in bytes. The platform's values have a megabyte at most.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;
/// Longest time of a call, added to [`WATCH_WAIT`] for a watch. A call on a connection that
/// went silent fails after it, and the next call uses a new connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A client of the platform.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    base: String,
    timeout: Duration,
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The object was written, as this version.
    Written(u64),
    /// The object had this version instead of the expected one.
    Conflict(u64),
}

impl PlatformClient {
    /// Creates a client for an address; the timeout applies to each call.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self {
            base: format!("http://{address}/objects"),
            timeout,
        }
    }

    /// Waits until an object is newer than version `after`, and returns its version and value;
    /// the version is not newer if the platform's wait ends first. Returns `None` if the object
    /// does not exist.
    pub fn watch<T: DeserializeOwned>(
        &self,
        key: &str,
        after: u64,
    ) -> Result<Option<(u64, T)>, String> {
        let wait = WATCH_WAIT.as_millis();
        let url = format!("{}/{key}?after={after}&wait_ms={wait}", self.base);
        let response = count_call(
            PlatformCall::Watch,
            attohttpc::get(url)
                .timeout(WATCH_WAIT + self.timeout)
                .send(),
        )?;
        if response.status().as_u16() == 404 {
            return Ok(None);
        }
        if !response.is_success() {
            return Err(format!(
                "the platform responded with status {}",
                response.status()
            ));
        }
        let version = response
            .headers()
            .get("x-version")
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .ok_or("the platform's response has no valid x-version header")?;
        let value = read_json(response)?;
        Ok(Some((version, value)))
    }

    /// Returns the version and the value of an object, or `None` if it does not exist.
    pub fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Option<(u64, T)>, String> {
        let url = format!("{}/{key}", self.base);
        let response = count_call(
            PlatformCall::Read,
            attohttpc::get(url).timeout(self.timeout).send(),
        )?;
        if response.status().as_u16() == 404 {
            return Ok(None);
        }
        let version = response
            .headers()
            .get("x-version")
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .ok_or_else(|| format!("the platform responded with status {}", response.status()))?;
        let value = read_json(response)?;
        Ok(Some((version, value)))
    }

    /// Writes an object if its version is the expected one.
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
        let req = attohttpc::put(format!("{}/{key}?if_version={expected}", self.base))
            .timeout(self.timeout)
            .json(value)
            .map_err(|error| error.to_string())?;
        let response = count_call(PlatformCall::Write, req.send())?;
        let status = response.status().as_u16();
        if status != 200 && status != 409 {
            return Err(format!(
                "the platform responded to a write with status {status}"
            ));
        }
        let answer: Answer = read_json(response)?;
        Ok(match status {
            200 => PutOutcome::Written(answer.version),
            _ => PutOutcome::Conflict(answer.version),
        })
    }
}

/// Reads the value in a response.
///
/// Guards against a response without end, which would be kept until the memory is used up.
fn read_json<T: DeserializeOwned>(response: attohttpc::Response) -> Result<T, String> {
    let (_, _, reader) = response.split();
    let reader = BufReader::new(reader.take(MAX_RESPONSE_BYTES));
    serde_json::from_reader(reader).map_err(|error| error.to_string())
}

/// Counts a call in the metrics and converts its error to text.
fn count_call(
    call: PlatformCall,
    sent: attohttpc::Result<attohttpc::Response>,
) -> Result<attohttpc::Response, String> {
    let is_answered = sent
        .as_ref()
        .is_ok_and(|response| !response.status().is_server_error());
    metrics::record_platform_call(call, is_answered);
    sent.map_err(|error| error.to_string())
}

/// State that controls the watches.
#[derive(Debug, Clone)]
pub struct WatchControl {
    /// Snapshots, whose versions include those received from peers.
    pub snapshots: watch::Receiver<Arc<Snapshot>>,
    /// Whether this host is one of those that watch the platform.
    pub watching: watch::Receiver<bool>,
}

/// Starts to watch rules and host list, each in a thread that runs until the process ends.
pub fn spawn_watches(
    address: &str,
    events: &Sender<Event>,
    control: &WatchControl,
) -> std::io::Result<()> {
    let client = PlatformClient::new(address, CALL_TIMEOUT);
    let (rules_client, rules_events) = (client.clone(), events.clone());
    let rules_control = control.clone();
    thread::Builder::new()
        .name("watch-rules".to_owned())
        .spawn(move || {
            let known_version = |snapshot: &Snapshot| snapshot.summary.rules_version;
            watch_object(
                &rules_client,
                RULES,
                &rules_control,
                known_version,
                |version, object: RulesObject| {
                    let text = read_complete_text(&rules_client, version, &object, &rules_control);
                    let events = text.map_or_else(Vec::new, |text| parse_rules(version, &text));
                    events
                        .into_iter()
                        .all(|event| rules_events.send(event).is_ok())
                },
            );
        })?;
    let (hosts_events, control) = (events.clone(), control.clone());
    thread::Builder::new()
        .name("watch-hosts".to_owned())
        .spawn(move || {
            let known_version = |snapshot: &Snapshot| snapshot.summary.hosts_version;
            watch_object(
                &client,
                HOSTS,
                &control,
                known_version,
                |version, object| {
                    let list: WireHostList = object;
                    let event = Event::Hosts(list.at_version(version));
                    hosts_events.send(event).is_ok()
                },
            );
        })?;
    Ok(())
}

/// Watches an object and delivers each newer version until `deliver` returns false.
fn watch_object<T: DeserializeOwned>(
    client: &PlatformClient,
    key: &str,
    control: &WatchControl,
    known_version: impl Fn(&Snapshot) -> u64,
    mut deliver: impl FnMut(u64, T) -> bool,
) {
    let mut latest = 0;
    loop {
        if *control.watching.borrow() {
            latest = latest.max(known_version(&control.snapshots.borrow()));
            match client.watch::<T>(key, latest) {
                Ok(Some((version, value))) if version > latest => {
                    latest = version;
                    if !deliver(version, value) {
                        return;
                    }
                }
                Ok(_) => {}
                Err(error) => {
                    log::warn!(key, error; "could not watch an object at the platform; retrying");
                }
            }
        }
        // The pause also follows a successful call: a platform that serves an old copy
        // answers at once, and without a pause the calls would follow each other directly.
        thread::sleep(WATCH_PAUSE);
    }
}

/// Reads the complete text of a rule file, or returns `None` once a peer has sent the version.
///
/// It retries until then, because the platform can fail between the read of the object and
/// those of its parts. The watch does not deliver that version again, so this host would
/// otherwise keep the older rules.
fn read_complete_text(
    client: &PlatformClient,
    version: u64,
    object: &RulesObject,
    control: &WatchControl,
) -> Option<String> {
    loop {
        if control.snapshots.borrow().summary.rules_version >= version {
            return None;
        }
        let mut complete = object.clone();
        match read_parts(client, &mut complete) {
            Ok(()) => return Some(complete.text),
            Err(error) => {
                log::warn!(version, error; "could not read the parts of the rule file; retrying");
            }
        }
        thread::sleep(WATCH_PAUSE);
    }
}

/// Parses a rule file from the platform or a peer; returns the events for the reducer, which
/// are none if the file is invalid.
pub fn parse_rules(version: u64, text: &str) -> Vec<Event> {
    match jaypin_rules::parse(text) {
        Ok(rules) => {
            log::info!(version; "parsed the rule file");
            let rules = Arc::new(rules);
            let text = Arc::from(text);
            vec![
                Event::RuleText { version, text },
                Event::Rules { version, rules },
            ]
        }
        Err(errors) => {
            let first = errors.first().map(ToString::to_string).unwrap_or_default();
            log::error!(version, first; "rejected an invalid rule file");
            Vec::new()
        }
    }
}
