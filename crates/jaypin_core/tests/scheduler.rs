//! Decisions of the shard scheduler: event in, letters out.

mod common;

use std::time::Duration;

use common::{Bed, ask, record, shard};
use jaypin_core::{
    Config, GrantNumber, HostId, InFlight, LoadReport, Message, Presence, Reason, SlotProgress,
};

fn ids(grants: &[jaypin_core::Grant]) -> Vec<&str> {
    grants.iter().map(|grant| &*grant.id).collect()
}

/// Fills all slots with questions and gives their grants.
fn fill(bed: &mut Bed, count: usize) -> Vec<jaypin_core::Grant> {
    for index in 0..count {
        bed.ask(ask(&format!("fill-{index}"), 1));
        bed.pass(200);
        let grants = bed.grants();
        for grant in &grants {
            bed.first_token(grant);
        }
        bed.out.extend(
            grants
                .into_iter()
                .map(|grant| ("host-a".into(), Message::Grant(grant))),
        );
    }
    bed.grants()
}

// ---------------------------------------------------------------------- tiers

#[test]
fn an_urgent_request_overtakes_all_that_wait() {
    let mut bed = Bed::new(1, 2);
    let running = fill(&mut bed, 1);
    assert_eq!(running.len(), 1, "the second slot is reserved for commands");
    bed.ask(ask("summary", 2));
    bed.ask(ask("question", 1));
    assert!(bed.grants().is_empty());
    bed.ask(ask("command", 0));
    assert_eq!(ids(&bed.grants()), ["command"]);
}

#[test]
fn the_lowest_tier_is_shed_first_and_told_when_to_return() {
    let cfg = Config {
        max_waiting: 2,
        ..Config::default()
    };
    let mut bed = Bed::with(1, 2, &cfg);
    fill(&mut bed, 1);
    for (id, tier) in [("s1", 2), ("s2", 2), ("q1", 1), ("q2", 1)] {
        bed.ask(ask(id, tier));
    }
    let refusals = bed.refusals();
    let shed: Vec<_> = refusals.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(shed, ["s2", "s1"]);
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

/// Questions arrive faster than they can be served for as long as they like. Herd
/// summaries would never start, though the rule promises them a tenth of the work.
#[test]
fn a_minimum_is_served_beside_a_flood_of_higher_work() {
    let mut bed = Bed::new(1, 2);
    let mut running = fill(&mut bed, 1);
    for index in 0..20 {
        bed.ask(ask(&format!("summary-{index}"), 2));
    }
    let mut summaries = 0;
    for index in 0..100 {
        bed.ask(ask(&format!("question-{index}"), 1));
        for grant in std::mem::take(&mut running) {
            bed.finish(&grant, 20, 100);
        }
        running = bed.grants();
        summaries += ids(&running)
            .iter()
            .filter(|id| id.starts_with("summary"))
            .count();
        for grant in running.clone() {
            bed.first_token(&grant);
        }
        bed.pass(5);
        running.extend(bed.grants());
    }
    assert!((8..=12).contains(&summaries), "{summaries} of 100");
}

/// Summaries hold their slots for seconds. Given every slot that is free for a moment,
/// they leave questions to what questions free, and each burst of questions is refused
/// while summaries run.
#[test]
fn deferrable_work_leaves_slots_for_the_arrivals_of_urgent_work() {
    let steps_of = |grant: &jaypin_core::Grant| {
        if grant.id.starts_with("question") {
            4
        } else {
            60
        }
    };
    let mut bed = Bed::new(2, 8);
    let mut running: Vec<(u64, jaypin_core::Grant)> = Vec::new();
    let mut late = 0;
    for step in 0..200_u64 {
        let (over, still) = running.into_iter().partition(|(end, _)| *end <= step);
        running = still;
        for (_, grant) in over {
            let is_question = grant.id.starts_with("question");
            let (tokens, millis) = if is_question { (20, 400) } else { (300, 6_000) };
            bed.finish(&grant, tokens, millis);
        }
        bed.ask(ask(&format!("question-{step}"), 1));
        for index in 0..4 {
            let mut summary = ask(&format!("summary-{step}-{index}"), 2);
            summary.max_tokens = 300;
            bed.ask(summary);
        }
        let grants = bed.grants();
        let name = format!("question-{step}");
        let served = grants.iter().any(|grant| *grant.id == *name);
        late += u32::from(!served && step >= 100);
        bed.pass(20);
        for grant in grants {
            bed.first_token(&grant);
            let held = steps_of(&grant);
            running.push((step + held, grant));
        }
        bed.pass(80);
        for grant in bed.grants() {
            bed.first_token(&grant);
            running.push((step + steps_of(&grant), grant));
        }
    }
    assert_eq!(late, 0, "of 100 questions");
}

// ---------------------------------------------------------------------- deadlines

/// All slots run long answers and a question arrives that can only come too late. Were
/// it kept, its caller would wait for nothing, and a late start would waste a prefill.
#[test]
fn a_request_that_can_only_be_late_is_refused_at_once() {
    let mut bed = Bed::new(1, 2);
    fill(&mut bed, 1);
    let mut waiting = 0;
    for index in 0..400 {
        let mut question = ask(&format!("q{index}"), 1);
        question.max_tokens = 400;
        bed.ask(question);
        waiting = bed.scheduler.waiting_count();
    }
    assert!(waiting < 100, "{waiting} wait");
    let refusals = bed.refusals();
    assert_eq!(refusals.len(), 400 - waiting);
    assert!(
        refusals
            .iter()
            .all(|(_, refusal)| refusal.reason == Reason::TooLate)
    );
}

#[test]
fn what_waited_too_long_is_refused_before_it_wastes_a_prefill() {
    let mut bed = Bed::new(1, 2);
    fill(&mut bed, 1);
    bed.ask(ask("q", 1));
    bed.pass(2_500);
    let refusals = bed.refusals();
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].1.reason, Reason::TooLate);
    assert_eq!(bed.scheduler.waiting_count(), 0);
}

// ---------------------------------------------------------------------- accounts

#[test]
fn waiting_work_is_served_by_shares() {
    let mut bed = Bed::new(1, 2);
    let mut running = fill(&mut bed, 1);
    for index in 0..40 {
        bed.ask(ask(&format!("large-{index}"), 2));
    }
    for index in 0..40 {
        let mut small = ask(&format!("small-{index}"), 2);
        small.account = "small".into();
        bed.ask(small);
    }
    let mut order = Vec::new();
    for _ in 0..40 {
        for grant in std::mem::take(&mut running) {
            bed.finish(&grant, 20, 100);
        }
        running = bed.grants();
        for grant in running.clone() {
            order.push(grant.id.to_string());
            bed.first_token(&grant);
        }
        bed.pass(5);
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
    let mut bed = Bed::new(2, 8);
    for index in 0..3 {
        let mut capped = ask(&format!("c{index}"), 1);
        capped.account = "capped".into();
        bed.ask(capped);
    }
    assert_eq!(bed.grants().len(), 2);
    let refusals = bed.refusals();
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].1.reason, Reason::OverLimit);
    assert_eq!(refusals[0].1.rule_line, Some(8));
}

#[test]
fn an_account_over_its_rate_is_refused_until_the_bucket_fills() {
    let mut bed = Bed::new(2, 8);
    let mut served = 0;
    for index in 0..100 {
        let mut capped = ask(&format!("c{index}"), 1);
        capped.account = "capped".into();
        bed.ask(capped);
        for grant in bed.grants() {
            served += 1;
            bed.first_token(&grant);
            bed.finish(&grant, 20, 10);
        }
        bed.pass(100);
    }
    // 1,000 tokens a second over 10 s and a burst of 2 s, in requests of 120 tokens.
    assert!((95..=101).contains(&served), "{served} served");
}

// ---------------------------------------------------------------------- unlike engines

#[test]
fn the_faster_engine_gets_the_work() {
    let mut bed = Bed::new(2, 8);
    for index in 0..20 {
        let grant_gap = |backend: &str| if backend == "engine-0" { 10 } else { 40 };
        bed.ask(ask(&format!("r{index}"), 1));
        let grant = bed.grants().pop().expect("a grant");
        bed.pass(20);
        bed.first_token(&grant);
        let streaming = 19 * grant_gap(&grant.backend);
        bed.pass(streaming);
        bed.finish(&grant, 20, 20 + streaming);
    }
    let fast = bed.run_one(ask("last", 1), 20, 10);
    assert_eq!(&*fast.backend, "engine-0");
    let gap = |name| {
        bed.scheduler
            .model(name)
            .expect("a model")
            .token_gaps
            .gap(1)
    };
    assert!(gap("engine-0") < gap("engine-1"));
}

/// An engine becomes five times slower. Its timings say so only when first tokens
/// arrive, which is late; until then it would draw work, for it looks idle.
#[test]
fn an_overdue_first_token_stops_further_grants() {
    let mut bed = Bed::new(1, 8);
    bed.ask(ask("r0", 1));
    assert_eq!(bed.grants().len(), 1);
    bed.pass(400);
    bed.ask(ask("r1", 1));
    assert!(bed.grants().is_empty());
}

#[test]
fn a_lost_call_rests_the_engine_and_tries_it_with_one() {
    let mut bed = Bed::new(1, 8);
    bed.ask(ask("r0", 2));
    let grant = bed.grants().pop().expect("a grant");
    bed.lose(&grant);
    bed.ask(ask("r1", 2));
    bed.ask(ask("r2", 2));
    bed.pass(500);
    assert!(bed.grants().is_empty());
    bed.pass(600);
    assert_eq!(ids(&bed.grants()), ["r1"]);
}

#[test]
fn a_report_of_leaving_stops_grants_and_a_report_of_idleness_leads_nothing() {
    let mut bed = Bed::new(1, 2);
    fill(&mut bed, 1);
    let mut report = LoadReport {
        backend: "engine-0".into(),
        running: 0,
        waiting: 0,
        leaving: false,
        age: Duration::from_secs(5),
    };
    bed.scheduler.apply_load_report(&report, bed.now);
    bed.ask(ask("q", 1));
    bed.pass(10);
    assert!(
        bed.grants().is_empty(),
        "an old report of idleness frees nothing"
    );
    report.leaving = true;
    bed.scheduler.apply_load_report(&report, bed.now);
    bed.ask(ask("command", 0));
    assert!(bed.grants().is_empty());
}

// ---------------------------------------------------------------------- prefixes

#[test]
fn a_cached_prefix_draws_its_requests() {
    let mut bed = Bed::new(4, 8);
    let mut places = Vec::new();
    for index in 0..6 {
        let mut req = ask(&format!("r{index}"), 1);
        req.prompt_tokens = 1_000;
        req.prefixes = vec![7, 8, 9, 10];
        places.push(bed.run_one(req, 100, 20).backend);
    }
    assert!(places.iter().all(|place| *place == places[0]));
}

// ---------------------------------------------------------------------- owners

/// The grant's message is lost with a link. The slot would stay counted for ever, and
/// the shard would lose capacity with every such loss.
#[test]
fn an_unused_grant_is_asked_after_and_taken_back() {
    let mut bed = Bed::new(1, 2);
    bed.ask(ask("r0", 1));
    let grant = bed.grants().pop().expect("a grant");
    bed.pass(4_000);
    assert!(bed.confirms().is_empty());
    bed.pass(1_500);
    assert_eq!(bed.confirms(), [grant.number]);
    bed.progress(&grant, SlotProgress::Returned);
    assert_eq!(bed.scheduler.running_count(), 0);
}

/// A host dies with streams running. Its engines go on for a while, so its slots can't
/// be given away at once; but they must be given away, or the shard starves.
#[test]
fn a_lost_owners_slots_come_back_once_its_engines_had_time() {
    let mut bed = Bed::new(1, 2);
    bed.ask(ask("r0", 1));
    assert_eq!(bed.grants().len(), 1);
    let owner: HostId = "host-a".into();
    bed.scheduler.mark_owner_lost(&owner, bed.now);
    bed.pass(1_000);
    assert_eq!(bed.scheduler.running_count(), 1);
    bed.pass(2_000);
    assert_eq!(bed.scheduler.running_count(), 0);
}

#[test]
fn a_repeated_ask_is_not_granted_twice() {
    let mut bed = Bed::new(1, 8);
    bed.ask(ask("r0", 1));
    bed.ask(ask("r0", 1));
    assert_eq!(bed.grants().len(), 1);
    assert_eq!(bed.scheduler.running_count(), 1);
}

#[test]
fn a_new_scheduler_counts_what_owners_report_before_it_grants() {
    let mut bed = Bed::new(1, 2);
    let cfg = Config::default();
    let rules = bed_rules();
    let mut scheduler = jaypin_core::Scheduler::new(shard(), &cfg, rules, bed.now);
    scheduler.set_backends([record(0, 2)].iter(), bed.now);
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
    scheduler.submit(&owner, ask("r0", 1), bed.now, &mut bed.out);
    scheduler.adopt_in_flight(&owner, entries.into(), bed.now);
    bed.now += cfg.rebuild_window;
    scheduler.tick(bed.now, &mut bed.out);
    assert!(bed.grants().is_empty());
    assert_eq!(scheduler.running_count(), 2);
}

fn bed_rules() -> std::sync::Arc<jaypin_core::RuleIndex> {
    let rules = jaypin_rules::parse(common::RULES).expect("rules");
    std::sync::Arc::new(jaypin_core::RuleIndex::new(rules.into()))
}

#[test]
fn a_leaving_engine_gets_nothing_new() {
    let mut bed = Bed::new(2, 8);
    let mut leaving = record(0, 8);
    leaving.presence = Presence::Leaving;
    bed.scheduler
        .set_backends([leaving, record(1, 8)].iter(), bed.now);
    for index in 0..3 {
        bed.ask(ask(&format!("r{index}"), 1));
    }
    let grants = bed.grants();
    assert_eq!(grants.len(), 3);
    assert!(grants.iter().all(|grant| &*grant.backend == "engine-1"));
}

// ---------------------------------------------------------------------- explained

#[test]
fn a_grant_names_what_was_weighed() {
    let mut bed = Bed::new(3, 8);
    bed.ask(ask("r0", 1));
    insta::assert_debug_snapshot!(bed.grants());
}

#[test]
fn a_refusal_names_its_rule() {
    let mut bed = Bed::new(1, 2);
    fill(&mut bed, 1);
    let mut question = ask("q", 1);
    question.response_due_in = Duration::from_millis(100);
    bed.ask(question);
    insta::assert_debug_snapshot!(bed.refusals());
}
