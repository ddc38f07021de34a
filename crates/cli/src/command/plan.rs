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
use crate::command::Context;
use crate::command::intent;
use crate::confirm;
use crate::fleet;
use crate::output::Format;

/// Time that a plan is stored for confirming.
const PLAN_TTL_SECONDS: u64 = 24 * 3600;

/// Computes the plan for an intent file, or for the intent in force if `by_demand`
/// is set and no file is given, then stores and prints it.
pub async fn run(
    context: &Context,
    file: Option<&Path>,
    by_demand: bool,
    format: Format,
) -> Result<(), Error> {
    let wanted = match file {
        Some(file) => Some(intent::read_intent(file)?),
        None if by_demand => None,
        None => return Err(Error::NoIntent),
    };
    propose(context, wanted, by_demand, format).await
}

/// Computes the plan for the wanted intent, or for the intent in force if that is
/// `None`, then stores and prints it.
pub async fn propose(
    context: &Context,
    wanted: Option<Document>,
    by_demand: bool,
    format: Format,
) -> Result<(), Error> {
    let profile = &context.profile;
    let status = fleet::status(profile).await?;
    let demand = match by_demand {
        true => Some(fleet::demand(profile, &status).await?),
        false => None,
    };
    let stored = confirm::current(&context.store, &profile.cluster).await?;
    let base = stored.revision;
    let current = fleet::newest_document(profile, &status, stored).await?;
    let basis = Basis {
        current: &current,
        base,
        fleet: &fleet::engines(&status),
        demand: demand.as_ref(),
        operator: &profile.operator,
    };
    let plan = plan::plan(wanted.unwrap_or_else(|| current.clone()), &basis);
    store_plan(&context.store, &profile.cluster, &plan).await?;
    format.print(&plan);
    Ok(())
}

/// Writes a plan to the key-value service under its name.
///
/// The name is derived from the contents, so that the write can be repeated
/// after a lost answer.
async fn store_plan(store: &dyn Store, cluster: &str, plan: &Plan) -> Result<(), Error> {
    let value = serde_json::to_vec(&plan.for_storage()).unwrap_or_default();
    if value.len() > layout::VALUE_MAX_BYTES {
        return Err(Error::PlanTooLarge(value.len(), layout::VALUE_MAX_BYTES));
    }
    let lease = store.grant(PLAN_TTL_SECONDS).await?;
    let put = Put { key: layout::plan(cluster, &plan.name), value, lease: Some(lease) };
    let write = Commit { puts: vec![put], ..Commit::default() };
    match store.commit(&write).await {
        Err(store::Error::Lost(_)) => store.commit(&write).await.map(drop),
        outcome => outcome.map(drop),
    }
    .map_err(Error::Store)
}
