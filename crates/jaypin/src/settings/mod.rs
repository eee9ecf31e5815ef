//! Settings of one host, in YAML, checked as a whole before anything starts.

mod reader;

use std::net::SocketAddr;
use std::path::Path;

use jaypin_core::Policy;

use reader::Reader;

/// Settings of one host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the host, as in the host list.
    pub host: String,
    /// Failure domain it stands in.
    pub failure_domain: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where peers connect.
    pub link_listen: SocketAddr,
    /// Where operators and scrapers connect.
    pub operator_listen: SocketAddr,
    /// The platform's object API.
    pub platform: SocketAddr,
    /// Key shared by the fleet's hosts; proves a peer on a link.
    pub fleet_key: String,
    /// Link addresses of some peers, to learn rules and hosts from.
    pub peers: Vec<SocketAddr>,
    /// How requests find a backend server.
    pub policy: Policy,
    /// Seed of random choices; the incarnation when absent.
    pub seed: Option<u64>,
    /// Backend servers in one shard, at most.
    pub shard_size: Option<usize>,
    /// SHA-256 of the operators' token, in lower-case hexadecimal digits.
    pub operator_token_digest: Option<String>,
    /// Milliseconds between two load reports.
    pub report_interval_ms: Option<u64>,
}

const ADDRESS: &str = "IP:PORT";
const COUNT: &str = "a whole number";
const DIGEST: &str = "a SHA-256 in 64 lower-case hexadecimal digits";
/// Digits of a SHA-256 digest.
const DIGEST_LEN: usize = 64;
/// Shortest fleet key that is taken.
const MIN_FLEET_KEY: usize = 16;

impl Settings {
    /// Reads and checks a settings file; the error has a line for every mistake.
    pub fn load(file: &Path) -> Result<Self, String> {
        let name = file.display();
        let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
        Self::parse(&text).map_err(|mistakes| {
            let lines: Vec<String> = mistakes
                .iter()
                .map(|(line, message)| format!("{name}:{line}: {message}"))
                .collect();
            lines.join("\n")
        })
    }

    fn parse(text: &str) -> Result<Self, Vec<(usize, String)>> {
        let mut reader = Reader::new(text).map_err(|mistake| vec![mistake])?;
        let settings = Self::take(&mut reader);
        let mistakes = reader.finish();
        settings.filter(|_| mistakes.is_empty()).ok_or(mistakes)
    }

    /// Takes every setting before it gives up, so that every mistake is named.
    fn take(reader: &mut Reader) -> Option<Self> {
        let host = reader.required("host", "a name, as in the host list");
        let failure_domain = reader.required("failure-domain", "a name");
        let listen = reader.required("listen", ADDRESS);
        let link_listen = reader.required("link-listen", ADDRESS);
        let operator_listen = reader.required("operator-listen", ADDRESS);
        let platform = reader.required("platform", ADDRESS);
        let fleet_key = take_fleet_key(reader);
        let peers = reader.list("peers", ADDRESS);
        let policy = take_policy(reader);
        let seed = reader.optional("seed", COUNT);
        let shard_size = take_above_zero(reader, "shard-size");
        let operator_token_digest: Option<String> =
            reader.optional("operator-token-digest", DIGEST);
        check_operator_token(reader, operator_listen, operator_token_digest.as_deref());
        let report_interval_ms = take_above_zero(reader, "report-interval-ms");
        Some(Self {
            host: host?,
            failure_domain: failure_domain?,
            listen: listen?,
            link_listen: link_listen?,
            operator_listen: operator_listen?,
            platform: platform?,
            fleet_key: fleet_key?,
            peers,
            policy: policy?,
            seed,
            shard_size: shard_size.and_then(|size| usize::try_from(size).ok()),
            operator_token_digest,
            report_interval_ms,
        })
    }
}

/// Who reaches the operators' listener may drain the host, so one that others reach asks
/// for a token.
fn check_operator_token(reader: &mut Reader, listen: Option<SocketAddr>, digest: Option<&str>) {
    let name = "operator-token-digest";
    match (digest, listen) {
        (Some(digest), _) if !is_digest(digest) => {
            reader.note(name, &format!("expected {DIGEST}"));
        }
        (None, Some(listen)) if !listen.ip().is_loopback() && !reader.has(name) => {
            let message = format!("not a loopback address, so `{name}` is expected, {DIGEST}");
            reader.note("operator-listen", &message);
        }
        _ => {}
    }
}

/// Takes the fleet key; it is secret, so a wrong one is not shown.
fn take_fleet_key(reader: &mut Reader) -> Option<String> {
    let key: String = reader.required("fleet-key", "a secret that all hosts share")?;
    if key.len() < MIN_FLEET_KEY {
        let message = format!("expected at least {MIN_FLEET_KEY} characters");
        reader.note("fleet-key", &message);
    }
    Some(key)
}

fn take_policy(reader: &mut Reader) -> Option<Policy> {
    let expected = "`grants`, `baseline` or `local`";
    let Some(word) = reader.optional::<String>("policy", expected) else {
        return Some(Policy::default());
    };
    let policy = match word.as_str() {
        "grants" => Some(Policy::Grants),
        "baseline" => Some(Policy::Baseline),
        "local" => Some(Policy::Local),
        _ => None,
    };
    if policy.is_none() {
        reader.note("policy", &format!("found `{word}`, expected {expected}"));
    }
    policy
}

fn take_above_zero(reader: &mut Reader, name: &'static str) -> Option<u64> {
    let value = reader.optional(name, COUNT)?;
    if value == 0 {
        reader.note(name, "found 0, expected more");
    }
    Some(value)
}

fn is_digest(text: &str) -> bool {
    let is_digit = |c: char| matches!(c, '0'..='9' | 'a'..='f');
    text.len() == DIGEST_LEN && text.chars().all(is_digit)
}
