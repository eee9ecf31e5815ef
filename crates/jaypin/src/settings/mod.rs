//! Settings of one host, read from a YAML file and checked completely before the host starts.

mod reader;

use std::net::SocketAddr;
use std::path::Path;

use jaypin_core::Policy;

use reader::Reader;

/// Settings of one host.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the host; the host list has the same name.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address on which the host listens for callers.
    pub listen: SocketAddr,
    /// Address on which the host listens for links from peers.
    pub link_listen: SocketAddr,
    /// Address on which the host listens for operators and metrics scrapers.
    pub operator_listen: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Secret key that all hosts of the fleet share; peers authenticate on links with it.
    pub fleet_key: String,
    /// Link addresses of some peers, from which the host fetches rules and host list.
    pub peers: Vec<SocketAddr>,
    /// Policy that selects a backend server for a request.
    pub policy: Policy,
    /// Seed of the reducer's random numbers; the incarnation when absent.
    pub seed: Option<u64>,
    /// Maximum number of backend servers in one shard; the default when absent.
    pub shard_size: Option<usize>,
    /// SHA-256 of the operators' token, in lower-case hexadecimal digits; when absent, no
    /// token is required.
    pub operator_token_digest: Option<String>,
    /// Milliseconds between two load reports; the default when absent.
    pub report_interval_ms: Option<u64>,
}

const ADDRESS: &str = "IP:PORT";
const COUNT: &str = "a whole number";
const DIGEST: &str = "a SHA-256 in 64 lower-case hexadecimal digits";
/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_LEN: usize = 64;
/// Minimum length of a fleet key, in bytes.
const MIN_FLEET_KEY_BYTES: usize = 16;

impl Settings {
    /// Reads and checks a settings file. The error message has one line for every mistake.
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
        let settings = Self::read(&mut reader);
        let mistakes = reader.finish();
        settings.filter(|_| mistakes.is_empty()).ok_or(mistakes)
    }

    /// Reads every setting before it returns, so that every mistake is reported.
    fn read(reader: &mut Reader) -> Option<Self> {
        let host = reader.required("host", "a name, as in the host list");
        let failure_domain = reader.required("failure-domain", "a name");
        let listen = reader.required("listen", ADDRESS);
        let link_listen = reader.required("link-listen", ADDRESS);
        let operator_listen = reader.required("operator-listen", ADDRESS);
        let platform = reader.required("platform", ADDRESS);
        let fleet_key = read_fleet_key(reader);
        let peers = reader.list("peers", ADDRESS);
        let policy = read_policy(reader);
        let seed = reader.optional("seed", COUNT);
        let shard_size = read_positive(reader, "shard-size");
        let operator_token_digest: Option<String> =
            reader.optional("operator-token-digest", DIGEST);
        check_operator_token(reader, operator_listen, operator_token_digest.as_deref());
        let report_interval_ms = read_positive(reader, "report-interval-ms");
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

/// Checks the digest of the operators' token. Anyone who can reach the operators' listener
/// could drain the host, so a listener that isn't on a loopback address requires a token.
fn check_operator_token(reader: &mut Reader, listen: Option<SocketAddr>, digest: Option<&str>) {
    let name = "operator-token-digest";
    match (digest, listen) {
        (Some(digest), _) if !is_sha256_hex(digest) => {
            reader.report(name, &format!("expected {DIGEST}"));
        }
        (None, Some(listen)) if !listen.ip().is_loopback() && !reader.has(name) => {
            let message = format!("not a loopback address, so `{name}` is expected, {DIGEST}");
            reader.report("operator-listen", &message);
        }
        _ => {}
    }
}

/// Reads the fleet key. An invalid key is not part of the error message, since it is secret.
fn read_fleet_key(reader: &mut Reader) -> Option<String> {
    let key: String = reader.required("fleet-key", "a secret that all hosts share")?;
    if key.len() < MIN_FLEET_KEY_BYTES {
        let message = format!("expected at least {MIN_FLEET_KEY_BYTES} characters");
        reader.report("fleet-key", &message);
    }
    Some(key)
}

fn read_policy(reader: &mut Reader) -> Option<Policy> {
    let expected = "`grants`, `baseline` or `local`";
    let Some(text) = reader.optional::<String>("policy", expected) else {
        return Some(Policy::default());
    };
    let policy = match text.as_str() {
        "grants" => Some(Policy::Grants),
        "baseline" => Some(Policy::Baseline),
        "local" => Some(Policy::Local),
        _ => None,
    };
    if policy.is_none() {
        reader.report("policy", &format!("found `{text}`, expected {expected}"));
    }
    policy
}

fn read_positive(reader: &mut Reader, name: &'static str) -> Option<u64> {
    let value = reader.optional(name, COUNT)?;
    if value == 0 {
        reader.report(name, "found 0, expected at least 1");
    }
    Some(value)
}

fn is_sha256_hex(text: &str) -> bool {
    let is_digit = |c: char| matches!(c, '0'..='9' | 'a'..='f');
    text.len() == DIGEST_LEN && text.chars().all(is_digit)
}
