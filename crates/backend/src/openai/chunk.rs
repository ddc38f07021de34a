//! The parts of the engine's messages that matter here.

use serde::Deserialize;
use wire::frame::Usage;

use crate::engine::Error;

/// A chunk of a chat; other fields are given on unread.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionChunk {
    #[serde(default)]
    pub(crate) id: String,
    #[serde(default)]
    pub(crate) usage: Option<Tokens>,
    #[serde(default)]
    pub(crate) error: Option<serde::de::IgnoredAny>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    finish_reason: Option<Finish>,
}

/// Why a choice ended, as far as it matters here.
#[derive(Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Finish {
    Abort,
    #[serde(other)]
    Other,
}

impl CompletionChunk {
    /// Whether the engine gave the work up before its end.
    pub(crate) fn is_aborted(&self) -> bool {
        self.choices.iter().any(|choice| choice.finish_reason == Some(Finish::Abort))
    }
}

/// Tokens as the engine counted them.
#[derive(Debug, Deserialize)]
pub(crate) struct Tokens {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: Option<Details>,
}

#[derive(Debug, Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u32,
}

impl Tokens {
    pub(crate) fn usage(&self) -> Usage {
        let details = self.prompt_tokens_details.as_ref();
        Usage {
            prompt: self.prompt_tokens,
            cached: details.map(|details| details.cached_tokens).unwrap_or_default(),
            output: self.completion_tokens,
        }
    }
}

/// The list of models that an engine holds.
#[derive(Debug, Deserialize)]
pub(crate) struct Models {
    data: Vec<Model>,
}

#[derive(Debug, Deserialize)]
struct Model {
    id: String,
}

impl Models {
    /// The names in a list, sorted.
    pub(crate) fn read(bytes: &[u8]) -> Result<Vec<String>, Error> {
        let models: Models =
            serde_json::from_slice(bytes).map_err(|error| Error::Protocol(error.to_string()))?;
        let mut names: Vec<String> = models.data.into_iter().map(|model| model.id).collect();
        names.sort();
        Ok(names)
    }
}
