//! Services that callers send requests to.

use serde::Deserialize;
use serde::Serialize;
use wire::id;

/// A service. Callers name it as the model of a chat or in the path of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: id::Service,
    /// The index of the rank of its requests.
    pub rank: id::Rank,
    /// The client accounts that may use it, sorted.
    pub accounts: Vec<id::Account>,
    /// The kind of engines that answer its requests.
    pub kind: Kind,
}

/// The kind of engines that answer a service's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines that hold a model.
    Chat(Chat),
    /// Plain engines of a pool.
    Plain(Plain),
}

/// A service on model engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chat {
    /// The model that answers the requests.
    pub model: id::Model,
    /// Limit of generated tokens if the caller sets none, and the highest it may set.
    pub output_tokens: u32,
}

/// A service on plain engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plain {
    /// The pool of plain engines that answers the requests.
    pub pool: id::Pool,
    /// Path prefixes whose `POST` calls are idempotent, sorted.
    pub idempotent: Vec<String>,
}

impl Service {
    /// Returns whether a client account may use the service.
    pub fn serves(&self, account: &str) -> bool {
        self.accounts.binary_search_by(|name| name.as_str().cmp(account)).is_ok()
    }

    /// Returns the model or pool that an engine must hold to answer its requests.
    pub fn needs(&self) -> &str {
        match &self.kind {
            Kind::Chat(chat) => &chat.model,
            Kind::Plain(plain) => &plain.pool,
        }
    }
}

impl Plain {
    /// Returns whether a call is idempotent, by its HTTP method or because the intent
    /// declares a prefix of its path as idempotent.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        if method != "POST" && method != "PATCH" {
            return true;
        }
        self.idempotent.iter().any(|prefix| path.starts_with(prefix.as_str()))
    }
}
