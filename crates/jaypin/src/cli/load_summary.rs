//! `jaypin explain --all --log`: requests sent, served and refused, by rank, account and second.
//!
//! The log line of a refusal has the inputs of that decision. Whether the fleet refused the
//! right requests is only visible in comparison with those that it served in the same second.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::BufRead;

use jiff::Timestamp;
use serde::Deserialize;

use super::{Failure, Outcome};

/// A log line of an entry host about the end of a call or of a request.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CallLine {
    msg: String,
    time: String,
    outcome: String,
    backend: String,
    account: String,
    /// Ranks of account and route; empty for a request that was refused before its rank was
    /// determined.
    rank: String,
    /// Milliseconds since the request arrived.
    ms: u64,
    /// Inputs of the decision.
    why: String,
}

/// Numbers of requests and calls by their outcome.
#[derive(Debug, Default, Clone)]
struct Tally {
    /// Calls to backend servers.
    sent: u32,
    served: u32,
    refused: u32,
    /// Requests that were refused after a wait of at least `MIN_WAIT_MS`.
    waited: u32,
    /// Total time for which calls held their slots, in seconds.
    hold_seconds: f64,
    /// Numbers of refusals and failures by their reason.
    reasons: BTreeMap<String, u32>,
}

/// Time from arrival to refusal, in milliseconds, from which a request counts as one that
/// waited.
const MIN_WAIT_MS: u64 = 10;
/// Maximum number of accounts in the output, which lists those with the most refusals.
const MAX_LISTED_ACCOUNTS: usize = 10;

/// All requests of a log.
#[derive(Debug, Default)]
struct Summary {
    ranks: BTreeMap<String, Tally>,
    accounts: BTreeMap<String, Tally>,
    /// By second since the Unix epoch, then by rank.
    seconds: BTreeMap<i64, BTreeMap<String, Tally>>,
}

impl Tally {
    fn add(&mut self, line: &CallLine) {
        let was_sent = !line.backend.is_empty();
        self.sent += u32::from(was_sent);
        if line.outcome == "complete" {
            self.served += 1;
        } else if !was_sent {
            self.refused += 1;
            self.waited += u32::from(line.ms >= MIN_WAIT_MS);
        }
        if line.outcome != "complete" {
            *self.reasons.entry(line.reason()).or_default() += 1;
        }
    }

    /// Formats a row of a table, without its first column.
    fn row(&self) -> String {
        let Self {
            sent,
            served,
            refused,
            waited,
            ..
        } = self;
        let mut reasons: Vec<_> = self.reasons.iter().collect();
        reasons.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        let mut row = format!("{sent:>6} {served:>7} {refused:>8} {waited:>7}  ");
        for (reason, count) in reasons {
            let _ = write!(row, " {reason} {count};");
        }
        row
    }
}

impl CallLine {
    /// Parses a line of a log; returns `None` if it isn't about a request. A log collector may
    /// have added a prefix to the JSON object.
    fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let line: Self = serde_json::from_str(&text[start..]).ok()?;
        (line.msg == "request").then_some(line)
    }

    /// Returns the outcome; a refusal because of slots that are reserved for more urgent requests
    /// is marked as `(kept)`.
    fn reason(&self) -> String {
        if self.why.contains("kept for more urgent") {
            return format!("{} (kept)", self.outcome);
        }
        self.outcome.clone()
    }

    /// Returns the time of the line in seconds since the Unix epoch.
    fn end(&self) -> Option<f64> {
        let time: Timestamp = self.time.parse().ok()?;
        #[expect(
            clippy::cast_precision_loss,
            reason = "milliseconds since the epoch fit a double"
        )]
        Some(time.as_millisecond() as f64 / 1_000.0)
    }
}

impl Summary {
    fn add(&mut self, line: &CallLine) {
        let rank = if line.rank.is_empty() {
            "-"
        } else {
            &line.rank
        };
        let of_rank = self.ranks.entry(rank.to_owned()).or_default();
        of_rank.add(line);
        if !line.account.is_empty() {
            let of_account = self.accounts.entry(line.account.clone());
            of_account.or_default().add(line);
        }
        let Some(end) = line.end() else {
            return;
        };
        self.tally_at(end, rank).add(line);
        if !line.backend.is_empty() {
            self.add_hold_time(rank, end, line.ms);
        }
    }

    /// Adds the time for which a call held its slot to the seconds in which it ran.
    fn add_hold_time(&mut self, rank: &str, end: f64, ms: u64) {
        let ms = u32::try_from(ms).unwrap_or(u32::MAX);
        let mut from = end - f64::from(ms) / 1_000.0;
        while from < end {
            let until = (from.floor() + 1.0).min(end);
            self.tally_at(from, rank).hold_seconds += until - from;
            from = until;
        }
    }

    /// Returns the tally of a rank in the second of the given time.
    fn tally_at(&mut self, at: f64, rank: &str) -> &mut Tally {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "seconds since the epoch fit"
        )]
        let second = at.floor() as i64;
        let of_second = self.seconds.entry(second).or_default();
        of_second.entry(rank.to_owned()).or_default()
    }

    /// Formats the tables.
    fn text(&self) -> String {
        let mut text = String::new();
        let head = "  sent  served  refused  waited   not served by";
        let _ = writeln!(text, "{:<10}{head}", "rank");
        for (rank, tally) in &self.ranks {
            let _ = writeln!(text, "{rank:<10}{}", tally.row());
        }
        let _ = writeln!(text, "\n{:<10}{head}", "account");
        let mut accounts: Vec<_> = self.accounts.iter().collect();
        accounts.sort_by_key(|(_, tally)| std::cmp::Reverse(tally.refused));
        for (account, tally) in accounts.into_iter().take(MAX_LISTED_ACCOUNTS) {
            let _ = writeln!(text, "{account:<10}{}", tally.row());
        }
        let start = self.seconds.keys().next().copied().unwrap_or_default();
        let _ = writeln!(text, "\nsecond  by rank: served/refused, slots held");
        for (second, ranks) in &self.seconds {
            let _ = write!(text, "{:>6} ", second - start);
            for (rank, it) in ranks {
                let Tally {
                    served,
                    refused,
                    hold_seconds,
                    ..
                } = it;
                let _ = write!(text, "  {rank} {served}/{refused} {hold_seconds:.1}");
            }
            let _ = writeln!(text);
        }
        text
    }
}

/// Prints the summary of all requests in a log, or in the concatenated logs of several hosts.
pub fn print(log: impl BufRead) -> Outcome {
    let mut summary = Summary::default();
    for line in log.lines() {
        let line = line.map_err(|error| Failure::Failed(error.to_string()))?;
        if let Some(line) = CallLine::parse(&line) {
            summary.add(&line);
        }
    }
    if summary.ranks.is_empty() {
        return Err(Failure::Failed(
            "the log has no line about a request".to_owned(),
        ));
    }
    print!("{}", summary.text());
    Ok(())
}
