//! The keys, their values and the history of their changes.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;

use crate::key_value::error::Error;
use crate::key_value::message::Event;
use crate::key_value::message::Expected;
use crate::key_value::message::Item;
use crate::key_value::message::LeaseId;
use crate::key_value::message::Page;
use crate::key_value::message::Put;
use crate::key_value::message::Revision;
use crate::key_value::message::Transaction;
use crate::table::Table;

/// Size of the largest value, decoded from base64.
const VALUE_MAX_BYTES: usize = 1 << 20;

/// Length of the longest key.
const KEY_MAX_BYTES: usize = 200;

/// Maximum number of items in one page.
const PAGE_MAX_ITEMS: usize = 500;

/// Maximum size of the values in one page, in base64. A page has at least one
/// item even if that is larger.
const PAGE_MAX_BYTES: usize = 1 << 20;

/// Maximum number of conditions, puts and deletions in one transaction.
const TRANSACTION_MAX_ENTRIES: usize = 32;

/// The keys at the newest revision and the events since the last compaction.
#[derive(Debug, Default)]
pub(crate) struct Store {
    revision: Revision,
    compacted_revision: Revision,
    keys: Table<String, Item>,
    /// The keys at the last compaction.
    compacted_keys: Table<String, Item>,
    history: Vec<Event>,
}

impl Store {
    /// Creates an empty store at revision 1.
    pub(crate) fn new() -> Store {
        Store { revision: 1, ..Store::default() }
    }

    /// Returns the newest revision.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the current item of `key`.
    pub(crate) fn item(&self, key: &str) -> Option<&Item> {
        self.keys.value(&key.to_owned())
    }

    /// Returns a page of the keys with a prefix that sort after the key `after`;
    /// all of them qualify if `after` is empty.
    pub(crate) fn page(&self, prefix: &str, after: &str) -> Page {
        let start = if after.is_empty() { prefix } else { after };
        let later = self.keys.entries_from(&start.to_owned()).iter();
        let found = later.filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let mut found = found.take_while(|(key, _)| key.starts_with(prefix)).peekable();
        let (mut entries, mut bytes) = (Vec::new(), 0);
        while let Some((_, item)) = found.peek() {
            bytes += item.value.len();
            if entries.len() == PAGE_MAX_ITEMS || (bytes > PAGE_MAX_BYTES && !entries.is_empty()) {
                break;
            }
            entries.push(item.clone());
            found.next();
        }
        Page { entries, truncated: found.peek().is_some(), as_of: self.revision }
    }

    /// Returns the changes of keys with a prefix after a revision. Fails if that
    /// lies before the last compaction or in the future.
    pub(crate) fn events(&self, prefix: &str, after: Revision) -> Result<Vec<Event>, Error> {
        if after < self.compacted_revision || after > self.revision {
            return Err(Error::Compacted);
        }
        let later = self.history.iter().filter(|event| event.revision() > after);
        Ok(later.filter(|event| event.key().starts_with(prefix)).cloned().collect())
    }

    /// Applies all of a transaction at one new revision, or nothing. Fails if it
    /// isn't valid or a condition doesn't hold.
    pub(crate) fn commit(&mut self, call: Transaction) -> Result<Revision, Error> {
        validate(&call)?;
        if !call.expect_rev.iter().all(|expected| self.is_met(expected)) {
            let items = call.expect_rev.iter().filter_map(|expected| self.item(&expected.key));
            return Err(Error::Conflict(items.cloned().collect()));
        }
        self.revision += 1;
        for put in call.puts {
            self.put(put);
        }
        for key in call.delete {
            self.remove(&key);
        }
        Ok(self.revision)
    }

    /// Removes all keys of a lease at one new revision, if there are any.
    pub(crate) fn remove_leased(&mut self, lease: LeaseId) {
        let leased = self.keys.entries().iter().filter(|(_, item)| item.lease == lease);
        let leased: Vec<String> = leased.map(|(key, _)| key.clone()).collect();
        if leased.is_empty() {
            return;
        }
        self.revision += 1;
        for key in leased {
            self.remove(&key);
        }
    }

    /// Drops the history up to the newest revision.
    pub(crate) fn compact(&mut self) {
        self.compacted_revision = self.revision;
        self.compacted_keys = self.keys.clone();
        self.history.clear();
    }

    /// Restores the state at an old revision, as from a backup. For a revision
    /// before the last compaction this is the state at the compaction.
    pub(crate) fn restore(&mut self, revision: Revision) {
        self.history.retain(|event| event.revision() <= revision);
        self.keys = self.compacted_keys.clone();
        for event in self.history.clone() {
            match event {
                Event::Written(item) => drop(self.keys.insert(item.key.clone(), item)),
                Event::Removed { key, .. } => drop(self.keys.remove(&key)),
            }
        }
        self.revision = revision.clamp(self.compacted_revision.max(1), self.revision);
    }

    /// Returns true if a condition holds.
    fn is_met(&self, expected: &Expected) -> bool {
        self.item(&expected.key).map_or(0, |item| item.revision) == expected.revision
    }

    /// Writes a key at the current revision.
    fn put(&mut self, put: Put) {
        let created = self.item(&put.key).map_or(self.revision, |item| item.create_revision);
        let item = Item {
            key: put.key.clone(),
            value: put.value,
            revision: self.revision,
            create_revision: created,
            lease: put.lease,
        };
        self.keys.insert(put.key, item.clone());
        self.history.push(Event::Written(item));
    }

    /// Removes a key at the current revision, if it exists.
    fn remove(&mut self, key: &str) {
        if self.keys.remove(&key.to_owned()).is_none() {
            return;
        }
        let revision = self.revision;
        self.history.push(Event::Removed { key: key.to_owned(), revision, removed: true });
    }
}

/// Checks the number of entries of a transaction and the sizes of its puts.
fn validate(call: &Transaction) -> Result<(), Error> {
    let entries = call.expect_rev.len() + call.puts.len() + call.delete.len();
    if entries > TRANSACTION_MAX_ENTRIES {
        return Err(Error::Malformed(format!(
            "{entries} entries, more than {TRANSACTION_MAX_ENTRIES}"
        )));
    }
    for put in &call.puts {
        let bytes = BASE64_STANDARD.decode(&put.value);
        let bytes = bytes.map_err(|error| Error::Malformed(error.to_string()))?;
        if bytes.len() > VALUE_MAX_BYTES || put.key.is_empty() || put.key.len() > KEY_MAX_BYTES {
            return Err(Error::Malformed(format!("key {:?} or its value is too long", put.key)));
        }
    }
    Ok(())
}
