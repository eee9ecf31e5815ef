//! The table of idempotency keys: which claims are granted, and how long keys and responses are
//! stored.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jaypin_core::{
    ClaimSubject, ClaimVerdict, HostId, IdempotencyKey, KEY_PERIOD, KeyOutcome, KeyTable, MAX_KEYS,
    MAX_KEYS_PER_ACCOUNT, MAX_STORED_ANSWER_BYTES, MAX_TOTAL_STORED_BYTES, RETAINED_KEY_PERIODS,
    RequestId, StoredAnswer,
};

fn key(period: u64, unique: &str) -> IdempotencyKey {
    let prefix = IdempotencyKey::prefix("host-0", 7, period);
    IdempotencyKey::parse(&format!("{prefix}{unique}")).expect("a key")
}

fn subject() -> ClaimSubject {
    ClaimSubject {
        account: "farm".into(),
        fingerprint: 1,
    }
}

fn claim(table: &mut KeyTable, now: Instant, key: &IdempotencyKey, id: &str) -> ClaimVerdict {
    let host = HostId::from("host-1");
    table.claim(now, key, &subject(), &host, &RequestId::from(id))
}

fn claim_for(
    table: &mut KeyTable,
    now: Instant,
    key: &IdempotencyKey,
    account: &str,
) -> ClaimVerdict {
    let subject = ClaimSubject {
        account: account.into(),
        ..subject()
    };
    let (host, id) = (HostId::from("host-1"), RequestId::from("first"));
    table.claim(now, key, &subject, &host, &id)
}

fn settle(table: &mut KeyTable, key: &IdempotencyKey, id: &str, outcome: KeyOutcome) {
    table.settle(key, &RequestId::from(id), outcome);
}

fn answer(size: usize) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "text/plain".into(),
        body: vec![b'x'; size].into(),
    }
}

/// Generates a test per outcome of a claimed call, with the verdict on a later claim.
macro_rules! after_outcome {
    ($($name:ident: $outcome:expr => $verdict:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let (mut table, now, key) = (KeyTable::default(), Instant::now(), key(0, "a"));
                assert_eq!(claim(&mut table, now, &key, "first"), ClaimVerdict::Granted);
                settle(&mut table, &key, "first", $outcome);
                assert_eq!(claim(&mut table, now, &key, "second"), $verdict);
            }
        )*
    };
}

after_outcome! {
    a_call_that_was_not_run_may_run: KeyOutcome::NotRun => ClaimVerdict::Granted;
    an_unknown_call_stays_unknown: KeyOutcome::Unknown => ClaimVerdict::Unknown;
    an_answer_is_replayed: KeyOutcome::Answered(Some(answer(9)))
        => ClaimVerdict::Done(Some(answer(9)));
    a_large_answer_is_reported_without_its_body: KeyOutcome::Answered(None)
        => ClaimVerdict::Done(None);
}

#[test]
fn a_repeated_claim_of_the_holder_is_granted_and_of_others_is_not() {
    let (mut table, now, key) = (KeyTable::default(), Instant::now(), key(0, "a"));
    for _ in 0..2 {
        assert_eq!(claim(&mut table, now, &key, "first"), ClaimVerdict::Granted);
    }
    assert_eq!(
        claim(&mut table, now, &key, "second"),
        ClaimVerdict::InFlight
    );
    // An outcome is recorded only if the holder of the claim reports it.
    settle(&mut table, &key, "second", KeyOutcome::NotRun);
    assert_eq!(
        claim(&mut table, now, &key, "third"),
        ClaimVerdict::InFlight
    );
}

/// A duplicated message arrives after the call ended. It must neither release the key nor
/// change the outcome.
#[test]
fn a_late_repeated_message_changes_nothing() {
    let (mut table, now, key) = (KeyTable::default(), Instant::now(), key(0, "a"));
    claim(&mut table, now, &key, "first");
    settle(&mut table, &key, "first", KeyOutcome::Answered(None));
    settle(&mut table, &key, "first", KeyOutcome::NotRun);
    assert_eq!(
        claim(&mut table, now, &key, "first"),
        ClaimVerdict::Done(None)
    );
}

#[test]
fn a_claim_of_a_lost_host_is_unknown_until_the_holder_reports() {
    let (mut table, now, key) = (KeyTable::default(), Instant::now(), key(0, "a"));
    claim(&mut table, now, &key, "first");
    table.orphan(&HostId::from("host-2"));
    assert_eq!(
        claim(&mut table, now, &key, "second"),
        ClaimVerdict::InFlight
    );
    table.orphan(&HostId::from("host-1"));
    assert_eq!(
        claim(&mut table, now, &key, "second"),
        ClaimVerdict::Unknown
    );
    settle(&mut table, &key, "first", KeyOutcome::Answered(None));
    assert_eq!(
        claim(&mut table, now, &key, "second"),
        ClaimVerdict::Done(None)
    );
}

#[test]
fn another_account_or_another_body_is_refused() {
    let (mut table, now, key) = (KeyTable::default(), Instant::now(), key(0, "a"));
    claim(&mut table, now, &key, "first");
    let others = [
        ClaimSubject {
            account: "other".into(),
            ..subject()
        },
        ClaimSubject {
            fingerprint: 2,
            ..subject()
        },
    ];
    for other in others {
        let (host, id) = (HostId::from("host-1"), RequestId::from("second"));
        let verdict = table.claim(now, &key, &other, &host, &id);
        assert_eq!(verdict, ClaimVerdict::Mismatch);
    }
}

/// The table removes the key of a call that ran, and the caller repeats the key days later. If
/// every key without an entry were granted, the call would run twice.
#[test]
fn a_key_of_an_expired_period_is_never_granted() {
    let (mut table, start, old) = (KeyTable::default(), Instant::now(), key(0, "a"));
    claim(&mut table, start, &old, "first");
    settle(&mut table, &old, "first", KeyOutcome::Answered(None));
    let last = start + KEY_PERIOD * u32::try_from(RETAINED_KEY_PERIODS).expect("small");
    table.expire(last);
    assert_eq!(
        claim(&mut table, last, &old, "second"),
        ClaimVerdict::Done(None)
    );
    let later = last + KEY_PERIOD;
    table.expire(later);
    assert_eq!(
        claim(&mut table, later, &old, "third"),
        ClaimVerdict::Unknown
    );
    let future = key(RETAINED_KEY_PERIODS + 2, "a");
    assert_eq!(
        claim(&mut table, later, &future, "fourth"),
        ClaimVerdict::Unknown
    );
}

#[test]
fn memory_is_bounded() {
    let (mut table, now) = (KeyTable::default(), Instant::now());
    let stored_count = MAX_TOTAL_STORED_BYTES / MAX_STORED_ANSWER_BYTES;
    for count in 0..MAX_KEYS {
        let key = key(0, &count.to_string());
        let account = format!("farm-{}", count / MAX_KEYS_PER_ACCOUNT);
        let verdict = claim_for(&mut table, now, &key, &account);
        assert_eq!(verdict, ClaimVerdict::Granted);
        if count <= stored_count {
            let stored = Some(answer(MAX_STORED_ANSWER_BYTES));
            settle(&mut table, &key, "first", KeyOutcome::Answered(stored));
        }
    }
    let verdict_when_full = claim_for(&mut table, now, &key(0, "more"), "farm-9");
    assert_eq!(verdict_when_full, ClaimVerdict::Full);
    // The oldest response was removed, but the table still knows that its call ran.
    assert_eq!(
        claim_for(&mut table, now, &key(0, "0"), "farm-0"),
        ClaimVerdict::Done(None)
    );
    let newest_verdict = claim_for(
        &mut table,
        now,
        &key(0, &stored_count.to_string()),
        "farm-0",
    );
    assert_eq!(
        newest_verdict,
        ClaimVerdict::Done(Some(answer(MAX_STORED_ANSWER_BYTES)))
    );
    let later = now + Duration::from_hours(1);
    table.expire(later);
    let fresh = key(60, "more");
    assert_eq!(
        claim_for(&mut table, later, &fresh, "farm-0"),
        ClaimVerdict::Granted
    );
}

#[test]
fn only_well_formed_keys_are_parsed() {
    let parsed = IdempotencyKey::parse("barn.host-0-12.3-gate_7-a").expect("a key");
    assert_eq!(&*parsed.host, "barn.host-0");
    assert_eq!((parsed.incarnation, parsed.period), (12, 3));
    assert_eq!(parsed.unique, Arc::from("gate_7-a"));
    for wrong in [
        "",
        "gate",
        "host.1-a",
        "-12.3-a",
        "host-x.3-a",
        "host-0-12.3-",
        "host-0-12.3-a b",
    ] {
        assert_eq!(IdempotencyKey::parse(wrong), None, "{wrong}");
    }
}

/// One client account uses a new key for every call without limit. The table must still have
/// room for the keys of other accounts.
#[test]
fn one_account_leaves_room_for_others() {
    let (mut table, now) = (KeyTable::default(), Instant::now());
    for count in 0..MAX_KEYS_PER_ACCOUNT {
        let key = key(0, &count.to_string());
        assert_eq!(claim(&mut table, now, &key, "first"), ClaimVerdict::Granted);
    }
    let more = key(0, "more");
    assert_eq!(claim(&mut table, now, &more, "first"), ClaimVerdict::Full);
    assert_eq!(
        claim_for(&mut table, now, &more, "farm-9"),
        ClaimVerdict::Granted
    );
    settle(&mut table, &key(0, "0"), "first", KeyOutcome::NotRun);
    let again = key(0, "again");
    assert_eq!(
        claim(&mut table, now, &again, "first"),
        ClaimVerdict::Granted
    );
}
