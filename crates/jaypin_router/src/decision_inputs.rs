//! The inputs of a decision, for logs and explanations.

use std::fmt;
use std::time::Duration;

use jaypin_core::AccountId;

use crate::{FleetLevel, QuotaLevel, QuotaReserve, SlotReserve, SoftwareVersion};

/// The inputs of one decision, as they were when it was made.
#[derive(Debug, Clone, PartialEq)]
pub enum DecisionInputs {
    /// The configuration, or the lack of one that is known to be the newest.
    Configuration {
        /// Its version; 0 before there is one.
        version: u64,
        /// Time since it was known to be the newest; absent if it never was.
        proof_age: Option<Duration>,
    },
    /// The host is leaving.
    Leaving,
    /// The quota of an account.
    Quota {
        /// The account.
        account: AccountId,
        /// Units that the request needs.
        units: f64,
        /// Units that are reserved for the account's more urgent requests.
        reserved: QuotaReserve,
        /// What the account has left of the share of this host's cell; absent if it is not limited.
        level: Option<QuotaLevel>,
        /// What it has left in the whole fleet.
        fleet: FleetLevel,
    },
    /// Backend servers crashed while running the same content, or the same part of a prompt.
    Crashes {
        /// Number of backend servers that crashed.
        crash_count: usize,
    },
    /// This host can't connect to backend servers, and a peer can.
    CutOff {
        /// Backend servers to which connections failed in a row.
        unreached: usize,
    },
    /// The best backend server that was found.
    Place {
        /// Estimated time to the first event there.
        first_event: Duration,
        /// Limit of the time to the first event.
        limit: Duration,
        /// Estimated wait for a slot there.
        slot_wait: Duration,
        /// Limit of the wait for a slot.
        slot_limit: Duration,
        /// Requests that run there, from all hosts.
        running: u32,
        /// Prompt tokens that have to be read there first.
        tokens_ahead: u32,
        /// Fraction of the time for the whole answer that it is expected to take; absent if
        /// unknown.
        time_fraction: Option<f64>,
        /// Probability that the answer is late because of a pause, or cut off at its timeout; absent if
        /// nothing is known of its length.
        late_risk: Option<f64>,
        /// Whether it was unreachable, failing or overdue with an answer.
        is_unhealthy: bool,
        /// Tokens of the prompt that it is assumed to cache, if the request is sent there.
        held_tokens: u32,
        /// Its version, if that is a canary version.
        version: Option<SoftwareVersion>,
    },
    /// The free slots are reserved for more urgent requests.
    Reserved {
        /// Free slots of the service.
        free: u32,
        /// Reserved slots.
        reserve: SlotReserve,
    },
    /// No backend server of the service accepts requests now.
    NoUsableBackend {
        /// Backend servers whose rate limit leaves nothing for this host at the moment.
        limited: usize,
        /// Backend servers that asked this host to back off.
        backing_off: usize,
    },
    /// The version that began the stream.
    StreamVersion,
    /// The time for the answer is over.
    Deadline,
    /// The calls that were made for the request.
    Call {
        /// Number of calls in which it may have run.
        possible_runs: u32,
        /// Number of backend servers that it was sent to.
        attempted: usize,
    },
}

impl DecisionInputs {
    /// Returns the tokens of the prompt that the chosen backend server is assumed to cache.
    #[must_use]
    pub fn held_tokens(&self) -> u32 {
        match self {
            Self::Place { held_tokens, .. } => *held_tokens,
            _ => 0,
        }
    }

    /// Sets these tokens for the choice of a backend server.
    pub(crate) fn set_held_tokens(&mut self, tokens: u32) {
        if let Self::Place { held_tokens, .. } = self {
            *held_tokens = tokens;
        }
    }
}

impl fmt::Display for DecisionInputs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Configuration { version, proof_age } => {
                write!(f, "configuration {version}")?;
                proof_age.map_or(Ok(()), |age| {
                    write!(f, ", proved {} ms ago", age.as_millis())
                })
            }
            Self::Leaving => write!(f, "this host leaves"),
            Self::Quota {
                account,
                units,
                reserved,
                level,
                fleet,
            } => {
                write!(f, "{units:.0} units for `{account}`")?;
                if reserved.units >= 1.0 {
                    write!(f, ", {reserved}")?;
                }
                if let FleetLevel::Low(left) = fleet {
                    write!(f, ", {left:.0} left in all cells")?;
                }
                level.map_or(Ok(()), |it| {
                    let QuotaLevel {
                        left,
                        used,
                        allowed,
                    } = it;
                    write!(f, ", {left:.0} left, {used:.0} of {allowed:.0} used")
                })
            }
            Self::Crashes { crash_count } => {
                write!(f, "{crash_count} backend servers died under it")
            }
            Self::CutOff { unreached } => {
                write!(f, "{unreached} backend servers unreachable in a row")
            }
            Self::Place {
                first_event,
                limit,
                slot_wait,
                slot_limit,
                running,
                tokens_ahead,
                time_fraction: part_of_time,
                late_risk,
                is_unhealthy: is_in_trouble,
                held_tokens,
                version,
            } => {
                let (first, limit) = (first_event.as_millis(), limit.as_millis());
                let slot = match slot_wait.as_millis() {
                    0 => String::new(),
                    wait if *slot_limit == Duration::MAX => format!(", slot in {wait} ms"),
                    wait => format!(", slot in {wait} ms of {}", slot_limit.as_millis()),
                };
                let answer = answer_text(*part_of_time, *late_risk);
                let notes = place_notes(*is_in_trouble, *held_tokens);
                write!(
                    f,
                    "first event in {first} ms of {limit}{slot}, {running} running, {tokens_ahead} tokens ahead{answer}{notes}"
                )?;
                version
                    .as_ref()
                    .map_or(Ok(()), |it| write!(f, ", trial of version {it}"))
            }
            Self::Reserved { free, reserve } => write!(f, "{free} slots free, {reserve}"),
            Self::NoUsableBackend {
                limited,
                backing_off,
            } => {
                write!(f, "no backend server takes requests")?;
                if *limited > 0 {
                    write!(f, ", {limited} state a rate limit")?;
                }
                if *backing_off > 0 {
                    write!(f, ", {backing_off} requested backoff")?;
                }
                Ok(())
            }
            Self::StreamVersion => {
                write!(f, "a stream goes on only at the version that began it")
            }
            Self::Deadline => write!(f, "the time for the answer is over"),
            Self::Call {
                possible_runs,
                attempted,
            } => {
                write!(
                    f,
                    "{attempted} backend servers tried, may have run on {possible_runs}"
                )
            }
        }
    }
}

fn answer_text(time_fraction: Option<f64>, late_risk: Option<f64>) -> String {
    let time = time_fraction.map_or(String::new(), |it| {
        format!(", answer in {:.0}% of its time", it * 100.0)
    });
    let risk = late_risk.map_or(String::new(), |it| {
        format!(", late or cut with {:.0}%", it * 100.0)
    });
    time + &risk
}

/// Returns what is not true of every chosen backend server.
fn place_notes(is_in_trouble: bool, held_tokens: u32) -> String {
    let trouble = if is_in_trouble { ", in trouble" } else { "" };
    match held_tokens {
        0 => trouble.to_owned(),
        tokens => format!("{trouble}, {tokens} tokens cached"),
    }
}
