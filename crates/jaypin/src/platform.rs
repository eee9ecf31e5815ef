//! The platform's object API: reads, conditional writes, watches.

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

/// Key of the rules.
pub const RULES: &str = "rules";
/// Key of the host list.
pub const HOSTS: &str = "hosts";
/// How long one watch waits at the platform.
const WATCH: Duration = Duration::from_secs(4);
/// Pause between two watches; also after a call that failed or answered an old copy.
const WATCH_PAUSE: Duration = Duration::from_millis(250);
/// Time allowed beyond what a watch waits. A watch on a connection that went silent is
/// given up after that, and the next one is on a new connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

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
        let response = counted(
            PlatformCall::Watch,
            attohttpc::get(url).timeout(WATCH + self.timeout).send(),
        )?;
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
        let url = format!("{}/{key}", self.base);
        let response = counted(
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
        let req = attohttpc::put(format!("{}/{key}?if_version={expected}", self.base))
            .timeout(self.timeout)
            .json(value)
            .map_err(|error| error.to_string())?;
        let response = counted(PlatformCall::Write, req.send())?;
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

fn counted(
    call: PlatformCall,
    sent: attohttpc::Result<attohttpc::Response>,
) -> Result<attohttpc::Response, String> {
    let is_answered = sent
        .as_ref()
        .is_ok_and(|response| !response.status().is_server_error());
    metrics::platform_call(call, is_answered);
    sent.map_err(|error| error.to_string())
}

/// Where watches hear what is known and whether they are this host's to hold.
#[derive(Debug, Clone)]
pub struct WatchControl {
    /// What is known already, from peers too.
    pub snapshots: watch::Receiver<Arc<Snapshot>>,
    /// Whether this host watches.
    pub watching: watch::Receiver<bool>,
}

/// Watches rules and host list, each in a thread that ends with the process.
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
            let known = |snapshot: &Snapshot| snapshot.summary.rules_version;
            watch_object(
                &rules_client,
                RULES,
                &rules_control,
                known,
                |version, object: RulesObject| {
                    let text = whole_text(&rules_client, version, &object, &rules_control);
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
            let known = |snapshot: &Snapshot| snapshot.summary.hosts_version;
            watch_object(&client, HOSTS, &control, known, |version, object| {
                let list: WireHostList = object;
                let event = Event::Hosts(list.at_version(version));
                hosts_events.send(event).is_ok()
            });
        })?;
    Ok(())
}

fn watch_object<T: DeserializeOwned>(
    client: &PlatformClient,
    key: &str,
    control: &WatchControl,
    known: impl Fn(&Snapshot) -> u64,
    mut tell: impl FnMut(u64, T) -> bool,
) {
    let mut seen = 0;
    loop {
        if *control.watching.borrow() {
            seen = seen.max(known(&control.snapshots.borrow()));
            match client.watch::<T>(key, seen) {
                Ok(Some((version, value))) if version > seen => {
                    seen = version;
                    if !tell(version, value) {
                        return;
                    }
                }
                Ok(_) => {}
                Err(error) => log::warn!(key, error; "can't watch the platform"),
            }
        }
        // Also after an answer: a platform that answers old copies answers at once, and
        // without a pause the watch would turn into a stream of calls.
        thread::sleep(WATCH_PAUSE);
    }
}

/// Puts a rule file together; gives nothing when a peer was faster.
///
/// Guards against a platform that goes out between the object and its parts: the watch
/// would not show that version again, and this host would keep the older rules.
fn whole_text(
    client: &PlatformClient,
    version: u64,
    object: &RulesObject,
    control: &WatchControl,
) -> Option<String> {
    loop {
        if control.snapshots.borrow().summary.rules_version >= version {
            return None;
        }
        let mut whole = object.clone();
        match read_parts(client, &mut whole) {
            Ok(()) => return Some(whole.text),
            Err(error) => log::warn!(version, error; "can't read the rules' parts"),
        }
        thread::sleep(WATCH_PAUSE);
    }
}

/// Reads a rule file, whoever it came from; gives nothing when it is wrong.
pub fn parse_rules(version: u64, text: &str) -> Vec<Event> {
    match jaypin_rules::parse(text) {
        Ok(rules) => {
            log::info!(version; "rules read");
            let rules = Arc::new(rules);
            let text = Arc::from(text);
            vec![
                Event::RuleText { version, text },
                Event::Rules { version, rules },
            ]
        }
        Err(mistakes) => {
            let first = mistakes
                .first()
                .map(ToString::to_string)
                .unwrap_or_default();
            log::error!(version, first; "a wrong rule file");
            Vec::new()
        }
    }
}
