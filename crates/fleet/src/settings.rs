//! The settings files of daemons and the profile of the command line.

use std::net::SocketAddr;

use serde::Serialize;

/// Key shared by the processes of a test deployment.
pub const PEER_KEY: &str = "a-key-of-demonstrations-and-tests-only";

/// Operator's key in a test deployment.
pub const OPERATOR_KEY: &str = "an-operators-key-of-demonstrations-only";

/// Settings of a daemon; docs/SETTINGS.md explains the keys.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Settings {
    pub(crate) cluster: String,
    pub(crate) role: &'static str,
    pub(crate) vm: String,
    pub(crate) centre: String,
    pub(crate) region: String,
    pub(crate) listen: Listen,
    pub(crate) peer: Peer,
    pub(crate) platform: Platform,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) engine: Option<Engine>,
    pub(crate) limit: Limit,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct Listen {
    pub(crate) data: SocketAddr,
    pub(crate) control: SocketAddr,
    pub(crate) admin: SocketAddr,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct Peer {
    pub(crate) key: &'static str,
    pub(crate) operator_keys: [&'static str; 1],
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct Platform {
    pub(crate) key_value: String,
    pub(crate) vms: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) weights: Option<String>,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct Engine {
    pub(crate) kind: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) pool: Option<String>,
    pub(crate) address: String,
    pub(crate) slots: u32,
    pub(crate) checks_fence: bool,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct Limit {
    pub(crate) workers: usize,
    pub(crate) stop_grace_ms: u64,
    pub(crate) resume_grace_ms: u64,
}

/// Profile of the command line `lycheeknot`; docs/CLI.md explains the keys.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Profile {
    pub(crate) cluster: String,
    pub(crate) operator: String,
    pub(crate) key_value: String,
    pub(crate) control: Vec<SocketAddr>,
    pub(crate) key: &'static str,
}
