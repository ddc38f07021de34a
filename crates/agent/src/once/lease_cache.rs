//! The lease shared by the claims of one worker.

use std::cell::Cell;
use std::time::Duration;

use policy::claim::Span;
use services::Store;

/// Caches the lease to which new claims are bound, and replaces it before it is
/// too old for them.
#[derive(Debug, Default)]
pub struct LeaseCache(Cell<Option<(services::store::Lease, Span)>>);

impl LeaseCache {
    /// Returns a lease that outlives the claim age, granted now if none is cached.
    /// `clock` returns the time since the process started.
    pub(crate) async fn current(
        &self,
        store: &dyn Store,
        age: Duration,
        clock: impl Fn() -> Duration,
    ) -> Result<(services::store::Lease, Span), services::store::Error> {
        if let Some((lease, span)) = self.0.get()
            && span.takes(clock())
        {
            return Ok((lease, span));
        }
        // The span starts before the grant, so it ends before the lease does.
        let span = Span::new(clock(), age);
        let lease = store.grant(span.seconds()).await?;
        self.0.set(Some((lease, span)));
        Ok((lease, span))
    }

    /// Drops the cached lease after a failed claim, since a service that lost the
    /// lease would refuse all claims bound to it.
    pub(crate) fn invalidate(&self) {
        self.0.set(None);
    }
}
