//! A class of requests in a load.

/// A class of similar requests in a load.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Name in reports, for example the rank of the service.
    pub name: String,
    /// Client account that sends the requests.
    pub account: String,
    /// Service that is called.
    pub service: String,
    /// Model that serves the service; the correct answers follow from it.
    pub model: String,
    /// Share of all requests, relative to the weights of other classes.
    pub weight: f64,
    /// Number of tokens to generate for each request.
    pub output_tokens: u32,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Number of concurrent chats.
    pub chats: usize,
    /// Exponent of the distribution of requests over chats; see [`Zipf`](crate::load::Zipf).
    pub exponent: f64,
    /// Length of a chat's first message, in tokens.
    pub first_message_tokens: usize,
    /// Length of each later message of the caller, in tokens.
    pub message_tokens: usize,
    /// Number of turns after which a chat ends and a new one replaces it.
    pub turns: usize,
}

impl Class {
    /// Creates a streamed class of 100 short chats.
    pub fn new(name: &str, account: &str, service: &str, model: &str) -> Class {
        Class {
            name: name.to_owned(),
            account: account.to_owned(),
            service: service.to_owned(),
            model: model.to_owned(),
            weight: 1.0,
            output_tokens: 16,
            stream: true,
            chats: 100,
            exponent: 1.0,
            first_message_tokens: 200,
            message_tokens: 20,
            turns: 10,
        }
    }
}
