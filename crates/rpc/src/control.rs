//! The JSON-RPC interface of control calls.

use burn::Sheet;
use config::Document;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use wire::Stamp;
use wire::id;

use crate::Difference;
use crate::Status;

/// Control calls. Those declared `with_extensions` check the caller's key and are
/// refused to operators.
#[rpc(server, client, namespace = "control")]
pub trait Control {
    /// Merges an encoded [`crate::Packet`] of the caller and returns the own one.
    #[method(name = "beat", with_extensions)]
    async fn beat(&self, packet: String) -> RpcResult<String>;

    /// Returns the encoded hashes of the members in those buckets whose hash differs
    /// from the given one.
    #[method(name = "hashes", with_extensions)]
    async fn hashes(&self, stamp: Stamp, buckets: String) -> RpcResult<String>;

    /// Returns the encoded members whose descriptions have the given hashes.
    #[method(name = "described", with_extensions)]
    async fn described(&self, stamp: Stamp, hashes: String) -> RpcResult<String>;

    /// Returns the configuration in force if its revision is above `after`.
    #[method(name = "document")]
    async fn document(&self, stamp: Stamp, after: id::Revision) -> RpcResult<Option<Document>>;

    /// Returns the stamp of the process, which holds the revision in force there.
    #[method(name = "stamp")]
    async fn stamp(&self, stamp: Stamp) -> RpcResult<Stamp>;

    /// Returns the changes since the revision `after`, if that is still kept.
    #[method(name = "difference", with_extensions)]
    async fn difference(&self, stamp: Stamp, after: id::Revision) -> RpcResult<Option<Difference>>;

    /// Returns the service-level counts of the last hour.
    #[method(name = "sheet")]
    async fn sheet(&self, stamp: Stamp) -> RpcResult<Sheet>;

    /// Returns all members that the process knows.
    #[method(name = "status")]
    async fn status(&self, stamp: Stamp) -> RpcResult<Status>;
}
