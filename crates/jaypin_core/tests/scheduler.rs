//! Decisions of the shard scheduler: which messages it sends in response to events.

mod common;

use std::time::Duration;

use common::{TestScheduler, ask, record, shard};
use jaypin_core::{
    Config, GrantNumber, HostId, InFlight, LoadReport, Message, Presence, Reason, SlotProgress,
};

fn ids(grants: &[jaypin_core::Grant]) -> Vec<&str> {
    grants.iter().map(|grant| &*grant.id).collect()
}

/// Submits `count` questions, reports the first token of those that are granted a slot, and
/// returns their grants.
fn fill(harness: &mut TestScheduler, count: usize) -> Vec<jaypin_core::Grant> {
    for index in 0..count {
        harness.submit(ask(&format!("fill-{index}"), 1));
        harness.advance(200);
        let grants = harness.grants();
        for grant in &grants {
            harness.report_first_token(grant);
        }
        harness.out.extend(
            grants
                .into_iter()
                .map(|grant| ("host-a".into(), Message::Grant(grant))),
        );
    }
    harness.grants()
}

#[test]
fn an_urgent_request_overtakes_all_that_wait() {
    let mut harness = TestScheduler::new(1, 2);
    let running = fill(&mut harness, 1);
    assert_eq!(running.len(), 1, "the second slot is reserved for commands");
    harness.submit(ask("summary", 2));
    harness.submit(ask("question", 1));
    assert!(harness.grants().is_empty());
    harness.submit(ask("command", 0));
    assert_eq!(ids(&harness.grants()), ["command"]);
}

#[test]
fn the_lowest_tier_is_shed_first_with_a_retry_time() {
    let cfg = Config {
        max_waiting: 2,
        ..Config::default()
    };
    let mut harness = TestScheduler::with_config(1, 2, &cfg);
    fill(&mut harness, 1);
    for (id, tier) in [("s1", 2), ("s2", 2), ("q1", 1), ("q2", 1)] {
        harness.submit(ask(id, tier));
    }
    let refusals = harness.refusals();
    let shed_ids: Vec<_> = refusals.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(shed_ids, ["s2", "s1"]);
    assert!(
        refusals
            .iter()
            .all(|(_, refusal)| refusal.reason == Reason::Shed)
    );
    assert!(
        refusals
            .iter()
            .all(|(_, refusal)| refusal.retry_after.is_some())
    );
    assert_ne!(refusals[0].1.retry_after, refusals[1].1.retry_after);
}

/// Questions keep arriving faster than they can be served. Without the minimum share,
/// summaries of a lower tier would never start, although the rules grant them 10 percent of
/// the work.
#[test]
fn a_minimum_share_is_served_under_a_flood_of_higher_tiers() {
    let mut harness = TestScheduler::new(1, 2);
    let mut running = fill(&mut harness, 1);
    for index in 0..20 {
        harness.submit(ask(&format!("summary-{index}"), 2));
    }
    let mut summaries = 0;
    for index in 0..100 {
        harness.submit(ask(&format!("question-{index}"), 1));
        for grant in std::mem::take(&mut running) {
            harness.report_finished(&grant, 20, 100);
        }
        running = harness.grants();
        summaries += ids(&running)
            .iter()
            .filter(|id| id.starts_with("summary"))
            .count();
        for grant in running.clone() {
            harness.report_first_token(&grant);
        }
        harness.advance(5);
        running.extend(harness.grants());
    }
    assert!((8..=12).contains(&summaries), "{summaries} of 100");
}

/// Summaries hold their slots for 6 s, questions for 0.4 s. If summaries got every slot that
/// is free for a moment, questions could use only the slots that other questions release, and
/// each burst of questions would be refused while summaries run.
#[test]
fn deferrable_work_leaves_slots_for_the_arrivals_of_urgent_work() {
    let hold_steps = |grant: &jaypin_core::Grant| {
        if grant.id.starts_with("question") {
            4
        } else {
            60
        }
    };
    let mut harness = TestScheduler::new(2, 8);
    let mut running: Vec<(u64, jaypin_core::Grant)> = Vec::new();
    let mut late = 0;
    for step in 0..200_u64 {
        let (ended, others) = running.into_iter().partition(|(end, _)| *end <= step);
        running = others;
        for (_, grant) in ended {
            let is_question = grant.id.starts_with("question");
            let (tokens, millis) = if is_question { (20, 400) } else { (300, 6_000) };
            harness.report_finished(&grant, tokens, millis);
        }
        harness.submit(ask(&format!("question-{step}"), 1));
        for index in 0..4 {
            let mut summary = ask(&format!("summary-{step}-{index}"), 2);
            summary.max_tokens = 300;
            harness.submit(summary);
        }
        let grants = harness.grants();
        let name = format!("question-{step}");
        let served = grants.iter().any(|grant| *grant.id == *name);
        late += u32::from(!served && step >= 100);
        harness.advance(20);
        for grant in grants {
            harness.report_first_token(&grant);
            let steps = hold_steps(&grant);
            running.push((step + steps, grant));
        }
        harness.advance(80);
        for grant in harness.grants() {
            harness.report_first_token(&grant);
            running.push((step + hold_steps(&grant), grant));
        }
    }
    assert_eq!(late, 0, "late of 100 questions");
}

/// All slots run long responses, and a question arrives that can't meet its deadline. If it
/// were queued, its caller would wait in vain, and a late start would waste a prefill.
#[test]
fn a_request_that_can_only_be_late_is_refused_at_once() {
    let mut harness = TestScheduler::new(1, 2);
    fill(&mut harness, 1);
    let mut waiting = 0;
    for index in 0..400 {
        let mut question = ask(&format!("q{index}"), 1);
        question.max_tokens = 400;
        harness.submit(question);
        waiting = harness.scheduler.waiting_count();
    }
    assert!(waiting < 100, "{waiting} wait");
    let refusals = harness.refusals();
    assert_eq!(refusals.len(), 400 - waiting);
    assert!(
        refusals
            .iter()
            .all(|(_, refusal)| refusal.reason == Reason::TooLate)
    );
}

#[test]
fn a_request_that_waited_too_long_is_refused_before_its_prefill() {
    let mut harness = TestScheduler::new(1, 2);
    fill(&mut harness, 1);
    harness.submit(ask("q", 1));
    harness.advance(2_500);
    let refusals = harness.refusals();
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].1.reason, Reason::TooLate);
    assert_eq!(harness.scheduler.waiting_count(), 0);
}

#[test]
fn waiting_work_is_served_by_shares() {
    let mut harness = TestScheduler::new(1, 2);
    let mut running = fill(&mut harness, 1);
    for index in 0..40 {
        harness.submit(ask(&format!("large-{index}"), 2));
    }
    for index in 0..40 {
        let mut small = ask(&format!("small-{index}"), 2);
        small.account = "small".into();
        harness.submit(small);
    }
    let mut order = Vec::new();
    for _ in 0..40 {
        for grant in std::mem::take(&mut running) {
            harness.report_finished(&grant, 20, 100);
        }
        running = harness.grants();
        for grant in running.clone() {
            order.push(grant.id.to_string());
            harness.report_first_token(&grant);
        }
        harness.advance(5);
    }
    let small = order.iter().filter(|id| id.starts_with("small")).count();
    assert_eq!(order.len(), 40);
    assert!(
        (9..=11).contains(&small),
        "{small} of 40 at a share of 1 to 3"
    );
}

#[test]
fn an_account_over_its_concurrency_is_refused_with_the_rule() {
    let mut harness = TestScheduler::new(2, 8);
    for index in 0..3 {
        let mut capped = ask(&format!("c{index}"), 1);
        capped.account = "capped".into();
        harness.submit(capped);
    }
    assert_eq!(harness.grants().len(), 2);
    let refusals = harness.refusals();
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].1.reason, Reason::OverLimit);
    assert_eq!(refusals[0].1.rule_line, Some(8));
}

#[test]
fn an_account_over_its_rate_is_refused_until_the_bucket_fills() {
    let mut harness = TestScheduler::new(2, 8);
    let mut served = 0;
    for index in 0..100 {
        let mut capped = ask(&format!("c{index}"), 1);
        capped.account = "capped".into();
        harness.submit(capped);
        for grant in harness.grants() {
            served += 1;
            harness.report_first_token(&grant);
            harness.report_finished(&grant, 20, 10);
        }
        harness.advance(100);
    }
    // The limit of 1,000 tokens/s over 10 s plus a burst of 2 s, at 120 tokens per request.
    assert!((95..=101).contains(&served), "{served} served");
}

#[test]
fn the_faster_engine_gets_the_work() {
    let mut harness = TestScheduler::new(2, 8);
    for index in 0..20 {
        let gap_ms = |backend: &str| if backend == "engine-0" { 10 } else { 40 };
        harness.submit(ask(&format!("r{index}"), 1));
        let grant = harness.grants().pop().expect("a grant");
        harness.advance(20);
        harness.report_first_token(&grant);
        let streaming = 19 * gap_ms(&grant.backend);
        harness.advance(streaming);
        harness.report_finished(&grant, 20, 20 + streaming);
    }
    let fast = harness.run_one(ask("last", 1), 20, 10);
    assert_eq!(&*fast.backend, "engine-0");
    let gap = |name| {
        harness
            .scheduler
            .model(name)
            .expect("a model")
            .token_gaps
            .gap(1)
    };
    assert!(gap("engine-0") < gap("engine-1"));
}

/// An engine becomes five times slower. Its measured timings show that only once first tokens
/// arrive; until then it appears idle and would get more requests.
#[test]
fn an_overdue_first_token_stops_further_grants() {
    let mut harness = TestScheduler::new(1, 8);
    harness.submit(ask("r0", 1));
    assert_eq!(harness.grants().len(), 1);
    harness.advance(400);
    harness.submit(ask("r1", 1));
    assert!(harness.grants().is_empty());
}

#[test]
fn after_a_lost_call_the_engine_cools_down_and_then_gets_one_request() {
    let mut harness = TestScheduler::new(1, 8);
    harness.submit(ask("r0", 2));
    let grant = harness.grants().pop().expect("a grant");
    harness.report_lost(&grant);
    harness.submit(ask("r1", 2));
    harness.submit(ask("r2", 2));
    harness.advance(500);
    assert!(harness.grants().is_empty());
    harness.advance(600);
    assert_eq!(ids(&harness.grants()), ["r1"]);
}

#[test]
fn a_leaving_report_stops_grants_and_an_old_idle_report_releases_nothing() {
    let mut harness = TestScheduler::new(1, 2);
    fill(&mut harness, 1);
    let mut report = LoadReport {
        backend: "engine-0".into(),
        running: 0,
        waiting: 0,
        leaving: false,
        age: Duration::from_secs(5),
    };
    harness.scheduler.apply_load_report(&report, harness.now);
    harness.submit(ask("q", 1));
    harness.advance(10);
    assert!(
        harness.grants().is_empty(),
        "an old report of an idle engine releases no slot"
    );
    report.leaving = true;
    harness.scheduler.apply_load_report(&report, harness.now);
    harness.submit(ask("command", 0));
    assert!(harness.grants().is_empty());
}

#[test]
fn requests_go_to_the_engine_that_cached_their_prefix() {
    let mut harness = TestScheduler::new(4, 8);
    let mut backends = Vec::new();
    for index in 0..6 {
        let mut req = ask(&format!("r{index}"), 1);
        req.prompt_tokens = 1_000;
        req.prefixes = vec![7, 8, 9, 10];
        backends.push(harness.run_one(req, 100, 20).backend);
    }
    assert!(backends.iter().all(|backend| *backend == backends[0]));
}

/// The message with a grant is lost with its link. Unless the scheduler asks the owner about
/// it, the slot stays counted as used, and the shard loses capacity with each lost message.
#[test]
fn an_unconfirmed_grant_is_checked_and_can_be_returned() {
    let mut harness = TestScheduler::new(1, 2);
    harness.submit(ask("r0", 1));
    let grant = harness.grants().pop().expect("a grant");
    harness.advance(4_000);
    assert!(harness.confirms().is_empty());
    harness.advance(1_500);
    assert_eq!(harness.confirms(), [grant.number]);
    harness.report_progress(&grant, SlotProgress::Returned);
    assert_eq!(harness.scheduler.running_count(), 0);
}

/// A host exits while its streams run. Its engines keep running them for a while, so the slots
/// must not be granted again at once. If they were never released, the shard would run out of
/// slots.
#[test]
fn a_lost_owners_slots_are_released_after_a_delay() {
    let mut harness = TestScheduler::new(1, 2);
    harness.submit(ask("r0", 1));
    assert_eq!(harness.grants().len(), 1);
    let owner: HostId = "host-a".into();
    harness.scheduler.mark_owner_lost(&owner, harness.now);
    harness.advance(1_000);
    assert_eq!(harness.scheduler.running_count(), 1);
    harness.advance(2_000);
    assert_eq!(harness.scheduler.running_count(), 0);
}

#[test]
fn a_repeated_ask_is_not_granted_twice() {
    let mut harness = TestScheduler::new(1, 8);
    harness.submit(ask("r0", 1));
    harness.submit(ask("r0", 1));
    assert_eq!(harness.grants().len(), 1);
    assert_eq!(harness.scheduler.running_count(), 1);
}

#[test]
fn a_new_scheduler_counts_what_owners_report_before_it_grants() {
    let mut harness = TestScheduler::new(1, 2);
    let cfg = Config::default();
    let rules = rule_index();
    let mut scheduler = jaypin_core::Scheduler::new(shard(), &cfg, rules, harness.now);
    scheduler.set_backends([record(0, 2)].iter(), harness.now);
    let owner: HostId = "host-a".into();
    let entries = ["a", "b"].map(|id| InFlight {
        id: id.into(),
        number: GrantNumber {
            incarnation: 1,
            sequence: 1,
        },
        backend: "engine-0".into(),
        account: "large".into(),
        tier: 1,
        prompt_tokens: 100,
        max_tokens: 20,
    });
    scheduler.submit(&owner, ask("r0", 1), harness.now, &mut harness.out);
    scheduler.adopt_in_flight(&owner, entries.into(), harness.now);
    harness.now += cfg.rebuild_window;
    scheduler.tick(harness.now, &mut harness.out);
    assert!(harness.grants().is_empty());
    assert_eq!(scheduler.running_count(), 2);
}

fn rule_index() -> std::sync::Arc<jaypin_core::RuleIndex> {
    let rules = jaypin_rules::parse(common::RULES).expect("rules");
    std::sync::Arc::new(jaypin_core::RuleIndex::new(rules.into()))
}

#[test]
fn a_leaving_engine_gets_nothing_new() {
    let mut harness = TestScheduler::new(2, 8);
    let mut leaving = record(0, 8);
    leaving.presence = Presence::Leaving;
    harness
        .scheduler
        .set_backends([leaving, record(1, 8)].iter(), harness.now);
    for index in 0..3 {
        harness.submit(ask(&format!("r{index}"), 1));
    }
    let grants = harness.grants();
    assert_eq!(grants.len(), 3);
    assert!(grants.iter().all(|grant| &*grant.backend == "engine-1"));
}

#[test]
fn a_grant_names_what_was_weighed() {
    let mut harness = TestScheduler::new(3, 8);
    harness.submit(ask("r0", 1));
    insta::assert_debug_snapshot!(harness.grants());
}

#[test]
fn a_refusal_names_its_rule() {
    let mut harness = TestScheduler::new(1, 2);
    fill(&mut harness, 1);
    let mut question = ask("q", 1);
    question.response_due_in = Duration::from_millis(100);
    harness.submit(question);
    insta::assert_debug_snapshot!(harness.refusals());
}
