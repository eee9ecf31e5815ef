//! What a host says while it can't prove that its configuration is the newest.

mod common;

use std::time::Duration;

use common::{Bed, Told, configuration, record};
use jaypin_core::{Ran, Reason};
use jaypin_router::PeerClock;

fn unproved() -> Bed {
    let mut bed = Bed::usual();
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
    let mut bed = Bed::usual();
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
    let mut bed = Bed::new(configuration);
    bed.state(record("engine-1", "engines", 9));
    bed.wait(Duration::from_secs(60));
    let (_, told) = bed.arrive("/ask/1", (10, 10));
    assert!(matches!(told, Told::Sent(_)), "{told:?}");
}

#[test]
fn a_host_without_a_configuration_is_not_ready() {
    let mut bed = Bed::unconfigured();
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
        clock.saw(sent, SECOND * second + Duration::from_millis(2));
    }
    clock.saw(SECOND * 110, SECOND * 13);
    let own = clock.own_time(SECOND * 110).expect("the clock is known");
    assert!(own <= SECOND * 10, "{own:?}");
    assert!(own >= SECOND * 10 - Duration::from_millis(100), "{own:?}");
}

#[test]
fn a_peer_heard_once_proves_nothing() {
    let mut clock = PeerClock::default();
    clock.saw(SECOND, SECOND * 9);
    assert_eq!(clock.own_time(SECOND), None);
}
