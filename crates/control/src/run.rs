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
use crate::answer::Answer;
use crate::beats;
use crate::documents;
use crate::head;
use crate::shared::Shared;
use crate::vms;

/// Connections to peers that are kept open.
const CONNECTIONS: usize = 8;

/// The platform's services as the controllers ask them.
#[derive(Clone)]
pub struct Platform {
    /// The key-value service.
    pub store: Rc<dyn Store>,
    /// The list of VMs.
    pub vms: Rc<dyn Vms>,
}

/// Runs until cancelled, on a thread with an ntex system.
///
/// # Errors
///
/// [`Error::Listen`]; everything else is tried again.
pub async fn run(context: Context, cancel: CancellationToken) -> Result<(), Error> {
    let store = (context.store)();
    let vms = Rc::new(vm_list::Client::new(&context.vms));
    run_on(context, Platform { store, vms }, cancel).await
}

/// The same over any services that stand behind the platform's traits.
///
/// # Errors
///
/// As [`run`].
pub async fn run_on(
    context: Context,
    platform: Platform,
    cancel: CancellationToken,
) -> Result<(), Error> {
    let Context { board, cluster, listen, keys, notices, .. } = context;
    let pool = Pool::new(keys.peer().clone(), CONNECTIONS);
    let shared = Arc::new(Shared::new(board, notices));
    let answer = Answer { shared: Arc::clone(&shared) };
    let served = async {
        let served = rpc::serve(listen, keys, Arc::new(answer), cancel.clone()).await;
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
