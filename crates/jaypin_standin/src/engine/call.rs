//! A completion request, as far as the engine looks at it.

use serde::Deserialize;

/// The request.
#[derive(Debug, Deserialize)]
pub struct Call {
    #[serde(default)]
    pub model: String,
    #[serde(default)]
    pub prompt: String,
    #[serde(default)]
    pub messages: Vec<ChatMessage>,
    #[serde(default = "sixteen")]
    pub max_tokens: u64,
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
pub struct ChatMessage {
    #[serde(default)]
    pub content: String,
}

fn sixteen() -> u64 {
    16
}

impl Call {
    /// All text of the prompt, in order.
    pub fn text(&self) -> String {
        let mut text = self.prompt.clone();
        for message in &self.messages {
            text.push_str(&message.content);
        }
        text
    }
}
