//! `lycheeknot history`.

use std::fmt;

use config::Record;
use config::layout;
use jiff::Timestamp;
use serde::Serialize;
use services::Store;
use services::store;

use crate::Error;
use crate::command::Context;
use crate::confirm;
use crate::output::Format;

#[derive(Debug, Serialize)]
struct History {
    /// Records, the newest first.
    confirms: Vec<Record>,
}

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.confirms.is_empty() {
            return writeln!(f, "nothing was confirmed yet");
        }
        for record in &self.confirms {
            let Record { revision, operator, plan, base, .. } = record;
            let at = format_time(record);
            writeln!(f, "revision {revision} at {at} by {operator}, plan {plan} on {base}")?;
            write!(f, "{record}")?;
        }
        Ok(())
    }
}

/// Returns the time when a record was written, to the second.
fn format_time(record: &Record) -> String {
    let at = Timestamp::try_from(record.at).ok();
    let second = at.and_then(|at| Timestamp::from_second(at.as_second()).ok());
    second.map_or_else(|| "an unknown time".to_owned(), |second| second.to_string())
}

/// Prints the last confirms, the newest first.
pub async fn run(context: &Context, last: usize, format: Format) -> Result<(), Error> {
    let confirms = records(&context.store, &context.profile.cluster, last).await?;
    format.print(&History { confirms });
    Ok(())
}

/// Reads the last records, the newest first.
///
/// After the key-value service was restored to an older state, some revisions
/// are skipped and have no record.
async fn records(
    store: &dyn Store,
    cluster: &str,
    last: usize,
) -> Result<Vec<Record>, store::Error> {
    let newest = confirm::head(store, cluster).await?.map_or(0, |(_, head)| head.revision);
    let oldest = newest.saturating_sub(layout::RECORDS_KEPT) + 1;
    let mut records = Vec::new();
    for revision in (oldest..=newest).rev() {
        if records.len() == last {
            break;
        }
        records.extend(confirm::record(store, cluster, revision).await?);
    }
    Ok(records)
}
