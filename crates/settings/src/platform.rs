//! Addresses of the platform's services.

use crate::fault::Fault;
use crate::fault::Kind;
use crate::key;
use crate::role::Role;
use crate::section::Section;

/// HTTP addresses of the platform's services, without a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Address of the key-value service, which holds the persistent data.
    pub key_value: String,
    /// Address of the VM list, which has the live and the leaving VMs.
    pub vms: String,
    /// Address of the weight store; an agent without it takes no orders to load weights.
    pub weights: Option<String>,
}

impl Platform {
    /// Reads the section, and returns `None` if a required address is missing or has a
    /// fault.
    pub(crate) fn read(
        section: &Section<'_>,
        role: Option<Role>,
        faults: &mut Vec<Fault>,
    ) -> Option<Platform> {
        section.check_keys(&[key::PLATFORM], faults);
        let key_value = section.address("key_value", faults);
        let vms = section.address("vms", faults);
        let weights = weights(section, role, faults);
        Some(Platform { key_value: key_value?, vms: vms?, weights })
    }
}

fn weights(section: &Section<'_>, role: Option<Role>, faults: &mut Vec<Fault>) -> Option<String> {
    if !section.has("weights") {
        return None;
    }
    if role == Some(Role::Entry) {
        section.push("weights", Kind::AgentOnly, faults);
        return None;
    }
    section.address("weights", faults)
}
