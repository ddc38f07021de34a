//! Options of a model engine's stand-in.

use std::time::Duration;

/// Options with which the stand-in of a model engine is started.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Models that are loaded when it starts.
    pub models: Vec<String>,
    /// Requests that run concurrently; further ones wait.
    pub slots: u32,
    /// Prefill time of one prompt token that isn't cached.
    pub prefill_per_token: Duration,
    /// Time between two generated tokens.
    pub token_gap: Duration,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: usize,
    /// Whether it cancels a request whose connection closes, so that the answer can't be resumed.
    pub cancel_on_disconnect: bool,
}

impl Model {
    /// Returns the options of an engine that has these models loaded, with 8 slots, a cache of
    /// 100 000 tokens and short times.
    pub fn new(models: &[&str]) -> Model {
        Model {
            models: models.iter().map(|model| (*model).to_owned()).collect(),
            slots: 8,
            prefill_per_token: Duration::from_micros(20),
            token_gap: Duration::from_millis(10),
            cache_tokens: 100_000,
            cancel_on_disconnect: false,
        }
    }

    /// Returns the arguments for `standin engine`.
    pub(crate) fn args(&self) -> Vec<String> {
        let options = [
            ("--models", self.models.join(",")),
            ("--slots", self.slots.to_string()),
            ("--prefill-us-per-token", self.prefill_per_token.as_micros().to_string()),
            ("--token-gap-ms", self.token_gap.as_millis().to_string()),
            ("--cache-tokens", self.cache_tokens.to_string()),
        ];
        let mut args = vec!["engine".to_owned()];
        if self.cancel_on_disconnect {
            args.push("--cancel-on-disconnect".to_owned());
        }
        for (name, value) in options {
            args.extend([name.to_owned(), value]);
        }
        args
    }
}
