//! Decisions of one host that is cut off from all backend servers and has a peer that is not.

mod common;

use common::{TestHost, decision_for, report, whole_report};
use jaypin_core::Ran;
use jaypin_router::{AttemptOutcome, Contact, Effect, Event, Report, RequestNumber};

/// Creates a host that failed to connect to all its backend servers, and has a live peer.
fn cut_off_host(peer: Report) -> TestHost {
    let mut host = TestHost::with_backends();
    host.receive_report(peer);
    for id in ["engine-1", "engine-22", "plain-1", "plain-22"] {
        host.apply(Event::BackendUnreached(id.into()));
    }
    host
}

fn reaching_peer() -> Report {
    report(1, whole_report(2))
}

/// Returns the requests that are passed on among `fx`.
fn passed_on(fx: &[Effect]) -> Vec<RequestNumber> {
    let passed_on = fx.iter().filter_map(|effect| match effect {
        Effect::PassOn { number, .. } => Some(*number),
        _ => None,
    });
    passed_on.collect()
}

#[test]
fn a_host_that_is_cut_off_passes_requests_on() {
    let mut host = cut_off_host(reaching_peer());
    let fx = host.arrive_effects("/command/1", (0, 0));
    assert_eq!(passed_on(&fx).len(), 1, "{fx:?}");
    assert!(!host.router.is_idle());
    let number = passed_on(&fx)[0];
    host.ended(number, AttemptOutcome::Complete);
    assert!(host.router.is_idle());
}

/// Guards against requests that hosts pass on in a circle.
#[test]
fn a_request_of_a_peer_is_not_passed_on_again() {
    let mut host = cut_off_host(reaching_peer());
    let (_, decision) = host.arrive_with(|it| it.is_passed_on = true);
    assert!(
        !matches!(decision, common::Decision::Queued),
        "{decision:?}"
    );
}

/// Guards against passing requests on while all hosts fail, because the backend servers are down.
#[test]
fn nothing_is_passed_on_to_a_peer_that_is_cut_off_too() {
    let peer = Report {
        contact: Contact::CutOff,
        ..reaching_peer()
    };
    let mut host = cut_off_host(peer);
    let fx = host.arrive_effects("/command/1", (0, 0));
    assert!(passed_on(&fx).is_empty(), "{fx:?}");
}

/// Guards against a command that runs twice: at the backend server whose answer was lost, and at
/// that of a peer.
#[test]
fn a_request_that_may_have_run_is_not_passed_on() {
    let mut host = TestHost::with_backends();
    host.receive_report(reaching_peer());
    let (number, _) = host.arrive("/read/1", (0, 0));
    for id in ["engine-1", "engine-22", "plain-1", "plain-22"] {
        host.apply(Event::BackendUnreached(id.into()));
    }
    let outcome = AttemptOutcome::Lost;
    let fx = host.apply(Event::AttemptEnded { number, outcome });
    assert!(passed_on(&fx).is_empty(), "{fx:?}");
}

/// Guards against a promise that a request was not run, although the peer that was lost may have
/// sent it to a backend server.
#[test]
fn the_outcome_of_a_request_at_a_lost_peer_is_unknown() {
    let mut host = cut_off_host(reaching_peer());
    let number = passed_on(&host.arrive_effects("/command/1", (0, 0)))[0];
    let decision = host.ended(number, AttemptOutcome::Lost);
    assert_eq!(decision.refusal().ran, Ran::Unknown);
}

/// Guards against a second refund of the quota of a request that no peer took.
#[test]
fn a_request_that_reaches_no_peer_is_refused_as_not_run() {
    let mut host = cut_off_host(reaching_peer());
    let number = passed_on(&host.arrive_effects("/command/1", (0, 0)))[0];
    let outcome = AttemptOutcome::Unreached;
    let fx = host.apply(Event::AttemptEnded { number, outcome });
    assert!(passed_on(&fx).is_empty(), "{fx:?}");
    let decision = decision_for(&fx, number);
    assert_eq!(decision.refusal().ran, Ran::NotRun);
    assert!(host.router.is_idle());
}

/// Guards against callers that are sent to hosts which can serve them only by way of others.
#[test]
fn callers_are_sent_to_hosts_that_reach_backend_servers() {
    let host = cut_off_host(reaching_peer());
    let peer = whole_report(2).callers;
    let addresses = host.router.caller_addresses(host.now, host.boot_time);
    assert_eq!(addresses, vec![peer]);
    let mut cut_off = reaching_peer();
    cut_off.contact = Contact::CutOff;
    let host = cut_off_host(cut_off);
    let addresses = host.router.caller_addresses(host.now, host.boot_time);
    assert_eq!(addresses.len(), 2, "{addresses:?}");
}
