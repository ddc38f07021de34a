//! Differences between two documents.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::Assignment;
use crate::Document;
use crate::detail;

/// One object that differs between two documents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Whether the object is added, removed or changed.
    pub kind: Kind,
    /// The kind of object, such as `service`.
    #[serde(rename = "thing")]
    pub object: String,
    /// The object's name.
    pub name: String,
    /// Changed fields with old and new values, or what an engine holds; may be
    /// empty.
    pub detail: String,
}

/// The kind of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// The object is only in the new document.
    Add,
    /// The object is only in the old document.
    Remove,
    /// The object is in both documents with different values.
    Change,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verb = match self.kind {
            Kind::Add => "add",
            Kind::Remove => "remove",
            Kind::Change => "change",
        };
        write!(f, "{verb} {} {}", self.object, self.name)?;
        if !self.detail.is_empty() {
            write!(f, ": {}", self.detail)?;
        }
        Ok(())
    }
}

/// Returns all differences between two documents, grouped by kind of object.
///
/// Within a kind, additions and changes come in the order of the new document,
/// followed by removals in the order of the old one.
pub fn between(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(
        &mut changes,
        "rank",
        &old.ranks,
        &new.ranks,
        |item| &item.name,
        if_changed(detail::rank),
    );
    changes.extend(rank_order(old, new));
    let (before, after) = (&old.services, &new.services);
    compare(&mut changes, "service", before, after, |item| &item.name, if_changed(detail::service));
    let (before, after) = (&old.accounts, &new.accounts);
    compare(&mut changes, "account", before, after, |item| &item.name, if_changed(detail::account));
    let (before, after) = (&old.assignments, &new.assignments);
    let holds = |_: Option<&Assignment>, new: &Assignment| detail::assignment(new);
    compare(&mut changes, "engine", before, after, |item| &item.engine, holds);
    if old.limit != new.limit {
        changes.push(Change {
            kind: Kind::Change,
            object: "limit".to_owned(),
            name: "fleet".to_owned(),
            detail: detail::limit(&old.limit, &new.limit),
        });
    }
    changes
}

/// Returns a change if the ranks that both documents have are in another order,
/// which is the order of urgency.
fn rank_order(old: &Document, new: &Document) -> Option<Change> {
    let names = |document: &Document, other: &Document| -> Vec<String> {
        let is_known = |name: &String| other.ranks.iter().any(|rank| rank.name == *name);
        document.ranks.iter().map(|rank| rank.name.clone()).filter(is_known).collect()
    };
    let (before, after) = (names(old, new), names(new, old));
    (before != after).then(|| Change {
        kind: Kind::Change,
        object: "rank".to_owned(),
        name: "order".to_owned(),
        detail: after.join(", "),
    })
}

/// Wraps a comparison so that an added object, which has no old value, gets an
/// empty detail.
fn if_changed<T>(detail: impl Fn(&T, &T) -> String) -> impl Fn(Option<&T>, &T) -> String {
    move |old, new| old.map_or_else(String::new, |old| detail(old, new))
}

/// Appends the changes between two lists of objects, which are matched by name.
///
/// `detail` is given the old object, if there is one, and the new or removed one.
fn compare<T: PartialEq>(
    changes: &mut Vec<Change>,
    object: &str,
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &String,
    detail: impl Fn(Option<&T>, &T) -> String,
) {
    let mut push = |kind, before: Option<&T>, item: &T| {
        let change = Change {
            kind,
            object: object.to_owned(),
            name: name(item).clone(),
            detail: detail(before, item),
        };
        changes.push(change);
    };
    for item in new {
        match old.iter().find(|known| name(known) == name(item)) {
            None => push(Kind::Add, None, item),
            Some(known) if known != item => push(Kind::Change, Some(known), item),
            Some(_) => {}
        }
    }
    for item in old.iter().filter(|item| new.iter().all(|known| name(known) != name(item))) {
        push(Kind::Remove, None, item);
    }
}
