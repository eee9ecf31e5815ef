//! Decisions of a host that chooses backend servers by the fleet's shared load.
//!
//! Each host reports what it has running to its peers several times a second, and decides on its
//! own from its own calls and its peers' reports. [`Router::apply`] is the only owner of this
//! state. It does no I/O and reads no clock, so the same events give the same effects.

mod account_arrivals;
mod account_totals;
mod answer_length;
mod answer_risk;
mod arrivals;
mod backend;
mod backend_contact;
mod backend_subset;
mod backend_table;
mod cell;
mod configuration;
mod crash_evidence;
mod decision_inputs;
mod drain_times;
mod entries;
mod event_rate;
mod fleet;
mod held_parts;
mod hold_times;
mod limits;
mod minimum_share;
mod pause_risk;
mod peer_clock;
mod peer_loads;
mod placement;
mod prefill_rate;
mod quota;
mod quota_reserve;
mod rank;
mod rate;
mod rejection_guard;
mod report;
mod request;
mod resend_budget;
mod reserved_slots;
mod retry_after;
mod rollout;
mod route_table;
mod router;
mod service_speed;
mod signals;
mod size;
mod store_freshness;
mod store_point;
mod stream_origins;
mod throttle;
mod version_history;
mod waiting;

pub use account_arrivals::AccountArrivals;
pub use account_totals::{AccountTotals, AccountUse, FleetLevels};
pub use answer_length::{AnswerLengthTable, AnswerLengths};
pub use answer_risk::{AnswerDemand, AnswerRisk};
pub use arrivals::{ArrivalCount, ArrivalRates};
pub use backend::{Backend, BackendRecord, BackendStatus};
pub use backend_contact::{BackendContact, Contact};
pub use backend_subset::{BackendSubsets, SubsetKind};
pub use backend_table::BackendTable;
pub use cell::{CellIndex, LEAD_CELLS, cell_count, cell_of};
pub use configuration::{
    Account, CallerLimits, Configuration, Engine, Quota, QuotaUnit, Repeat, Route, Service, Target,
};
pub use crash_evidence::{BackendRun, ClearedSuspect, Crash, CrashEvidence, Fingerprint, RunEnd};
pub use decision_inputs::DecisionInputs;
pub use drain_times::DrainTimes;
pub use entries::{Entries, EntryChange, EntrySource, LeaveState};
pub use event_rate::EventRate;
pub use fleet::{Fleet, Peer};
pub use held_parts::{
    CacheClock, ChainKey, EngineOrder, EngineRun, HeldParts, HeldPrefix, HeldPrompt, HeldReport,
    HeldReports, MAX_BYTES as MAX_HELD_BYTES, PromptChain, PromptSegment,
};
pub use hold_times::HoldTimes;
pub use minimum_share::MinimumShares;
pub use pause_risk::{PauseTally, ServicePauses, pause_risk};
pub use peer_clock::PeerClock;
pub use peer_loads::{LoadChange, LoadUpdate, PeerLoads};
pub use placement::{Choice, Demand, choose_backend};
pub use prefill_rate::PrefillRate;
pub use quota::{FleetLevel, FleetQuota, QuotaLevel};
pub use quota_reserve::QuotaReserve;
pub use rank::Rank;
pub use rate::DecayedRate;
pub use report::{
    BackendLoad, BackendSamples, Report, RolloutReport, SignalReport, StoreView, WholeReport,
};
pub use request::{Arrival, AttemptOutcome, Requester, ResumedStream};
pub use resend_budget::ResendBudget;
pub use reserved_slots::{SlotReserve, reserved_slots, slots_freed_in_time};
pub use rollout::{
    Evidence, ExposureBudget, Outcome, OutcomeCounts, Rollout, RolloutOrder, RolloutState,
    RolloutWrite, Rollouts, RouteKey, RouteOutcomes, SlowAnswerDetector, VersionOutcomes,
    VersionRole, VersionTest,
};
pub use route_table::{RouteTable, Unrouted};
pub use router::{
    Bounds, Effect, Event, ExposureBound, ReserveCounts, Router, RouterConfig, RouterCounts,
    SilentCall, StayReason,
};
pub use service_speed::ServiceSpeed;
pub use signals::{BackendSignals, SignalTable};
pub use size::Sizes;
pub use store_freshness::{
    LAG_TOLERANCE, MAX_NOTICE_TIME, MAX_PROOF_AGE, PROOF_INTERVAL, Proofs, RESPONSE_TIME,
    StoreFreshness,
};
pub use store_point::{StoreEra, StorePoint};
pub use stream_origins::{
    KnownOrigin, StreamAnswer, StreamKey, StreamMessage, StreamOrigin, StreamOrigins, StreamQuery,
};
pub use version_history::{VersionHistory, VersionsSeen};
pub use waiting::WaitingList;

/// Number of a request, unique within one run of a host's process.
pub type RequestNumber = u64;
/// Key of a client account: a hash of its name, or 0 for callers without one.
pub type AccountKey = u64;
/// Key of a caller's attempt: a hash of the id that the caller gives to it.
pub type AttemptKey = u64;
/// Short key of a backend server in reports: a hash of its id.
pub type BackendKey = u32;
/// Short key of a host in reports: a hash of its name.
pub type HostKey = u32;
/// Short key of a service in reports: a hash of its name.
pub type ServiceKey = u32;
/// Name of a version of the software that a service's backend servers run.
pub type SoftwareVersion = std::sync::Arc<str>;
/// Key of a version of one service's software: a hash of both names.
pub type VersionKey = u64;
/// Time since a fixed start, on a clock that also counts while the host is suspended.
pub type BootTime = std::time::Duration;

/// Returns the key that stands for a backend server in reports.
///
/// Four bytes in place of an id of up to forty keep a report of sixty backend servers within one
/// datagram. Among 600 backend servers, two share a key in one of 24,000 fleets; the load of each
/// then also counts for the other.
#[must_use]
pub fn backend_key(id: &str) -> BackendKey {
    short_hash(id)
}

/// Returns the key of the attempt with an id.
#[must_use]
pub fn attempt_key(id: &str) -> AttemptKey {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes())
}

/// Returns the key of a client account, or of callers without one.
#[must_use]
pub fn account_key(account: Option<&str>) -> AccountKey {
    account.map_or(0, |name| xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
}

/// Returns the key of the software version that a backend server runs.
#[must_use]
pub fn version_key(record: &BackendRecord) -> VersionKey {
    let service = xxhash_rust::xxh3::xxh3_64(record.service.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(record.version.as_bytes(), service)
}

/// Returns the key that stands for a host in reports.
#[must_use]
pub fn host_key(name: &str) -> HostKey {
    short_hash(name)
}

/// Returns the key that stands for a service in reports.
#[must_use]
pub fn service_key(name: &str) -> ServiceKey {
    short_hash(name)
}

/// Returns the key that stands for a route in reports.
#[must_use]
pub fn route_key(name: &str) -> RouteKey {
    short_hash(name)
}

fn short_hash(text: &str) -> u32 {
    let hash = xxhash_rust::xxh3::xxh3_64(text.as_bytes());
    u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default()
}
