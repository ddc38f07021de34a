//! One configuration in force.

use std::sync::Arc;
use std::time::Duration;

use crate::Account;
use crate::Rule;
use crate::Service;
use crate::Version;

/// One configuration: what operators have confirmed, in a form made for look-ups.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    version: Version,
    /// Sorted by host and prefix.
    rules: Vec<Arc<Rule>>,
    /// Sorted by key.
    keys: Vec<(Arc<str>, Arc<Account>)>,
    /// Sorted by name.
    services: Vec<Service>,
    limits: Limits,
}

/// What clients may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a connection may wait for its next request.
    pub idle: Duration,
}

/// Longest body where the operators set no limit, in bytes: that of the daemon's settings.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// How long a connection may be idle where the operators set no limit: somewhat
/// longer than balancers and clients usually keep theirs, a minute.
const IDLE: Duration = Duration::from_secs(75);

impl Default for Limits {
    fn default() -> Limits {
        Limits { body_bytes: BODY_BYTES, idle: IDLE }
    }
}

impl Table {
    /// Sorts the parts of a configuration.
    pub fn new(
        version: Version,
        rules: Vec<Rule>,
        mut keys: Vec<(Arc<str>, Arc<Account>)>,
        mut services: Vec<Service>,
        limits: Limits,
    ) -> Table {
        let mut rules: Vec<Arc<Rule>> = rules.into_iter().map(Arc::new).collect();
        rules.sort_by(|left, right| place(left).cmp(&place(right)));
        keys.sort_by(|left, right| left.0.cmp(&right.0));
        services.sort_by(|left, right| left.name.cmp(&right.name));
        Table { version, rules, keys, services, limits }
    }

    /// Its version; 0 is none.
    pub fn version(&self) -> Version {
        self.version
    }

    /// What clients may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// How many routes there are.
    pub fn len(&self) -> usize {
        self.rules.len()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// The route of the host with the longest prefix that begins the path.
    pub fn rule(&self, host: &str, path: &str) -> Option<&Arc<Rule>> {
        let prefixes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        let mut found = prefixes.filter_map(|prefix| self.exact(host, prefix));
        found.next()
    }

    /// Whether requests need keys at all.
    pub fn has_accounts(&self) -> bool {
        !self.keys.is_empty()
    }

    /// The account that holds a key.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        let index = self.keys.binary_search_by(|(known, _)| (**known).cmp(key)).ok()?;
        Some(&self.keys[index].1)
    }

    /// The service of a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.binary_search_by(|service| (*service.name).cmp(name)).ok()?;
        Some(&self.services[index])
    }

    fn exact(&self, host: &str, prefix: &str) -> Option<&Arc<Rule>> {
        let index = self.rules.binary_search_by(|rule| place(rule).cmp(&(host, prefix))).ok()?;
        Some(&self.rules[index])
    }
}

fn place(rule: &Rule) -> (&str, &str) {
    (&rule.host, &rule.prefix)
}
