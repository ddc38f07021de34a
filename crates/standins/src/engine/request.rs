//! The body of a chat completion request.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;

use crate::engine::DEFAULT_MAX_TOKENS;

/// Number of characters that count as one token.
const CHARACTERS_PER_TOKEN: usize = 4;

/// The fields of a chat completion request that the engine uses.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Request {
    pub(crate) model: String,
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    pub(crate) stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    /// Priority of the request; a lower number runs first.
    #[serde(default)]
    pub(crate) priority: i64,
    #[serde(default)]
    stream_options: StreamOptions,
}

/// The options of a streamed answer.
#[derive(Clone, Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Message {
    /// Role of the author, for example `user`.
    pub role: String,
    /// Content; a message that only calls tools has none.
    pub content: Option<Content>,
}

/// The content of a message.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Content {
    /// Plain text.
    Text(String),
    /// Parts, of which only the text parts are used.
    Parts(Vec<Part>),
}

/// A part of a message's content.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Part {
    /// Text of a text part; empty for other parts.
    #[serde(default)]
    pub text: String,
}

impl Request {
    /// Returns the number of tokens in the answer.
    pub(crate) fn answer_tokens(&self) -> u32 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Returns true if a stream is to end with the token counts.
    pub(crate) fn include_usage(&self) -> bool {
        self.stream_options.include_usage
    }
}

impl Message {
    /// Creates a message of plain text.
    pub fn new(role: &str, text: &str) -> Self {
        Self { role: role.into(), content: Some(Content::Text(text.into())) }
    }

    /// Returns the message's text, with its parts joined.
    pub fn text(&self) -> Cow<'_, str> {
        match &self.content {
            None => Cow::Borrowed(""),
            Some(Content::Text(text)) => Cow::Borrowed(text),
            Some(Content::Parts(parts)) => {
                Cow::Owned(parts.iter().map(|part| part.text.as_str()).collect())
            }
        }
    }

    /// Returns the number of tokens that the message counts as, at least 1.
    pub fn tokens(&self) -> usize {
        (self.text().chars().count() / CHARACTERS_PER_TOKEN).max(1)
    }
}
