//! The fields of a completion request that the engine uses.

use serde::Deserialize;

/// A completion or chat completion request.
#[derive(Debug, Deserialize)]
pub struct Call {
    #[serde(default)]
    pub model: String,
    #[serde(default)]
    pub prompt: String,
    #[serde(default)]
    pub messages: Vec<ChatMessage>,
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat completion request.
#[derive(Debug, Deserialize)]
pub struct ChatMessage {
    #[serde(default)]
    pub content: String,
}

fn default_max_tokens() -> u64 {
    16
}

impl Call {
    /// Returns the prompt followed by the contents of all messages, in order.
    pub fn text(&self) -> String {
        let mut text = self.prompt.clone();
        for message in &self.messages {
            text.push_str(&message.content);
        }
        text
    }
}
