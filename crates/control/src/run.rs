//! Runs all controllers of a process on one thread.

use std::rc::Rc;
use std::sync::Arc;

use rpc::Error;
use rpc::Pool;
use services::Store;
use services::Vms;
use services::vm_list;
use tokio_util::sync::CancellationToken;

use crate::Context;
use crate::beats;
use crate::documents;
use crate::head;
use crate::responder::Responder;
use crate::shared::Shared;
use crate::vms;

/// Highest number of open connections to peers.
const MAX_PEER_CONNECTIONS: usize = 8;

/// Clients of the platform's services that the controllers use.
#[derive(Clone)]
pub struct Platform {
    /// The key-value service.
    pub store: Rc<dyn Store>,
    /// The VM list.
    pub vms: Rc<dyn Vms>,
}

/// Runs the controllers and the server of control calls until cancelled, on a thread
/// with an ntex system.
///
/// # Errors
///
/// [`Error::Listen`] if the server can't listen; any other failure is retried.
pub async fn run(context: Context, cancel: CancellationToken) -> Result<(), Error> {
    let store = (context.store)();
    let vms = Rc::new(vm_list::Client::new(&context.vms));
    run_on(context, Platform { store, vms }, cancel).await
}

/// Like [`run`], with the given implementations of the platform's services.
///
/// # Errors
///
/// As [`run`].
pub async fn run_on(
    context: Context,
    platform: Platform,
    cancel: CancellationToken,
) -> Result<(), Error> {
    let Context { board, cluster, listen, keys, stamps, .. } = context;
    let pool = Pool::new(keys.peer().clone(), MAX_PEER_CONNECTIONS);
    let shared = Arc::new(Shared::new(board, stamps));
    let responder = Responder { shared: Arc::clone(&shared) };
    let served = async {
        let served = rpc::serve(listen, keys, Arc::new(responder), cancel.clone()).await;
        cancel.cancel();
        served
    };
    let (served, ..) = tokio::join!(
        served,
        vms::follow(&shared.board, &*platform.vms, &cancel),
        head::follow(&shared, &*platform.store, &cluster, &cancel),
        beats::run(&shared, &pool, &cancel),
        documents::follow(&shared, &*platform.store, &pool, &cluster, &cancel),
    );
    served
}
