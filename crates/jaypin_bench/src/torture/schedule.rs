//! Schedule of the faults of a run, drawn from the seed before the run.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Range of the pause between the starts of two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..900;

/// A kind of fault and its target.
///
/// A target is an index that is taken modulo the number of hosts, backend servers or engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A host is killed and restarted.
    KillHost(usize),
    /// A host that leads a shard is killed and restarted.
    KillScheduler,
    /// A host process is paused (`SIGSTOP`) and resumed.
    FreezeHost(usize),
    /// A host is asked to leave (`SIGTERM`), exits by itself and is restarted.
    LeaveHost(usize),
    /// The links to a host are cut, and new ones are refused.
    CutLink(usize),
    /// Open links to a host stay open and never pass data again; new ones work.
    SilenceLink(usize),
    /// Connections to a backend server are cut, and new ones are refused.
    CutBackend(usize),
    /// Open connections to a backend server stay open and never pass data again; new ones
    /// work.
    SilenceBackend(usize),
    /// Everything that a backend server sends is lost.
    DeafenBackend(usize),
    /// An engine crashes and restarts with an empty cache and no streams.
    CrashEngine(usize),
    /// The host list marks a backend server as leaving, and later as available again.
    LeaveBackend(usize),
    /// Every call to the platform fails.
    PlatformOut,
    /// Every call to the platform is delayed.
    PlatformSlow,
    /// The platform answers reads with the version before the current one.
    PlatformStale,
    /// Open connections to the platform stay open and never pass data again; new ones work.
    SilencePlatform,
    /// The rule file changes.
    ChangeRules,
}

/// A scheduled fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Planned {
    /// Time from the start of the run to the start of the fault.
    pub at: Duration,
    /// Duration of the fault.
    pub lasts: Duration,
    /// Kind and target.
    pub fault: Fault,
}

/// Draws the faults of a run of the given length, in the order of their start.
#[must_use]
pub fn schedule(seed: u64, length: Duration) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::from_secs(1);
    let mut plan = Vec::new();
    while at < length {
        let (fault, max_ms) = draw(&mut rng);
        let lasts = Duration::from_millis(rng.random_range(200..=max_ms));
        plan.push(Planned { at, lasts, fault });
        at += Duration::from_millis(rng.random_range(PAUSE_MS));
    }
    plan
}

/// Draws a fault and returns it with its maximum duration in milliseconds.
fn draw(rng: &mut ChaCha8Rng) -> (Fault, u64) {
    let target = rng.random_range(0..1_000_usize);
    match rng.random_range(0..100_u32) {
        0..14 => (Fault::KillHost(target), 3_000),
        14..22 => (Fault::KillScheduler, 2_000),
        22..40 => (Fault::FreezeHost(target), 6_000),
        40..46 => (Fault::LeaveHost(target), 2_000),
        46..54 => (Fault::CutLink(target), 2_000),
        54..60 => (Fault::SilenceLink(target), 2_000),
        60..66 => (Fault::CutBackend(target), 1_500),
        66..71 => (Fault::SilenceBackend(target), 1_500),
        71..75 => (Fault::DeafenBackend(target), 1_500),
        75..79 => (Fault::CrashEngine(target), 1_000),
        79..84 => (Fault::LeaveBackend(target), 4_000),
        84..88 => (Fault::PlatformOut, 5_000),
        88..90 => (Fault::PlatformSlow, 5_000),
        90..92 => (Fault::PlatformStale, 5_000),
        92..94 => (Fault::SilencePlatform, 1_000),
        _ => (Fault::ChangeRules, 300),
    }
}
