//! The generation of an answer.

use serde::Serialize;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::engine::answer::answer;
use crate::engine::cache;
use crate::engine::cache::Block;
use crate::engine::request::Message;
use crate::engine::request::Request;

/// Identifies a generation: the id of its completion.
pub(crate) type GenerationId = String;

/// The way a generation ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    Completed,
    Cancelled,
}

/// The progress of a generation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Number of tokens generated so far.
    pub(crate) tokens: usize,
    /// Number of prompt tokens found in the prefix cache.
    pub(crate) cached_tokens: usize,
    pub(crate) end: Option<End>,
}

/// A generation, whose progress any number of readers follow.
#[derive(Debug)]
pub(crate) struct Generation {
    pub(crate) id: GenerationId,
    /// Time of creation in seconds since the Unix epoch.
    pub(crate) created: u64,
    pub(crate) model: String,
    pub(crate) include_usage: bool,
    /// All tokens of the answer, of which `progress` tells how many are generated.
    pub(crate) tokens: Vec<String>,
    pub(crate) prompt_blocks: Vec<Block>,
    /// Blocks of the prompt and the answer.
    pub(crate) chat_blocks: Vec<Block>,
    pub(crate) progress: watch::Sender<Progress>,
    pub(crate) cancellation: CancellationToken,
}

/// The token counts that a completion reports.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Usage {
    prompt_tokens: usize,
    completion_tokens: usize,
    total_tokens: usize,
    prompt_tokens_details: PromptDetails,
}

/// The breakdown of the prompt tokens.
#[derive(Clone, Copy, Debug, Serialize)]
struct PromptDetails {
    cached_tokens: usize,
}

impl Generation {
    /// Creates the generation of the answer to `request`. `created` is in seconds
    /// since the Unix epoch.
    pub(crate) fn new(id: GenerationId, created: u64, request: &Request) -> Self {
        let tokens = answer(&request.model, &request.messages, request.answer_tokens());
        let prompt_blocks = cache::blocks(&request.model, &request.messages);
        let mut messages = request.messages.clone();
        messages.push(Message::new("assistant", &tokens.concat()));
        Self {
            id,
            created,
            model: request.model.clone(),
            include_usage: request.include_usage(),
            tokens,
            prompt_blocks,
            chat_blocks: cache::blocks(&request.model, &messages),
            progress: watch::Sender::default(),
            cancellation: CancellationToken::new(),
        }
    }

    /// Returns the number of tokens in the prompt.
    pub(crate) fn prompt_tokens(&self) -> usize {
        self.prompt_blocks.iter().map(|block| block.tokens).sum()
    }

    /// Returns the token counts at `progress`.
    pub(crate) fn usage(&self, progress: Progress) -> Usage {
        let prompt_tokens = self.prompt_tokens();
        Usage {
            prompt_tokens,
            completion_tokens: progress.tokens,
            total_tokens: prompt_tokens + progress.tokens,
            prompt_tokens_details: PromptDetails { cached_tokens: progress.cached_tokens },
        }
    }

    /// Returns OpenAI's `finish_reason`, or `None` before the end.
    pub(crate) fn finish_reason(&self, progress: Progress) -> Option<&'static str> {
        match progress.end? {
            End::Completed => Some("length"),
            End::Cancelled => Some("abort"),
        }
    }

    /// Waits until the generation has ended and returns its final progress.
    pub(crate) async fn wait_for_end(&self) -> Progress {
        let mut progress = self.progress.subscribe();
        match progress.wait_for(|progress| progress.end.is_some()).await {
            Ok(progress) => *progress,
            Err(_) => *self.progress.borrow(),
        }
    }
}
