//! Differences between two configuration documents.
//!
//! A confirmed change touches a few entries of a document that may be a hundred
//! kilobytes long, and every process pulls it. A list that is sorted by the names
//! of its entries is sent as changed entries, any other field as a whole. The
//! receiver checks the digest of the resulting document and asks for the whole
//! document if it differs.

use config::Document;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use wire::Digest;
use wire::id;

/// Fields whose value names an entry of a list, in the order of lookup.
const NAME_FIELDS: [&str; 2] = ["name", "engine"];

/// The changes that turn one document into a later one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Revision of the document that the changes apply to.
    pub base: id::Revision,
    /// The fields that differ.
    changes: Vec<Change>,
    /// Hash of the resulting document in JSON.
    digest: Digest,
}

/// A change of one field of the document.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum Change {
    /// The field has this value now.
    Whole(String, Value),
    /// The field is a list: the entries of these names are removed, then these
    /// entries are added or replace those of the same name.
    Entries(String, Vec<String>, Vec<Value>),
}

impl Difference {
    /// Returns the changes from `base` to `later`; `None` if a document can't be
    /// written as a JSON object.
    pub fn between(base: &Document, later: &Document) -> Option<Difference> {
        let digest = Digest::of(&serde_json::to_vec(later).ok()?);
        let (old, new) = (object(base)?, object(later)?);
        let differs = |(field, value): &(String, Value)| old.get(field) != Some(value);
        let changed = new.into_iter().filter(differs);
        let changes = changed.map(|(field, value)| change(old.get(&field), field, value));
        Some(Difference { base: base.revision, changes: changes.collect(), digest })
    }

    /// Applies the changes to `base` and returns the later document.
    ///
    /// Returns `None` if `base` has another revision or the digest of the result differs.
    pub fn apply(&self, base: &Document) -> Option<Document> {
        if base.revision != self.base {
            return None;
        }
        let mut fields = object(base)?;
        for change in &self.changes {
            match change {
                Change::Whole(field, value) => {
                    fields.insert(field.clone(), value.clone());
                }
                Change::Entries(field, removed, entries) => {
                    merge(fields.get_mut(field)?.as_array_mut()?, removed, entries);
                }
            }
        }
        let later: Document = serde_json::from_value(Value::Object(fields)).ok()?;
        let digest = Digest::of(&serde_json::to_vec(&later).ok()?);
        (digest == self.digest).then_some(later)
    }
}

/// Returns the fields of a document as JSON.
fn object(document: &Document) -> Option<Map<String, Value>> {
    match serde_json::to_value(document).ok()? {
        Value::Object(fields) => Some(fields),
        _ => None,
    }
}

/// Returns the change of a field, entry by entry if both values are lists of named entries.
fn change(old: Option<&Value>, field: String, new: Value) -> Change {
    let lists = (old.and_then(named_entries), named_entries(&new));
    let (Some(before), Some(after)) = lists else { return Change::Whole(field, new) };
    let is_removed = |name: &&str| after.binary_search_by_key(name, |entry| entry.0).is_err();
    let removed =
        before.iter().map(|entry| entry.0).filter(is_removed).map(str::to_owned).collect();
    let is_changed = |entry: &&Entry| match before.binary_search_by_key(&entry.0, |old| old.0) {
        Ok(index) => before[index].1 != entry.1,
        Err(_) => true,
    };
    let entries = after.iter().filter(is_changed).map(|entry| entry.1.clone()).collect();
    Change::Entries(field, removed, entries)
}

/// An entry of a list with its name.
type Entry<'a> = (&'a str, &'a Value);

/// Returns the entries of a list with their names; `None` if the value is no list
/// or its names aren't sorted and unique.
fn named_entries(value: &Value) -> Option<Vec<Entry<'_>>> {
    let entries = value.as_array()?.iter().map(|entry| Some((name(entry)?, entry)));
    let entries: Vec<Entry> = entries.collect::<Option<_>>()?;
    entries.is_sorted_by(|a, b| a.0 < b.0).then_some(entries)
}

/// Returns the name of an entry, if it has one.
fn name(entry: &Value) -> Option<&str> {
    NAME_FIELDS.iter().find_map(|field| entry.get(field)?.as_str())
}

/// Removes and replaces entries of a list by name, keeping it sorted.
fn merge(list: &mut Vec<Value>, removed: &[String], entries: &[Value]) {
    let is_replaced = |known: &Value| {
        let known = name(known);
        let is_removed = removed.iter().any(|removed| Some(removed.as_str()) == known);
        is_removed || entries.iter().any(|entry| name(entry) == known)
    };
    list.retain(|known| !is_replaced(known));
    list.extend_from_slice(entries);
    list.sort_by(|a, b| name(a).cmp(&name(b)));
}
