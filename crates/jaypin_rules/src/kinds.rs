//! Parsers for each kind of rule.

use std::time::Duration;

use marked_yaml::types::MarkedScalarNode;

use crate::fields::{CheckContext, Fields};
use crate::line::{RuleLine, column_of};
use crate::nearest::name_hint;
use crate::rule::{
    AccountRule, CallerRule, FencingRule, LimitRule, QuarantineRule, Repeat, RouteRule,
    ServiceKind, ServiceRule, TierRule,
};
use crate::{Mistake, RuleSet};

/// Kinds of rule; the key of a line's first field is the kind of its rule.
const KINDS: [&str; 8] = [
    "tier",
    "service",
    "route",
    "account",
    "caller",
    "limit",
    "fencing",
    "quarantine",
];
/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_LEN: usize = 64;

const MILLISECONDS: &str = "a whole number of milliseconds";
const COUNT: &str = "a whole number";
const DECIMAL: &str = "a number";

/// Parses a rule, adds it to the set and appends its mistakes to `mistakes`.
pub fn read_rule(
    rules: &mut RuleSet,
    line: &RuleLine,
    context: &mut CheckContext,
    mistakes: &mut Vec<Mistake>,
) {
    let first = line.mapping.keys().next();
    let kind = first.map_or("", MarkedScalarNode::as_str);
    let mistakes_before = mistakes.len();
    let mut fields = Fields::new(line, context, mistakes);
    match kind {
        "tier" => rules.tiers.extend(tier(&mut fields, line)),
        "service" => rules.services.extend(service(&mut fields, line)),
        "route" => rules.routes.extend(route(&mut fields, line)),
        "account" => rules.accounts.extend(account(&mut fields, line)),
        "caller" => rules.callers.extend(caller(&mut fields, line)),
        "limit" => rules.limits.extend(limit(&mut fields, line)),
        "fencing" => rules.fencing.extend(fencing(&mut fields, line)),
        "quarantine" => {
            let earlier = rules.quarantine.origin.line;
            if earlier > 0 {
                let message = format!("a quarantine rule already exists in line {earlier}");
                fields.report("quarantine", message);
            }
            if let Some(rule) = quarantine(&mut fields, line) {
                rules.quarantine = rule;
            }
        }
        _ => {
            let span = first.map_or(line.mapping.span(), MarkedScalarNode::span);
            let message = format!(
                "found the kind `{kind}`, expected the first field to be one of `{}`{}",
                KINDS.join("`, `"),
                name_hint(kind, KINDS)
            );
            let column = column_of(span.start());
            mistakes.push(Mistake::new(line.origin.line, column, message));
            return;
        }
    }
    fields.finish();
    let name = line.mapping.get_scalar(kind).map(MarkedScalarNode::as_str);
    if let Some(name) = name.filter(|_| mistakes.len() > mistakes_before) {
        context
            .invalid_rules
            .insert((kind.to_owned(), name.to_owned()));
    }
}

fn tier(fields: &mut Fields<'_>, line: &RuleLine) -> Option<TierRule> {
    let name = fields.name("tier");
    let rank = fields.number("rank", "a rank from 0 to 255");
    let first_token = duration(fields, "first-token-ms");
    let gap = duration(fields, "gap-ms");
    let whole_response = duration(fields, "whole-ms");
    let weight = positive_number(fields, "weight");
    let reserve = fields.number_or("reserve", 0, COUNT);
    let minimum_percent = fields.number_or("minimum-percent", 0, "a percentage from 0 to 100");
    if let (Some(first), Some(whole)) = (first_token, whole_response)
        && whole < first
    {
        let found = format!("{} ms", whole.as_millis());
        let expected = format!("at least `first-token-ms`, {} ms", first.as_millis());
        fields.reject("whole-ms", found, &expected);
    }
    if let Some(percent) = minimum_percent
        && percent > 100
    {
        fields.reject("minimum-percent", percent, "a percentage from 0 to 100");
    }
    Some(TierRule {
        name: name?,
        rank: rank?,
        first_token: first_token?,
        gap: gap?,
        whole_response: whole_response?,
        weight: weight?,
        reserve: reserve?,
        minimum_percent: minimum_percent?,
        origin: line.origin.clone(),
    })
}

fn service(fields: &mut Fields<'_>, line: &RuleLine) -> Option<ServiceRule> {
    let name = fields.name("service");
    let keywords = [
        ("engine", ServiceKind::Engine),
        ("plain", ServiceKind::Plain),
    ];
    let kind = fields.keyword("kind", &keywords);
    let models = fields.names("models");
    let tier = fields.name("tier");
    if kind == Some(ServiceKind::Plain) && !models.is_empty() {
        let message = "`models`: a plain service can't have models".to_owned();
        fields.report("models", message);
    }
    if kind == Some(ServiceKind::Engine) && models.is_empty() {
        let message = "`models`: an engine service needs at least one model".to_owned();
        fields.report("service", message);
    }
    Some(ServiceRule {
        name: name?,
        kind: kind?,
        models,
        tier: tier?,
        origin: line.origin.clone(),
    })
}

fn route(fields: &mut Fields<'_>, line: &RuleLine) -> Option<RouteRule> {
    let expected = "a method and a path, for example `POST /gate`";
    let route = fields.text("route", expected);
    let service = fields.name("service");
    let tier = fields.optional_name("tier");
    let keywords = [("idempotent", Repeat::Idempotent), ("never", Repeat::Never)];
    let repeat = fields.keyword("repeat", &keywords);
    if let Some(text) = route.as_deref().filter(|text| !is_route(text)) {
        fields.reject("route", format!("`{text}`"), expected);
    }
    Some(RouteRule {
        route: route?,
        service: service?,
        tier,
        repeat: repeat?,
        origin: line.origin.clone(),
    })
}

fn account(fields: &mut Fields<'_>, line: &RuleLine) -> Option<AccountRule> {
    let name = fields.name("account");
    let share = positive_number(fields, "share");
    Some(AccountRule {
        name: name?,
        share: share?,
        origin: line.origin.clone(),
    })
}

fn caller(fields: &mut Fields<'_>, line: &RuleLine) -> Option<CallerRule> {
    let expected = "the SHA-256 of the credential in 64 lower-case hexadecimal digits";
    let digest = fields.text("caller", expected);
    let account = fields.name("account");
    if let Some(text) = digest.as_deref().filter(|text| !is_digest(text)) {
        // The text may be the credential itself, so the message does not contain it.
        let found = format!("{} characters that are not a digest", text.chars().count());
        fields.reject("caller", found, expected);
    }
    Some(CallerRule {
        digest: digest?,
        account: account?,
        origin: line.origin.clone(),
    })
}

fn limit(fields: &mut Fields<'_>, line: &RuleLine) -> Option<LimitRule> {
    let account = fields.name("limit");
    let expected = "a number above 0";
    let tokens_per_second = fields.optional_number("tokens-per-second", expected);
    let concurrent = fields.optional_number("concurrent", "a whole number above 0");
    if tokens_per_second.is_some_and(|rate: f64| !is_positive(rate)) {
        fields.reject(
            "tokens-per-second",
            "a limit that allows no requests",
            expected,
        );
    }
    if concurrent == Some(0) {
        let found = "a limit that allows no requests";
        fields.reject("concurrent", found, "a whole number above 0");
    }
    if !fields.has("tokens-per-second") && !fields.has("concurrent") {
        let message = "a limit needs `tokens-per-second`, `concurrent` or both".to_owned();
        fields.report("limit", message);
    }
    Some(LimitRule {
        account: account?,
        tokens_per_second,
        concurrent,
        origin: line.origin.clone(),
    })
}

fn fencing(fields: &mut Fields<'_>, line: &RuleLine) -> Option<FencingRule> {
    let service = fields.name("fencing");
    let checked = fields.number("checked", "`true` or `false`");
    Some(FencingRule {
        service: service?,
        checked: checked?,
        origin: line.origin.clone(),
    })
}

fn quarantine(fields: &mut Fields<'_>, line: &RuleLine) -> Option<QuarantineRule> {
    let crash_limit = fields.number("quarantine", "a number of crashed backend servers above 0");
    let duration = duration(fields, "hold-ms");
    if crash_limit == Some(0) {
        fields.reject(
            "quarantine",
            0,
            "a number of crashed backend servers above 0",
        );
    }
    Some(QuarantineRule {
        crash_limit: crash_limit?,
        duration: duration?,
        origin: line.origin.clone(),
    })
}

fn duration(fields: &mut Fields<'_>, field: &'static str) -> Option<Duration> {
    let value = fields.number(field, MILLISECONDS)?;
    if value == 0 {
        fields.reject(field, 0, "a time above 0 ms");
    }
    Some(Duration::from_millis(value))
}

fn positive_number(fields: &mut Fields<'_>, field: &'static str) -> Option<f64> {
    let value = fields.number_or(field, 1.0, DECIMAL)?;
    if !is_positive(value) {
        fields.reject(field, value, "a number above 0");
    }
    Some(value)
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

fn is_route(text: &str) -> bool {
    let Some((method, path)) = text.split_once(' ') else {
        return false;
    };
    let is_method = !method.is_empty() && method.chars().all(|c| c.is_ascii_uppercase());
    is_method && path.starts_with('/') && !path.contains(char::is_whitespace)
}

/// Checks whether a text is a SHA-256 digest in lower-case hexadecimal digits.
pub fn is_digest(text: &str) -> bool {
    let is_digit = |c: char| matches!(c, '0'..='9' | 'a'..='f');
    text.len() == DIGEST_LEN && text.chars().all(is_digit)
}
