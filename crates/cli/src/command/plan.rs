//! `lycheeknot plan`.

use std::path::Path;

use config::Basis;
use config::Document;
use config::Plan;
use config::layout;
use config::plan;
use services::Store;
use services::store;
use services::store::Commit;
use services::store::Put;

use crate::Error;
use crate::command::Operation;
use crate::command::intent;
use crate::confirm;
use crate::fleet;
use crate::output::Format;

/// Seconds that a plan is kept for confirming.
const KEPT_S: u64 = 24 * 3600;

/// Computes the plan for an intent, or for the one in force by its demand; keeps and
/// prints it.
pub async fn run(
    operation: &Operation,
    file: Option<&Path>,
    by_demand: bool,
    format: Format,
) -> Result<(), Error> {
    let wanted = match file {
        Some(file) => Some(intent::parse(file)?),
        None if by_demand => None,
        None => return Err(Error::NoIntent),
    };
    propose(operation, wanted, by_demand, format).await
}

/// Computes the plan for what is wanted, else for what is in force, keeps it and prints it.
pub async fn propose(
    operation: &Operation,
    wanted: Option<Document>,
    by_demand: bool,
    format: Format,
) -> Result<(), Error> {
    let profile = &operation.profile;
    let status = fleet::status(profile).await?;
    let demand = match by_demand {
        true => Some(fleet::demand(profile, &status).await?),
        false => None,
    };
    let shown = confirm::current(&operation.store, &profile.cluster).await?;
    let base = shown.revision;
    let current = fleet::newest(profile, &status, shown).await?;
    let basis = Basis {
        current: &current,
        base,
        fleet: &fleet::engines(&status),
        demand: demand.as_ref(),
        operator: &profile.operator,
    };
    let plan = plan::plan(wanted.unwrap_or_else(|| current.clone()), &basis);
    keep(&operation.store, &profile.cluster, &plan).await?;
    format.print(&plan);
    Ok(())
}

/// Writes the plan under its name; it is named by its contents, so writing it
/// again after a lost answer changes nothing.
async fn keep(store: &dyn Store, cluster: &str, plan: &Plan) -> Result<(), Error> {
    let value = serde_json::to_vec(&plan.for_storage()).unwrap_or_default();
    if value.len() > layout::VALUE_MAX_BYTES {
        return Err(Error::Large(value.len(), layout::VALUE_MAX_BYTES));
    }
    let lease = store.grant(KEPT_S).await?;
    let put = Put { key: layout::plan(cluster, &plan.name), value, lease: Some(lease) };
    let write = Commit { puts: vec![put], ..Commit::default() };
    match store.commit(&write).await {
        Err(store::Error::Lost(_)) => store.commit(&write).await.map(drop),
        outcome => outcome.map(drop),
    }
    .map_err(Error::Store)
}
