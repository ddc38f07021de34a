//! The routing table.

use std::sync::Arc;
use std::time::Duration;

use crate::Account;
use crate::Rule;
use crate::Service;
use crate::Version;

/// A routing table: a version of the configuration, indexed for look-ups.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    version: Version,
    /// Sorted by host and prefix.
    rules: Vec<Arc<Rule>>,
    /// Sorted by key. `None` if the configuration has no client accounts; it has if all of them have
    /// lost their keys.
    keys: Option<Vec<(Arc<str>, Arc<Account>)>>,
    /// Sorted by name.
    services: Vec<Service>,
    limits: Limits,
}

/// Limits on requests and connections of clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// How long a connection may be idle.
    pub idle: Duration,
}

/// Default longest request body, in bytes; the same as in the daemon's settings.
const DEFAULT_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Default idle timeout of a connection. Load balancers and clients usually close their
/// connections after a minute, and should do so first.
const DEFAULT_IDLE: Duration = Duration::from_secs(75);

impl Default for Limits {
    fn default() -> Limits {
        Limits { body_bytes: DEFAULT_BODY_BYTES, idle: DEFAULT_IDLE }
    }
}

impl Table {
    /// Creates a routing table from the parts of a configuration, in any order. The keys are `None`
    /// if it has no client accounts.
    pub fn new(
        version: Version,
        rules: Vec<Rule>,
        mut keys: Option<Vec<(Arc<str>, Arc<Account>)>>,
        mut services: Vec<Service>,
        limits: Limits,
    ) -> Table {
        let mut rules: Vec<Arc<Rule>> = rules.into_iter().map(Arc::new).collect();
        rules.sort_by(|left, right| sort_key(left).cmp(&sort_key(right)));
        if let Some(keys) = &mut keys {
            keys.sort_by(|left, right| left.0.cmp(&right.0));
        }
        services.sort_by(|left, right| left.name.cmp(&right.name));
        Table { version, rules, keys, services, limits }
    }

    /// Returns the version of the configuration; 0 if there is none.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on requests and connections of clients.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the number of rules.
    pub fn len(&self) -> usize {
        self.rules.len()
    }

    /// Whether there are no rules.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Returns the rule of a host with the longest prefix that matches the path.
    pub fn rule(&self, host: &str, path: &str) -> Option<&Arc<Rule>> {
        let prefixes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let mut found = prefixes.filter_map(|prefix| self.exact(host, prefix));
        found.next()
    }

    /// Whether client accounts are configured, with or without keys; if not, requests need no key.
    pub fn has_accounts(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the client account of a key.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        let keys = self.keys.as_deref()?;
        let index = keys.binary_search_by(|(known, _)| (**known).cmp(key)).ok()?;
        Some(&keys[index].1)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.binary_search_by(|service| (*service.name).cmp(name)).ok()?;
        Some(&self.services[index])
    }

    /// Returns the rule of a host with exactly this prefix.
    fn exact(&self, host: &str, prefix: &str) -> Option<&Arc<Rule>> {
        let index = self.rules.binary_search_by(|rule| sort_key(rule).cmp(&(host, prefix))).ok()?;
        Some(&self.rules[index])
    }
}

/// Returns the sort key of a rule.
fn sort_key(rule: &Rule) -> (&str, &str) {
    (&rule.host, &rule.prefix)
}
