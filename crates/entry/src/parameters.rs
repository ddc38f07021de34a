//! Parameters of a chat completion request that the entry reads.

use serde::Deserialize;
use serde_json::Value;
use wire::Problem;

use crate::problems;

/// Estimated characters per token.
const CHARACTERS_PER_TOKEN: usize = 4;

/// The parameters that the entry uses; the body goes to the engine unchanged.
#[derive(Debug, Deserialize)]
pub(crate) struct Parameters {
    /// The name of the service.
    pub(crate) model: String,
    /// Whether the answer is to be streamed.
    #[serde(default)]
    pub(crate) stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<Options>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    prompt_cache_key: Option<String>,
    messages: Vec<Message>,
}

#[derive(Debug, Deserialize)]
struct Options {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Value,
}

impl Parameters {
    /// Parses a request's body.
    ///
    /// # Errors
    ///
    /// The body isn't a chat completion request; the problem names line and column.
    pub(crate) fn parse(body: &str) -> Result<Parameters, Problem> {
        serde_json::from_str(body).map_err(|error| problems::json(&error))
    }

    /// Returns whether a streamed answer has to end with the token usage.
    pub(crate) fn wants_usage(&self) -> bool {
        self.stream_options.as_ref().is_some_and(|options| options.include_usage)
    }

    /// Returns the key that tells the chat apart from the account's others: the caller's
    /// `prompt_cache_key`, else the messages up to the user's first one.
    pub(crate) fn key(&self) -> String {
        if let Some(key) = self.prompt_cache_key.as_ref().filter(|key| !key.is_empty()) {
            return format!("key:{key}");
        }
        let first = self.messages.iter().position(|message| message.role == "user");
        let count = first.map_or(self.messages.len(), |index| index + 1);
        let mut key = String::from("messages:");
        for message in &self.messages[..count] {
            let content = message.content.to_string();
            key.push_str(&format!("{}:{}:{content}", message.role, content.len()));
        }
        key
    }

    /// Returns whether the chat has no answer yet.
    pub(crate) fn is_first_turn(&self) -> bool {
        self.messages.iter().all(|message| message.role != "assistant")
    }

    /// Returns the prompt's length in tokens, estimated from its characters.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        let characters: usize =
            self.messages.iter().map(|message| characters(&message.content)).sum();
        characters.div_ceil(CHARACTERS_PER_TOKEN).try_into().unwrap_or(u32::MAX)
    }

    /// Returns the tokens that may be generated: what the request asks for, `limit` at
    /// most.
    pub(crate) fn output_tokens(&self, limit: u32) -> u32 {
        self.max_completion_tokens.or(self.max_tokens).map_or(limit, |wanted| wanted.min(limit))
    }
}

fn characters(content: &Value) -> usize {
    match content {
        Value::String(text) => text.chars().count(),
        Value::Array(parts) => parts.iter().map(characters).sum(),
        Value::Object(fields) => fields.get("text").map_or(0, characters),
        _ => 0,
    }
}
