//! Request mixes: the tiers, lengths and shares of the requests that a run generates.
//!
//! Text lengths and the deadlines of overnight summaries are scaled down by the same
//! factor, so that a run of half a minute covers what otherwise takes half an hour.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Rule file of the `lanyang` mix, before its deadlines are scaled.
const LANYANG_RULES: &str = include_str!("../../../../examples/lanyang-rules.yaml");
/// Rule file of the `hanbit` mix, before its deadlines are scaled.
const HANBIT_RULES: &str = include_str!("../../../../examples/hanbit-rules.yaml");
/// Deadlines of overnight summaries: the text in the rule files and its scaled replacement.
const SCALED_DEADLINES: [(&str, &str); 2] = [
    ("first-token-ms: 60000", "first-token-ms: 8000"),
    ("whole-ms: 600000", "whole-ms: 25000"),
];

/// Log-uniform distribution of token counts between two bounds.
#[derive(Debug, Clone, Copy)]
pub struct Lengths {
    /// Least number of tokens.
    pub least: f64,
    /// Greatest number of tokens.
    pub greatest: f64,
}

impl Lengths {
    /// Creates the distribution from its bounds, both in tokens.
    #[must_use]
    pub fn new(least: u32, greatest: u32) -> Self {
        Self {
            least: f64::from(least),
            greatest: f64::from(greatest),
        }
    }

    /// Returns the mean number of tokens.
    #[must_use]
    pub fn mean(self) -> f64 {
        (self.greatest - self.least) / (self.greatest / self.least).ln()
    }

    /// Draws one token count, rounded to a whole number.
    pub fn draw(self, rng: &mut ChaCha8Rng) -> f64 {
        let share = rng.random::<f64>();
        (self.least * (self.greatest / self.least).powf(share)).round()
    }
}

/// A kind of text request.
#[derive(Debug, Clone)]
pub struct TextClass {
    /// Tier that the request names.
    pub tier: &'static str,
    /// Share of all text requests.
    pub share: f64,
    /// Number of prompt tokens.
    pub prompt: Lengths,
    /// Number of answer tokens.
    pub answer: Lengths,
    /// Share of the prompt that is a prefix common to several requests of the account.
    pub shared_prefix: f64,
}

/// A kind of plain call.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// Tier that the rules assign to the call.
    pub tier: &'static str,
    /// Share of all plain calls.
    pub share: f64,
    /// HTTP method.
    pub method: hyper::Method,
    /// Path below the service.
    pub path: &'static str,
    /// Whether the call must not be repeated; it then carries an idempotency key.
    pub never_repeat: bool,
}

/// A client account.
#[derive(Debug, Clone)]
pub struct Account {
    /// Account name; the credential is this name followed by `-secret`.
    pub name: &'static str,
    /// Share of all requests.
    pub share: f64,
}

/// The traffic of one deployment: its accounts and kinds of request.
#[derive(Debug, Clone)]
pub struct Mix {
    /// Name of the mix.
    pub name: &'static str,
    /// Model name in text requests.
    pub model: &'static str,
    /// Name of the service that plain calls address.
    pub plain_service: &'static str,
    /// Text of the rule file, with scaled deadlines.
    pub rules: String,
    /// Client accounts; their shares are unequal.
    pub accounts: Vec<Account>,
    /// Kinds of text request.
    pub texts: Vec<TextClass>,
    /// Kinds of plain call.
    pub plain: Vec<PlainCall>,
    /// Mean number of plain calls per text request.
    pub plain_per_text: f64,
    /// Number of distinct prompt prefixes per account and kind of text request.
    pub prefixes: u32,
}

impl Mix {
    /// Returns the mix with this name, or `None` for an unknown name.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "lanyang" => Some(Self::lanyang()),
            "hanbit" => Some(Self::hanbit()),
            _ => None,
        }
    }

    /// Returns the mix of a milking robot service: commands, status questions, labels and
    /// long overnight summaries.
    #[must_use]
    pub fn lanyang() -> Self {
        Self {
            name: "lanyang",
            model: "cow-small",
            plain_service: "robots",
            rules: scaled(LANYANG_RULES),
            accounts: accounts(["farm-yilan", "farm-luodong", "farm-jiaoxi"]),
            texts: vec![
                text("robot-command", 0.08, (40, 120), (4, 12)),
                text("cow-status", 0.45, (100, 800), (10, 40)),
                text("alert-label", 0.30, (24, 120), (2, 6)),
                text("herd-summary", 0.17, (480, 2_400), (60, 200)),
            ],
            plain: vec![
                command("robot-command", 0.2, "/gate"),
                command("robot-command", 0.2, "/teat-cup"),
                look_up("cow-status", 0.6, "/status"),
            ],
            plain_per_text: 0.3,
            prefixes: 4,
        }
    }

    /// Returns the mix of a newspaper delivery service: route plans, doorstep questions,
    /// labels and complaint summaries.
    #[must_use]
    pub fn hanbit() -> Self {
        Self {
            name: "hanbit",
            model: "rounds-small",
            plain_service: "rounds",
            rules: scaled(HANBIT_RULES),
            accounts: accounts(["chain-north", "chain-south", "chain-east"]),
            texts: vec![
                text("route-plan", 0.10, (300, 1_500), (30, 100)),
                text("doorstep", 0.45, (60, 400), (8, 30)),
                text("alert-label", 0.25, (24, 120), (2, 6)),
                text("complaint-summary", 0.20, (480, 2_400), (50, 150)),
            ],
            plain: vec![
                command("doorstep", 0.15, "/stop"),
                command("doorstep", 0.15, "/restart"),
                look_up("doorstep", 0.7, "/lookup"),
            ],
            plain_per_text: 0.3,
            prefixes: 4,
        }
    }

    /// Returns the mean numbers of prompt and answer tokens of a text request.
    #[must_use]
    pub fn mean_tokens(&self) -> (f64, f64) {
        let mut prompt = 0.0;
        let mut answer = 0.0;
        for class in &self.texts {
            prompt += class.share * class.prompt.mean();
            answer += class.share * class.answer.mean();
        }
        (prompt, answer)
    }
}

fn scaled(rules: &str) -> String {
    let mut text = rules.to_owned();
    for (from, to) in SCALED_DEADLINES {
        text = text.replace(from, to);
    }
    text
}

fn accounts(names: [&'static str; 3]) -> Vec<Account> {
    let shares = [0.55, 0.3, 0.15];
    let pairs = names.into_iter().zip(shares);
    pairs.map(|(name, share)| Account { name, share }).collect()
}

fn text(tier: &'static str, share: f64, prompt: (u32, u32), answer: (u32, u32)) -> TextClass {
    TextClass {
        tier,
        share,
        prompt: Lengths::new(prompt.0, prompt.1),
        answer: Lengths::new(answer.0, answer.1),
        shared_prefix: 0.6,
    }
}

fn command(tier: &'static str, share: f64, path: &'static str) -> PlainCall {
    PlainCall {
        tier,
        share,
        method: hyper::Method::POST,
        path,
        never_repeat: true,
    }
}

fn look_up(tier: &'static str, share: f64, path: &'static str) -> PlainCall {
    PlainCall {
        tier,
        share,
        method: hyper::Method::GET,
        path,
        never_repeat: false,
    }
}
