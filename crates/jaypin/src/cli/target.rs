//! Where a command turns to: a host's operator listener and, through it, the platform.

use std::time::Duration;

use attohttpc::{RequestBuilder, Response};
use jaypin_wire::StatusBody;
use lexopt::Parser;
use serde::de::DeserializeOwned;

use super::word::Word;
use super::{Failure, help, text_value};
use crate::platform::PlatformClient;

/// Where a host listens to operators when nothing else is said.
const DEFAULT_HOST: &str = "127.0.0.1:7103";
/// Variable that holds the operators' token.
const TOKEN_VARIABLE: &str = "JAYPIN_OPERATOR_TOKEN";
/// Time for a host or the platform to answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Options that name the target, for every help text.
pub const TARGET_HELP: &str = "\
  --host IP:PORT      a host's operator listener, 127.0.0.1:7103 by default
  --platform IP:PORT  the platform; asked of the host when absent
  --json              print JSON
The operators' token is read from the variable JAYPIN_OPERATOR_TOKEN.";

/// What a command turns to, as the command line says.
#[derive(Debug, Default)]
pub struct Target {
    host: Option<String>,
    platform: Option<String>,
    /// Whether JSON is wanted.
    pub json: bool,
}

impl Target {
    /// Takes an option that names a target; says whether it was one.
    pub fn take(&mut self, word: &Word, parser: &mut Parser) -> Result<bool, Failure> {
        match word.option() {
            "--host" => self.host = Some(text_value(parser)?),
            "--platform" => self.platform = Some(text_value(parser)?),
            "--json" => self.json = true,
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Reads the options of a command that takes no others; gives nothing when help was
    /// asked for and shown.
    pub fn read(parser: &mut Parser, command_help: &str) -> Result<Option<Self>, Failure> {
        let mut target = Self::default();
        while let Some(word) = Word::next(parser)? {
            match word.option() {
                "--help" => {
                    help(&format!("{command_help}{TARGET_HELP}"))?;
                    return Ok(None);
                }
                _ if target.take(&word, parser)? => {}
                _ => return Err(word.unexpected()),
            }
        }
        Ok(Some(target))
    }

    /// The host to ask.
    pub fn host(&self) -> OperatorClient {
        OperatorClient::new(self.host.as_deref().unwrap_or(DEFAULT_HOST), TIMEOUT)
    }

    /// The platform, named or asked of the host.
    pub fn platform(&self) -> Result<PlatformClient, Failure> {
        let address = match &self.platform {
            Some(address) => address.clone(),
            None => self.host().get::<StatusBody>("/status")?.platform,
        };
        Ok(PlatformClient::new(&address, TIMEOUT))
    }

    /// Port of every host's operator listener: hosts of a fleet use the same.
    pub fn operator_port(&self) -> Result<u16, Failure> {
        let host = self.host.as_deref().unwrap_or(DEFAULT_HOST);
        let port = host.rsplit(':').next().and_then(|port| port.parse().ok());
        port.ok_or_else(|| Failure::Usage(format!("--host {host}: IP:PORT is expected")))
    }
}

/// A client of one host's operator listener.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    address: String,
    timeout: Duration,
}

impl OperatorClient {
    /// Builds a client for an address.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self {
            address: address.to_owned(),
            timeout,
        }
    }

    /// Reads a page.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let url = format!("http://{}{path}", self.address);
        let response = self.send(attohttpc::get(url))?;
        let body = response.json();
        body.map_err(|error| Failure::Failed(format!("{}: {error}", self.address)))
    }

    /// Gives an order.
    pub fn post(&self, path: &str) -> Result<(), Failure> {
        let url = format!("http://{}{path}", self.address);
        self.send(attohttpc::post(url)).map(|_| ())
    }

    fn send<B: attohttpc::body::Body>(&self, req: RequestBuilder<B>) -> Result<Response, Failure> {
        let mut req = req.timeout(self.timeout);
        if let Ok(token) = std::env::var(TOKEN_VARIABLE) {
            req = req.bearer_auth(token);
        }
        let failed = |message: String| Failure::Failed(format!("{}: {message}", self.address));
        let response = req.send().map_err(|error| failed(error.to_string()))?;
        if response.is_success() {
            return Ok(response);
        }
        let status = response.status();
        let body = response.text().unwrap_or_default();
        Err(failed(format!("{status}: {}", body.trim_matches('"'))))
    }
}
