//! Keys, values and their history.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;

use crate::key_value::fault::Fault;
use crate::key_value::message::Event;
use crate::key_value::message::Expected;
use crate::key_value::message::Item;
use crate::key_value::message::LeaseId;
use crate::key_value::message::Page;
use crate::key_value::message::Put;
use crate::key_value::message::Revision;
use crate::key_value::message::Transaction;
use crate::table::Table;

/// Bytes of the largest value.
const VALUE_BYTES: usize = 1 << 20;

/// Bytes of the longest key.
const KEY_BYTES: usize = 200;

/// Items of one page, and bytes of their values.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

/// Entries of one transaction.
const ENTRIES: usize = 32;

/// The keys at the newest revision and the events since the compaction.
#[derive(Debug, Default)]
pub(crate) struct Store {
    revision: Revision,
    compacted: Revision,
    keys: Table<String, Item>,
    /// The keys as of the compaction.
    base: Table<String, Item>,
    history: Vec<Event>,
}

impl Store {
    pub(crate) fn new() -> Store {
        Store { revision: 1, ..Store::default() }
    }

    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn item(&self, key: &str) -> Option<&Item> {
        self.keys.value(&key.to_owned())
    }

    /// The keys under a prefix that come after one.
    pub(crate) fn page(&self, prefix: &str, after: &str) -> Page {
        let start = if after.is_empty() { prefix } else { after };
        let later = self.keys.entries_from(&start.to_owned()).iter();
        let found = later.filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let mut found = found.take_while(|(key, _)| key.starts_with(prefix)).peekable();
        let (mut entries, mut bytes) = (Vec::new(), 0);
        while let Some((_, item)) = found.peek() {
            bytes += item.value.len();
            if entries.len() == PAGE_ITEMS || (bytes > PAGE_BYTES && !entries.is_empty()) {
                break;
            }
            entries.push(item.clone());
            found.next();
        }
        Page { entries, truncated: found.peek().is_some(), as_of: self.revision }
    }

    /// What changed under a prefix after a revision.
    pub(crate) fn events(&self, prefix: &str, after: Revision) -> Result<Vec<Event>, Fault> {
        if after < self.compacted || after > self.revision {
            return Err(Fault::Compacted);
        }
        let later = self.history.iter().filter(|event| event.revision() > after);
        Ok(later.filter(|event| event.key().starts_with(prefix)).cloned().collect())
    }

    /// Does all of a transaction at one revision, or nothing.
    pub(crate) fn run(&mut self, call: Transaction) -> Result<Revision, Fault> {
        check(&call)?;
        if !call.expect_rev.iter().all(|expected| self.holds(expected)) {
            let keys = call.expect_rev.iter().filter_map(|expected| self.item(&expected.key));
            return Err(Fault::Conflict(keys.cloned().collect()));
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

    /// Removes all keys of a lease at a revision of their own.
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

    /// Forgets the events so far.
    pub(crate) fn compact(&mut self) {
        self.compacted = self.revision;
        self.base = self.keys.clone();
        self.history.clear();
    }

    /// Goes back to an old state, as a restored backup does. A revision before
    /// the compaction gives the state of the compaction.
    pub(crate) fn restore(&mut self, revision: Revision) {
        self.history.retain(|event| event.revision() <= revision);
        self.keys = self.base.clone();
        for event in self.history.clone() {
            match event {
                Event::Written(item) => drop(self.keys.insert(item.key.clone(), item)),
                Event::Removed { key, .. } => drop(self.keys.remove(&key)),
            }
        }
        self.revision = revision.clamp(self.compacted.max(1), self.revision);
    }

    fn holds(&self, expected: &Expected) -> bool {
        self.item(&expected.key).map_or(0, |item| item.revision) == expected.revision
    }

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

    fn remove(&mut self, key: &str) {
        if self.keys.remove(&key.to_owned()).is_none() {
            return;
        }
        let revision = self.revision;
        self.history.push(Event::Removed { key: key.to_owned(), revision, removed: true });
    }
}

fn check(call: &Transaction) -> Result<(), Fault> {
    let entries = call.expect_rev.len() + call.puts.len() + call.delete.len();
    if entries > ENTRIES {
        return Err(Fault::Body(format!("{entries} entries, more than {ENTRIES}")));
    }
    for put in &call.puts {
        let bytes = BASE64_STANDARD.decode(&put.value);
        let bytes = bytes.map_err(|error| Fault::Body(error.to_string()))?;
        if bytes.len() > VALUE_BYTES || put.key.is_empty() || put.key.len() > KEY_BYTES {
            return Err(Fault::Body(format!("key {:?} or its value is too long", put.key)));
        }
    }
    Ok(())
}
