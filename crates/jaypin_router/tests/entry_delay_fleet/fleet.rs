//! A simulated fleet whose watchers read the store; the other hosts depend on reports, which are
//! delayed and may be lost.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use jaypin_router::{
    BackendStatus, Effect, EntryChange, Event, LAG_TOLERANCE, PROOF_INTERVAL, RESPONSE_TIME,
    Report, StorePoint,
};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::common::{self, ENGINES, TestHost, configuration, record};

const STEP: Duration = Duration::from_millis(25);
/// Time between two checks of a host whether it has to read the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two responses of the store to a watch of entries without changes.
const ENTRIES_WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause of a watcher after changes.
const WATCH_PAUSE: Duration = Duration::from_millis(300);
/// Time after entries were fetched from a peer in which they are not fetched again.
const SNAPSHOT_GRACE: Duration = Duration::from_secs(3);
/// Number of reports that wait for a host that is stalled; later ones are dropped.
const SOCKET_BUFFER: usize = 120;
/// Time after a stall or a start from which a host must act like the others.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const CONFIGURATION: u64 = 1;
/// Backend servers of the only service.
const BACKENDS: usize = 8;

/// How backend servers leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leave {
    /// Their entries state it.
    Stated,
    /// Their entries are removed.
    Removed,
}

/// A host and what its tasks do next.
pub struct Member {
    /// The host.
    pub host: TestHost,
    starts_at: Instant,
    is_started: bool,
    lists_at: Instant,
    checks_at: Instant,
    proves_at: Instant,
    /// Whether it watches the entries, and how many changes it has read.
    watched: Option<usize>,
    watches_at: Instant,
    /// Until when its watch of entries returns nothing.
    silent_until: Option<Instant>,
    fetched_at: Option<Instant>,
    /// Until when it is stalled, and the reports that wait for it meanwhile.
    stalled_until: Option<Instant>,
    waiting: VecDeque<Box<Report>>,
    /// Since when it has run without a fault.
    calm_since: Instant,
    /// When it last would have sent a request to a backend server that left.
    last_sent_at: Option<Instant>,
}

/// The fleet and its store.
pub struct Fleet {
    /// All hosts, including those that have not started yet.
    pub members: Vec<Member>,
    /// Current time.
    pub now: Instant,
    /// Random numbers of the test.
    pub rng: ChaCha8Rng,
    /// Share of the reports that are lost.
    pub loss: f64,
    in_transit: Vec<(Instant, usize, Box<Report>)>,
    left: Option<(Instant, Leave, usize)>,
    /// Number of processes that were started so far.
    runs: u64,
}

/// Returns a random time of so many milliseconds.
pub fn millis(rng: &mut ChaCha8Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn id(n: usize) -> String {
    format!("engine-{n}")
}

impl Fleet {
    /// Creates a fleet of `before` hosts that have run for a while, and `added` ones that start at
    /// about the same time later.
    pub fn new(seed: u64, before: usize, added: usize, added_after: Duration) -> Self {
        let now = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let members = (0..before + added).map(|n| {
            let number = u16::try_from(n).expect("few") + 1;
            let offset = if n < before {
                Duration::ZERO
            } else {
                added_after
            };
            let starts_at = now + offset + millis(&mut rng, 0..300);
            let mut host = TestHost::unconfigured_as(number);
            host.now = now;
            Member::new(host, starts_at)
        });
        Self {
            members: members.collect(),
            in_transit: Vec::new(),
            left: None,
            now,
            rng,
            loss: 0.01,
            runs: 0,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for n in 0..self.members.len() {
            let member = &mut self.members[n];
            member.host.wait(STEP);
            if member
                .stalled_until
                .take_if(|until| *until <= now)
                .is_some()
            {
                member.calm_since = now;
                self.resume(n);
            }
            let member = &self.members[n];
            if member.starts_at <= now && member.stalled_until.is_none() {
                self.run_tasks(n);
            }
        }
        let due: Vec<_> = self.in_transit.extract_if(.., |it| it.0 <= now).collect();
        for (_, n, report) in due {
            let member = &mut self.members[n];
            if member.stalled_until.is_some() {
                if member.waiting.len() < SOCKET_BUFFER {
                    member.waiting.push_back(report);
                }
            } else if member.is_started {
                self.deliver(n, report);
            }
        }
        self.record_sends();
    }

    fn deliver(&mut self, n: usize, report: Box<Report>) {
        let boot_time = self.members[n].host.boot_time;
        let event = Event::ReportReceived { report, boot_time };
        let fx = self.members[n].host.apply(event);
        self.carry_out(n, fx);
    }

    /// Lets a host that was stalled send what waits, and then read the reports that wait.
    fn resume(&mut self, n: usize) {
        let fx = self.members[n].host.tick();
        self.carry_out(n, fx);
        self.record_sends_of(n);
        while let Some(report) = self.members[n].waiting.pop_front() {
            self.deliver(n, report);
        }
    }

    fn record_sends(&mut self) {
        for n in 0..self.members.len() {
            self.record_sends_of(n);
        }
    }

    fn record_sends_of(&mut self, n: usize) {
        let Some((_, _, count)) = self.left else {
            return;
        };
        let now = self.now;
        let member = &mut self.members[n];
        let router = &member.host.router;
        let runs = member.is_started && member.stalled_until.is_none();
        let is_used = (0..count).any(|n| router.still_accepts(&id(n), now));
        if runs && is_used && !router.is_catching_up() {
            member.last_sent_at = Some(now);
        }
    }

    fn run_tasks(&mut self, n: usize) {
        let now = self.now;
        if !self.members[n].is_started {
            self.start(n);
        }
        let fx = self.members[n].host.tick();
        self.carry_out(n, fx);
        if self.members[n].lists_at <= now {
            let has_unlisted = self.members[n].host.router.has_unlisted_peer(now);
            let pause = if has_unlisted {
                self.list_hosts(n);
                millis(&mut self.rng, 900..5_100)
            } else {
                Duration::from_secs(1)
            };
            self.members[n].lists_at = now + pause;
        }
        if self.members[n].checks_at <= now {
            self.members[n].checks_at = now + CHECK_INTERVAL;
            self.follow_store(n);
        }
        if self.members[n].proves_at <= now {
            self.watch_configuration(n);
        }
        if self.members[n].watched.is_some() && self.members[n].watches_at <= now {
            self.read_changes(n);
        }
    }

    /// Starts a host: it registers, lists the hosts, and reads the configuration and all entries.
    fn start(&mut self, n: usize) {
        self.members[n].is_started = true;
        self.list_hosts(n);
        self.list_entries(n);
        let member = &mut self.members[n];
        member.host.configure(configuration(CONFIGURATION));
        member.host.prove();
        member.proves_at = self.now + PROOF_INTERVAL;
        member.calm_since = self.now;
        member.lists_at = self.now + millis(&mut self.rng, 900..5_100);
    }

    fn list_hosts(&mut self, n: usize) {
        let registered = self.members.iter().filter(|it| it.is_started);
        let listed = registered.map(|it| {
            let whole = common::whole_report(it.host.number);
            (whole.host, whole.address)
        });
        let listed = Event::HostsListed(listed.collect());
        self.members[n].host.apply(listed);
    }

    fn changes(&self) -> Vec<EntryChange> {
        let Some((_, leave, count)) = self.left else {
            return Vec::new();
        };
        let changes = (0..count).map(|n| {
            let point = StorePoint::new(1, 101 + n as u64);
            match leave {
                Leave::Stated => {
                    let mut record = record(&id(n), ENGINES, 9);
                    record.status = BackendStatus::Leaving;
                    EntryChange::Stated { record, point }
                }
                Leave::Removed => {
                    let id = id(n).as_str().into();
                    EntryChange::Removed { id, point }
                }
            }
        });
        changes.collect()
    }

    fn list_entries(&mut self, n: usize) {
        let changes = self.changes();
        let point = StorePoint::new(1, 100 + changes.len() as u64);
        let unchanged = (changes.len()..BACKENDS).map(|n| {
            let record = record(&id(n), ENGINES, 9);
            (record, StorePoint::new(1, n as u64 + 1))
        });
        let stated = changes.into_iter().filter_map(|change| match change {
            EntryChange::Stated { record, point } => Some((record, point)),
            EntryChange::Removed { .. } => None,
        });
        let entries = unchanged.chain(stated).collect();
        let host = &mut self.members[n].host;
        let fx = host.apply(Event::BackendsListed { entries, point });
        host.apply(Event::EntriesProved(host.boot_time));
        self.carry_out(n, fx);
    }

    /// Does what the tasks of a host do when they check whether they have to read the store.
    fn follow_store(&mut self, n: usize) {
        let now = self.now;
        let available = self.changes().len();
        let member = &mut self.members[n];
        let (router, boot_time) = (&member.host.router, member.host.boot_time);
        let follows = router.has_fresh_proof(boot_time) && router.is_watcher(now);
        if follows && member.watched.is_none() {
            member.watched = Some(available);
            member.silent_until = None;
            return self.list_entries(n);
        }
        if !follows {
            member.watched = None;
        }
        if follows || !router.has_diverging_entries(now) {
            return;
        }
        let is_recent = |at: Instant| now.duration_since(at) < SNAPSHOT_GRACE;
        let holders = router.entry_holders(now);
        let holder = holders.choose(&mut self.rng).copied();
        if let Some(holder) = holder.filter(|_| !member.fetched_at.is_some_and(is_recent)) {
            member.fetched_at = Some(now);
            let holder = usize::from(holder.port() - 7_001);
            let entries = self.members[holder].host.router.entry_snapshot();
            self.members[n]
                .host
                .apply(Event::EntriesTransferred(entries));
        } else {
            self.list_entries(n);
        }
    }

    /// Receives the response to a watch of the configuration, which states how far the store is.
    fn watch_configuration(&mut self, n: usize) {
        let now = self.now;
        let available = self.changes().len();
        let member = &mut self.members[n];
        let boot_time = member.host.boot_time;
        if !member.host.router.should_watch(now, boot_time) {
            return;
        }
        member.proves_at = now + PROOF_INTERVAL;
        let requested_at = boot_time.saturating_sub(PROOF_INTERVAL);
        if member.watched == Some(available) {
            member.host.apply(Event::EntriesProved(requested_at));
        } else if let Some(until) = &mut member.silent_until {
            *until = (*until).min(now + LAG_TOLERANCE);
        }
        let fx = member.host.apply(Event::ConfigurationProved(requested_at));
        self.carry_out(n, fx);
    }

    fn read_changes(&mut self, n: usize) {
        let now = self.now;
        let changes = self.changes();
        let member = &mut self.members[n];
        member.silent_until.take_if(|until| *until <= now);
        if member.watched == Some(changes.len()) || member.silent_until.is_some() {
            return;
        }
        member.watched = Some(changes.len());
        member.watches_at = now + WATCH_PAUSE;
        for change in changes {
            let fx = self.members[n].host.apply(Event::BackendChanged(change));
            self.carry_out(n, fx);
        }
        let host = &mut self.members[n].host;
        host.apply(Event::EntriesProved(host.boot_time));
    }

    fn carry_out(&mut self, n: usize, fx: Vec<Effect>) {
        for effect in fx {
            let Effect::SendReport { to, report } = effect else {
                continue;
            };
            for address in to {
                let peer = usize::from(address.port() - 7_001);
                if peer == n || self.rng.random_bool(self.loss) {
                    continue;
                }
                let at = self.now + millis(&mut self.rng, 1..60);
                self.in_transit.push((at, peer, report.clone()));
            }
        }
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.step();
        }
    }

    /// Returns the indices of the hosts that watch the store.
    pub fn watchers(&self) -> Vec<usize> {
        let all = self.members.iter().enumerate();
        let watching = all.filter(|(_, it)| it.host.router.is_watcher(self.now));
        watching.map(|(n, _)| n).collect()
    }

    /// Leaves the pending watches of entries without a response; if `all`, those of the configuration
    /// too.
    pub fn silence_watches(&mut self, all: bool) {
        for member in &mut self.members {
            let began_ago = millis(&mut self.rng, 0..4_000);
            let limit = ENTRIES_WATCH_TIMEOUT + RESPONSE_TIME;
            member.silent_until = Some(self.now + limit.saturating_sub(began_ago));
            if all {
                member.proves_at += RESPONSE_TIME;
            }
        }
    }

    /// Ends the process of a host, which starts again after a time.
    pub fn kill(&mut self, n: usize, restart_after: Duration) {
        self.runs += 1;
        let number = self.members[n].host.number;
        let mut host = TestHost::restarted_as(number, self.runs);
        host.now = self.now;
        host.boot_time = self.members[n].host.boot_time;
        self.members[n] = Member::new(host, self.now + restart_after);
    }

    /// Lets a host stall for a time.
    pub fn stall(&mut self, n: usize, time: Duration) {
        self.members[n].stalled_until = Some(self.now + time);
    }

    /// Lets backend servers leave.
    pub fn begin_leave(&mut self, leave: Leave, count: usize) {
        self.left = Some((self.now, leave, count));
    }

    /// Returns how long after the leave each host that is in touch would have sent the last request to a
    /// backend server that left. Before it is in touch, what it sends doesn't count.
    pub fn last_sends(&self) -> Vec<Duration> {
        self.delays(|it, at| at >= it.calm_since + CONTACT_TIME)
    }

    /// Returns the same for all hosts, in touch or not.
    pub fn last_sends_of_all(&self) -> Vec<Duration> {
        self.delays(|_, _| true)
    }

    fn delays(&self, counts: impl Fn(&Member, Instant) -> bool) -> Vec<Duration> {
        let (left_at, ..) = self.left.expect("a leave");
        let started = self.members.iter().filter(|it| it.is_started);
        let mut delays: Vec<_> = started
            .map(|it| {
                let last = it.last_sent_at.filter(|at| counts(it, *at));
                last.map_or(Duration::ZERO, |at| at - left_at)
            })
            .collect();
        delays.sort();
        delays
    }
}

impl Member {
    fn new(host: TestHost, starts_at: Instant) -> Self {
        Self {
            host,
            starts_at,
            is_started: false,
            lists_at: starts_at,
            checks_at: starts_at,
            proves_at: starts_at,
            watched: None,
            watches_at: starts_at,
            silent_until: None,
            fetched_at: None,
            stalled_until: None,
            waiting: VecDeque::new(),
            calm_since: starts_at,
            last_sent_at: None,
        }
    }
}
