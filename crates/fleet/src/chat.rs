//! The body of a chat completion request.

use serde::Serialize;
use standins::engine::Message;
use standins::engine::answer;

/// The body of a chat completion request.
#[derive(Debug, Clone, Serialize)]
pub struct Chat {
    /// Name of the service, or of the model if an engine is asked directly.
    pub model: String,
    /// The messages so far.
    pub messages: Vec<Message>,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Identifies the chat, so that its turns go to the same prefix cache.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt_cache_key: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    stream_options: Option<StreamOptions>,
}

#[derive(Debug, Clone, Copy, Serialize)]
struct StreamOptions {
    include_usage: bool,
}

impl Chat {
    /// Creates a request whose answer is sent as a whole.
    pub fn whole(service: &str, messages: Vec<Message>, max_tokens: u32) -> Chat {
        Chat {
            model: service.to_owned(),
            messages,
            max_tokens,
            stream: false,
            prompt_cache_key: None,
            stream_options: None,
        }
    }

    /// Creates a request whose answer is streamed token by token.
    pub fn streamed(service: &str, messages: Vec<Message>, max_tokens: u32) -> Chat {
        let whole = Chat::whole(service, messages, max_tokens);
        let stream_options = Some(StreamOptions { include_usage: true });
        Chat { stream: true, stream_options, ..whole }
    }

    /// Sets the key that identifies the chat.
    pub fn keyed(mut self, key: &str) -> Chat {
        self.prompt_cache_key = Some(key.to_owned());
        self
    }

    /// Returns the tokens of all messages but the last, which earlier turns have sent or
    /// received.
    pub fn earlier_tokens(&self) -> u64 {
        let earlier = self.messages.split_last().map_or(&[][..], |(_, earlier)| earlier);
        earlier.iter().map(|message| message.tokens() as u64).sum()
    }

    /// Returns the only correct answer, which depends on the model that serves the service.
    pub fn expected(&self, model: &str) -> String {
        answer(model, &self.messages, self.max_tokens).concat()
    }
}
