//! The names of all keys by section.
//!
//! Any other key is reported as a fault, and a test compares these lists with
//! [SETTINGS.md](../../../docs/SETTINGS.md).

/// Keys before the first section.
pub const ROOT: &[&str] = &["cluster", "role", "vm", "centre", "region"];

/// Names of the sections.
pub const SECTIONS: &[&str] = &["listen", "peer", "platform", "engine", "limit"];

/// Keys of `[listen]`.
pub const LISTEN: &[&str] = &["data", "control", "admin"];

/// Keys of `[peer]`.
pub const PEER: &[&str] = &["key", "accepted_key", "operator_keys"];

/// Keys of `[platform]`.
pub const PLATFORM: &[&str] = &["key_value", "vms", "weights"];

/// Keys of `[engine]`.
pub const ENGINE: &[&str] = &["kind", "pool", "address", "slots", "checks_fence"];

/// Keys of `[limit]`.
pub const LIMIT: &[&str] = &[
    "body_bytes",
    "header_timeout_ms",
    "connections",
    "stop_grace_ms",
    "resume_grace_ms",
    "workers",
];

/// Keys of a gateway before the first section.
pub const GATEWAY_ROOT: &[&str] = &["role", "vm", "centre"];

/// Names of a gateway's sections.
pub const GATEWAY_SECTIONS: &[&str] =
    &["listen", "peer", "platform", "limit", "retry", "endpoints", "slow_start"];

/// Keys of a gateway's `[listen]`.
pub const GATEWAY_LISTEN: &[&str] = &["clients", "admin", "control"];

/// Keys of a gateway's `[peer]`.
pub const GATEWAY_PEER: &[&str] = &["seeds"];

/// Keys of a gateway's `[platform]`.
pub const GATEWAY_PLATFORM: &[&str] = &["store", "writes_per_s"];

/// Keys of a gateway's `[limit]`.
pub const GATEWAY_LIMIT: &[&str] = &[
    "cores",
    "descriptors",
    "memory_mb",
    "body_stall_ms",
    "body_bytes_per_s",
    "response_stall_ms",
    "stop_notice_ms",
    "stop_grace_ms",
];

/// Keys of a gateway's `[retry]`.
pub const GATEWAY_RETRY: &[&str] = &["ratio", "slack", "processes"];

/// Keys of a gateway's `[endpoints]`.
pub const GATEWAY_ENDPOINTS: &[&str] =
    &["spread_stale_loads", "share_failures", "learn_speed", "abandon_silent"];

/// Keys of a gateway's `[slow_start]`.
pub const GATEWAY_SLOW_START: &[&str] = &["over", "slack"];

/// Returns the full names of all keys of an entry or agent, such as `listen.data`,
/// in the order of the lists.
pub fn all() -> Vec<String> {
    let root = ROOT.iter().map(|key| (*key).to_owned());
    let sections = SECTIONS.iter().zip([LISTEN, PEER, PLATFORM, ENGINE, LIMIT]);
    let nested = sections.flat_map(|(section, keys)| keys.iter().map(|key| join(section, key)));
    root.chain(nested).collect()
}

/// Returns the full name of a key in a section; the root section has an empty name.
pub(crate) fn join(section: &str, key: &str) -> String {
    if section.is_empty() {
        return key.to_owned();
    }
    format!("{section}.{key}")
}
