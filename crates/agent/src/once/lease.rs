//! The lease that claims of one worker share.

use std::cell::Cell;
use std::time::Duration;

use policy::claim::Term;
use services::Store;

/// The lease for new claims, granted anew before it grows old.
#[derive(Debug, Default)]
pub struct Lease(Cell<Option<(services::store::Lease, Term)>>);

impl Lease {
    /// A lease that outlives the claim age. `clock` tells the time since the start.
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
        // The term counts from before the grant, so it ends before the lease does.
        let term = Term::new(clock(), age);
        let lease = store.grant(term.ttl_seconds()).await?;
        self.0.set(Some((lease, term)));
        Ok((lease, term))
    }

    /// Forgets the lease after a claim that failed, since a service that lost
    /// the lease would refuse all claims bound to it.
    pub(crate) fn forget(&self) {
        self.0.set(None);
    }
}
