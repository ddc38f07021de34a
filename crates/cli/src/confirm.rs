//! Confirms plans and reads what was confirmed, in the key-value service.
//!
//! A confirm is a compare-and-swap of the head key and the document's own key
//! together, so that only one of several racing operators succeeds. If the
//! answer to the write is lost, the history's record of the revision is read
//! back to learn the outcome; see `docs/decisions/confirm.md`.

use std::time::Duration;
use std::time::SystemTime;

use config::Document;
use config::Plan;
use config::Record;
use config::layout;
use serde::de::DeserializeOwned;
use services::Store;
use services::store;
use services::store::Commit;
use services::store::Condition;
use services::store::Outcome;
use services::store::Put;
use wire::Digest;
use wire::id;

use crate::Error;

/// Attempts before the outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 5;
/// Pause before the second attempt; it grows by as much with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Puts a plan in force and returns its revision.
///
/// It is idempotent: a plan that was already put in force counts as applied.
///
/// # Errors
///
/// [`Error::Superseded`] if another plan was put in force first,
/// [`Error::RecordExpired`] if the history no longer has the revision's record,
/// [`Error::Store`] if the key-value service failed and surely wrote nothing,
/// [`Error::Unknown`] if the outcome can't be learned.
pub async fn confirm(store: &dyn Store, cluster: &str, plan: &Plan) -> Result<id::Revision, Error> {
    let proposal = Proposal::new(cluster, plan);
    let mut last = String::new();
    let mut is_unwritten = true;
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(RETRY_PAUSE * attempt).await;
        }
        match try_confirm(store, cluster, &proposal).await {
            Ok(Some(revision)) => return Ok(revision),
            Ok(None) => "the head key changed between read and write".clone_into(&mut last),
            Err(Failure::Final(error)) => return Err(error),
            Err(Failure::Store(error)) => {
                is_unwritten &= !matches!(error, store::Error::Lost(_));
                last = error.to_string();
                if is_unwritten && attempt + 1 == MAX_ATTEMPTS {
                    return Err(Error::Store(error));
                }
            }
        }
    }
    Err(Error::Unknown(last))
}

/// Reads the head key with its version, `None` if nothing was confirmed yet.
///
/// # Errors
///
/// Those of the store.
pub async fn head(
    store: &dyn Store,
    cluster: &str,
) -> Result<Option<(u64, layout::Head)>, store::Error> {
    let Some(entry) = store.read(&layout::head(cluster)).await? else { return Ok(None) };
    let head = serde_json::from_slice(&entry.value)
        .map_err(|error| store::Error::Protocol(error.to_string()))?;
    Ok(Some((entry.version, head)))
}

/// Reads the configuration in force, an empty one before the first confirm.
///
/// A service that was restored to an older state returns an older configuration.
///
/// # Errors
///
/// Those of the store.
pub async fn current(store: &dyn Store, cluster: &str) -> Result<Document, store::Error> {
    let Some((_, head)) = head(store, cluster).await? else { return Ok(Document::default()) };
    let key = layout::document(cluster, head.revision);
    let missing = || store::Error::Protocol(format!("{key} is missing"));
    document(store, cluster, head.revision).await?.ok_or_else(missing)
}

/// Reads the document of a revision, `None` if it is no longer kept.
///
/// # Errors
///
/// Those of the store.
pub async fn document(
    store: &dyn Store,
    cluster: &str,
    revision: id::Revision,
) -> Result<Option<Document>, store::Error> {
    read(store, &layout::document(cluster, revision)).await
}

/// Reads the history's record of a revision, `None` if it is no longer kept.
///
/// # Errors
///
/// Those of the store.
pub async fn record(
    store: &dyn Store,
    cluster: &str,
    revision: id::Revision,
) -> Result<Option<Record>, store::Error> {
    read(store, &layout::record(cluster, revision)).await
}

async fn read<T: DeserializeOwned>(
    store: &dyn Store,
    key: &str,
) -> Result<Option<T>, store::Error> {
    let Some(entry) = store.read(key).await? else { return Ok(None) };
    let value = serde_json::from_slice(&entry.value);
    value.map(Some).map_err(|error| store::Error::Protocol(error.to_string()))
}

/// A plan with the changes to the store that put it in force.
struct Proposal {
    base: id::Revision,
    head: layout::Head,
    puts: Vec<Put>,
    removes: Vec<String>,
}

impl Proposal {
    fn new(cluster: &str, plan: &Plan) -> Proposal {
        let document = encode(&plan.document);
        let digest = Digest::of(&document);
        let revision = plan.document.revision;
        let operator = plan.document.operator.clone();
        let head = layout::Head { revision, operator, digest: digest.clone() };
        let record = Record::new(plan, digest, SystemTime::now());
        let put = |key, value| Put { key, value, lease: None };
        let puts = vec![
            put(layout::document(cluster, revision), document),
            put(layout::record(cluster, revision), encode(&record)),
            put(layout::head(cluster), encode(&head)),
        ];
        let removes = layout::expired(cluster, plan.base, revision);
        Proposal { base: plan.base, head, puts, removes }
    }

    /// Returns the write, on condition that the head key still has `version` and
    /// that nobody has written the revision's document.
    fn commit(&self, cluster: &str, version: u64) -> Commit {
        let document = layout::document(cluster, self.head.revision);
        Commit {
            conditions: vec![
                Condition { key: layout::head(cluster), version },
                Condition { key: document, version: 0 },
            ],
            puts: self.puts.clone(),
            removes: self.removes.clone(),
        }
    }
}

/// The failure of one attempt.
enum Failure {
    /// The outcome is known, and another attempt would not change it.
    Final(Error),
    /// The store failed; another attempt may succeed.
    Store(store::Error),
}

impl From<store::Error> for Failure {
    fn from(error: store::Error) -> Failure {
        Failure::Store(error)
    }
}

/// Makes one attempt and returns the revision, `None` if the head key changed meanwhile.
async fn try_confirm(
    store: &dyn Store,
    cluster: &str,
    proposal: &Proposal,
) -> Result<Option<id::Revision>, Failure> {
    let revision = proposal.head.revision;
    let known = head(store, cluster).await?;
    let (version, in_force) = match &known {
        Some((version, head)) => (*version, head.revision),
        None => (0, 0),
    };
    if in_force >= revision {
        return check_record(store, cluster, proposal, in_force).await.map(Some);
    }
    if in_force != proposal.base {
        let operator = known.map_or_else(String::new, |(_, head)| head.operator);
        let record = record(store, cluster, in_force).await?;
        let changes = record.map_or_else(|| "no record".to_owned(), |record| record.summary());
        return Err(Failure::Final(Error::Superseded(in_force, operator, changes)));
    }
    match store.commit(&proposal.commit(cluster, version)).await? {
        Outcome::Written(_) => Ok(Some(revision)),
        Outcome::Conflict => Ok(None),
    }
}

/// Returns the proposal's revision if the history records this plan under it; it
/// is an error if another plan has that revision.
async fn check_record(
    store: &dyn Store,
    cluster: &str,
    proposal: &Proposal,
    in_force: id::Revision,
) -> Result<id::Revision, Failure> {
    let revision = proposal.head.revision;
    let Some(record) = record(store, cluster, revision).await? else {
        return Err(Failure::Final(Error::RecordExpired(revision, in_force)));
    };
    if record.digest == proposal.head.digest {
        return Ok(revision);
    }
    let changes = record.summary();
    Err(Failure::Final(Error::Superseded(revision, record.operator, changes)))
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
