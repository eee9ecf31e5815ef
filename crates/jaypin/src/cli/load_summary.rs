//! `jaypin explain --all --log`: who was asked, served and refused, second by second.
//!
//! A single refusal says what it rested on. Whether the fleet refused the right ones shows
//! only beside what it served in the same second.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::BufRead;

use jiff::Timestamp;
use serde::Deserialize;

use super::{Failure, Outcome};

/// A line of an entry host's log about the end of a call or of a request.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct CallLine {
    msg: String,
    time: String,
    outcome: String,
    backend: String,
    account: String,
    /// Ranks of account and route; empty for requests that were refused before they had one.
    rank: String,
    /// Milliseconds since the request arrived.
    ms: u64,
    why: String,
}

/// What became of requests.
#[derive(Debug, Default, Clone)]
struct Tally {
    sent: u32,
    served: u32,
    refused: u32,
    /// Requests that were refused after more than a few milliseconds.
    waited: u32,
    /// Seconds for which calls held their slots.
    held: f64,
    /// Refusals and failures by what they rested on.
    grounds: BTreeMap<String, u32>,
}

/// Milliseconds from which a refused request is taken as one that waited.
const WAITED_MS: u64 = 10;
/// Accounts that are listed: those that were refused most.
const ACCOUNTS_LISTED: usize = 10;

/// All that a log says of requests.
#[derive(Debug, Default)]
struct Summary {
    ranks: BTreeMap<String, Tally>,
    accounts: BTreeMap<String, Tally>,
    /// By second since the Unix epoch, then by rank.
    seconds: BTreeMap<i64, BTreeMap<String, Tally>>,
}

impl Tally {
    fn take(&mut self, line: &CallLine) {
        let was_sent = !line.backend.is_empty();
        self.sent += u32::from(was_sent);
        if line.outcome == "complete" {
            self.served += 1;
        } else if !was_sent {
            self.refused += 1;
            self.waited += u32::from(line.ms >= WAITED_MS);
        }
        if line.outcome != "complete" {
            *self.grounds.entry(line.ground()).or_default() += 1;
        }
    }

    fn row(&self) -> String {
        let Self {
            sent,
            served,
            refused,
            waited,
            ..
        } = self;
        let mut grounds: Vec<_> = self.grounds.iter().collect();
        grounds.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        let mut row = format!("{sent:>6} {served:>7} {refused:>8} {waited:>7}  ");
        for (ground, count) in grounds {
            let _ = write!(row, " {ground} {count};");
        }
        row
    }
}

impl CallLine {
    /// A line of a log; a collector may have put words before it.
    fn read(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let line: Self = serde_json::from_str(&text[start..]).ok()?;
        (line.msg == "request").then_some(line)
    }

    fn ground(&self) -> String {
        if self.why.contains("kept for more urgent") {
            return format!("{} (kept)", self.outcome);
        }
        self.outcome.clone()
    }

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
    fn take(&mut self, line: &CallLine) {
        let rank = if line.rank.is_empty() {
            "-"
        } else {
            &line.rank
        };
        let of_rank = self.ranks.entry(rank.to_owned()).or_default();
        of_rank.take(line);
        if !line.account.is_empty() {
            let of_account = self.accounts.entry(line.account.clone());
            of_account.or_default().take(line);
        }
        let Some(end) = line.end() else {
            return;
        };
        self.tally(end, rank).take(line);
        if !line.backend.is_empty() {
            self.hold(rank, end, line.ms);
        }
    }

    /// Shares the time for which a call held its slot out over the seconds it lasted.
    fn hold(&mut self, rank: &str, end: f64, ms: u64) {
        let ms = u32::try_from(ms).unwrap_or(u32::MAX);
        let mut from = end - f64::from(ms) / 1_000.0;
        while from < end {
            let until = (from.floor() + 1.0).min(end);
            self.tally(from, rank).held += until - from;
            from = until;
        }
    }

    fn tally(&mut self, at: f64, rank: &str) -> &mut Tally {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "seconds since the epoch fit"
        )]
        let second = at.floor() as i64;
        let of_second = self.seconds.entry(second).or_default();
        of_second.entry(rank.to_owned()).or_default()
    }

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
        for (account, tally) in accounts.into_iter().take(ACCOUNTS_LISTED) {
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
                    held,
                    ..
                } = it;
                let _ = write!(text, "  {rank} {served}/{refused} {held:.1}");
            }
            let _ = writeln!(text);
        }
        text
    }
}

/// Prints what a log, or the logs of several hosts together, say of all requests.
pub fn print(log: impl BufRead) -> Outcome {
    let mut summary = Summary::default();
    for line in log.lines() {
        let line = line.map_err(|error| Failure::Failed(error.to_string()))?;
        if let Some(line) = CallLine::read(&line) {
            summary.take(&line);
        }
    }
    if summary.ranks.is_empty() {
        return Err(Failure::Failed(
            "the log says nothing of requests".to_owned(),
        ));
    }
    print!("{}", summary.text());
    Ok(())
}
