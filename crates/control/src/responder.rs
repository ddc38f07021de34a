//! Answers control calls of peers from the blackboard.

use std::sync::Arc;

use burn::Sheet;
use config::Document;
use policy::gossip::digest;
use rpc::Difference;
use rpc::Handler;
use rpc::Known;
use rpc::Packet;
use rpc::Status;
use wire::Member;
use wire::Stamp;
use wire::id;

use crate::packets;
use crate::shared::Shared;

/// Answers control calls from the state of this process, without waiting.
pub(crate) struct Responder {
    pub(crate) shared: Arc<Shared>,
}

impl Handler for Responder {
    fn beat(&self, packet: Packet) -> Packet {
        packets::merge(&self.shared, packet);
        packets::compose(&self.shared)
    }

    fn hashes(&self, stamp: Stamp, buckets: &[u32]) -> Vec<u32> {
        self.record_stamp(&stamp);
        self.shared.board.with_roster(|roster| digest::differing(roster, buckets))
    }

    fn described(&self, stamp: Stamp, hashes: &[u32]) -> Vec<Member> {
        self.record_stamp(&stamp);
        self.shared.board.with_roster(|roster| digest::members(roster, hashes))
    }

    fn document(&self, stamp: Stamp, after: id::Revision) -> Option<Arc<Document>> {
        self.record_stamp(&stamp);
        let document = self.shared.board.document();
        (document.revision > after).then_some(document)
    }

    fn stamp(&self, stamp: Stamp) -> Stamp {
        self.record_stamp(&stamp);
        self.shared.board.stamp()
    }

    fn difference(&self, stamp: Stamp, after: id::Revision) -> Option<Difference> {
        self.record_stamp(&stamp);
        let document = self.shared.board.document();
        let base = self.shared.with(|table| table.history.document(after))?;
        (document.revision > after).then(|| Difference::between(&base, &document))?
    }

    fn sheet(&self, stamp: Stamp) -> Sheet {
        self.record_stamp(&stamp);
        self.shared.board.sheet()
    }

    fn status(&self, stamp: Stamp) -> Status {
        self.record_stamp(&stamp);
        let now = self.shared.board.now();
        let members = self.shared.board.with_roster(|roster| {
            let describe = |member: &Member| {
                let age = roster.age(&member.vm, now).unwrap_or_default();
                Known {
                    vm: member.vm.clone(),
                    incarnation: member.incarnation,
                    role: member.role,
                    centre: member.centre.clone(),
                    state: member.state,
                    revision: member.revision,
                    control: member.control,
                    holds: member.holds.clone(),
                    load: member.load,
                    age,
                }
            };
            roster.members().iter().map(describe).collect()
        });
        Status { stamp: self.shared.board.stamp(), members }
    }
}

impl Responder {
    fn record_stamp(&self, stamp: &Stamp) {
        crate::record_stamp(&self.shared.stamps, stamp);
    }
}
