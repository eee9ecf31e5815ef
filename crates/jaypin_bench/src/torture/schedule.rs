//! Which fault comes when, drawn from a seed before the run.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Least and greatest pause between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..900;

/// One fault; places count modulo the number of hosts or backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A host is killed and started again.
    KillHost(usize),
    /// A host that leads a shard is killed and started again.
    KillScheduler,
    /// A host is paused and thawed.
    FreezeHost(usize),
    /// A host is told to leave, ends by itself and is started again.
    LeaveHost(usize),
    /// The links to a host are cut, and can't be made.
    CutLink(usize),
    /// Open links to a host go silent for good.
    SilenceLink(usize),
    /// Connections to a backend server are cut, and can't be made.
    CutBackend(usize),
    /// Open connections to a backend server go silent for good.
    SilenceBackend(usize),
    /// What a backend server says is lost.
    DeafenBackend(usize),
    /// An engine crashes and comes back empty.
    CrashEngine(usize),
    /// A backend server is said to leave, and comes back.
    LeaveBackend(usize),
    /// The platform is out.
    PlatformOut,
    /// The platform is slow.
    PlatformSlow,
    /// The platform answers from an old copy.
    PlatformStale,
    /// The platform's open connections go silent for good.
    SilencePlatform,
    /// An operator changes the rules.
    ChangeRules,
}

/// A fault, when it begins and how long it lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Planned {
    /// When it begins, from the start of the run.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What goes wrong.
    pub fault: Fault,
}

/// Draws the faults of a run.
#[must_use]
pub fn schedule(seed: u64, length: Duration) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut at = Duration::from_secs(1);
    let mut plan = Vec::new();
    while at < length {
        let (fault, most_ms) = draw(&mut rng);
        let lasts = Duration::from_millis(rng.random_range(200..=most_ms));
        plan.push(Planned { at, lasts, fault });
        at += Duration::from_millis(rng.random_range(PAUSE_MS));
    }
    plan
}

/// Draws a fault and the longest it may last, in milliseconds.
fn draw(rng: &mut ChaCha8Rng) -> (Fault, u64) {
    let place = rng.random_range(0..1_000_usize);
    match rng.random_range(0..100_u32) {
        0..14 => (Fault::KillHost(place), 3_000),
        14..22 => (Fault::KillScheduler, 2_000),
        22..40 => (Fault::FreezeHost(place), 6_000),
        40..46 => (Fault::LeaveHost(place), 2_000),
        46..54 => (Fault::CutLink(place), 2_000),
        54..60 => (Fault::SilenceLink(place), 2_000),
        60..66 => (Fault::CutBackend(place), 1_500),
        66..71 => (Fault::SilenceBackend(place), 1_500),
        71..75 => (Fault::DeafenBackend(place), 1_500),
        75..79 => (Fault::CrashEngine(place), 1_000),
        79..84 => (Fault::LeaveBackend(place), 4_000),
        84..88 => (Fault::PlatformOut, 5_000),
        88..90 => (Fault::PlatformSlow, 5_000),
        90..92 => (Fault::PlatformStale, 5_000),
        92..94 => (Fault::SilencePlatform, 1_000),
        _ => (Fault::ChangeRules, 300),
    }
}
