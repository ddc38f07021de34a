//! Checks the arguments of calls and passes them to the handler.

use std::sync::Arc;

use burn::Sheet;
use config::Document;
use jsonrpsee::Extensions;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use wire::Stamp;
use wire::id;

use crate::Difference;
use crate::Handler;
use crate::Status;
use crate::control::ControlServer;
use crate::limit;
use crate::packet;

/// Implements control calls with the handler of the process.
pub(crate) struct Methods {
    pub(crate) handler: Arc<dyn Handler>,
}

#[async_trait]
impl ControlServer for Methods {
    async fn beat(&self, caller: &Extensions, packet: String) -> RpcResult<String> {
        limit::check_peer(caller)?;
        let packet = limit::checked_packet(packet::decode(&packet))?;
        Ok(packet::encode(&self.handler.beat(packet)))
    }

    async fn hashes(
        &self,
        caller: &Extensions,
        stamp: Stamp,
        buckets: String,
    ) -> RpcResult<String> {
        limit::check_peer(caller)?;
        limit::check_stamp(&stamp)?;
        let buckets = limit::checked_hashes(packet::decode(&buckets))?;
        Ok(packet::encode(&self.handler.hashes(stamp, &buckets)))
    }

    async fn described(
        &self,
        caller: &Extensions,
        stamp: Stamp,
        hashes: String,
    ) -> RpcResult<String> {
        limit::check_peer(caller)?;
        limit::check_stamp(&stamp)?;
        let hashes = limit::checked_hashes(packet::decode(&hashes))?;
        Ok(packet::encode(&self.handler.described(stamp, &hashes)))
    }

    async fn document(&self, stamp: Stamp, after: id::Revision) -> RpcResult<Option<Document>> {
        limit::check_stamp(&stamp)?;
        let document = self.handler.document(stamp, after);
        packet::record_json("out", &document.as_deref());
        Ok(document.map(Arc::unwrap_or_clone))
    }

    async fn stamp(&self, stamp: Stamp) -> RpcResult<Stamp> {
        limit::check_stamp(&stamp)?;
        Ok(self.handler.stamp(stamp))
    }

    async fn difference(
        &self,
        caller: &Extensions,
        stamp: Stamp,
        after: id::Revision,
    ) -> RpcResult<Option<Difference>> {
        limit::check_peer(caller)?;
        limit::check_stamp(&stamp)?;
        let difference = self.handler.difference(stamp, after);
        packet::record_json("out", &difference);
        Ok(difference)
    }

    async fn sheet(&self, stamp: Stamp) -> RpcResult<Sheet> {
        limit::check_stamp(&stamp)?;
        Ok(self.handler.sheet(stamp))
    }

    async fn status(&self, stamp: Stamp) -> RpcResult<Status> {
        limit::check_stamp(&stamp)?;
        Ok(self.handler.status(stamp))
    }
}
