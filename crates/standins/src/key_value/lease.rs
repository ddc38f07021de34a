//! Leases and their expiry.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::time::sleep;

use crate::key_value::error::Error;
use crate::key_value::message::LeaseId;
use crate::key_value::message::Revision;
use crate::key_value::service::Service;
use crate::table::Table;

/// Interval between checks for expired leases.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The leases in force, by id.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    /// Id of the lease that was granted last; ids begin with 1.
    last_id: LeaseId,
    leases: Table<LeaseId, Lease>,
}

/// A lease in force.
#[derive(Debug)]
struct Lease {
    ttl: Duration,
    deadline: Instant,
    /// The store's revision when it was granted.
    granted: Revision,
}

impl Leases {
    /// Grants a lease of `ttl_ms` milliseconds and returns its id.
    pub(crate) fn grant(&mut self, ttl_ms: u64, granted: Revision) -> LeaseId {
        self.last_id += 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases.insert(self.last_id, Lease { ttl, deadline: Instant::now() + ttl, granted });
        self.last_id
    }

    /// Forgets leases that were granted after a revision. Their ids are granted again.
    pub(crate) fn restore(&mut self, revision: Revision) {
        self.leases.retain(|_, lease| lease.granted <= revision);
        self.last_id = self.leases.entries().iter().map(|(id, _)| *id).max().unwrap_or_default();
    }

    /// Renews a lease and returns its time to live in milliseconds.
    pub(crate) fn renew(&mut self, id: LeaseId) -> Result<u64, Error> {
        let lease = self.leases.value_mut(&id).ok_or(Error::NoLease)?;
        lease.deadline = Instant::now() + lease.ttl;
        Ok(lease.ttl.as_millis() as u64)
    }

    /// Ends a lease before it expires. Its keys are left to the caller.
    pub(crate) fn revoke(&mut self, id: LeaseId) -> Result<(), Error> {
        self.leases.remove(&id).map(|_| ()).ok_or(Error::NoLease)
    }

    /// Returns an error if a lease isn't in force; 0, no lease, is allowed.
    pub(crate) fn validate(&self, id: LeaseId) -> Result<(), Error> {
        if id == 0 || self.leases.value(&id).is_some() { Ok(()) } else { Err(Error::NoLease) }
    }

    /// Removes all leases and returns their ids.
    pub(crate) fn take_all(&mut self) -> Vec<LeaseId> {
        let all = self.leases.entries().iter().map(|(id, _)| *id).collect();
        self.leases.retain(|_, _| false);
        all
    }

    /// Removes the expired leases and returns their ids.
    pub(crate) fn take_expired(&mut self) -> Vec<LeaseId> {
        let now = Instant::now();
        let expired = self.leases.entries().iter().filter(|(_, lease)| lease.deadline <= now);
        let expired: Vec<LeaseId> = expired.map(|(id, _)| *id).collect();
        self.leases.retain(|_, lease| lease.deadline > now);
        expired
    }
}

/// Removes expired leases and their keys, in an endless loop.
pub(crate) async fn run_expiry(service: Arc<Service>) {
    loop {
        sleep(EXPIRY_CHECK_INTERVAL).await;
        service.remove_expired();
    }
}
