//! Open connections to other gateways.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rpc::Error;
use rpc::view::Client;

use crate::peer::Member;

/// Open connections to other gateways, which are kept for further calls.
#[derive(Debug)]
pub(crate) struct Connections {
    /// Longest time to open one.
    timeout: Duration,
    /// Sorted by VM.
    open: Mutex<Vec<(String, Arc<Client>)>>,
}

impl Connections {
    /// Creates a value without connections. Opening one may take this time.
    pub(crate) fn new(timeout: Duration) -> Connections {
        Connections { timeout, open: Mutex::default() }
    }

    /// Returns the open connection to a gateway, or opens one.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if that fails.
    pub(crate) async fn client(&self, member: &Member) -> Result<Arc<Client>, Error> {
        let find = |open: &[(String, Arc<Client>)]| {
            open.binary_search_by(|(vm, _)| vm.as_str().cmp(&member.vm))
        };
        {
            let mut open = self.open.lock();
            if let Ok(index) = find(&open) {
                if open[index].1.is_connected() {
                    return Ok(Arc::clone(&open[index].1));
                }
                open.remove(index);
            }
        }
        let client = Arc::new(Client::connect(member.address, self.timeout).await?);
        let mut open = self.open.lock();
        match find(&open) {
            Ok(index) => open[index].1 = Arc::clone(&client),
            Err(index) => open.insert(index, (member.vm.clone(), Arc::clone(&client))),
        }
        Ok(client)
    }

    /// Closes the connection to a gateway.
    pub(crate) fn remove(&self, vm: &str) {
        self.open.lock().retain(|(known, _)| known != vm);
    }
}
