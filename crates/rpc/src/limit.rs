//! Limits of size, number and time, and the checks of arguments against them.

use std::time::Duration;

use jsonrpsee::Extensions;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;
use wire::Stamp;

use crate::Packet;
use crate::keys::Caller;

/// Highest size of a call in bytes.
pub(crate) const CALL_MAX_BYTES: u32 = 256 * 1024;

/// Highest size of an answer in bytes: a document of a megabyte with its JSON escapes.
pub(crate) const ANSWER_MAX_BYTES: u32 = 4 * 1024 * 1024;

/// Highest number of connections that peers may hold open to one process.
pub(crate) const MAX_CONNECTIONS: u32 = 256;

/// Longest time to establish a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time to wait for the answer to a call.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time to wait for open connections to close when the server stops.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two pings on an idle connection.
pub(crate) const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Highest number of members, of hashes of members and of suspects in one message.
pub(crate) const MAX_MEMBERS: usize = 512;

/// Highest number of prefixes in one `newer` call; a gateway follows two.
pub(crate) const MAX_PREFIXES: usize = 8;

/// Longest time for which a `changes` call may wait, so that its answer comes within
/// [`CALL_TIMEOUT`].
pub(crate) const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Most rows in one report of loads: several times the endpoints of the largest fleets.
pub(crate) const MAX_ROWS: usize = 16_384;

/// Highest length of a VM name in bytes.
pub(crate) const VM_MAX_BYTES: usize = 253;

/// JSON-RPC error code of a call that the caller's key doesn't allow.
const FORBIDDEN: i32 = -32_001;

/// Returns the packet if it is within the limits, else the error to answer.
pub(crate) fn checked_packet(packet: Option<Packet>) -> Result<Packet, ErrorObjectOwned> {
    let packet = packet.ok_or_else(|| invalid("the beat can't be read"))?;
    let beat = &packet.beat;
    check_stamp(&beat.stamp)?;
    if beat.members.len() > MAX_MEMBERS || packet.suspects.len() > MAX_MEMBERS {
        return Err(invalid("the beat describes too many members"));
    }
    let is_valid = |vm: &str| !vm.is_empty() && vm.len() <= VM_MAX_BYTES;
    if !beat.members.iter().all(|member| is_valid(&member.vm)) {
        return Err(invalid("the beat describes a member whose VM has no valid name"));
    }
    Ok(packet)
}

/// Returns the hashes if they are within the limits, else the error to answer.
pub(crate) fn checked_hashes(hashes: Option<Vec<u32>>) -> Result<Vec<u32>, ErrorObjectOwned> {
    let hashes = hashes.ok_or_else(|| invalid("the hashes can't be read"))?;
    if hashes.len() > MAX_MEMBERS {
        return Err(invalid("there are too many hashes"));
    }
    Ok(hashes)
}

/// Rejects a caller that isn't a process of the fleet.
pub(crate) fn check_peer(extensions: &Extensions) -> Result<(), ErrorObjectOwned> {
    if extensions.get::<Caller>() == Some(&Caller::Peer) {
        return Ok(());
    }
    let message = "an operator's key may only look: this call is for processes of the fleet";
    Err(ErrorObjectOwned::owned(FORBIDDEN, message, None::<()>))
}

/// Rejects a stamp without a valid VM name.
pub(crate) fn check_stamp(stamp: &Stamp) -> Result<(), ErrorObjectOwned> {
    if stamp.vm.is_empty() || stamp.vm.len() > VM_MAX_BYTES {
        return Err(invalid("the stamp names no valid VM"));
    }
    Ok(())
}

/// Returns the JSON-RPC error for invalid parameters.
pub(crate) fn invalid(message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INVALID_PARAMS_CODE, message, None::<()>)
}
