//! One request of a caller, ready to be sent to engines.

use std::time::Duration;

use config::Document;
use config::Service;
use wire::Cost;
use wire::Work;
use wire::id;
use wire::work;

use crate::worker::Worker;

/// The data that all attempts of a request share.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) id: id::Request,
    pub(crate) account: id::Account,
    pub(crate) service: id::Service,
    pub(crate) rank: id::Rank,
    /// Time from its arrival after which its first token or its answer is of no more use.
    pub(crate) deadline: Duration,
    /// Time of its arrival, by the board's clock.
    pub(crate) arrived: Duration,
    pub(crate) cost: Cost,
    /// Whether it begins a chat, so that no engine has its context.
    pub(crate) is_first_turn: bool,
    pub(crate) work: Work,
}

impl Request {
    /// Creates a request that arrives now, with a random id and no cost, and that begins
    /// no chat.
    pub(crate) fn new(
        worker: &Worker,
        document: &Document,
        service: &Service,
        account: id::Account,
        work: Work,
    ) -> Request {
        Request {
            id: rand::random(),
            account,
            service: service.name.clone(),
            rank: service.rank,
            deadline: deadline(document, service),
            arrived: worker.board().now(),
            cost: Cost::default(),
            is_first_turn: false,
            work,
        }
    }

    /// Returns the chat, if the work belongs to one.
    pub(crate) fn chat(&self) -> Option<id::Chat> {
        match &self.work {
            Work::Chat(chat) => Some(chat.chat),
            Work::Call(_) => None,
        }
    }

    /// Returns the request without the caller's body, which no engine needs to resume an
    /// answer.
    pub(crate) fn without_body(&self) -> Request {
        let work = match &self.work {
            Work::Chat(chat) => {
                let model = chat.model.clone();
                Work::Chat(work::Chat { model, chat: chat.chat, body: String::new() })
            }
            Work::Call(call) => {
                let (pool, key) = (call.pool.clone(), call.key.clone());
                let (method, path) = (call.method.clone(), call.path.clone());
                let (content_type, body) = (None, Vec::new());
                Work::Call(work::Call { pool, method, path, content_type, body, key })
            }
        };
        let (account, service) = (self.account.clone(), self.service.clone());
        Request { account, service, work, ..*self }
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self, now: Duration) -> Duration {
        (self.arrived + self.deadline).saturating_sub(now)
    }
}

/// Returns the deadline of a service's requests: the time that they may wait (the patience of
/// their rank), plus the time in which the first token is due after that.
fn deadline(document: &Document, service: &Service) -> Duration {
    document.rank(service.rank).map_or(Duration::ZERO, |rank| rank.patience + rank.first_token)
}
