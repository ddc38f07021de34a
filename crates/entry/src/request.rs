//! One caller's request, ready to be sent to engines.

use std::time::Duration;

use config::Document;
use config::Service;
use wire::Cost;
use wire::Work;
use wire::id;
use wire::work;

use crate::worker::Worker;

/// What all attempts of a request have in common.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) id: id::Request,
    pub(crate) account: id::Account,
    pub(crate) service: id::Service,
    pub(crate) rank: id::Rank,
    /// Time from its arrival until its first token or answer is of no more use.
    pub(crate) deadline: Duration,
    /// When it arrived, by the board's clock.
    pub(crate) arrived: Duration,
    pub(crate) cost: Cost,
    /// Whether it begins a chat, whose context then lies nowhere yet.
    pub(crate) is_first_turn: bool,
    pub(crate) work: Work,
}

impl Request {
    /// A request that arrives now, of no cost and in no new chat.
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

    /// The chat, if the work belongs to one.
    pub(crate) fn chat(&self) -> Option<id::Chat> {
        match &self.work {
            Work::Chat(chat) => Some(chat.chat),
            Work::Call(_) => None,
        }
    }

    /// The same without the caller's body, which no engine needs to go on.
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

    /// Time left at a time.
    pub(crate) fn time_left(&self, now: Duration) -> Duration {
        (self.arrived + self.deadline).saturating_sub(now)
    }
}

/// How long a service's work is of use: it may wait as long as its rank's
/// patience, and then its first token is due.
fn deadline(document: &Document, service: &Service) -> Duration {
    document.rank(service.rank).map_or(Duration::ZERO, |rank| rank.patience + rank.first_token)
}
