//! How long endpoints of each service usually take until they send something.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use policy::silence;
use policy::silence::Times;

/// What an endpoint is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The head of a response.
    Head,
    /// The first event of a stream after its head. It may take as long as reading a prompt.
    FirstEvent,
    /// A further event of a stream.
    NextEvent,
}

/// The usual times of each service, as this gateway sees them.
#[derive(Debug)]
pub(crate) struct Silences {
    /// Whether attempts at silent endpoints are abandoned.
    pub(crate) is_on: bool,
    /// Sorted by service; the times are in the order of [`Stage`].
    services: Mutex<Vec<(Arc<str>, [Times; 3])>>,
}

impl Silences {
    /// Creates a value that knows no times.
    pub(crate) fn new(is_on: bool) -> Silences {
        Silences { is_on, services: Mutex::default() }
    }

    /// Records the time that an endpoint of a service took.
    pub(crate) fn record(&self, service: &Arc<str>, stage: Stage, time: Duration) {
        if !self.is_on {
            return;
        }
        let mut services = self.services.lock();
        let index = services.binary_search_by(|(name, _)| name.cmp(service));
        let index = index.unwrap_or_else(|index| {
            services.insert(index, (Arc::clone(service), Default::default()));
            index
        });
        services[index].1[stage as usize].record(time);
    }

    /// Returns the time after which an attempt that got nothing may be abandoned, given the time
    /// until its deadline; `None` if it may not.
    pub(crate) fn silence_timeout(
        &self,
        service: &str,
        stage: Stage,
        left: Duration,
    ) -> Option<Duration> {
        if !self.is_on {
            return None;
        }
        let services = self.services.lock();
        let index = services.binary_search_by(|(name, _)| (**name).cmp(service)).ok()?;
        silence::abandon_after(services[index].1[stage as usize].usual()?, left)
    }
}
