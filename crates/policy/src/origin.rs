//! Which software version of an endpoint began a stream.
//!
//! Streams of different versions don't fit together, so a stream that broke off goes on only at the
//! version that began it. Each gateway stores which versions it may have used lately, and, while a
//! service has several, which of them began each stream. A version that nobody stored is unknown,
//! never assumed to be the one that is left. See `docs/decisions/versions.md`.

mod ledger;
mod segment;

pub use ledger::Ledger;
pub use segment::Row;
pub use segment::Segment;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of the id of the request that brought the first event of a stream. Its 32 bits keep what is
/// read when a client comes back small, and tell some ten thousand streams apart.
pub type StreamId = u32;

/// Returns the id of the stream whose first event a request brought.
pub fn stream_id(request: &str) -> StreamId {
    // The lower half of the hash.
    xxh3_64(request.as_bytes()) as StreamId
}

/// Returns the version that began a stream of a service, by all that gateways have stored; `None`
/// if that is not known.
///
/// If all gateways used the same version lately, it began the stream, whether it was stored or not.
pub fn resolve<'a>(segments: &'a [Segment], service: &str, stream: StreamId) -> Option<&'a str> {
    let rows = segments.iter().flat_map(|segment| &segment.rows);
    let rows = rows.filter(|row| row.service == service);
    let mut only = None;
    let mut is_mixed = false;
    for row in rows {
        if row.streams.contains(&stream) {
            return Some(&row.version);
        }
        let known = *only.get_or_insert(&row.version);
        is_mixed |= *known != row.version;
    }
    only.filter(|_| !is_mixed).map(String::as_str)
}
