//! Keys that authenticate processes and operators.

use crate::fault::Fault;
use crate::fault::Kind;
use crate::key;
use crate::secret::Secret;
use crate::section::Section;

/// Minimum length of a key, in characters.
const MIN_KEY_CHARS: usize = 32;
/// The remedy for a key that is missing or is not a string.
const SAMPLE: &str = "the cluster's shared key in quotes";

/// Keys that authenticate processes and operators.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The key that processes of the same cluster share.
    pub key: Secret,
    /// A second key that is accepted while the key is being replaced.
    pub accepted_key: Option<Secret>,
    /// Keys of operators, who may query the state of the fleet.
    pub operator_keys: Vec<Secret>,
}

impl Peer {
    /// Reads the section, and returns `None` if the shared key is missing or has a fault.
    pub(crate) fn read(section: &Section<'_>, faults: &mut Vec<Fault>) -> Option<Peer> {
        section.check_keys(&[key::PEER], faults);
        let accepted_key = match section.has("accepted_key") {
            true => secret(section, "accepted_key", faults),
            false => None,
        };
        let operator_keys = operator_keys(section, faults);
        Some(Peer { key: secret(section, "key", faults)?, accepted_key, operator_keys })
    }
}

fn secret(section: &Section<'_>, key: &str, faults: &mut Vec<Fault>) -> Option<Secret> {
    let text = section.string(key, SAMPLE, faults)?;
    if text.chars().count() < MIN_KEY_CHARS {
        section.push(key, Kind::Short(MIN_KEY_CHARS), faults);
        return None;
    }
    Some(Secret::new(text.to_owned()))
}

fn operator_keys(section: &Section<'_>, faults: &mut Vec<Fault>) -> Vec<Secret> {
    let texts = section.strings("operator_keys", "a list of keys in quotes", faults);
    if texts.iter().any(|text| text.chars().count() < MIN_KEY_CHARS) {
        section.push("operator_keys", Kind::Short(MIN_KEY_CHARS), faults);
    }
    texts.into_iter().map(|text| Secret::new(text.to_owned())).collect()
}
