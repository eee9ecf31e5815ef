//! Engines that a part of prompts crashes, and the requests that hosts get meanwhile.

use std::collections::{HashMap, HashSet};
use std::ops::Range;
use std::time::{Duration, Instant};

use jaypin_core::BackendId;
use jaypin_router::{AttemptOutcome, BackendSignals, RequestNumber};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::common::{ENGINES, configuration, record};
use super::fleet::{Answer, BackendModel, Call, Fleet};

/// The part that crashes engines.
const BAD: u64 = u64::MAX;
/// Time from the arrival of a request with it to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(100);
/// Number of crashes from which on hosts must refuse the part, and the time until then.
const TOLERATED: (usize, Duration) = (5, Duration::from_secs(3));
/// Number of calls with the part that may reach engines after that.
pub const LATE_CALLS: usize = 3;
/// Time after the same crash from which on sound requests must be served at least half as often as
/// before.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Number of different parts in the middle of prompts.
const MIDDLE_PARTS: u64 = 30;
/// When requests with the bad part begin to arrive, and when all cease to.
const BAD_FROM: Duration = Duration::from_secs(5);
pub const END: Duration = Duration::from_secs(20);
/// Time after the end for answers that are still being written.
const GRACE: Duration = Duration::from_secs(3);

/// How a crash shows to hosts.
#[derive(Debug, Clone, Copy)]
pub struct CrashKind {
    /// Whether the first event arrives before the crash.
    has_events: bool,
    /// Whether the answer then ends with its connection, as if it were complete.
    looks_complete: bool,
    /// How the lost calls end.
    outcome: AttemptOutcome,
    /// Time until the hosts notice.
    noticed_after: Duration,
    /// Time until the engine runs again.
    down_time: Duration,
    /// Whether it then has another id.
    changes_id: bool,
}

/// A process that refuses connections after its end and starts again under its id.
pub const REFUSING: CrashKind = CrashKind {
    has_events: false,
    looks_complete: false,
    outcome: AttemptOutcome::Died,
    noticed_after: Duration::from_millis(15),
    down_time: Duration::from_secs(2),
    changes_id: false,
};
/// The same, after it has written two events.
pub const AFTER_EVENTS: CrashKind = CrashKind {
    has_events: true,
    ..REFUSING
};
/// The same, where the answer seems to end there.
pub const LOOKS_COMPLETE: CrashKind = CrashKind {
    looks_complete: true,
    ..AFTER_EVENTS
};
/// A process that refuses connections after its end, and the next one registers under another id.
pub const REPLACED: CrashKind = CrashKind {
    changes_id: true,
    ..REFUSING
};
/// A process whose successor accepts connections before any host tries one.
pub const BACK_AT_ONCE: CrashKind = CrashKind {
    outcome: AttemptOutcome::Lost,
    noticed_after: Duration::from_millis(10),
    down_time: Duration::from_millis(50),
    ..REFUSING
};

/// Where the bad part is in a prompt.
#[derive(Debug, Clone, Copy)]
pub enum Position {
    First,
    Middle,
}

/// Engines that crash when they begin to write an answer on the bad part.
pub struct Engines {
    pub kind: CrashKind,
    pub due: Vec<(Instant, BackendId)>,
    pub down_until: HashMap<BackendId, Instant>,
    /// Ids under which engines ran before.
    pub replaced: HashSet<BackendId>,
    /// Crashes that the bad part caused.
    pub crashed_at: Vec<Instant>,
    /// When calls with the bad part reached an engine.
    pub bad_calls: Vec<Instant>,
    /// How answers to sound requests end, and for how long they are written, in ms.
    pub outcome: AttemptOutcome,
    pub writing_ms: Range<u64>,
    /// Until when no host reaches any engine.
    pub cut_until: Option<Instant>,
}

impl Engines {
    fn new(kind: CrashKind) -> Self {
        Self {
            kind,
            due: Vec::new(),
            down_until: HashMap::new(),
            replaced: HashSet::new(),
            crashed_at: Vec::new(),
            bad_calls: Vec::new(),
            outcome: AttemptOutcome::Complete,
            writing_ms: 200..3_000,
            cut_until: None,
        }
    }

    fn is_down(&self, backend: &BackendId, at: Instant) -> bool {
        let is_cut = self.cut_until.is_some_and(|until| at < until);
        is_cut || self.down_until.contains_key(backend) || self.replaced.contains(backend)
    }

    /// Returns the last crash that is tolerated, or the last one if there were fewer.
    fn last_tolerated(&self) -> Option<Instant> {
        let fifth = self.crashed_at.get(TOLERATED.0 - 1);
        fifth.or(self.crashed_at.last()).copied()
    }

    /// Returns the number of calls that reached an engine after hosts must refuse them.
    fn late_calls(&self) -> usize {
        let Some(fifth) = self.crashed_at.get(TOLERATED.0 - 1) else {
            return 0;
        };
        let calls = self.bad_calls.iter();
        calls.filter(|at| **at > *fifth + TOLERATED.1).count()
    }
}

impl BackendModel for Engines {
    fn answer(&mut self, call: &Call, rng: &mut ChaCha8Rng) -> Answer {
        if self.is_down(&call.backend, call.at) {
            return Answer::unreached(Duration::from_millis(10));
        }
        if call.parts.contains(&BAD) {
            self.bad_calls.push(call.at);
            self.due.push((call.at + CRASH_DELAY, call.backend.clone()));
            if !self.kind.has_events {
                return Answer::none();
            }
            let header_after = Duration::from_millis(30);
            if self.kind.looks_complete {
                return Answer {
                    header_after,
                    end_after: CRASH_DELAY.mul_f64(0.9),
                    outcome: AttemptOutcome::Unverified,
                    ..Answer::none()
                };
            }
            return Answer {
                header_after,
                outcome: AttemptOutcome::Complete,
                ..Answer::none()
            };
        }
        let first = Duration::from_millis(rng.random_range(40..110));
        let writing = Duration::from_millis(rng.random_range(self.writing_ms.clone()));
        Answer {
            header_after: first,
            end_after: first + writing,
            is_streamed: true,
            outcome: self.outcome,
            ..Answer::good(BackendSignals::default(), rng)
        }
    }

    fn is_reachable(&self, _: usize, backend: &BackendId, at: Instant) -> bool {
        !self.is_down(backend, at)
    }

    fn header_received(&mut self, _: usize, _: &BackendId, _: &Answer, _: Instant) {}
}

/// A fleet and the requests of one route.
pub struct Scenario {
    pub fleet: Fleet<Engines>,
    pub engines: usize,
    pub first_parts: u64,
    pub position: Position,
    /// Sound and bad requests per second, over all hosts.
    pub rates: (f64, f64),
    /// Number of hosts at which each bad request arrives at once.
    pub at_once: usize,
    /// When a quarter of the engines ends at once, for another cause.
    pub ordinary_crashes: Vec<Duration>,
    /// When requests with the bad part begin to arrive.
    pub bad_from: Duration,
    /// When requests cease to arrive.
    pub end: Duration,
    pub sound: Vec<(Duration, RequestNumber)>,
}

/// What happened to the requests of a scenario.
#[derive(Debug)]
pub struct Counts {
    pub late_calls: usize,
    pub crashes: usize,
    pub bad_calls: usize,
    /// Sound requests that were refused because of crashes.
    pub quarantined: usize,
    /// Share of the sound requests that an engine began to answer.
    pub begun_before: f64,
    pub begun_after: f64,
}

impl Scenario {
    pub fn new(hosts: usize, seed: u64, kind: CrashKind) -> Self {
        let engines = 12 * hosts.div_ceil(13);
        let scale = f64::from(u32::try_from(engines).expect("few engines")) / 12.0;
        let records = (0..engines).map(|n| {
            let mut record = record(&format!("engine-{n}"), ENGINES, 10);
            record.address = format!("127.0.0.1:{}", 3_000 + n);
            record
        });
        let records = records.collect();
        let fleet = Fleet::new(hosts, seed, configuration(1), records, Engines::new(kind));
        Self {
            fleet,
            engines,
            first_parts: 8,
            position: Position::Middle,
            rates: (30.0 * scale, 8.0),
            at_once: 1,
            ordinary_crashes: Vec::new(),
            bad_from: BAD_FROM,
            end: END,
            sound: Vec::new(),
        }
    }

    fn host(&mut self) -> usize {
        let hosts = self.fleet.hosts.len();
        self.fleet.rng.random_range(0..hosts)
    }

    fn first_part(&mut self) -> u64 {
        1_000 + self.fleet.rng.random_range(0..self.first_parts)
    }

    fn middle_part(&mut self) -> u64 {
        2_000 + self.fleet.rng.random_range(0..MIDDLE_PARTS)
    }

    fn is_due(&mut self, rate: f64) -> bool {
        self.fleet.rng.random_range(0.0..1.0) < rate * 0.01
    }

    /// Lets the requests of one step arrive.
    fn arrive(&mut self) {
        let at = self.fleet.since_start();
        let mut sound = self.rates.0;
        while sound > 0.0 {
            if self.is_due(sound.min(50.0)) {
                let parts = vec![self.first_part(), self.middle_part()];
                let n = self.host();
                let number = self.fleet.arrive_with_parts(n, parts);
                self.sound.push((at, number));
            }
            sound -= 50.0;
        }
        let rate = self.rates.1 / f64::from(u32::try_from(self.at_once).expect("few hosts"));
        if at >= self.bad_from && self.is_due(rate) {
            for _ in 0..self.at_once {
                let parts = match self.position {
                    Position::First => vec![BAD, self.middle_part()],
                    Position::Middle => vec![self.first_part(), BAD],
                };
                let n = self.host();
                self.fleet.arrive_with_parts(n, parts);
            }
        }
    }

    fn crash(&mut self, id: &BackendId, kind: CrashKind) {
        let fleet = &mut self.fleet;
        let until = fleet.now + kind.down_time;
        fleet.backends.down_until.insert(id.clone(), until);
        let all: Vec<_> = (0..fleet.hosts.len()).collect();
        fleet.lose_calls(id, &all, kind.noticed_after, kind.outcome);
    }

    /// Ends the engines that are due, and restarts those that were down for long enough.
    fn crash_and_restart(&mut self) {
        let now = self.fleet.now;
        let kind = self.fleet.backends.kind;
        let backends = &mut self.fleet.backends;
        let due: Vec<_> = backends.due.extract_if(.., |it| it.0 <= now).collect();
        for (_, id) in due {
            if !self.fleet.backends.down_until.contains_key(&id) {
                self.fleet.backends.crashed_at.push(now);
                self.crash(&id, kind);
            }
        }
        let at = self.fleet.since_start();
        let ordinary = self.ordinary_crashes.extract_if(.., |it| *it <= at);
        for _ in 0..ordinary.count() {
            let first = self.fleet.rng.random_range(0..4);
            for n in (first..self.engines).step_by(4) {
                let id = BackendId::from(format!("engine-{n}").as_str());
                if !self.fleet.backends.down_until.contains_key(&id) {
                    self.crash(&id, REFUSING);
                }
            }
        }
        let is_back = |_: &BackendId, until: &mut Instant| *until <= now;
        let down = &mut self.fleet.backends.down_until;
        let back: Vec<_> = down.extract_if(is_back).collect();
        for (id, _) in back {
            if kind.changes_id {
                let next = BackendId::from(format!("{id}'").as_str());
                self.fleet.backends.replaced.insert(id.clone());
                self.fleet.replace_backend(&id, &next);
            } else {
                self.fleet.restart_backend(&id);
            }
        }
    }

    pub fn run(&mut self) -> Counts {
        while self.fleet.since_start() < self.end + GRACE {
            self.crash_and_restart();
            if self.fleet.since_start() < self.end {
                self.arrive();
            }
            self.fleet.step();
        }
        let fleet = &self.fleet;
        let backends = &fleet.backends;
        let last = backends.last_tolerated();
        let after = last.map_or(self.end, |at| at - fleet.start + RECOVERY_TIME);
        let quarantined = |it: &&(Duration, RequestNumber)| fleet.quarantined.contains(&it.1);
        Counts {
            late_calls: backends.late_calls(),
            crashes: backends.crashed_at.len(),
            bad_calls: backends.bad_calls.len(),
            quarantined: self.sound.iter().filter(quarantined).count(),
            begun_before: self.begun(Duration::from_secs(2)..BAD_FROM),
            begun_after: self.begun(after..self.end),
        }
    }

    /// Returns the share of the sound requests of this time that an engine began to answer.
    fn begun(&self, time: Range<Duration>) -> f64 {
        let sent = self.sound.iter().filter(|it| time.contains(&it.0));
        let (mut all, mut begun) = (0.0, 0.0);
        for (_, number) in sent {
            all += 1.0;
            begun += f64::from(u8::from(self.fleet.begun.contains_key(number)));
        }
        begun / all
    }
}
