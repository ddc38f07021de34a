//! Puts a plan in force, truthfully also when answers are lost.
//!
//! The head key is compared and swapped together with the document's own key,
//! so that of racing operators one wins. A lost answer is resolved by reading
//! the history's record of the revision back; see `docs/decisions/confirm.md`.

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

/// Tries before the outcome is reported as unknown.
const TRIES: u32 = 5;
/// Pause before the next try, growing with each.
const PAUSE: Duration = Duration::from_millis(200);

/// Puts a plan in force and gives its revision.
///
/// Repeating it is harmless: a plan that is already in force counts as applied.
///
/// # Errors
///
/// [`Error::Superseded`] if another plan won, [`Error::Unknown`] if the
/// key-value service did not answer in the end.
pub async fn confirm(store: &dyn Store, cluster: &str, plan: &Plan) -> Result<id::Revision, Error> {
    let proposal = Proposal::new(cluster, plan);
    let mut last = String::new();
    let mut is_clean = true;
    for attempt in 0..TRIES {
        if attempt > 0 {
            tokio::time::sleep(PAUSE * attempt).await;
        }
        match try_once(store, cluster, &proposal).await {
            Ok(Some(revision)) => return Ok(revision),
            Ok(None) => "the head changed while it was compared".clone_into(&mut last),
            Err(Failure::Decided(error)) => return Err(error),
            Err(Failure::Store(error)) => {
                is_clean &= !matches!(error, store::Error::Lost(_));
                last = error.to_string();
                if is_clean && attempt + 1 == TRIES {
                    return Err(Error::Store(error));
                }
            }
        }
    }
    Err(Error::Unknown(last))
}

/// Reads the head key with its version; version 0 if nothing was confirmed yet.
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

/// Reads the configuration in force; an empty one before the first confirm.
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

/// Reads the document of a revision, if that is still kept.
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

/// Reads what the history says of a confirm, if that is still kept.
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

/// A plan with what confirming it writes.
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

    /// The write, if the head still has a version and nobody wrote the document.
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

enum Failure {
    /// The outcome is known, and trying again changes nothing.
    Decided(Error),
    Store(store::Error),
}

impl From<store::Error> for Failure {
    fn from(error: store::Error) -> Failure {
        Failure::Store(error)
    }
}

async fn try_once(
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
        return decided(store, cluster, proposal, in_force).await.map(Some);
    }
    if in_force != proposal.base {
        let operator = known.map_or_else(String::new, |(_, head)| head.operator);
        let record = record(store, cluster, in_force).await?;
        let changes = record.map_or_else(|| "no record".to_owned(), |record| record.summary());
        return Err(Failure::Decided(Error::Superseded(in_force, operator, changes)));
    }
    match store.commit(&proposal.commit(cluster, version)).await? {
        Outcome::Written(_) => Ok(Some(revision)),
        Outcome::Conflict => Ok(None),
    }
}

/// Whose plan got the proposal's revision, by the history.
async fn decided(
    store: &dyn Store,
    cluster: &str,
    proposal: &Proposal,
    in_force: id::Revision,
) -> Result<id::Revision, Failure> {
    let revision = proposal.head.revision;
    let Some(record) = record(store, cluster, revision).await? else {
        return Err(Failure::Decided(Error::Forgotten(revision, in_force)));
    };
    if record.digest == proposal.head.digest {
        return Ok(revision);
    }
    let changes = record.summary();
    Err(Failure::Decided(Error::Superseded(revision, record.operator, changes)))
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}
