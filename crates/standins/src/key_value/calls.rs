//! The calls that change keys or leases.

use crate::key_value::error::Error;
use crate::key_value::message::Granted;
use crate::key_value::message::LeaseCall;
use crate::key_value::message::LeaseId;
use crate::key_value::message::Renewed;
use crate::key_value::message::Transaction;
use crate::key_value::message::Written;
use crate::key_value::service::State;

/// Commits a transaction, if its leases are in force and its conditions hold.
pub(crate) fn commit(state: &mut State, call: Transaction) -> Result<Written, Error> {
    for put in &call.puts {
        state.leases.validate(put.lease)?;
    }
    Ok(Written { revision: state.store.commit(call)? })
}

/// Grants a lease.
pub(crate) fn grant(state: &mut State, call: LeaseCall) -> Result<Granted, Error> {
    let lease = state.leases.grant(call.ttl_ms, state.store.revision());
    Ok(Granted { lease, ttl_ms: call.ttl_ms })
}

/// Renews a lease by its full time to live.
pub(crate) fn renew(state: &mut State, lease: LeaseId) -> Result<Renewed, Error> {
    Ok(Renewed { ttl_ms: state.leases.renew(lease)? })
}

/// Ends a lease and removes its keys.
pub(crate) fn revoke(state: &mut State, lease: LeaseId) -> Result<(), Error> {
    state.leases.revoke(lease)?;
    state.store.remove_leased(lease);
    Ok(())
}
