//! Which software version of an endpoint began a stream.
//!
//! Streams of different versions don't fit together, so a stream that broke off goes on only at the
//! version that began it. Each gateway stores which versions it may have used lately, and, while a
//! service has several, which of them began each stream. A version that nobody stored is unknown,
//! never assumed to be the one that is left. See `docs/decisions/versions.md`.

mod custody;
mod journal;
mod ledger;
mod loss;
mod outage;
mod outlook;
mod segment;
mod signal;

use std::time::Duration;

pub use custody::Custody;
pub use journal::Journal;
pub use journal::ProcessId;
pub use ledger::Ledger;
pub use loss::Loss;
pub use outage::Outage;
pub use outlook::Outlook;
pub use segment::Row;
pub use segment::Segment;
pub use signal::Signal;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of the id of the request that brought the first event of a stream. Its 32 bits keep what is
/// read when a client comes back small, and tell some ten thousand streams apart.
pub type StreamId = u32;

/// Time after which endpoints and gateways have written again what the copy lacks from which the
/// store came back. Endpoints announce themselves within two seconds.
const SETTLE_TIME: Duration = Duration::from_millis(2_200);

/// Time since a restore of the store after which the streams of gateways whose journals it lost are
/// over.
const LOST_JOURNALS_TIME: Duration = Duration::from_secs(60);

/// What is known of the version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin<'a> {
    /// This version began it.
    Version(&'a str),
    /// It isn't known yet: others may still write what the store lacks.
    Pending,
    /// It can't be found out.
    Unknown,
}

/// Returns the id of the stream whose first event a request brought.
pub fn stream_id(request: &str) -> StreamId {
    // The lower half of the hash.
    xxh3_64(request.as_bytes()) as StreamId
}

/// Returns the version that began a stream of a service, if a gateway has stored it.
pub fn find<'a>(journals: &'a [Journal], service: &str, stream: StreamId) -> Option<&'a str> {
    journals.iter().find_map(|journal| journal.find(service, stream))
}

/// Returns which version began a stream of a service, by all that gateways have stored and by what
/// the asking one knows itself.
///
/// If all of them know the same version only, it began the stream, whether it was stored or not. If
/// they know several, that a row is missing tells nothing, as rows and replicas may be lost together.
/// The stream is then of one of the processes that may have begun it, which are all but those that run
/// and say that they did not ([`Journal::is_excluded`]); only if the journals of the others name one
/// version together, it is known. A stream without an id is known only in the first case.
pub fn resolve<'a>(
    journals: &'a [Journal],
    outlook: &'a Outlook,
    service: &str,
    stream: Option<StreamId>,
) -> Origin<'a> {
    if let Some(version) = stream.and_then(|stream| find(journals, service, stream)) {
        return Origin::Version(version);
    }
    let is_complete = journals.iter().all(|journal| journal.is_complete);
    let is_settled = outlook.age >= SETTLE_TIME || outlook.is_first && is_complete;
    if !is_settled {
        return Origin::Pending;
    }
    let stored = journals.iter().flat_map(|journal| journal.versions(service));
    let orphans = journals.iter().map(|journal| &journal.orphans).chain([&outlook.orphans]);
    let orphans: Vec<&str> = orphans.flat_map(|segment| segment.versions(service)).collect();
    let known = stored.chain(outlook.versions(service)).chain(orphans.iter().copied());
    if let Some(version) = single(known) {
        return Origin::Version(version);
    }
    if stream.is_none() {
        return Origin::Unknown;
    }
    let has_seen_all = outlook.is_first || outlook.age >= LOST_JOURNALS_TIME;
    match &outlook.loss {
        None if !is_complete || !has_seen_all => return Origin::Unknown,
        Some(loss) if loss.age < SETTLE_TIME => return Origin::Pending,
        _ => {}
    }
    let suspects = journals.iter().filter(|journal| !journal.is_excluded);
    let suspected = suspects.flat_map(|journal| journal.versions(service));
    // A lost journal had some of these versions.
    let lost = outlook.loss.iter().flat_map(|loss| loss.versions(service));
    match single(suspected.chain(orphans).chain(lost)) {
        Some(version) => Origin::Version(version),
        None => Origin::Unknown,
    }
}

/// Returns the version that all of these are; `None` if they are several or there is none.
fn single<'a>(mut versions: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let first = versions.next()?;
    versions.all(|version| version == first).then_some(first)
}
