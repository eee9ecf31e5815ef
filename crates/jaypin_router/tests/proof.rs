//! Behaviour of a host that can't prove that its configuration is the newest.

mod common;

use std::time::Duration;

use common::{Decision, TestHost, configuration, record};
use jaypin_core::{Ran, Reason};
use jaypin_router::{Effect, Event, PeerClock, Report, StoreView, WholeReport};

fn host_with_expired_proof() -> TestHost {
    let mut host = TestHost::with_backends();
    host.wait(Duration::from_millis(4_100));
    host
}

/// Guards against a withdrawn credential that is still accepted: a host that is cut off from the
/// store doesn't learn that operators have withdrawn it, and would serve its holder as before.
#[test]
fn a_credential_is_not_accepted_without_a_proof() {
    let mut host = host_with_expired_proof();
    let (_, decision) = host.arrive("/ask/1", (10, 10));
    assert_eq!(decision.refusal().reason, Reason::Unproven);
    assert_eq!(decision.refusal().ran, Ran::NotRun);
    assert!(decision.refusal().retry_after.is_some());
}

/// Guards against an age of the proof that leaves out suspended time: the steady clock of a
/// suspended host stands still, so an old proof would seem as recent as before.
#[test]
fn suspended_time_counts() {
    let mut host = TestHost::with_backends();
    host.boot_time += Duration::from_secs(10);
    let (_, decision) = host.arrive("/ask/1", (10, 10));
    assert_eq!(decision.refusal().reason, Reason::Unproven);
}

macro_rules! refused_as_unproven {
    ($($name:ident: $credential:expr, $path:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut host = host_with_expired_proof();
                let (_, decision) = host.arrive_with(|it| {
                    it.credential = $credential;
                    it.path = $path.to_owned();
                });
                assert_eq!(decision.refusal().reason, Reason::Unproven);
            }
        )*
    };
}

// The credential or the route may have been added since the last proof, so the host must not
// reject the request for good.
refused_as_unproven! {
    an_unknown_credential_is_not_rejected_without_a_proof: Some("no".to_owned()), "/ask/1";
    an_unknown_route_is_not_rejected_without_a_proof: Some("key".to_owned()), "/nothing/";
}

/// Lists host 2 if `is_listed`, and receives its report that it has version 2.
fn receive_newer_version(host: &mut TestHost, is_listed: bool) {
    let mut whole = common::whole_report(2);
    if is_listed {
        let listed = vec![(whole.host.clone(), whole.address)];
        host.apply(Event::HostsListed(listed));
    }
    whole.store.version = 2;
    host.receive_report(common::report(1, whole));
}

/// Lets the store confirm the configuration several times within the time in which a newer one
/// must be applied.
fn prove_for_a_while(host: &mut TestHost) {
    for _ in 0..5 {
        host.wait(Duration::from_millis(500));
        host.prove();
    }
}

/// Guards against a store that was restored from a copy without the newest configuration. It
/// confirms the version before, and hosts that had not read the newer one rejected requests on
/// its routes and accepted credentials that it had withdrawn.
#[test]
fn a_proof_of_a_version_that_is_known_to_be_older_does_not_count() {
    let mut host = TestHost::with_backends();
    receive_newer_version(&mut host, true);
    prove_for_a_while(&mut host);
    for path in ["/ask/1", "/nothing/"] {
        let (_, decision) = host.arrive(path, (10, 10));
        assert_eq!(decision.refusal().reason, Reason::Unproven);
    }
    assert!(!host.router.is_ready(host.boot_time));
    host.configure(configuration(2));
    host.prove();
    let (_, decision) = host.arrive("/ask/1", (10, 10));
    assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
}

/// Returns whether a host that has just started and listed no other host accepts the configuration of a
/// store that states its era.
fn accepts_configuration_at_start(listed: Event, waited: Duration) -> bool {
    let mut host = TestHost::unconfigured();
    host.apply(Event::StoreEra(2));
    host.apply(listed);
    host.configure(configuration(1));
    host.wait(waited);
    host.prove();
    host.tick();
    let (_, decision) = host.arrive("/ask/1", (10, 10));
    !matches!(decision, Decision::Refused(it) if it.reason == Reason::Unproven)
}

/// Guards against a host that could list a part of the hosts only and takes itself for the only one: the
/// others may have a newer configuration than a restored store.
#[test]
fn a_host_that_listed_a_part_of_the_fleet_first_waits_for_reports() {
    let part = || Event::HostsFound(Vec::new());
    assert!(!accepts_configuration_at_start(part(), Duration::ZERO));
    assert!(accepts_configuration_at_start(
        part(),
        Duration::from_millis(1_600)
    ));
    let all = Event::HostsListed(Vec::new());
    assert!(accepts_configuration_at_start(all, Duration::ZERO));
}

/// Guards against a host that starts after such a restore and reads the older version first.
#[test]
fn a_host_that_starts_with_an_older_version_refuses_requests() {
    let mut host = TestHost::unconfigured();
    receive_newer_version(&mut host, true);
    host.configure(configuration(1));
    host.prove();
    let (_, decision) = host.arrive("/ask/1", (10, 10));
    assert_eq!(decision.refusal().reason, Reason::Unproven);
}

/// Guards against a sender outside the fleet that makes a host refuse all requests by reporting a
/// version which nobody has.
#[test]
fn a_version_that_an_unlisted_host_reports_voids_no_proof() {
    let mut host = TestHost::with_backends();
    receive_newer_version(&mut host, false);
    prove_for_a_while(&mut host);
    let (_, decision) = host.arrive("/ask/1", (10, 10));
    assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
}

#[test]
fn a_public_route_needs_no_proof() {
    let mut configuration = configuration(1);
    for route in &mut configuration.routes {
        route.is_public = true;
    }
    let mut host = TestHost::new(configuration);
    host.set_entry(record("engine-1", "engines", 9));
    host.wait(Duration::from_mins(1));
    let (_, decision) = host.arrive("/ask/1", (10, 10));
    assert!(matches!(decision, Decision::Sent(_)), "{decision:?}");
}

#[test]
fn a_host_without_a_configuration_is_not_ready() {
    let mut host = TestHost::unconfigured();
    let (_, decision) = host.arrive("/ask/1", (10, 10));
    assert_eq!(decision.refusal().reason, Reason::NotReady);
    assert!(!host.router.is_ready(host.boot_time));
}

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a proof that looks more recent than it is: a report that waits for three
/// seconds in front of a suspended process proves what was true three seconds before it is read.
#[test]
fn a_delayed_report_makes_no_proof_more_recent() {
    let mut clock = PeerClock::default();
    // The peer's clock is 100 s ahead, and reports take 2 ms.
    for second in 0..10 {
        let sent = SECOND * (100 + second);
        clock.record(sent, SECOND * second + Duration::from_millis(2));
    }
    clock.record(SECOND * 110, SECOND * 13);
    let own = clock
        .to_local_time(SECOND * 110)
        .expect("the clock is known");
    assert!(own <= SECOND * 10, "{own:?}");
    assert!(own + Duration::from_millis(100) >= SECOND * 10, "{own:?}");
}

#[test]
fn a_single_report_proves_nothing() {
    let mut clock = PeerClock::default();
    clock.record(SECOND, SECOND * 9);
    assert_eq!(clock.to_local_time(SECOND), None);
}

/// Returns a watcher's report with these times on its own clock.
fn watcher_report(sequence: u64, sent_at: Duration, proved_at: Duration) -> Report {
    peer_report(sequence, sent_at, proved_at, true)
}

fn peer_report(sequence: u64, sent_at: Duration, proved_at: Duration, watches: bool) -> Report {
    let whole = WholeReport {
        sent_at,
        store: StoreView {
            version: 1,
            proved_at: Some(proved_at),
            entries_proved_at: None,
            may_watch: watches,
            is_watching: watches,
            digest: 0,
            era: None,
        },
        ..common::whole_report(2)
    };
    common::report(sequence, whole)
}

/// Applies reports of a peer that proves the configuration, and whose clock is ahead by `ahead`
/// but stated too low by `error`; then checks whether the host is ready 3.5 s after the last of
/// them.
fn is_ready_after_peer_proofs(ahead: Duration, error: Duration) -> bool {
    let mut host = TestHost::with_backends();
    for sequence in 1..20 {
        host.wait(Duration::from_millis(300));
        let clock = host.boot_time + ahead;
        let report = watcher_report(sequence, clock.saturating_sub(error), clock);
        let boot_time = host.boot_time;
        host.apply(Event::ReportReceived {
            report: Box::new(report),
            boot_time,
        });
    }
    host.wait(Duration::from_millis(3_500));
    host.router.is_ready(host.boot_time)
}

#[test]
fn a_watcher_s_proof_holds_for_its_cell() {
    assert!(is_ready_after_peer_proofs(
        Duration::from_hours(25),
        Duration::ZERO
    ));
}

/// Guards against a large fleet whose hosts all query the store because none of them is watching
/// it any more.
#[test]
fn a_proof_of_a_peer_that_does_not_watch_holds_too() {
    let mut host = TestHost::with_backends();
    for sequence in 1..20 {
        host.wait(Duration::from_millis(300));
        let report = peer_report(sequence, host.boot_time, host.boot_time, false);
        host.receive_report(report);
    }
    assert!(host.router.has_fresh_proof(host.boot_time));
}

/// Guards against proofs that lie in the future. After a power loss, a host started again and
/// reported before it had read its clock, so its reports stated that they were sent at time 0.
/// The offset from its clock to others' was wrong by hours, and withdrawn credentials were
/// accepted for as long.
#[test]
fn a_peer_with_an_implausible_clock_proves_nothing() {
    assert!(!is_ready_after_peer_proofs(
        Duration::from_hours(25),
        Duration::from_secs(5_000)
    ));
}

#[test]
fn nothing_is_reported_before_the_clock_was_read() {
    let mut host = TestHost::unconfigured();
    let listed = Event::HostsListed(vec![("host-2".into(), common::address(7_002))]);
    assert_eq!(host.apply(listed), []);
    assert!(matches!(host.tick()[..], [Effect::SendReport { .. }]));
}

/// Guards against a refusal that hides its cause: when the store rejects a host, the log must
/// show how old the host's knowledge was.
#[test]
fn a_refusal_without_a_fresh_proof_names_the_proof_s_age() {
    let mut host = TestHost::with_backends();
    host.wait(Duration::from_secs(5));
    let fx = host.arrive_effects("/ask/1", (600, 300));
    let inputs = fx.into_iter().find_map(|effect| match effect {
        Effect::Refuse { inputs, .. } => Some(inputs.to_string()),
        _ => None,
    });
    insta::assert_snapshot!(inputs.expect("a refusal"), @"configuration 1, proved 5000 ms ago");
}
