//! `lycheeknot rollback`.

use config::layout;
use wire::id;

use crate::Error;
use crate::command::Context;
use crate::command::plan;
use crate::confirm;
use crate::output::Format;

/// Computes the plan that restores the intent of a revision, then stores and prints it.
///
/// Assignments are computed again, as the fleet may have changed since that revision.
pub async fn run(context: &Context, revision: id::Revision, format: Format) -> Result<(), Error> {
    let cluster = &context.profile.cluster;
    let document = confirm::document(&context.store, cluster, revision).await?;
    let missing = || Error::NoDocument(revision, layout::DOCUMENTS_KEPT);
    plan::propose(context, Some(document.ok_or_else(missing)?), false, format).await
}
