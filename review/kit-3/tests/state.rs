//! What the platform's store holds.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Instant;

use crate::store::Mode;

#[derive(Debug, Clone)]
pub struct Item {
    pub value: String,
    pub revision: u64,
    pub created: u64,
    pub lease: u64,
}

#[derive(Debug, Clone, Default)]
pub struct Data {
    pub revision: u64,
    pub items: BTreeMap<String, Item>,
    /// Time to live of each lease in milliseconds.
    pub leases: HashMap<u64, u64>,
}

#[derive(Debug)]
pub struct State {
    pub data: Data,
    /// Revision, key and what was written, `None` for a removal.
    pub log: Vec<(u64, String, Option<Item>)>,
    /// History up to this revision is gone.
    pub floor: u64,
    pub expiry: HashMap<u64, Instant>,
    /// The last status report of each engine, by its key.
    pub reports: HashMap<String, Instant>,
    pub next_lease: u64,
    pub era: u64,
    pub mode: Mode,
    /// How often it has fallen silent.
    pub silences: u64,
}

impl State {
    pub fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.data.revision;
        let created = self.data.items.get(key).map_or(revision, |it| it.created);
        let item = Item { value, revision, created, lease };
        self.log.push((revision, key.to_owned(), Some(item.clone())));
        self.data.items.insert(key.to_owned(), item);
    }

    pub fn remove(&mut self, key: &str) {
        if self.data.items.remove(key).is_some() {
            self.log.push((self.data.revision, key.to_owned(), None));
        }
    }

    pub fn end_lease(&mut self, lease: u64) {
        self.expiry.remove(&lease);
        self.data.leases.remove(&lease);
        let keys = self.data.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.data.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
    }
}

impl Item {
    pub fn json(&self, key: &str) -> String {
        let Item { value, revision, created, lease } = self;
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"create_revision\":{created},\"lease\":{lease}}}"
        )
    }
}
