//! The size and layout of a deployment.

use std::net::IpAddr;
use std::net::Ipv4Addr;

use crate::backend::Model;

/// Third byte of the loopback addresses of the first data centre.
const FIRST_CENTRE: u8 = 1;

/// The size and layout of a deployment. Entries and engines are distributed
/// round-robin over the data centres.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name of the cluster and of the folder with its sample intent.
    pub cluster: String,
    /// Region of all data centres.
    pub region: String,
    /// Names of the data centres.
    pub centres: Vec<String>,
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines.
    pub model_engines: usize,
    /// Options of the model engines.
    pub model: Model,
    /// Number of plain engines.
    pub plain_engines: usize,
    /// Pool of the plain engines.
    pub pool: String,
    /// Requests that a plain engine runs concurrently.
    pub plain_slots: u32,
    /// Name of the placement policy by which entries choose engines; the default one
    /// if it is empty.
    pub placement: String,
    /// Worker threads of each daemon.
    pub workers: usize,
}

impl Deployment {
    /// Returns a deployment of Sofia's present size.
    pub fn sofia() -> Deployment {
        Deployment {
            cluster: "sofia".to_owned(),
            region: "sofia".to_owned(),
            centres: names("s"),
            entries: 2,
            model_engines: 10,
            model: Model::new(&["motion-small", "motion-large"]),
            plain_engines: 3,
            pool: "registry".to_owned(),
            plain_slots: 16,
            placement: String::new(),
            workers: 2,
        }
    }

    /// Returns a deployment of Tallinn's present size.
    pub fn tallinn() -> Deployment {
        Deployment {
            cluster: "tallinn".to_owned(),
            region: "tallinn".to_owned(),
            centres: names("t"),
            model_engines: 12,
            model: Model::new(&["shop-small", "shop-large"]),
            pool: "ordering".to_owned(),
            ..Deployment::sofia()
        }
    }

    /// Returns the arguments of each daemon besides its settings file.
    pub(crate) fn args(&self) -> Vec<String> {
        match self.placement.as_str() {
            "" => Vec::new(),
            name => vec!["--placement".to_owned(), name.to_owned()],
        }
    }

    /// Returns the data centre of the entry or engine with this index, and the
    /// loopback address that the VMs of that data centre share.
    pub(crate) fn centre(&self, index: usize) -> (String, IpAddr) {
        let turn = index % self.centres.len().max(1);
        let name = self.centres.get(turn).cloned().unwrap_or_default();
        let third = FIRST_CENTRE.saturating_add(u8::try_from(turn).unwrap_or(u8::MAX));
        (name, IpAddr::V4(Ipv4Addr::new(127, 0, third, 1)))
    }
}

fn names(prefix: &str) -> Vec<String> {
    (1..=3).map(|number| format!("{prefix}{number}")).collect()
}
