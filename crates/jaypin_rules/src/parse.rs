//! From the text of a rule file to a [`RuleSet`], or to everything that is wrong with it.

use std::time::Duration;

use serde::Deserialize;

use crate::rule::{
    AccountRule, CallerRule, FencingRule, LimitRule, Origin, QuarantineRule, Repeat, RouteRule,
    ServiceKind, ServiceRule, TierRule,
};
use crate::{Mistake, RuleSet};

/// What a comment has to say to name a requester.
const ASKED_BY: &str = "# asked by:";

/// Parses a rule file as a whole.
///
/// # Errors
/// Gives every mistake found; a file with a single mistake is refused whole.
pub fn parse(text: &str) -> Result<RuleSet, Vec<Mistake>> {
    let mut rules = RuleSet::default();
    let mut mistakes = Vec::new();
    for (number, line) in (1..).zip(text.lines()) {
        if is_blank(line) {
            continue;
        }
        if let Err(mistake) = parse_line(&mut rules, number, line) {
            mistakes.push(mistake);
        }
    }
    rules.tiers.sort_by_key(|tier| tier.rank);
    if mistakes.is_empty() {
        Ok(rules)
    } else {
        Err(mistakes)
    }
}

fn is_blank(line: &str) -> bool {
    let trimmed = line.trim();
    trimmed.is_empty() || trimmed.starts_with('#')
}

fn parse_line(rules: &mut RuleSet, number: u32, line: &str) -> Result<(), Mistake> {
    let Some((body, requester)) = line.rsplit_once(ASKED_BY) else {
        return Err(Mistake::new(
            number,
            1,
            format!("expected a comment `{ASKED_BY} WHO`"),
        ));
    };
    let origin = Origin {
        line: number,
        asked_by: requester.trim().to_owned(),
    };
    if origin.asked_by.is_empty() {
        return Err(Mistake::new(
            number,
            1,
            format!("nobody is named after `{ASKED_BY}`"),
        ));
    }
    let parsed: Vec<RawRule> = serde_yaml_ng::from_str(body).map_err(|error| {
        let column = error.location().map_or(1, |place| place.column());
        Mistake::new(
            number,
            u32::try_from(column).unwrap_or(1),
            error.to_string(),
        )
    })?;
    for raw in parsed {
        add(rules, raw, origin.clone());
    }
    Ok(())
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum RawRule {
    Tier(RawTier),
    Route(RawRoute),
    Service(RawService),
    Limit(RawLimit),
    Caller(RawCaller),
    Account(RawAccount),
    Fencing(RawFencing),
    Quarantine(RawQuarantine),
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawTier {
    tier: String,
    rank: u8,
    first_token_ms: u64,
    gap_ms: u64,
    whole_ms: u64,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    reserve: u32,
    #[serde(default)]
    minimum_percent: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    service: String,
    kind: RawKind,
    #[serde(default)]
    models: Vec<String>,
    tier: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RawKind {
    Engine,
    Plain,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRoute {
    route: String,
    service: String,
    tier: Option<String>,
    repeat: RawRepeat,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RawRepeat {
    Idempotent,
    Never,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAccount {
    account: String,
    #[serde(default = "one")]
    share: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCaller {
    caller: String,
    account: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawLimit {
    limit: String,
    tokens_per_second: Option<f64>,
    concurrent: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFencing {
    fencing: String,
    checked: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct RawQuarantine {
    quarantine: u32,
    hold_ms: u64,
}

fn one() -> f64 {
    1.0
}

fn add(rules: &mut RuleSet, raw: RawRule, origin: Origin) {
    match raw {
        RawRule::Tier(raw) => rules.tiers.push(TierRule {
            name: raw.tier,
            rank: raw.rank,
            first_token: Duration::from_millis(raw.first_token_ms),
            gap: Duration::from_millis(raw.gap_ms),
            whole: Duration::from_millis(raw.whole_ms),
            weight: raw.weight,
            reserve: raw.reserve,
            minimum_percent: raw.minimum_percent,
            origin,
        }),
        RawRule::Service(raw) => rules.services.push(ServiceRule {
            name: raw.service,
            kind: match raw.kind {
                RawKind::Engine => ServiceKind::Engine,
                RawKind::Plain => ServiceKind::Plain,
            },
            models: raw.models,
            tier: raw.tier,
            origin,
        }),
        RawRule::Route(raw) => rules.routes.push(RouteRule {
            route: raw.route,
            service: raw.service,
            tier: raw.tier,
            repeat: match raw.repeat {
                RawRepeat::Idempotent => Repeat::Idempotent,
                RawRepeat::Never => Repeat::Never,
            },
            origin,
        }),
        RawRule::Account(raw) => {
            rules.accounts.push(AccountRule {
                name: raw.account,
                share: raw.share,
                origin,
            });
        }
        RawRule::Caller(raw) => {
            rules.callers.push(CallerRule {
                digest: raw.caller,
                account: raw.account,
                origin,
            });
        }
        RawRule::Limit(raw) => rules.limits.push(LimitRule {
            account: raw.limit,
            tokens_per_second: raw.tokens_per_second,
            concurrent: raw.concurrent,
            origin,
        }),
        RawRule::Fencing(raw) => rules.fencing.push(FencingRule {
            service: raw.fencing,
            checked: raw.checked,
            origin,
        }),
        RawRule::Quarantine(raw) => {
            rules.quarantine = QuarantineRule {
                strikes: raw.quarantine,
                hold: Duration::from_millis(raw.hold_ms),
                origin,
            };
        }
    }
}
