//! Wire format of reports and snapshots: CBOR arrays, which contain no field names.

mod account_use;
mod configuration;
mod crashes;
mod entries;
mod rollout;
mod streams;

pub use account_use::encode_account_use;
pub use configuration::{
    ConfigurationSnapshot, EntriesProof, decode_configuration, encode_configuration,
};

pub use entries::{
    EntryChanges, decode_entries, decode_entry_changes, encode_entries, encode_entry_changes,
};

use std::net::SocketAddr;
use std::time::Duration;

use jaypin_core::{AccountId, FailureDomain, HostId};
use jaypin_router::{
    AccountUse, ArrivalCount, BackendLoad, BackendSamples, BackendSignals, Contact, HeldReport,
    Rank, Report, SignalReport, StoreView, StreamMessage, WholeReport,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

pub use streams::encode_stream_message;

use account_use::{WireAccountUse, read_account_use};
use crashes::{
    WireCompletion, WireCrash, read_completion, read_crash, wire_completion, wire_crash,
};
use entries::{WireChange, read_change, wire_change};
use rollout::{WireRollout, read_rollout, wire_rollout};
use streams::WireStreamMessage;

/// Error of encoding or decoding a report or a snapshot.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The value could not be encoded.
    #[snafu(display("can't encode: {message}"))]
    Encode {
        /// Message of the CBOR library.
        message: String,
    },
    /// The bytes are not a value of the expected type.
    #[snafu(display("can't decode: {message}"))]
    Decode {
        /// Message of the CBOR library.
        message: String,
    },
    /// A field that should be a socket address is not one.
    #[snafu(display("expected a socket address in a report: {source}"))]
    Address {
        /// Error of the address parser.
        source: std::net::AddrParseError,
    },
    /// A number is not finite, or negative where it must not be. It would corrupt every sum
    /// that it is added to.
    #[snafu(display(
        "a number in a report is not finite, or negative where at least 0 is expected"
    ))]
    Number,
    /// The state of a crash is unknown.
    #[snafu(display("expected the state of a crash from 0 to 2, found {state}"))]
    Crash {
        /// The number found in its place.
        state: u8,
    },
    /// The state of a rollout order is unknown.
    #[snafu(display("expected a rollout state from 0 to 4, found {state}"))]
    State {
        /// The number found in its place.
        state: u8,
    },
}

/// Key of the backend server, running requests, prompt tokens not yet processed.
type WireLoad = (u32, u32, u32);
/// Key of the backend server; prompt tokens, prefill seconds, slot hold seconds, events and their
/// seconds; good and bad calls.
type WireSamples = (u32, [f64; 5], u32, u32);

/// Key of the backend server, start time of its process, rate limit and rejection limit in requests
/// per second, whether it is leaving, age and age of the last rejection in milliseconds.
type WireSignals = (u32, u64, Option<f64>, Option<u32>, bool, u64, Option<u64>);

/// Key of the backend server, key of its run, key of the prefix, its tokens.
type WireHeld = (u32, u32, u64, u32);

/// Key of the service, rank of the account and of the route, requests.
type WireArrivals = (u32, u8, u8, u32);
/// Host name, address for reports, address for callers, failure domain, cell.
type WireSender = (String, String, String, String, u32);
/// Configuration version, time of its proof and time of sending in milliseconds, may watch, is
/// watching, digest of the entries, era.
type WireView = (u64, Option<u64>, u64, bool, bool, u64, Option<u64>);
/// A report as encoded, with the fields of [`Report`] in this order.
#[derive(Debug, Serialize, Deserialize)]
struct WireReport(
    u32,
    u64,
    u64,
    bool,
    bool,
    Vec<WireLoad>,
    Vec<WireSamples>,
    Vec<(String, f64)>,
    Vec<WireSignals>,
    Vec<WireChange>,
    Option<WireWhole>,
    // Reports of earlier versions end before it, and so do those that have none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")] Vec<WireHeld>,
);

/// The part that only whole reports have.
#[derive(Debug, Serialize, Deserialize)]
struct WireWhole(
    WireSender,
    WireView,
    Vec<(String, f64)>,
    Vec<WireCrash>,
    Vec<WireCompletion>,
    Option<Vec<String>>,
    Vec<WireArrivals>,
    Vec<WireRollout>,
    // Reports of earlier versions end before it.
    #[serde(default)] Option<u64>,
);

/// Encodes a report.
///
/// # Errors
/// Fails if the CBOR library does.
pub fn encode_report(report: &Report) -> Result<Vec<u8>, WireError> {
    encode(&WireReport::from(report))
}

/// What one datagram contains.
#[derive(Debug, Clone, PartialEq)]
pub enum Datagram {
    /// A report.
    Report(Box<Report>),
    /// The use of accounts.
    AccountUse(Box<AccountUse>),
    /// A message about the version of a stream.
    Stream(StreamMessage),
}

/// Decodes a datagram.
///
/// # Errors
/// Fails if the bytes are no datagram of a host, or if an address or a number in it is invalid.
pub fn decode_datagram(bytes: &[u8]) -> Result<Datagram, WireError> {
    if let Ok(wire) = decode::<WireStreamMessage>(bytes) {
        return Ok(Datagram::Stream(wire.into()));
    }
    let error = match decode_report(bytes) {
        Ok(report) => return Ok(Datagram::Report(Box::new(report))),
        Err(error) => error,
    };
    let Ok(wire) = decode::<WireAccountUse>(bytes) else {
        return Err(error);
    };
    let account_use = read_account_use(wire)?;
    Ok(Datagram::AccountUse(Box::new(account_use)))
}

/// Decodes a report.
///
/// # Errors
/// Fails if the bytes are not a report, or if an address or a number in it is invalid.
pub fn decode_report(bytes: &[u8]) -> Result<Report, WireError> {
    let wire: WireReport = decode(bytes)?;
    Report::try_from(wire)
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, WireError> {
    let mut buf = Vec::with_capacity(256);
    let written = ciborium::into_writer(value, &mut buf);
    written.map_err(|error| WireError::Encode {
        message: error.to_string(),
    })?;
    Ok(buf)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    ciborium::from_reader(bytes).map_err(|error| WireError::Decode {
        message: error.to_string(),
    })
}

impl From<&Report> for WireReport {
    fn from(report: &Report) -> Self {
        let usage = report.usage.iter();
        Self(
            report.host,
            report.run,
            report.sequence,
            report.is_ready,
            report.contact == Contact::CutOff,
            report.loads.iter().map(wire_load).collect(),
            report.samples.iter().map(wire_samples).collect(),
            usage.map(wire_units).collect(),
            report.signals.iter().map(wire_signals).collect(),
            report.changes.iter().map(wire_change).collect(),
            report.whole.as_ref().map(WireWhole::from),
            report.held.iter().map(wire_held).collect(),
        )
    }
}

impl From<&WholeReport> for WireWhole {
    fn from(whole: &WholeReport) -> Self {
        let sender = (
            whole.host.to_string(),
            whole.address.to_string(),
            whole.callers.to_string(),
            whole.failure_domain.to_string(),
            whole.cell,
        );
        let view = &whole.store;
        let wire_view = (
            view.version,
            view.proved_at.map(milliseconds),
            milliseconds(whole.sent_at),
            view.may_watch,
            view.is_watching,
            view.digest,
            view.era,
        );
        let callers = whole.cell_callers.as_ref();
        Self(
            sender,
            wire_view,
            whole.low_levels.iter().map(wire_units).collect(),
            whole.crashes.iter().map(wire_crash).collect(),
            whole.completed.iter().map(wire_completion).collect(),
            callers.map(|it| it.iter().map(ToString::to_string).collect()),
            whole.arrivals.iter().map(wire_arrivals).collect(),
            whole.rollouts.iter().map(wire_rollout).collect(),
            view.entries_proved_at.map(milliseconds),
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
            is_ready,
            is_cut_off,
            loads,
            samples,
            usage,
            signals,
            changes,
            whole,
            held,
        ) = wire;
        let mut sums = samples.iter().flat_map(|it| it.1);
        let are_units_valid = usage.iter().all(|(_, units)| is_valid(*units));
        let mut limits = signals.iter().filter_map(|it| it.2);
        if !are_units_valid || !sums.all(is_valid) || !limits.all(is_valid) {
            return Err(WireError::Number);
        }
        let usage = usage.into_iter();
        Ok(Self {
            host,
            run,
            sequence,
            is_ready,
            contact: if is_cut_off {
                Contact::CutOff
            } else {
                Contact::Reaching
            },
            loads: loads.into_iter().map(read_load).collect(),
            samples: samples.into_iter().map(read_samples).collect(),
            usage: usage.map(read_units).collect(),
            signals: signals.into_iter().map(read_signals).collect(),
            changes: changes.into_iter().map(read_change).collect(),
            whole: whole.map(WholeReport::try_from).transpose()?,
            held: held.into_iter().map(read_held).collect(),
        })
    }
}

impl TryFrom<WireWhole> for WholeReport {
    type Error = WireError;

    fn try_from(wire: WireWhole) -> Result<Self, WireError> {
        let WireWhole(
            sender,
            view,
            low_levels,
            crashes,
            completed,
            cell_callers,
            arrivals,
            rollouts,
            entries_proved_at,
        ) = wire;
        let (host, address, callers, failure_domain, cell) = sender;
        let (version, proved_at, sent_at, may_watch, is_watching, digest, era) = view;
        // A negative level is a debt, and valid.
        let are_levels_valid = low_levels.iter().all(|(_, level)| level.is_finite());
        if !are_levels_valid {
            return Err(WireError::Number);
        }
        let cell_callers = cell_callers.map(|it| it.iter().map(|it| read_address(it)).collect());
        Ok(Self {
            host: HostId::from(host),
            address: read_address(&address)?,
            callers: read_address(&callers)?,
            failure_domain: FailureDomain::from(failure_domain),
            cell,
            sent_at: Duration::from_millis(sent_at),
            store: StoreView {
                version,
                proved_at: proved_at.map(Duration::from_millis),
                entries_proved_at: entries_proved_at.map(Duration::from_millis),
                may_watch,
                is_watching,
                digest,
                era,
            },
            low_levels: low_levels.into_iter().map(read_units).collect(),
            arrivals: arrivals.into_iter().map(read_arrivals).collect(),
            rollouts: rollouts
                .into_iter()
                .map(read_rollout)
                .collect::<Result<_, _>>()?,
            crashes: crashes
                .into_iter()
                .map(read_crash)
                .collect::<Result<_, _>>()?,
            completed: completed.into_iter().map(read_completion).collect(),
            cell_callers: cell_callers.transpose()?,
        })
    }
}

fn is_valid(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn wire_units((account, units): &(AccountId, f64)) -> (String, f64) {
    (account.to_string(), *units)
}

fn read_units((account, units): (String, f64)) -> (AccountId, f64) {
    (AccountId::from(account), units)
}

fn wire_arrivals(arrivals: &ArrivalCount) -> WireArrivals {
    let rank = arrivals.rank;
    (
        arrivals.service,
        rank.account,
        rank.route,
        arrivals.requests,
    )
}

fn read_arrivals((service, account, route, requests): WireArrivals) -> ArrivalCount {
    let rank = Rank { account, route };
    ArrivalCount {
        service,
        rank,
        requests,
    }
}

fn wire_held(held: &HeldReport) -> WireHeld {
    (held.key, held.run, held.prefix, held.tokens)
}

fn read_held((key, run, prefix, tokens): WireHeld) -> HeldReport {
    HeldReport {
        key,
        run,
        prefix,
        tokens,
    }
}

fn wire_load(load: &BackendLoad) -> WireLoad {
    (load.key, load.running, load.unread_tokens)
}

fn wire_samples(it: &BackendSamples) -> WireSamples {
    let sums = [
        it.tokens,
        it.seconds,
        it.hold_seconds,
        it.events,
        it.event_seconds,
    ];
    (it.key, sums, it.good, it.bad)
}

fn wire_signals(report: &SignalReport) -> WireSignals {
    let BackendSignals {
        rate_limit,
        rejection_limit,
        is_leaving,
    } = report.signals;
    (
        report.key,
        report.started,
        rate_limit,
        rejection_limit,
        is_leaving,
        milliseconds(report.age),
        report.rejection_age.map(milliseconds),
    )
}

fn read_signals(signals: WireSignals) -> SignalReport {
    let (key, started, rate_limit, rejection_limit, is_leaving, age, rejection_age) = signals;
    SignalReport {
        key,
        started,
        signals: BackendSignals {
            rate_limit,
            rejection_limit,
            is_leaving,
        },
        age: Duration::from_millis(age),
        rejection_age: rejection_age.map(Duration::from_millis),
    }
}

fn read_address(text: &str) -> Result<SocketAddr, WireError> {
    text.parse().context(AddressSnafu)
}

fn read_load((key, running, unread_tokens): WireLoad) -> BackendLoad {
    BackendLoad {
        key,
        running,
        unread_tokens,
    }
}

fn read_samples((key, sums, good, bad): WireSamples) -> BackendSamples {
    let [tokens, seconds, hold_seconds, events, event_seconds] = sums;
    BackendSamples {
        key,
        tokens,
        seconds,
        hold_seconds,
        events,
        event_seconds,
        good,
        bad,
    }
}
