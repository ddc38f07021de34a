//! State of one worker thread.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use board::Board;
use config::Document;
use config::Service;
use ntex::http::HeaderMap;
use policy::placement::Placement;
use tokio_util::sync::CancellationToken;
use wire::Problem;
use wire::id;

use crate::context::Context;
use crate::problems;
use crate::tables::Tables;
use crate::token::Cache;
use crate::transport::Transport;

/// One worker: the state shared by all workers, and its own transport to the agents and
/// token cache.
pub(crate) struct Worker {
    pub(crate) context: Context,
    pub(crate) tables: Arc<Tables>,
    pub(crate) transport: Rc<dyn Transport>,
    pub(crate) tokens: RefCell<Cache>,
    pub(crate) cancel: CancellationToken,
    pub(crate) placement: Box<dyn Placement>,
}

impl Worker {
    /// Creates a worker with an empty token cache.
    pub(crate) fn new(
        context: Context,
        tables: Arc<Tables>,
        transport: Rc<dyn Transport>,
        cancel: CancellationToken,
    ) -> Worker {
        let placement = context.placement.placement();
        Worker { context, tables, transport, tokens: RefCell::default(), cancel, placement }
    }

    /// The state that the parts of the process share.
    pub(crate) fn board(&self) -> &Arc<Board> {
        &self.context.board
    }

    /// Returns the client account of a request, if the entry serves requests now.
    ///
    /// # Errors
    ///
    /// The entry is stopping, has no configuration yet, or the token names no account.
    pub(crate) fn admit(&self, headers: &HeaderMap) -> Result<id::Account, Problem> {
        if self.cancel.is_cancelled() {
            return Err(problems::stopping());
        }
        let document = self.board().document();
        if document.revision == 0 {
            return Err(problems::configuration());
        }
        self.tokens.borrow_mut().account(&document, headers)
    }

    /// Returns the service of a name, if it serves the account.
    ///
    /// # Errors
    ///
    /// There is no such service, or the account may not use it.
    pub(crate) fn service<'a>(
        &self,
        document: &'a Document,
        name: &str,
        account: &str,
    ) -> Result<&'a Service, Problem> {
        let service = document.service(name).ok_or_else(|| problems::service(name))?;
        if !service.serves(account) {
            return Err(problems::account(name));
        }
        Ok(service)
    }
}
