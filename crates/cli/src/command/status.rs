//! `lycheeknot status`.

use std::fmt;

use rpc::Status;
use rpc::status::Known;
use serde::Serialize;
use wire::id;

use crate::Error;
use crate::command::Context;
use crate::confirm;
use crate::fleet;
use crate::output::Format;

#[derive(Debug, Serialize)]
struct View {
    /// The confirmed revision, `None` if the key-value service didn't answer.
    confirmed: Option<id::Revision>,
    status: Status,
}

impl fmt::Display for View {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.confirmed {
            Some(revision) => writeln!(f, "confirmed: revision {revision}")?,
            None => writeln!(f, "confirmed: unknown, the key-value service does not answer")?,
        }
        writeln!(f, "seen by: {}", self.status.stamp.vm)?;
        let header = ["VM", "ROLE", "CENTRE", "STATE", "REVISION", "LOAD", "HOLDS", "AGE"];
        row(f, &header.map(str::to_owned))?;
        for known in &self.status.members {
            row(f, &self.columns(known))?;
        }
        Ok(())
    }
}

impl View {
    fn columns(&self, known: &Known) -> [String; 8] {
        let is_lagging = self.confirmed.is_some_and(|revision| known.revision < revision);
        let mark = if is_lagging { " lags" } else { "" };
        [
            known.vm.clone(),
            format!("{:?}", known.role).to_lowercase(),
            known.centre.clone(),
            format!("{:?}", known.state).to_lowercase(),
            format!("{}{mark}", known.revision),
            format!("{}/{}", known.load.requests(), known.load.slots),
            known.holds.join(","),
            format!("{:.1}s", known.age.as_secs_f32()),
        ]
    }
}

fn row(f: &mut fmt::Formatter<'_>, columns: &[String; 8]) -> fmt::Result {
    let [vm, role, centre, state, revision, load, holds, age] = columns;
    let line = format!(
        "{vm:<20} {role:<6} {centre:<8} {state:<9} {revision:<13} {load:<9} {age:<7} {holds}"
    );
    writeln!(f, "{}", line.trim_end())
}

/// Prints every known process with the revision in force there.
pub async fn run(context: &Context, format: Format) -> Result<(), Error> {
    let head = confirm::head(&context.store, &context.profile.cluster).await;
    let confirmed = match head {
        Ok(head) => Some(head.map_or(0, |(_, head)| head.revision)),
        Err(_) => None,
    };
    let status = fleet::refreshed_status(&context.profile, confirmed.unwrap_or_default()).await?;
    format.print(&View { confirmed, status });
    Ok(())
}
