//! The calls that change the service.

use crate::key_value::fault::Fault;
use crate::key_value::message::Granted;
use crate::key_value::message::Kept;
use crate::key_value::message::LeaseCall;
use crate::key_value::message::LeaseId;
use crate::key_value::message::Transaction;
use crate::key_value::message::Written;
use crate::key_value::service::State;

pub(crate) fn transaction(state: &mut State, call: Transaction) -> Result<Written, Fault> {
    for put in &call.puts {
        state.leases.check(put.lease)?;
    }
    Ok(Written { revision: state.store.run(call)? })
}

pub(crate) fn grant(state: &mut State, call: LeaseCall) -> Result<Granted, Fault> {
    let lease = state.leases.grant(call.ttl_ms);
    Ok(Granted { lease, ttl_ms: call.ttl_ms })
}

pub(crate) fn keep(state: &mut State, lease: LeaseId) -> Result<Kept, Fault> {
    Ok(Kept { ttl_ms: state.leases.keep(lease)? })
}

pub(crate) fn end(state: &mut State, lease: LeaseId) -> Result<(), Fault> {
    state.leases.end(lease)?;
    state.store.remove_leased(lease);
    Ok(())
}
