//! Draws all arrivals of a run in advance; equal seeds give equal requests.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Mix;

/// Prompt characters per token, as the stand-in engine counts them.
const CHARS_PER_TOKEN: usize = jaypin_standin::CHARS_PER_TOKEN;

/// A planned request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Index in the order of arrival.
    pub index: usize,
    /// Arrival time, relative to the start of the load.
    pub at: Duration,
    /// Index of the account in [`Mix::accounts`].
    pub account: usize,
    /// Random number that selects the host.
    pub draw: u64,
    /// Content of the request.
    pub work: Work,
}

/// Content of a request.
#[derive(Debug, Clone)]
pub enum Work {
    /// A text request.
    Text {
        /// Index of the kind in [`Mix::texts`].
        class: usize,
        /// Number of the shared prompt prefix, below [`Mix::prefixes`].
        prefix: u32,
        /// Number of prompt tokens.
        prompt: usize,
        /// Number of answer tokens.
        answer: u64,
    },
    /// A plain call.
    Plain {
        /// Index of the kind in [`Mix::plain`].
        call: usize,
    },
}

/// Draws the arrivals within `length` as a Poisson process.
///
/// Plain calls come in addition to `texts_per_second`, in the ratio that the mix states.
#[must_use]
pub fn plan(mix: &Mix, texts_per_second: f64, length: Duration, seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let rate = texts_per_second * (1.0 + mix.plain_per_text);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let share = rng.random::<f64>();
        at -= (1.0 - share).ln() / rate;
        if at >= length.as_secs_f64() {
            return arrivals;
        }
        arrivals.push(Arrival {
            index: arrivals.len(),
            at: Duration::from_secs_f64(at),
            account: pick_weighted(mix.accounts.iter().map(|account| account.share), &mut rng),
            draw: rng.random(),
            work: draw_work(mix, &mut rng),
        });
    }
}

fn draw_work(mix: &Mix, rng: &mut ChaCha8Rng) -> Work {
    let plain_share = mix.plain_per_text / (1.0 + mix.plain_per_text);
    if rng.random::<f64>() < plain_share {
        let call = pick_weighted(mix.plain.iter().map(|call| call.share), rng);
        return Work::Plain { call };
    }
    let class = pick_weighted(mix.texts.iter().map(|class| class.share), rng);
    let kind = &mix.texts[class];
    Work::Text {
        class,
        prefix: rng.random_range(0..mix.prefixes),
        prompt: to_token_count(kind.prompt.draw(rng)),
        answer: to_token_count(kind.answer.draw(rng)) as u64,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token counts are small and positive"
)]
fn to_token_count(tokens: f64) -> usize {
    tokens as usize
}

/// Picks an index at random, weighted by shares that sum to one.
fn pick_weighted(shares: impl ExactSizeIterator<Item = f64>, rng: &mut ChaCha8Rng) -> usize {
    let last = shares.len() - 1;
    let mut remaining = rng.random::<f64>();
    for (index, share) in shares.enumerate() {
        remaining -= share;
        if remaining < 0.0 {
            return index;
        }
    }
    last
}

/// Returns the prompt text: a prefix shared within account and kind, then text unique to
/// the request. It is empty for a plain call.
#[must_use]
pub fn prompt_text(mix: &Mix, arrival: &Arrival) -> String {
    let Work::Text {
        class,
        prefix,
        prompt,
        ..
    } = arrival.work
    else {
        return String::new();
    };
    let kind = &mix.texts[class];
    let account = mix.accounts[arrival.account].name;
    let chars = prompt * CHARS_PER_TOKEN;
    let shared = scale_length(chars, kind.shared_prefix);
    let mut text = String::with_capacity(chars);
    fill(
        &mut text,
        &format!("{account} {} {prefix} ", kind.tier),
        shared,
    );
    fill(&mut text, &format!("{} ", arrival.index), chars);
    text
}

#[expect(clippy::cast_precision_loss, reason = "lengths are small")]
fn scale_length(chars: usize, share: f64) -> usize {
    to_token_count(chars as f64 * share)
}

fn fill(text: &mut String, words: &str, length: usize) {
    while text.len() < length {
        text.push_str(words);
    }
    text.truncate(length);
}
