//! Limits of size, number and time.

use std::time::Duration;

use jsonrpsee::Extensions;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;
use wire::Stamp;

use crate::Packet;
use crate::keys::Caller;

/// Bytes of a call.
pub(crate) const CALL_BYTES: u32 = 256 * 1024;

/// Bytes of an answer: a document of a megabyte with its JSON escapes.
pub(crate) const ANSWER_BYTES: u32 = 4 * 1024 * 1024;

/// Connections that peers may hold open to one process.
pub(crate) const CONNECTIONS: u32 = 256;

/// Time for a connection to be made.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a call to be answered.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for open connections to end once the server stops.
pub(crate) const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two pings on a connection that is open and silent.
pub(crate) const PING_INTERVAL: Duration = Duration::from_secs(20);

/// Members that one message may describe or name by their hashes, and suspects
/// that it may name.
pub(crate) const MEMBERS: usize = 512;

/// Prefixes that a caller may ask for at once; a gateway follows two.
pub(crate) const PREFIXES: usize = 8;

/// Bytes that the name of a VM may have.
const NAME_BYTES: usize = 253;

/// Code of the answer to a call that the caller's key doesn't allow.
const FORBIDDEN: i32 = -32_001;

/// Rejects a beat that no process of the system would send.
pub(crate) fn checked(packet: Option<Packet>) -> Result<Packet, ErrorObjectOwned> {
    let packet = packet.ok_or_else(|| invalid("the beat can't be read"))?;
    let beat = &packet.beat;
    check_stamp(&beat.stamp)?;
    if beat.members.len() > MEMBERS || packet.suspects.len() > MEMBERS {
        return Err(invalid("the beat describes too many members"));
    }
    let is_named = |vm: &str| !vm.is_empty() && vm.len() <= NAME_BYTES;
    if !beat.members.iter().all(|member| is_named(&member.vm)) {
        return Err(invalid("the beat describes a member whose VM has no valid name"));
    }
    Ok(packet)
}

/// Rejects hashes that no process of the system would send.
pub(crate) fn checked_hashes(hashes: Option<Vec<u32>>) -> Result<Vec<u32>, ErrorObjectOwned> {
    let hashes = hashes.ok_or_else(|| invalid("the hashes can't be read"))?;
    if hashes.len() > MEMBERS {
        return Err(invalid("there are too many hashes"));
    }
    Ok(hashes)
}

/// Rejects a call that only processes of the fleet may make.
pub(crate) fn check_peer(extensions: &Extensions) -> Result<(), ErrorObjectOwned> {
    if extensions.get::<Caller>() == Some(&Caller::Peer) {
        return Ok(());
    }
    let message = "an operator's key may only look: this call is for processes of the fleet";
    Err(ErrorObjectOwned::owned(FORBIDDEN, message, None::<()>))
}

/// Rejects a stamp that names no VM.
pub(crate) fn check_stamp(stamp: &Stamp) -> Result<(), ErrorObjectOwned> {
    if stamp.vm.is_empty() || stamp.vm.len() > NAME_BYTES {
        return Err(invalid("the stamp names no valid VM"));
    }
    Ok(())
}

pub(crate) fn invalid(message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INVALID_PARAMS_CODE, message, None::<()>)
}
