//! Quarantines in the store, so that they outlive the processes of all gateways.

use std::time::Duration;

use policy::quarantine::Digest;
use policy::quarantine::PartId;
use policy::quarantine::StartId;
use policy::quarantine::Suspect;
use policy::relay::Duty;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use services::Store;
use services::store::Commit;
use services::store::Condition;
use services::store::Entry;
use services::store::Error;
use services::store::Outcome;
use services::store::Put;
use tokio::time::sleep;

use crate::Routing;
use crate::peer::Peers;
use crate::peer::Restores;
use crate::peer::Returns;

/// Prefix of the keys of quarantines.
const PREFIX: &str = "lycheeknot/quarantine/";

/// Time to live of a stored quarantine, in seconds: as long as a crash counts.
const LEASE_TTL_S: u64 = 600;

/// Interval between checks whether quarantines have begun or ended.
const INTERVAL: Duration = Duration::from_millis(500);

/// Time between the crashes of a stored quarantine. Their own times are not stored; all that
/// counts is that they were apart.
const SPACING: Duration = Duration::from_secs(1);

/// Most crashes that are stored of a quarantine.
const MAX_STARTS: usize = 8;

/// Removed quarantines that are remembered, as a restored store may have them again.
const MAX_REMOVED: usize = 16;

/// A quarantine as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Stored {
    /// The parts that are refused together.
    parts: Vec<PartId>,
    /// The starts of endpoints that they have crashed.
    starts: Vec<StartId>,
}

/// Learns the quarantines among the entries of the store.
pub(crate) fn learn(routing: &Routing, entries: &[Entry]) {
    for stored in entries.iter().filter_map(decode) {
        let Some(suspect) = Suspect::new(stored.parts) else { continue };
        let starts = stored.starts.into_iter().take(MAX_STARTS);
        let ages = (0..).map(|index| SPACING * index);
        let crash = |(start, age)| (start, age, vec![suspect.clone()]);
        let crashes = starts.zip(ages).map(crash).collect();
        let crashes = Digest { crashes, successes: Vec::new() };
        routing.quarantine().learn(&crashes, routing.now());
    }
}

/// Writes quarantines that begin to the store, and removes those that end, as long as this
/// gateway reports to no other one.
pub(crate) async fn keep_written(store: &dyn Store, peers: &Peers) {
    let mut written: Vec<String> = Vec::new();
    let mut removed: Vec<String> = Vec::new();
    let (mut restores, mut returns) = (Restores::new(peers), Returns::new(peers));
    loop {
        sleep(INTERVAL.mul_f64(rand::rng().random_range(0.75..1.25))).await;
        if !peers.relays(Duty::Loads).is_empty() {
            continue;
        }
        let current: Vec<(String, Stored)> =
            peers.routing().quarantine().evidence().into_iter().map(keyed).collect();
        if restores.has_restored() {
            // The copy may lack what was written, and still have what was removed.
            written.append(&mut removed);
            written.retain(|key| current.iter().all(|(other, _)| other != key));
        }
        if returns.has_returned() {
            // Their leases may have ended. What the store still has is not written over.
            written.retain(|key| current.iter().all(|(other, _)| other != key));
        }
        for (key, stored) in &current {
            if written.contains(key) {
                continue;
            }
            match write(store, key, stored).await {
                Ok(()) => written.push(key.clone()),
                Err(error) => {
                    log::info!(key = key.as_str(); "a quarantine was not stored: {error}")
                }
            }
        }
        let is_ended = |key: &String| current.iter().all(|(other, _)| other != key);
        let ended: Vec<String> = written.extract_if(.., |key| is_ended(key)).collect();
        if ended.is_empty() {
            continue;
        }
        removed.extend(ended.iter().cloned());
        removed.drain(..removed.len().saturating_sub(MAX_REMOVED));
        let commit = Commit { removes: ended, ..Commit::default() };
        if let Err(error) = store.commit(&commit).await {
            log::info!("ended quarantines stay stored until their lease ends: {error}");
        }
    }
}

/// Returns a quarantine with the key under which it is stored.
fn keyed((suspect, mut starts): (Suspect, Vec<StartId>)) -> (String, Stored) {
    let names: Vec<String> = suspect.parts().iter().map(|part| format!("{part:x}")).collect();
    starts.truncate(MAX_STARTS);
    let key = format!("{PREFIX}{}", names.join("-"));
    (key, Stored { parts: suspect.parts().to_vec(), starts })
}

/// Writes a quarantine unless another gateway has.
async fn write(store: &dyn Store, key: &str, stored: &Stored) -> Result<(), Error> {
    let value = serde_json::to_vec(stored)
        .map_err(|error| Error::Protocol(format!("a quarantine can't be encoded: {error}")))?;
    let lease = store.grant(LEASE_TTL_S).await?;
    let put = Put { key: key.to_owned(), value, lease: Some(lease) };
    let is_new = Condition { key: key.to_owned(), version: 0 };
    let commit = Commit { conditions: vec![is_new], puts: vec![put], removes: Vec::new() };
    match store.commit(&commit).await? {
        Outcome::Written(_) => log::info!(key; "a quarantine was stored"),
        Outcome::Conflict => log::debug!(key; "the quarantine is stored already"),
    }
    Ok(())
}

/// Decodes a stored quarantine; `None` if the entry is none or is malformed.
fn decode(entry: &Entry) -> Option<Stored> {
    entry.key.strip_prefix(PREFIX)?;
    let decoded = serde_json::from_slice(&entry.value);
    let log = |error: &serde_json::Error| {
        log::warn!(key = entry.key.as_str(); "a quarantine is malformed: {error}");
    };
    decoded.inspect_err(log).ok()
}
