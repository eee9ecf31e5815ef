//! Settings of one host, in YAML, checked as a whole before anything starts.

use std::net::SocketAddr;
use std::path::Path;

use jaypin_core::Policy;
use serde::Deserialize;

/// Settings of one host.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
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
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// How requests find a backend server.
    #[serde(default)]
    pub policy: PolicySetting,
    /// Seed of random choices; the incarnation when absent.
    pub seed: Option<u64>,
    /// Backend servers in one shard, at most.
    pub shard_size: Option<usize>,
    /// SHA-256 of the operators' token, in lower-case hexadecimal digits.
    pub operator_token_digest: Option<String>,
    /// Milliseconds between two load reports.
    pub report_interval_ms: Option<u64>,
}

/// See [`Policy`].
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicySetting {
    /// See [`Policy::Grants`].
    #[default]
    Grants,
    /// See [`Policy::Baseline`].
    Baseline,
    /// See [`Policy::Local`].
    Local,
}

impl From<PolicySetting> for Policy {
    fn from(setting: PolicySetting) -> Self {
        match setting {
            PolicySetting::Grants => Self::Grants,
            PolicySetting::Baseline => Self::Baseline,
            PolicySetting::Local => Self::Local,
        }
    }
}

/// Digits of a SHA-256 digest.
const DIGEST_LEN: usize = 64;
/// Shortest fleet key that is taken.
const MIN_FLEET_KEY: usize = 16;

impl Settings {
    /// Reads and checks a settings file; the error is one line a person can act on.
    pub fn load(file: &Path) -> Result<Self, String> {
        let name = file.display();
        let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
        let settings: Self =
            serde_yaml_ng::from_str(&text).map_err(|error| format!("{name}: {error}"))?;
        settings
            .check()
            .map_err(|message| format!("{name}: {message}"))?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        if self.host.is_empty() {
            return Err("host: a name is expected".to_owned());
        }
        if self.failure_domain.is_empty() {
            return Err("failure-domain: a name is expected".to_owned());
        }
        if self.fleet_key.len() < MIN_FLEET_KEY {
            return Err(format!(
                "fleet-key: at least {MIN_FLEET_KEY} characters are expected"
            ));
        }
        self.check_operator_token()
    }

    /// Who reaches the operators' listener may drain the host, so one that others reach
    /// asks for a token.
    fn check_operator_token(&self) -> Result<(), String> {
        let expected = "operator-token-digest: 64 lower-case hexadecimal digits are expected";
        match &self.operator_token_digest {
            Some(digest) if !is_digest(digest) => Err(expected.to_owned()),
            None if !self.operator_listen.ip().is_loopback() => Err(format!(
                "{expected}, because operator-listen is not a loopback address"
            )),
            _ => Ok(()),
        }
    }
}

fn is_digest(text: &str) -> bool {
    let is_digit = |c: char| matches!(c, '0'..='9' | 'a'..='f');
    text.len() == DIGEST_LEN && text.chars().all(is_digit)
}
