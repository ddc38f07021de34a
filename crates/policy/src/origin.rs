//! Which software version of an endpoint began a stream.
//!
//! Streams of different versions don't fit together, so a stream that broke off goes on only at the
//! version that began it. Each gateway stores which versions it may have used lately, and, while a
//! service has several, which of them began each stream. A version that nobody stored is unknown,
//! never assumed to be the one that is left. See `docs/decisions/versions.md`.

mod journal;
mod ledger;
mod loss;
mod outlook;
mod segment;

use std::time::Duration;

pub use journal::Journal;
pub use ledger::Ledger;
pub use loss::Loss;
pub use outlook::Outlook;
pub use segment::Row;
pub use segment::Segment;
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
/// they know several, those that know more than one have stored each stream, so one that isn't stored
/// began at a gateway that knew a single version, or at one whose journal the store has lost. A stream
/// without an id is known only in the first case.
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
    let mut versions: Vec<&str> = stored.chain(outlook.versions(service)).collect();
    versions.sort_unstable();
    versions.dedup();
    if let [version] = versions[..] {
        return Origin::Version(version);
    }
    if stream.is_none() {
        return Origin::Unknown;
    }
    let complete = journals.iter().filter(|journal| journal.is_complete);
    let mut single: Vec<&str> =
        complete.filter_map(|journal| journal.single_version(service)).collect();
    let has_seen_all = outlook.is_first || outlook.age >= LOST_JOURNALS_TIME;
    match &outlook.loss {
        None if !is_complete || !has_seen_all => return Origin::Unknown,
        None => {}
        Some(loss) if loss.age < SETTLE_TIME => return Origin::Pending,
        Some(loss) => {
            // A lost journal had some of these versions, and one that lacks rows had its own.
            single.extend(loss.versions(service));
            let incomplete = journals.iter().filter(|journal| !journal.is_complete);
            single.extend(incomplete.flat_map(|journal| journal.versions(service)));
        }
    }
    single.sort_unstable();
    single.dedup();
    match single[..] {
        [version] => Origin::Version(version),
        _ => Origin::Unknown,
    }
}
