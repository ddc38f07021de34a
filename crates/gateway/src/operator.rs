//! Applies the keys that operators write: the configuration and evacuations.

use std::time::Duration;

use route::Dialect;
use services::feed::Listing;
use services::store::Change;
use services::store::Entry;

use crate::Routing;
use crate::evacuations::News;

/// Applies all keys of operators. Evacuations come first, since
/// the first configuration makes the gateway send requests.
pub(crate) fn apply_listing(
    routing: &Routing,
    dialect: &dyn Dialect,
    listing: &Listing,
    after_outage: bool,
) {
    let Listing { entries, version } = listing;
    let evacuation =
        |entry: &Entry| Some((dialect.evacuation(&entry.key, &entry.value)?, entry.version));
    let evacuations = entries.iter().filter_map(evacuation).collect();
    let news = News::Listed { evacuations, after_outage };
    routing.update_evacuations(news, *version, Duration::ZERO);
    entries.iter().for_each(|entry| apply_table(routing, dialect, entry));
}

/// Applies changes of keys of operators, which the store told some time ago.
pub(crate) fn apply_change(
    routing: &Routing,
    dialect: &dyn Dialect,
    change: &Change,
    age: Duration,
) {
    for entry in &change.entries {
        match dialect.evacuation(&entry.key, &entry.value) {
            Some(evacuation) => {
                let news = News::Written(evacuation, entry.version);
                routing.update_evacuations(news, change.version, age);
            }
            None => apply_table(routing, dialect, entry),
        }
    }
    for key in &change.removed {
        if key == dialect.table_key() {
            log::warn!(key = key.as_str();
                "the configuration was removed; the last one stays in force");
        } else if let Some(evacuation) = dialect.evacuation(key, &[]) {
            let news = News::Removed(evacuation.centre);
            routing.update_evacuations(news, change.version, age);
        }
    }
}

/// Puts a configuration in force if it can be decoded and is newer. Other keys of operators are
/// ignored.
fn apply_table(routing: &Routing, dialect: &dyn Dialect, entry: &Entry) {
    if entry.key != dialect.table_key() {
        return;
    }
    match dialect.table(&entry.value) {
        Ok(table) => {
            let (version, routes) = (table.version(), table.len());
            let is_newer = routing.set_table(table);
            log::info!(version, routes, revision = entry.version, is_newer; "configuration");
        }
        Err(error) => log::error!(revision = entry.version; "{error}"),
    }
}
