//! The target of a command: a host's operator listener, and the platform's address, which the
//! host provides by default.

use std::time::Duration;

use attohttpc::{RequestBuilder, Response};
use jaypin_wire::StatusBody;
use lexopt::Parser;
use serde::de::DeserializeOwned;

use super::argument::Argument;
use super::{Failure, help, text_value};
use crate::platform::PlatformClient;

/// Default address of a host's operator listener.
const DEFAULT_HOST: &str = "127.0.0.1:7103";
/// Environment variable that holds the operators' token.
const TOKEN_VARIABLE: &str = "JAYPIN_OPERATOR_TOKEN";
/// Timeout of a request to a host or the platform.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Description of the target options for the help texts.
pub const TARGET_HELP: &str = "\
  --host IP:PORT      a host's operator listener, 127.0.0.1:7103 by default
  --platform IP:PORT  the platform; by default the one that the host uses
  --json              print JSON
The operators' token is read from the variable JAYPIN_OPERATOR_TOKEN.";

/// The target options of a command.
#[derive(Debug, Default)]
pub struct Target {
    host: Option<String>,
    platform: Option<String>,
    /// Whether the command prints JSON.
    pub json: bool,
}

impl Target {
    /// Parses the argument if it is a target option; returns whether it was one.
    pub fn parse_option(&mut self, arg: &Argument, parser: &mut Parser) -> Result<bool, Failure> {
        match arg.option() {
            "--host" => self.host = Some(text_value(parser)?),
            "--platform" => self.platform = Some(text_value(parser)?),
            "--json" => self.json = true,
            _ => return Ok(false),
        }
        Ok(true)
    }

    /// Parses the arguments of a command that only has target options. Prints the help text
    /// and returns `None` if `--help` is among them.
    pub fn read(parser: &mut Parser, command_help: &str) -> Result<Option<Self>, Failure> {
        let mut target = Self::default();
        while let Some(arg) = Argument::next(parser)? {
            match arg.option() {
                "--help" => {
                    help(&format!("{command_help}{TARGET_HELP}"))?;
                    return Ok(None);
                }
                _ if target.parse_option(&arg, parser)? => {}
                _ => return Err(arg.unexpected()),
            }
        }
        Ok(Some(target))
    }

    /// Returns a client of the host's operator listener.
    pub fn host(&self) -> OperatorClient {
        OperatorClient::new(self.host.as_deref().unwrap_or(DEFAULT_HOST), TIMEOUT)
    }

    /// Returns a client of the platform, whose address is given by an option or read from the
    /// host's status.
    pub fn platform(&self) -> Result<PlatformClient, Failure> {
        let address = match &self.platform {
            Some(address) => address.clone(),
            None => self.host().get::<StatusBody>("/status")?.platform,
        };
        Ok(PlatformClient::new(&address, TIMEOUT))
    }

    /// Returns the port of the operator listeners, which is the same on all hosts of a fleet.
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
    /// Creates a client for an address.
    pub fn new(address: &str, timeout: Duration) -> Self {
        Self {
            address: address.to_owned(),
            timeout,
        }
    }

    /// Sends a GET request and decodes the response body as JSON.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let url = format!("http://{}{path}", self.address);
        let response = self.send(attohttpc::get(url))?;
        let body = response.json();
        body.map_err(|error| Failure::Failed(format!("{}: {error}", self.address)))
    }

    /// Sends a POST request without a body and ignores the response body.
    pub fn post(&self, path: &str) -> Result<(), Failure> {
        let url = format!("http://{}{path}", self.address);
        self.send(attohttpc::post(url)).map(|_| ())
    }

    /// Sends a request with the operators' token. A response without a success status is an
    /// error that has the status and the body.
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
