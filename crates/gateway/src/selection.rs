//! Selects the endpoint of a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use policy::choice;
use policy::popularity::Popularity;
use route::Endpoint;

use crate::criteria::Criteria;
use crate::ejections::Ejections;
use crate::tracked::Tracked;

/// Shortest prompt prefix that is copied between endpoints, in tokens. Computing a shorter one
/// again, at the specified 140 tokens per millisecond, takes less time than setting up a copy,
/// which takes some milliseconds.
const COPY_MIN_TOKENS: u32 = 512;

/// The known endpoints and what is known of their service, from which one is selected.
#[derive(Clone, Copy)]
pub(crate) struct Selection<'a> {
    pub(crate) endpoints: &'a [Tracked],
    pub(crate) ejections: &'a Ejections,
    pub(crate) popularity: &'a Popularity,
}

impl Selection<'_> {
    /// Chooses the best endpoint for a request among those that aren't ejected.
    pub(crate) fn best(&self, criteria: &Criteria<'_>, now: Duration) -> Option<Arc<Endpoint>> {
        let available: Vec<&Tracked> =
            self.endpoints.iter().filter(|tracked| tracked.is_available(criteria)).collect();
        let mut healthy = self.ejections.without_ejected(criteria.service, available, now);
        healthy.retain(|tracked| tracked.has_permit());
        let is_free =
            |tracked: &&Tracked| criteria.prefers(&tracked.endpoint) && tracked.has_free_slot(now);
        if healthy.iter().any(is_free) {
            healthy.retain(|tracked| criteria.prefers(&tracked.endpoint));
        }
        let candidates: Vec<choice::Candidate<'_>> = healthy
            .iter()
            .map(|tracked| choice::Candidate {
                name: &tracked.endpoint.id,
                requests: tracked.occupancy.requests(now),
                slots: tracked.endpoint.slots,
                is_far: *tracked.endpoint.centre != *criteria.centre,
                is_limited: tracked.needs_permits(),
            })
            .collect();
        let query = choice::Query {
            part: criteria.part.map(|part| part.id),
            tokens: criteria.part.map_or(0, |part| part.tokens),
            share: criteria.part.map_or(0.0, |part| self.popularity.share(part.id, now)),
            seed: criteria.seed,
        };
        let first = choice::order(&query, &candidates).into_iter().next()?;
        Some(Arc::clone(&healthy[first].endpoint))
    }

    /// Returns the address of another endpoint that is likely to have the shared prompt prefix
    /// cached. An endpoint copies only what it lacks, so one that has the prefix copies nothing.
    ///
    /// An endpoint that is leaving still has the prefix; one that fails may not.
    pub(crate) fn copy_source(
        &self,
        criteria: &Criteria<'_>,
        chosen: &Endpoint,
    ) -> Option<SocketAddr> {
        let part = criteria.part.filter(|part| part.tokens >= COPY_MIN_TOKENS)?;
        let is_source = |tracked: &&Tracked| {
            tracked.endpoint.service == chosen.service
                && tracked.missing_until.is_none()
                && !tracked.is_replaced
                && !self.ejections.is_failing(&tracked.endpoint)
        };
        let sources: Vec<&Tracked> = self.endpoints.iter().filter(is_source).collect();
        let names: Vec<&str> = sources.iter().map(|tracked| &*tracked.endpoint.id).collect();
        let source = choice::source(part.id, &chosen.id, &names)?;
        Some(sources[source].endpoint.address)
    }
}
