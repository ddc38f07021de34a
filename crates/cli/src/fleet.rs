//! Queries the processes of a fleet.

use burn::Sum;
use config::Demand;
use config::Document;
use config::Engine;
use futures_util::StreamExt;
use futures_util::stream;
use rpc::Key;
use rpc::Pool;
use rpc::Status;
use wire::Stamp;
use wire::id;
use wire::member::Role;
use wire::member::State;

use crate::Error;
use crate::Profile;

/// Name in the stamps of this client, which is no member of the fleet.
const CLIENT_NAME: &str = "lycheeknot";
/// Processes that are queried at the same time.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Returns the view of the fleet of the first process that answers.
///
/// # Errors
///
/// [`Error::Fleet`] with the failure of the last one if none answers.
pub async fn status(profile: &Profile) -> Result<Status, Error> {
    let pool = pool(profile)?;
    let mut reason = "the profile names none".to_owned();
    for &address in &profile.control {
        match pool.status(address, stamp()).await {
            Ok(status) => return Ok(status),
            Err(error) => reason = error.to_string(),
        }
    }
    Err(Error::Fleet(reason))
}

/// Returns the view of the first process that answers, after it was refreshed
/// from each process that is below `revision` in it.
///
/// Members' revisions spread slowly by design, so that the view of one process
/// is outdated; see `docs/decisions/membership.md`. Processes that don't answer
/// keep what the view says.
///
/// # Errors
///
/// [`Error::Fleet`] if none answers.
pub async fn refreshed_status(profile: &Profile, revision: id::Revision) -> Result<Status, Error> {
    let mut status = status(profile).await?;
    let pool = pool(profile)?;
    let lagging = status.members.iter_mut().filter(|known| known.revision < revision);
    let refreshed = stream::iter(lagging).for_each_concurrent(MAX_CONCURRENT_CALLS, |known| {
        let pool = &pool;
        async move {
            if let Ok(answer) = pool.stamp(known.control, stamp()).await {
                known.revision = answer.revision;
                known.incarnation = answer.incarnation;
            }
        }
    });
    refreshed.await;
    Ok(status)
}

/// Returns the sum of the counts of all entries in a view.
///
/// # Errors
///
/// [`Error::Fleet`] if the profile's key is not usable.
pub async fn counts(profile: &Profile, status: &Status) -> Result<Sum, Error> {
    let pool = pool(profile)?;
    let entries = status.members.iter().filter(|member| member.role == Role::Entry);
    let mut answers = stream::iter(entries)
        .map(|entry| {
            let pool = &pool;
            async move { (&entry.vm, pool.sheet(entry.control, stamp()).await) }
        })
        .buffer_unordered(MAX_CONCURRENT_CALLS);
    let mut sum = Sum::default();
    while let Some((vm, sheet)) = answers.next().await {
        match sheet {
            Ok(sheet) => sum.add(&sheet),
            Err(_) => sum.record_missing(vm.clone()),
        }
    }
    Ok(sum)
}

/// Returns the requests per service that the entries counted within the last hour.
///
/// # Errors
///
/// [`Error::NoDemand`] if no entry counted a request, and those of [`counts`].
pub async fn demand(profile: &Profile, status: &Status) -> Result<Demand, Error> {
    let demand = counts(profile, status).await?.demand();
    if demand.is_empty() { Err(Error::NoDemand) } else { Ok(demand) }
}

/// Returns the configuration in force: `stored`, which is that of the key-value
/// service, or that of the process with the highest revision if this is higher,
/// as after the service was restored to an older state.
///
/// # Errors
///
/// [`Error::Fleet`] if that process can't be asked.
pub async fn newest_document(
    profile: &Profile,
    status: &Status,
    stored: Document,
) -> Result<Document, Error> {
    let Some(highest) = status.members.iter().max_by_key(|known| known.revision) else {
        return Ok(stored);
    };
    if highest.revision <= stored.revision {
        return Ok(stored);
    }
    let answer = pool(profile)?.document(highest.control, stamp(), stored.revision).await;
    let answer = answer.map_err(|error| Error::Fleet(error.to_string()))?;
    Ok(answer.unwrap_or(stored))
}

/// Creates a pool of connections to processes, which are authenticated with the profile's key.
///
/// # Errors
///
/// [`Error::Fleet`] if the profile's key is not usable.
pub fn pool(profile: &Profile) -> Result<Pool, Error> {
    let key = Key::new(&profile.key).map_err(|error| Error::Fleet(error.to_string()))?;
    Ok(Pool::new(key, MAX_CONCURRENT_CALLS))
}

/// Returns the stamp of this client, which has no configuration and hence revision 0.
pub fn stamp() -> Stamp {
    Stamp { vm: CLIENT_NAME.to_owned(), incarnation: 0, revision: 0 }
}

/// Returns the engines that a plan can assign, those of live agents.
///
/// An agent that is still starting has not announced yet whether its engine is
/// a model engine.
pub fn engines(status: &Status) -> Vec<Engine> {
    status
        .members
        .iter()
        .filter(|member| member.role == Role::Agent && member.state == State::Live)
        .map(|member| Engine {
            vm: member.vm.clone(),
            centre: member.centre.clone(),
            holds: member.holds.clone(),
        })
        .collect()
}
