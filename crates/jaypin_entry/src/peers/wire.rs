//! Reports as bytes: CBOR arrays, so that no field name travels.

use std::net::SocketAddr;

use jaypin_core::{AccountId, FailureDomain, HostId};
use jaypin_router::{BackendLoad, BackendSamples, Report, Strike};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// Why bytes are no report, or a report no bytes.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// A report can't be written.
    #[snafu(display("can't encode: {message}"))]
    Encode {
        /// What the library says.
        message: String,
    },
    /// Bytes that are no report.
    #[snafu(display("can't decode: {message}"))]
    Decode {
        /// What the library says.
        message: String,
    },
    /// An address that is none.
    #[snafu(display("no address: {source}"))]
    Address {
        /// What the parser says.
        source: std::net::AddrParseError,
    },
    /// A number that is none, which would spoil every sum that it enters.
    #[snafu(display("a number that is not finite or below 0"))]
    Number,
}

/// Key, running requests, unread tokens.
type WireLoad = (u32, u32, u32);
/// Key, tokens, seconds, held seconds, good and bad calls.
type WireSamples = (u32, f64, f64, f64, u32, u32);

/// A report as it travels, field by field in this order.
#[derive(Debug, Serialize, Deserialize)]
struct WireReport(
    String,
    u64,
    u64,
    String,
    String,
    String,
    bool,
    u64,
    bool,
    Vec<WireLoad>,
    Vec<WireSamples>,
    Vec<(String, f64)>,
    Vec<(u64, u32)>,
);

/// Writes a report.
///
/// # Errors
/// Gives what the library gives.
pub fn encode_report(report: &Report) -> Result<Vec<u8>, WireError> {
    let mut buf = Vec::with_capacity(256);
    let written = ciborium::into_writer(&WireReport::from(report), &mut buf);
    written.map_err(|error| WireError::Encode {
        message: error.to_string(),
    })?;
    Ok(buf)
}

/// Reads a report.
///
/// # Errors
/// Says why the bytes are none.
pub fn decode_report(bytes: &[u8]) -> Result<Report, WireError> {
    let wire: WireReport = ciborium::from_reader(bytes).map_err(|error| WireError::Decode {
        message: error.to_string(),
    })?;
    Report::try_from(wire)
}

impl From<&Report> for WireReport {
    fn from(report: &Report) -> Self {
        let loads = report.loads.iter();
        let samples = report.samples.iter();
        let usage = report.usage.iter();
        let strikes = report.strikes.iter();
        Self(
            report.host.to_string(),
            report.run,
            report.sequence,
            report.address.to_string(),
            report.callers.to_string(),
            report.failure_domain.to_string(),
            report.is_ready,
            report.version,
            report.is_whole,
            loads
                .map(|it| (it.key, it.running, it.unread_tokens))
                .collect(),
            samples
                .map(|it| (it.key, it.tokens, it.seconds, it.held, it.good, it.bad))
                .collect(),
            usage
                .map(|(account, units)| (account.to_string(), *units))
                .collect(),
            strikes.map(|it| (it.fingerprint, it.strikes)).collect(),
        )
    }
}

impl TryFrom<WireReport> for Report {
    type Error = WireError;

    fn try_from(wire: WireReport) -> Result<Self, WireError> {
        let WireReport(
            host,
            run,
            sequence,
            address,
            callers,
            failure_domain,
            is_ready,
            version,
            is_whole,
            loads,
            samples,
            usage,
            strikes,
        ) = wire;
        let is_sound = |number: f64| number.is_finite() && number >= 0.0;
        let are_sound = samples
            .iter()
            .all(|it| is_sound(it.1) && is_sound(it.2) && is_sound(it.3))
            && usage.iter().all(|(_, units)| is_sound(*units));
        if !are_sound {
            return Err(WireError::Number);
        }
        Ok(Self {
            host: HostId::from(host),
            run,
            sequence,
            address: read_address(&address)?,
            callers: read_address(&callers)?,
            failure_domain: FailureDomain::from(failure_domain),
            is_ready,
            version,
            is_whole,
            loads: loads.into_iter().map(load).collect(),
            samples: samples.into_iter().map(sample).collect(),
            usage: usage
                .into_iter()
                .map(|(account, units)| (AccountId::from(account), units))
                .collect(),
            strikes: strikes
                .into_iter()
                .map(|(fingerprint, strikes)| Strike {
                    fingerprint,
                    strikes,
                })
                .collect(),
        })
    }
}

fn read_address(text: &str) -> Result<SocketAddr, WireError> {
    text.parse().context(AddressSnafu)
}

fn load((key, running, unread_tokens): WireLoad) -> BackendLoad {
    BackendLoad {
        key,
        running,
        unread_tokens,
    }
}

fn sample((key, tokens, seconds, held, good, bad): WireSamples) -> BackendSamples {
    BackendSamples {
        key,
        tokens,
        seconds,
        held,
        good,
        bad,
    }
}
