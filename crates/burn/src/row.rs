//! The count of one service and client account.

use serde::Deserialize;
use serde::Serialize;
use wire::id;

use crate::Count;

/// The count of one service and account; lists of rows are sorted by service, then account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The service.
    pub service: id::Service,
    /// The client account.
    pub account: id::Account,
    /// The requests by outcome.
    pub count: Count,
}

/// Returns the count of a service and account in sorted rows; a row is inserted if it is new.
pub fn count_mut<'a>(rows: &'a mut Vec<Row>, service: &str, account: &str) -> &'a mut Count {
    let found = rows.binary_search_by(|row| {
        (row.service.as_str(), row.account.as_str()).cmp(&(service, account))
    });
    let index = found.unwrap_or_else(|index| {
        let row = Row {
            service: service.to_owned(),
            account: account.to_owned(),
            count: Count::default(),
        };
        rows.insert(index, row);
        index
    });
    &mut rows[index].count
}
