//! The fields of the engine's messages that the client reads.

use serde::Deserialize;
use wire::frame::Usage;

use crate::engine::Error;

/// A `chat.completion.chunk` object. Other fields are forwarded unread.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionChunk {
    #[serde(default)]
    pub(crate) id: String,
    #[serde(default)]
    pub(crate) usage: Option<TokenCounts>,
    #[serde(default)]
    pub(crate) error: Option<serde::de::IgnoredAny>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    finish_reason: Option<FinishReason>,
}

/// Why a choice ended; only an abort is distinguished.
#[derive(Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FinishReason {
    Abort,
    #[serde(other)]
    Other,
}

impl CompletionChunk {
    /// Returns whether the engine aborted the work before its end.
    pub(crate) fn is_aborted(&self) -> bool {
        self.choices.iter().any(|choice| choice.finish_reason == Some(FinishReason::Abort))
    }
}

/// The engine's token counts.
#[derive(Debug, Deserialize)]
pub(crate) struct TokenCounts {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Debug, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u32,
}

impl TokenCounts {
    /// Returns the counts as a frame's usage; missing ones are 0.
    pub(crate) fn usage(&self) -> Usage {
        let details = self.prompt_tokens_details.as_ref();
        Usage {
            prompt: self.prompt_tokens,
            cached: details.map(|details| details.cached_tokens).unwrap_or_default(),
            output: self.completion_tokens,
        }
    }
}

/// The engine's answer with the models that it holds.
#[derive(Debug, Deserialize)]
pub(crate) struct Models {
    data: Vec<Model>,
}

#[derive(Debug, Deserialize)]
struct Model {
    id: String,
}

impl Models {
    /// Decodes an answer and returns the models' names, sorted.
    pub(crate) fn read(bytes: &[u8]) -> Result<Vec<String>, Error> {
        let models: Models =
            serde_json::from_slice(bytes).map_err(|error| Error::Protocol(error.to_string()))?;
        let mut names: Vec<String> = models.data.into_iter().map(|model| model.id).collect();
        names.sort();
        Ok(names)
    }
}
