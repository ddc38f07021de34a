//! Entries of the store as operators and endpoints write them.

use std::net::SocketAddr;

use gateway::Member;
use services::store::Entry;

/// Returns an entry with this key and value.
pub fn entry(key: &str, value: &str) -> Entry {
    Entry { key: key.to_owned(), value: value.as_bytes().to_vec(), version: 1 }
}

/// Returns an endpoint's announcement.
#[allow(dead_code, reason = "not every test uses it")]
pub fn announced(id: &str, state: &str) -> Entry {
    let value = format!(
        r#"{{"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "{state}", "born": 1}}"#
    );
    entry(&format!("servers/{id}"), &value)
}

/// Returns a configuration with one route.
pub fn table(version: u64) -> Entry {
    let value = format!(
        r#"{{"version": {version}, "services": [], "routes": [{{"name": "r", "hostname": "h",
            "prefix": "/", "service": "s", "type": "mutating"}}]}}"#
    );
    entry("op/config", &value)
}

/// Returns a gateway of the data centre `a` that peers call at this address.
pub fn member(vm: &str, address: SocketAddr) -> Member {
    let (vm, centre) = (vm.to_owned(), "a".to_owned());
    Member { vm, centre, address, capacity: 1_000, format: Member::FORMAT }
}
