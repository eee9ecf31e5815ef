//! Slots reserved for more urgent requests, by the hold times of both.

mod common;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use common::{Decision, ENGINES, PLAIN, RouteExt, TestHost, record};
use jaypin_router::{
    ArrivalCount, AttemptOutcome, BackendLoad, BackendSamples, Effect, Event, HoldTimes, Rank,
    Repeat, RequestNumber, ReserveCounts, SlotReserve, backend_key, reserved_slots, service_key,
    slots_freed_in_time,
};

const URGENT: Rank = Rank {
    account: 0,
    route: 0,
};
/// Engines of 8 slots each.
const ENGINE_IDS: [&str; 5] = ["e-1", "e-22", "e-333", "e-4444", "e-55555"];
/// Servers of the plain service.
const PLAIN_IDS: [&str; 3] = ["plain-1", "plain-22", "plain-333"];
const LATENCY_TARGET: Duration = Duration::from_millis(200);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Completes eight requests on a route that each hold their slot for `held`.
fn complete_requests(host: &mut TestHost, path: &str, held: Duration) {
    end_requests(host, path, held, AttemptOutcome::Complete);
}

/// Ends eight requests on a route that each hold their slot for `held`.
fn end_requests(host: &mut TestHost, path: &str, held: Duration, outcome: AttemptOutcome) {
    for _ in 0..8 {
        let (number, decision) = host.arrive(path, (600, 20));
        assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
        host.wait(held);
        host.ended(number, outcome);
        host.prove();
    }
}

/// Returns a host with engines of 40 slots in all, and routes with a latency target of 200 ms.
fn host_with_engines() -> TestHost {
    let mut configuration = common::configuration(1);
    for route in &mut configuration.routes {
        route.latency_target = LATENCY_TARGET;
    }
    let mut host = TestHost::new(configuration);
    for id in ENGINE_IDS {
        host.set_entry(record(id, ENGINES, 8));
    }
    host
}

/// Applies reports of peers: urgent requests arrive, and all slots but `free` are taken by requests
/// that hold theirs for 500 ms.
fn take_slots(host: &mut TestHost, free: u32) {
    let mut running = ENGINE_IDS.map(|id| (id, 8));
    running[0].1 -= free;
    receive_urgent_load(host, ENGINES, &running, millis(500));
}

/// Returns a host with engines at which urgent and deferrable requests have held
/// their slots for so many milliseconds; 0 if none has completed.
fn host_with_hold_times(urgent: u64, deferrable: u64) -> TestHost {
    let mut host = host_with_engines();
    for (path, held) in [("/urgent/1", urgent), ("/label/1", deferrable)] {
        if held > 0 {
            complete_requests(&mut host, path, millis(held));
        }
    }
    // The arrivals of these requests have faded from the rates.
    host.wait(Duration::from_secs(20));
    host.prove();
    host
}

/// Applies a peer's reports: it has received 60 urgent requests for the service in this moment,
/// and has `running` requests on each of these backend servers, where requests hold their slots
/// for `held`.
fn receive_urgent_load(
    host: &mut TestHost,
    service: &str,
    running: &[(&str, u32)],
    held: Duration,
) {
    for requests in [0, 60] {
        let mut report = common::report(host.next_revision(), common::whole_report(2));
        report.loads = running
            .iter()
            .map(|(id, running)| BackendLoad {
                key: backend_key(id),
                running: *running,
                unread_tokens: 0,
            })
            .collect();
        let samples = running.iter().map(|(id, _)| BackendSamples {
            good: requests,
            hold_seconds: held.as_secs_f64() * f64::from(requests),
            ..BackendSamples::none(backend_key(id))
        });
        report.samples = samples.collect();
        if let Some(whole) = &mut report.whole {
            whole.arrivals = vec![ArrivalCount {
                service: service_key(service),
                rank: URGENT,
                requests,
            }];
        }
        host.receive_report(report);
    }
}

macro_rules! deferrable_requests_under_urgent_load {
    ($($name:ident: held $urgent:literal and $own:literal ms, $free:literal free, sent $sent:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut host = host_with_hold_times($urgent, $own);
            take_slots(&mut host, $free);
            let (_, decision) = host.arrive("/label/1", (600, 20));
            assert_eq!(matches!(decision, Decision::Sent(_)), $sent, "{decision:?}");
        }
    )*};
}

// Guards against slots that are reserved in requests instead of time: a request that holds a slot
// for 70 ms was refused with four slots free, as if it held one for as long as the urgent ones.
// Requests that hold theirs for as long, and those whose hold times are unknown, still leave the
// last slots.
deferrable_requests_under_urgent_load! {
    a_short_request_takes_one_of_the_last_slots: held 700 and 70 ms, 2 free, sent true;
    a_request_of_half_the_hold_time_takes_the_second_last_slot: held 700 and 350 ms, 2 free, sent true;
    a_request_of_half_the_hold_time_leaves_the_last_slot: held 700 and 350 ms, 1 free, sent false;
    a_request_of_equal_hold_time_leaves_the_last_slots: held 700 and 700 ms, 2 free, sent false;
    a_longer_request_leaves_the_last_slots: held 70 and 700 ms, 2 free, sent false;
    a_request_leaves_the_last_slots_while_its_hold_time_is_unknown: held 700 and 0 ms, 2 free, sent false;
    a_request_leaves_the_last_slots_while_the_other_hold_time_is_unknown: held 0 and 70 ms, 2 free, sent false;
}

/// Guards against a long request that is taken for a short one because most requests of its rank
/// are short.
#[test]
fn a_long_request_of_a_short_rank_leaves_the_last_slots() {
    let mut host = host_with_hold_times(700, 70);
    take_slots(&mut host, 2);
    let (_, decision) = host.arrive_with(|it| {
        "/label/1".clone_into(&mut it.path);
        it.tokens = Some((600, 3_000));
        it.expected_answer = Some(3_000);
    });
    assert_eq!(decision, Decision::Queued);
}

/// Guards against a rank whose answers fail fast and that counts as short for this reason: it would take
/// the slots reserved for more urgent requests.
#[test]
fn answers_that_may_have_failed_do_not_count_as_short() {
    let mut host = host_with_engines();
    complete_requests(&mut host, "/urgent/1", millis(700));
    complete_requests(&mut host, "/label/1", millis(700));
    end_requests(&mut host, "/label/1", millis(5), AttemptOutcome::Unverified);
    host.wait(Duration::from_secs(20));
    host.prove();
    take_slots(&mut host, 2);
    let (_, decision) = host.arrive("/label/1", (600, 20));
    assert_eq!(decision, Decision::Queued);
}

/// Guards against a refusal that hides its cause: an operator reads how many slots were reserved
/// against this request, and why they are fewer than the urgent requests need.
#[test]
fn a_refusal_names_the_scaled_reserve() {
    let mut host = host_with_hold_times(700, 350);
    take_slots(&mut host, 1);
    host.arrive("/label/1", (600, 20));
    host.wait(millis(60));
    let inputs = common::refusal_inputs(&host.tick());
    insta::assert_snapshot!(
        inputs,
        @"1 slots free, 1.7 kept for more urgent requests: they need 3.3, 0.0 become free in time, hold time ratio 0.50"
    );
}

/// Guards against a reserve whose effect no metric shows: an operator compares the requests that
/// were refused for it with those that were sent because it was reduced.
#[test]
fn the_use_of_the_reserve_is_counted() {
    let mut host = host_with_hold_times(700, 350);
    take_slots(&mut host, 2);
    let (_, decision) = host.arrive("/label/1", (600, 20));
    assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
    let (_, decision) = host.arrive("/label/1", (600, 20));
    assert_eq!(decision, Decision::Queued);
    host.wait(millis(60));
    host.tick();
    let expected = ReserveCounts {
        sent: 1,
        refused: 1,
    };
    assert_eq!(host.router.counts(host.now).slot_reserve, expected);
}

/// Guards against hold times of a process that has ended: a host that has just started keeps the
/// whole reserve, and so does one that lost its peers' reports while hold times are unknown.
#[test]
fn a_host_that_has_just_started_keeps_the_whole_reserve() {
    let mut host = host_with_engines();
    take_slots(&mut host, 2);
    host.arrive("/label/1", (600, 20));
    host.wait(millis(60));
    let inputs = common::refusal_inputs(&host.tick());
    insta::assert_snapshot!(inputs, @"2 slots free, 3.3 kept for more urgent requests");
}

/// Guards against a reserve that outlives the reports behind it: three seconds after the last
/// report of a peer, its urgent arrivals have faded and a free slot is used.
#[test]
fn a_host_without_reports_for_three_seconds_uses_its_own_counts() {
    let mut host = host_with_hold_times(700, 700);
    take_slots(&mut host, 2);
    for _ in 0..30 {
        host.wait(millis(100));
        host.prove();
        host.tick();
    }
    let (_, decision) = host.arrive("/label/1", (600, 20));
    assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
}

/// Returns a host with an urgent route to the plain service, and latency targets of 200 ms.
fn plain_service_host() -> TestHost {
    let mut configuration = common::configuration(1);
    let urgent = common::route("vip", Repeat::Idempotent, PLAIN);
    configuration.routes.push(urgent.with_priority(0));
    for route in &mut configuration.routes {
        route.latency_target = LATENCY_TARGET;
    }
    TestHost::new(configuration)
}

/// Returns the decision about a less urgent request to a plain service of three servers, where 17
/// of 18 slots are taken and requests hold their slots for `held`.
fn decision_of_plain_service(held: Duration) -> Decision {
    let mut host = plain_service_host();
    let [first, second, third] = PLAIN_IDS;
    let servers = [(first, 6), (second, 6), (third, 5)];
    for id in PLAIN_IDS {
        host.set_entry(record(id, PLAIN, 6));
    }
    receive_urgent_load(&mut host, PLAIN, &servers, held);
    host.arrive("/read/1", (0, 0)).1
}

/// Guards against slots that are reserved where urgent requests would hardly wait for one: a
/// server whose requests took 61 instead of 59 ms refused everything else at once, although its
/// service freed a slot every 4 ms.
#[test]
fn a_service_that_frees_slots_fast_reserves_none() {
    for held in [45, 59, 61, 75] {
        let decision = decision_of_plain_service(millis(held));
        assert!(
            matches!(decision, Decision::Sent(_)),
            "{held}: {decision:?}"
        );
    }
}

/// Guards against a plain service without a reserve: where a slot becomes free every 80 ms,
/// urgent requests miss a latency target of 200 ms behind others.
#[test]
fn a_service_that_frees_slots_slowly_reserves_some() {
    for held in [200, 500] {
        assert_eq!(decision_of_plain_service(millis(held)), Decision::Queued);
    }
}

/// Guards against a threshold at which the reserve jumps: slots that become free count gradually.
#[test]
fn slots_that_become_free_count_gradually() {
    let freed = |per_second: u32| slots_freed_in_time(f64::from(per_second), millis(20));
    assert!(freed(0) < 1e-9 && freed(50) < 1e-9);
    for per_second in 0..400 {
        let step = freed(per_second + 1) - freed(per_second);
        assert!((0.0..0.2).contains(&step), "{per_second}: {step}");
    }
    // All count from two slots per wait on.
    assert!((freed(100) - 5.0).abs() < 1e-9);
}

/// Guards against a reserve that changes although all ranks hold their slots for equally long.
#[test]
fn equal_hold_times_do_not_change_the_reserve() {
    let service = service_key(ENGINES);
    let mut hold_times = HoldTimes::default();
    for _ in 0..30 {
        hold_times.record(service, 0, millis(700));
        hold_times.record(service, 2, millis(700));
    }
    let arrivals = [(0, 12.0), (2, 30.0)].into_iter();
    let reserve = SlotReserve {
        needed: reserved_slots(40.0),
        freed: 0.0,
        hold_ratio: hold_times.ratio(service, millis(700), arrivals),
    };
    assert!((reserve.slots() - reserved_slots(40.0)).abs() < 1e-6);
}

/// Guards against a mean that follows one response, or one that never follows: engines slow down
/// within seconds.
#[test]
fn hold_times_are_decayed_means() {
    let service = service_key(ENGINES);
    let mut hold_times = HoldTimes::default();
    hold_times.record(service, 2, millis(10));
    assert_eq!(hold_times.of_rank(service, 2), None);
    for _ in 0..40 {
        hold_times.record(service, 2, millis(100));
    }
    hold_times.record(service, 2, millis(1_000));
    let mean = hold_times.of_rank(service, 2).expect("a known mean");
    assert!((millis(120)..millis(180)).contains(&mean), "{mean:?}");
    for _ in 0..80 {
        hold_times.record(service, 2, millis(400));
    }
    let mean = hold_times.of_rank(service, 2).expect("a known mean");
    assert!(mean > millis(380), "{mean:?}");
    assert_eq!(hold_times.of_rank(service, 0), None);
}

/// Requests of the load below that were sent, by rank.
#[derive(Debug, Default)]
struct SentCounts {
    urgent: u32,
    deferrable: u32,
}

/// A host with engines, under a load of two ranks.
struct MixedLoad {
    host: TestHost,
    urgent: HashSet<RequestNumber>,
    running: Vec<(Instant, RequestNumber)>,
    sent: SentCounts,
}

impl MixedLoad {
    fn arrive(&mut self, path: &str) {
        let (number, decision) = self.host.arrive(path, (60, 20));
        if path == "/urgent/1" {
            self.urgent.insert(number);
        }
        if matches!(decision, Decision::Sent(_)) {
            self.record_sent(number);
        }
    }

    fn record_sent(&mut self, number: RequestNumber) {
        self.host.answered(number);
        let is_urgent = self.urgent.contains(&number);
        let (sent, held) = if is_urgent {
            (&mut self.sent.urgent, 700)
        } else {
            (&mut self.sent.deferrable, 70)
        };
        *sent += 1;
        self.running.push((self.host.now + millis(held), number));
    }

    /// Ends the requests whose time is over, and places those that wait.
    fn proceed(&mut self) {
        let now = self.host.now;
        let (ended, running) = self.running.drain(..).partition(|(end, _)| *end <= now);
        self.running = running;
        let ended: Vec<_> = ended;
        let mut fx = self.host.tick();
        for (_, number) in ended {
            let outcome = AttemptOutcome::Complete;
            fx.extend(self.host.apply(Event::AttemptEnded { number, outcome }));
        }
        for effect in fx {
            if let Effect::Send { number, .. } = effect {
                self.record_sent(number);
            }
        }
    }
}

/// Runs a load for 12 s and returns what was sent in the last 10: 40 urgent requests per second that
/// hold a slot for 700 ms, and 400 deferrable ones that hold one for 70 ms, together 1.4 times what
/// the engines can serve.
fn run_mixed_load() -> SentCounts {
    let mut load = MixedLoad {
        host: host_with_engines(),
        urgent: HashSet::new(),
        running: Vec::new(),
        sent: SentCounts::default(),
    };
    for step in 0..2_400 {
        if step == 400 {
            load.sent = SentCounts::default();
        }
        load.host.wait(millis(5));
        load.host.prove();
        load.proceed();
        load.arrive("/label/1");
        load.arrive("/label/1");
        // Urgent requests come in pairs.
        if step % 10 == 0 {
            load.arrive("/urgent/1");
            load.arrive("/urgent/1");
        }
    }
    load.sent
}

/// Guards against slots that stay free while short requests are refused: with a reserve counted in
/// requests, 1,356 of the deferrable requests were sent. All urgent ones must be.
#[test]
fn short_requests_use_the_reserve_beside_urgent_ones() {
    let sent = run_mixed_load();
    assert_eq!(sent.urgent, 400, "{sent:?}");
    assert!(sent.deferrable >= 1_800, "{sent:?}");
}

/// A plain service of three servers with six slots each; requests hold a slot for 70 ms after they
/// have waited for it.
struct PlainLoad {
    host: TestHost,
    /// When the slots of each server become free.
    free_at: HashMap<String, Vec<Instant>>,
    running: Vec<(Instant, RequestNumber)>,
    urgent: HashMap<RequestNumber, Instant>,
    /// Times from the arrival of an urgent request to its slot.
    urgent_waits: Vec<Duration>,
    sent: u32,
}

impl PlainLoad {
    fn new() -> Self {
        let mut host = plain_service_host();
        for id in PLAIN_IDS {
            host.set_entry(record(id, PLAIN, 6));
        }
        let now = host.now;
        Self {
            host,
            free_at: PLAIN_IDS.map(|id| (id.to_owned(), vec![now; 6])).into(),
            running: Vec::new(),
            urgent: HashMap::new(),
            urgent_waits: Vec::new(),
            sent: 0,
        }
    }

    fn arrive(&mut self, path: &str) {
        let (number, decision) = self.host.arrive(path, (0, 0));
        if path == "/vip/1" {
            self.urgent.insert(number, self.host.now);
        }
        if let Decision::Sent(backend) = decision {
            self.record_sent(number, &backend);
        }
    }

    fn record_sent(&mut self, number: RequestNumber, backend: &str) {
        let slots = self.free_at.get_mut(backend).expect("a known server");
        let slot = slots.iter_mut().min().expect("a slot");
        let start = self.host.now.max(*slot);
        *slot = start + millis(70);
        self.running.push((*slot, number));
        match self.urgent.get(&number) {
            Some(arrived_at) => self.urgent_waits.push(start - *arrived_at),
            None => self.sent += 1,
        }
    }

    fn proceed(&mut self) {
        let now = self.host.now;
        let (ended, running): (Vec<_>, _) = self.running.drain(..).partition(|it| it.0 <= now);
        self.running = running;
        let mut fx = self.host.tick();
        for (_, number) in ended {
            let outcome = AttemptOutcome::Complete;
            fx.extend(self.host.apply(Event::AttemptEnded { number, outcome }));
        }
        for effect in fx {
            if let Effect::Send {
                number, backend, ..
            } = effect
            {
                self.record_sent(number, &backend);
            }
        }
    }
}

/// Guards against slots given away that urgent requests need in time: of 40 urgent requests per
/// second to a service at 1.7 times its capacity, all must get a slot within a quarter of their
/// latency target, which leaves more than their hold time. With the whole reserve, 1,858 of the
/// less urgent requests were sent.
#[test]
fn urgent_requests_find_a_slot_in_time_where_slots_become_free_fast() {
    let mut load = PlainLoad::new();
    for step in 0..2_000 {
        load.host.wait(millis(5));
        load.host.prove();
        load.proceed();
        load.arrive("/read/1");
        load.arrive("/read/1");
        // Urgent requests come in pairs.
        if step % 10 == 0 {
            load.arrive("/vip/1");
            load.arrive("/vip/1");
        }
    }
    assert_eq!(load.urgent_waits.len(), 400);
    let longest = load.urgent_waits.iter().max();
    assert!(longest <= Some(&(LATENCY_TARGET / 4)), "{longest:?}");
    assert!(load.sent >= 2_000, "{} sent", load.sent);
}
