//! The body of a chat completion request.

use std::borrow::Cow;

use serde::Deserialize;
use serde::Serialize;

use crate::engine::DEFAULT_MAX_TOKENS;

/// Characters that make one token.
const CHARACTERS_PER_TOKEN: usize = 4;

/// A chat completion request, as far as the engine reads it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Request {
    pub(crate) model: String,
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    pub(crate) stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) priority: i64,
    #[serde(default)]
    stream_options: StreamOptions,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Message {
    /// Who speaks, for example `user`.
    pub role: String,
    /// What is said; a message that only calls tools has none.
    pub content: Option<Content>,
}

/// The content of a message.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(untagged)]
pub enum Content {
    /// Plain text.
    Text(String),
    /// Parts, of which the text parts are read.
    Parts(Vec<Part>),
}

/// A part of a message's content.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Part {
    /// The text of a text part.
    #[serde(default)]
    pub text: String,
}

impl Request {
    pub(crate) fn tokens(&self) -> u32 {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS)
    }

    pub(crate) fn include_usage(&self) -> bool {
        self.stream_options.include_usage
    }
}

impl Message {
    /// A message of plain text.
    pub fn new(role: &str, text: &str) -> Self {
        Self { role: role.into(), content: Some(Content::Text(text.into())) }
    }

    /// The message's text, with its parts joined.
    pub fn text(&self) -> Cow<'_, str> {
        match &self.content {
            None => Cow::Borrowed(""),
            Some(Content::Text(text)) => Cow::Borrowed(text),
            Some(Content::Parts(parts)) => {
                Cow::Owned(parts.iter().map(|part| part.text.as_str()).collect())
            }
        }
    }

    /// The number of tokens that the message counts for.
    pub fn tokens(&self) -> usize {
        (self.text().chars().count() / CHARACTERS_PER_TOKEN).max(1)
    }
}
