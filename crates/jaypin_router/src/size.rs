//! Relative times for which requests hold their slots.
//!
//! Answers differ a hundredfold in length, and the longest tenth takes more than half of all slot
//! time. When more requests arrive than the fleet can serve, refusing at random would refuse many
//! short requests for each long one that is served.

use std::collections::HashMap;

use jaypin_core::ServiceId;

use crate::Rank;

/// Number of prompt tokens that take as long as one token of an answer: engines read prompts at
/// some sixty tokens per millisecond and make a token in some three and a half milliseconds.
const PROMPT_TOKENS_PER_STEP: f64 = 200.0;
/// Weight of one request in the moving averages: about the last fifty count.
const MEAN_WEIGHT: f64 = 0.02;

/// Expected sizes of requests, as means by service and by rank within it.
#[derive(Debug, Default)]
pub struct Sizes {
    of_service: HashMap<ServiceId, f64>,
    of_rank: HashMap<(ServiceId, Rank), f64>,
}

impl Sizes {
    /// Records a request and returns its size relative to the baseline, which counts as 1.
    ///
    /// The baseline is the mean of its rank, or that of the service where it is greater. With the
    /// mean of the rank alone, requests of a short kind would count as average although they are
    /// twice as short as those of the next kind; with the mean of the service alone, a rank whose
    /// requests are all long would be refused before a lower one.
    pub fn relative(
        &mut self,
        service: &ServiceId,
        rank: Rank,
        prompt_tokens: u32,
        answer_tokens: u32,
    ) -> f64 {
        let size = steps(prompt_tokens, answer_tokens);
        let of_service = update_mean(&mut self.of_service, service.clone(), size);
        let of_rank = update_mean(&mut self.of_rank, (service.clone(), rank), size);
        size / of_service.max(of_rank).max(1.0)
    }

    /// Returns the size of a request relative to the mean of its rank in the service.
    #[must_use]
    pub fn relative_to_rank(
        &self,
        service: &ServiceId,
        rank: Rank,
        prompt_tokens: u32,
        answer_tokens: u32,
    ) -> f64 {
        let of_rank = self.of_rank.get(&(service.clone(), rank));
        let size = steps(prompt_tokens, answer_tokens);
        of_rank.map_or(1.0, |mean| size / mean.max(1.0))
    }
}

fn steps(prompt_tokens: u32, answer_tokens: u32) -> f64 {
    f64::from(answer_tokens) + f64::from(prompt_tokens) / PROMPT_TOKENS_PER_STEP
}

fn update_mean<K: std::hash::Hash + Eq>(means: &mut HashMap<K, f64>, key: K, size: f64) -> f64 {
    let mean = means.entry(key).or_insert(size);
    *mean += MEAN_WEIGHT * (size - *mean);
    *mean
}
