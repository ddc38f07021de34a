//! The lease shared by the claims of one worker.

use std::cell::Cell;
use std::time::Duration;

use policy::claim::Term;
use services::Store;

/// Caches the lease to which new claims are bound, and replaces it before it is
/// too old for them.
#[derive(Debug, Default)]
pub struct LeaseCache(Cell<Option<(services::store::Lease, Term)>>);

impl LeaseCache {
    /// Returns a lease that outlives the claim age, granted now if none is cached.
    /// `clock` returns the time since the process started.
    pub(crate) async fn current(
        &self,
        store: &dyn Store,
        age: Duration,
        clock: impl Fn() -> Duration,
    ) -> Result<(services::store::Lease, Term), services::store::Error> {
        if let Some((lease, term)) = self.0.get()
            && term.accepts_claims(clock())
        {
            return Ok((lease, term));
        }
        // The term starts before the grant, so it ends before the lease does.
        let term = Term::new(clock(), age);
        let lease = store.grant(term.ttl_seconds()).await?;
        self.0.set(Some((lease, term)));
        Ok((lease, term))
    }

    /// Drops the cached lease after a failed claim, since a service that lost the
    /// lease would refuse all claims bound to it.
    pub(crate) fn invalidate(&self) {
        self.0.set(None);
    }
}
