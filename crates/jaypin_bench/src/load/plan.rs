//! Arrivals drawn from a seed before the run: the same seed, the same requests.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Mix;

/// Characters of a prompt that count as one token.
const CHARS_PER_TOKEN: usize = jaypin_standin::CHARS_PER_TOKEN;

/// One request to come.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Number in the order of arrival.
    pub index: usize,
    /// When it comes, from the start of the load.
    pub at: Duration,
    /// Place of its account in the mix.
    pub account: usize,
    /// Random number that picks its host.
    pub draw: u64,
    /// What it asks for.
    pub work: Work,
}

/// What a request asks for.
#[derive(Debug, Clone)]
pub enum Work {
    /// A text.
    Text {
        /// Place of its kind in the mix.
        class: usize,
        /// Which of the shared prompt beginnings it has.
        prefix: u32,
        /// Tokens of the prompt.
        prompt: usize,
        /// Tokens of the answer.
        answer: u64,
    },
    /// A plain call.
    Plain {
        /// Place of its kind in the mix.
        call: usize,
    },
}

/// Draws the arrivals of a time, so many text requests a second, as a Poisson process.
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
            account: pick(mix.accounts.iter().map(|account| account.share), &mut rng),
            draw: rng.random(),
            work: draw_work(mix, &mut rng),
        });
    }
}

fn draw_work(mix: &Mix, rng: &mut ChaCha8Rng) -> Work {
    let plain_share = mix.plain_per_text / (1.0 + mix.plain_per_text);
    if rng.random::<f64>() < plain_share {
        let call = pick(mix.plain.iter().map(|call| call.share), rng);
        return Work::Plain { call };
    }
    let class = pick(mix.texts.iter().map(|class| class.share), rng);
    let kind = &mix.texts[class];
    Work::Text {
        class,
        prefix: rng.random_range(0..mix.prefixes),
        prompt: whole(kind.prompt.draw(rng)),
        answer: whole(kind.answer.draw(rng)) as u64,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token counts are small and positive"
)]
fn whole(tokens: f64) -> usize {
    tokens as usize
}

/// Picks a place by the weights, which are shares of one.
fn pick(shares: impl ExactSizeIterator<Item = f64>, rng: &mut ChaCha8Rng) -> usize {
    let last = shares.len() - 1;
    let mut rest = rng.random::<f64>();
    for (place, share) in shares.enumerate() {
        rest -= share;
        if rest < 0.0 {
            return place;
        }
    }
    last
}

/// Text of a prompt: a beginning shared within account and kind, then its own.
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
    let shared = share_of(chars, kind.shared_prefix);
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
fn share_of(chars: usize, share: f64) -> usize {
    whole(chars as f64 * share)
}

fn fill(text: &mut String, words: &str, upto: usize) {
    while text.len() < upto {
        text.push_str(words);
    }
    text.truncate(upto);
}
