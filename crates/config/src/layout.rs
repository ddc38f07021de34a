//! Keys of the data in the key-value service.
//!
//! Each document is stored under a key of its own. The head stays small, and it
//! is the only key that is updated by compare-and-swap and watched.

use std::ops::Range;

use serde::Deserialize;
use serde::Serialize;
use wire::Digest;
use wire::id;

/// Largest value that the key-value service accepts, in bytes.
pub const VALUE_MAX_BYTES: usize = 1 << 20;
/// Number of documents that are kept, including the one in force.
pub const DOCUMENTS_KEPT: u64 = 200;
/// Number of history records that are kept, more than are written in the day for
/// which a plan stays valid.
pub const RECORDS_KEPT: u64 = 1500;
/// Most documents that one confirm removes, and most records.
const MAX_REMOVED: u64 = 50;

/// The value of the head key: the confirmed revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The revision in force.
    pub revision: id::Revision,
    /// The operator who confirmed it.
    pub operator: id::Operator,
    /// Hash of the document, with which a reader checks the document it read.
    pub digest: Digest,
}

/// Returns the key of the [`Head`], which names the confirmed revision.
pub fn head(cluster: &str) -> String {
    format!("/lycheeknot/{cluster}/head")
}

/// Returns the key of a confirmed document.
pub fn document(cluster: &str, revision: id::Revision) -> String {
    format!("/lycheeknot/{cluster}/document/{revision:020}")
}

/// Returns the key of the history record of a confirm.
pub fn record(cluster: &str, revision: id::Revision) -> String {
    format!("/lycheeknot/{cluster}/record/{revision:020}")
}

/// Returns the keys that a confirm removes when it goes from revision `base` to
/// `revision`.
///
/// Each revision is removed by exactly one confirm, even if numbers are skipped.
pub fn expired(cluster: &str, base: id::Revision, revision: id::Revision) -> Vec<String> {
    let documents = expired_revisions(base, revision, DOCUMENTS_KEPT);
    let records = expired_revisions(base, revision, RECORDS_KEPT);
    let documents = documents.map(|expired| document(cluster, expired));
    documents.chain(records.map(|expired| record(cluster, expired))).collect()
}

/// Returns the revisions that are among the last `kept` ones at `base` and no longer
/// at `revision`, at most [`MAX_REMOVED`].
fn expired_revisions(base: id::Revision, revision: id::Revision, kept: u64) -> Range<id::Revision> {
    let first = (base + 1).saturating_sub(kept).max(1);
    let end = (revision + 1).saturating_sub(kept).max(first);
    first..end.min(first + MAX_REMOVED)
}

/// Returns the key of a plan that is not confirmed yet.
pub fn plan(cluster: &str, name: &str) -> String {
    format!("/lycheeknot/{cluster}/plan/{name}")
}

/// Returns the key of the claim on a call that must not run twice.
///
/// The call is identified by its account, its service and its idempotency key.
pub fn claim(cluster: &str, account: &str, service: &str, key: &str) -> String {
    let scope = format!("{}:{account}/{}:{service}/{key}", account.len(), service.len());
    format!("/lycheeknot/{cluster}/claim/{}", Digest::of(scope.as_bytes()))
}

/// Returns the key of the leader lease, whose holder is the only controller of a
/// scope.
pub fn controller(cluster: &str, scope: &str) -> String {
    format!("/lycheeknot/{cluster}/controller/{scope}")
}

/// Returns the key of one of the places that limit how many engines load a model at
/// the same time.
pub fn loading(cluster: &str, place: u32) -> String {
    format!("{}{place}", loading_prefix(cluster))
}

/// Returns the key prefix of all places for loading a model.
pub fn loading_prefix(cluster: &str) -> String {
    format!("/lycheeknot/{cluster}/loading/")
}
