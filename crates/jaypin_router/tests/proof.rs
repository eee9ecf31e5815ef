//! What a host says while it can't prove that its configuration is the newest.

mod common;

use std::time::Duration;

use common::{TestHost, Told, configuration, record};
use jaypin_core::{Ran, Reason};
use jaypin_router::{Effect, Event, PeerClock, Report, StoreView, WholeReport};

fn unproved() -> TestHost {
    let mut bed = TestHost::usual();
    bed.wait(Duration::from_millis(4_100));
    bed
}

/// A host is cut off from the store and goes on as before. Operators withdraw a credential,
/// and its holder is still served there, because nothing told the host.
#[test]
fn a_credential_is_not_accepted_without_a_proof() {
    let mut bed = unproved();
    let (_, told) = bed.arrive("/ask/1", (10, 10));
    assert_eq!(told.refusal().reason, Reason::Unproven);
    assert_eq!(told.refusal().ran, Ran::NotRun);
    assert!(told.refusal().retry_after.is_some());
}

/// The steady clock of a suspended host stands still: by it, a proof from before is as
/// young as ever.
#[test]
fn suspended_time_counts() {
    let mut bed = TestHost::usual();
    bed.boot += Duration::from_secs(10);
    let (_, told) = bed.arrive("/ask/1", (10, 10));
    assert_eq!(told.refusal().reason, Reason::Unproven);
}

macro_rules! unsure {
    ($($name:ident: $credential:expr, $path:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut bed = unproved();
                let (_, told) = bed.arrive_as(|it| {
                    it.credential = $credential;
                    it.path = $path.to_owned();
                });
                assert_eq!(told.refusal().reason, Reason::Unproven);
            }
        )*
    };
}

// A credential or a route may have been added meanwhile.
unsure! {
    an_unknown_credential_is_not_rejected_without_a_proof: Some("no".to_owned()), "/ask/1";
    an_unknown_route_is_not_rejected_without_a_proof: Some("key".to_owned()), "/nothing/";
}

#[test]
fn a_public_route_needs_no_proof() {
    let mut configuration = configuration(1);
    for route in &mut configuration.routes {
        route.is_public = true;
    }
    let mut bed = TestHost::new(configuration);
    bed.set_entry(record("engine-1", "engines", 9));
    bed.wait(Duration::from_mins(1));
    let (_, told) = bed.arrive("/ask/1", (10, 10));
    assert!(matches!(told, Told::Sent(_)), "{told:?}");
}

#[test]
fn a_host_without_a_configuration_is_not_ready() {
    let mut bed = TestHost::unconfigured();
    let (_, told) = bed.arrive("/ask/1", (10, 10));
    assert_eq!(told.refusal().reason, Reason::NotReady);
    assert!(!bed.router.is_ready(bed.boot));
}

const SECOND: Duration = Duration::from_secs(1);

/// A report waits for three seconds in front of a suspended process. What it proves is
/// three seconds older than it looks.
#[test]
fn a_late_report_makes_no_proof_younger() {
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
fn a_peer_heard_once_proves_nothing() {
    let mut clock = PeerClock::default();
    clock.record(SECOND, SECOND * 9);
    assert_eq!(clock.to_local_time(SECOND), None);
}

/// A watcher's report, sent and proved at these times by its clock.
fn watcher_report(sequence: u64, sent_at: Duration, proved_at: Duration) -> Report {
    peer_report(sequence, sent_at, proved_at, true)
}

fn peer_report(sequence: u64, sent_at: Duration, proved_at: Duration, watches: bool) -> Report {
    let whole = WholeReport {
        sent_at,
        store: StoreView {
            version: 1,
            proved_at: Some(proved_at),
            may_watch: watches,
            is_watching: watches,
            digest: 0,
            era: None,
        },
        ..common::whole_report(2)
    };
    common::report(sequence, whole)
}

/// Lets a peer prove the configuration for a while, by a clock that is ahead by `ahead` and
/// that it states wrongly by `error`; then lets time go on without it.
fn is_proved_after(ahead: Duration, error: Duration) -> bool {
    let mut bed = TestHost::usual();
    for sequence in 1..20 {
        bed.wait(Duration::from_millis(300));
        let clock = bed.boot + ahead;
        let report = watcher_report(sequence, clock.saturating_sub(error), clock);
        let boot_time = bed.boot;
        bed.apply(Event::ReportReceived {
            report: Box::new(report),
            boot_time,
        });
    }
    bed.wait(Duration::from_millis(3_500));
    bed.router.is_ready(bed.boot)
}

#[test]
fn a_watcher_s_proof_holds_for_its_cell() {
    assert!(is_proved_after(Duration::from_hours(25), Duration::ZERO));
}

/// All hosts of a large fleet ask the store because none of them watches any more.
#[test]
fn a_proof_of_a_peer_that_does_not_watch_holds_too() {
    let mut bed = TestHost::usual();
    for sequence in 1..20 {
        bed.wait(Duration::from_millis(300));
        let report = peer_report(sequence, bed.boot, bed.boot, false);
        bed.receive_report(report);
    }
    assert!(bed.router.has_fresh_proof(bed.boot));
}

/// A host loses power, starts again and reports before it has read its clock: its reports
/// say that they were sent at time 0. The map from its clock to others' was wrong by hours,
/// its proofs lay in the future, and withdrawn credentials were accepted for as long.
#[test]
fn a_peer_whose_clock_makes_no_sense_proves_nothing() {
    assert!(!is_proved_after(
        Duration::from_hours(25),
        Duration::from_secs(5_000)
    ));
}

#[test]
fn nothing_is_reported_before_the_clock_was_read() {
    let mut bed = TestHost::unconfigured();
    let found = Event::HostsListed(vec![("host-2".into(), common::address(7_002))]);
    assert_eq!(bed.apply(found), []);
    assert!(matches!(bed.tick()[..], [Effect::SendReport { .. }]));
}

/// A caller is refused by a host that the store turned away. Whoever looks into it must see
/// how old the host's knowledge was.
#[test]
fn a_refusal_for_want_of_a_proof_names_its_age() {
    let mut bed = TestHost::usual();
    bed.wait(Duration::from_secs(5));
    let grounds = bed.arrive_fx("/ask/1", (600, 300));
    let grounds = grounds.into_iter().find_map(|effect| match effect {
        Effect::Refuse {
            inputs: grounds, ..
        } => Some(grounds.to_string()),
        _ => None,
    });
    insta::assert_snapshot!(grounds.expect("a refusal"), @"configuration 1, proved 5000 ms ago");
}
