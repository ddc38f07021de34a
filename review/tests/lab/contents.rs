//! What the platform's store holds.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::json::Value;

/// Most items of a page.
const PAGE: usize = 500;

/// An item.
#[derive(Clone)]
pub struct Item {
    pub value: String,
    pub revision: u64,
    pub created: u64,
    pub lease: u64,
}

/// A copy of what the store holds.
#[derive(Clone, Default)]
pub struct Copy {
    pub revision: u64,
    pub items: BTreeMap<String, Item>,
    /// Changes by revision; `None` stands for a removal.
    pub history: Vec<(u64, String, Option<Item>)>,
    /// End and duration.
    pub leases: BTreeMap<u64, (Instant, Duration)>,
    pub last_lease: u64,
}

impl Copy {
    pub fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    pub fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    pub fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        held.iter().for_each(|key| self.remove(key));
    }

    pub fn read(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            Some(item) => {
                let mut text = item.json(key);
                text.truncate(text.len() - 1);
                (200, format!("{text},\"as_of\":{}}}", self.revision))
            }
            None => (404, "{}".to_owned()),
        }
    }

    pub fn page(&self, prefix: &str, after: &str) -> (u16, String) {
        let found = |key: &String| key.starts_with(prefix) && key.as_str() > after;
        let mut items = self.items.iter().filter(|(key, _)| found(key));
        let page: Vec<String> =
            items.by_ref().take(PAGE).map(|(key, item)| item.json(key)).collect();
        let truncated = items.next().is_some();
        let entries = page.join(",");
        let as_of = self.revision;
        (200, format!("{{\"entries\":[{entries}],\"truncated\":{truncated},\"as_of\":{as_of}}}"))
    }

    /// Returns the changes after a revision, and whether there are none; `None` if that revision
    /// does not exist.
    pub fn events(&self, prefix: &str, after: u64) -> Option<(String, bool)> {
        if after > self.revision {
            return None;
        }
        let events: Vec<String> = self
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
            .map(|(revision, key, item)| match item {
                Some(item) => item.json(key),
                None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
            })
            .collect();
        let text = format!("{{\"events\":[{}],\"as_of\":{}}}", events.join(","), self.revision);
        Some((text, events.is_empty()))
    }

    pub fn commit(&mut self, body: &Value) -> (u16, String) {
        for row in body.list("expect_rev") {
            let revision = self.items.get(row.text("key")).map_or(0, |item| item.revision);
            if revision != row.number("revision") {
                return (412, "{\"entries\":[]}".to_owned());
            }
        }
        let puts = body.list("puts");
        let has_lease = |row: &Value| match row.number("lease") {
            0 => true,
            lease => self.leases.contains_key(&lease),
        };
        if !puts.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        for row in puts {
            self.put(row.text("key"), row.text("value").to_owned(), row.number("lease"));
        }
        for key in body.list("delete") {
            if let Value::Text(key) = key {
                self.remove(key);
            }
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

impl Item {
    pub fn json(&self, key: &str) -> String {
        let Item { value, revision, created, lease } = self;
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
             \"create_revision\":{created},\"lease\":{lease}}}"
        )
    }
}
