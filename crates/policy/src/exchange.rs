//! Exchange of loads between gateways.
//!
//! Each gateway counts its own requests at an endpoint exactly. The sum over all gateways is the
//! endpoint's load, which a gateway of a large fleet can't learn from the few answers that it
//! gets itself. Gateways report to a relay of their data centre, and relays to each other, so
//! that messages grow with the number of gateways and not with its square.
//! See `docs/decisions/relays.md`.

mod ledger;
mod parts;
mod sheet;

pub use ledger::Ledger;
pub(crate) use ledger::REPORT_TTL;
pub use ledger::Rejection;
pub use ledger::Report;
pub use parts::Additive;
pub use parts::Parts;
pub use parts::PartsLedger;
pub use sheet::Fingerprint;
pub use sheet::Sheet;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the fingerprint of an endpoint's id.
pub fn fingerprint(endpoint: &str) -> Fingerprint {
    // The low half of the hash is as evenly distributed as the whole.
    xxh3_64(endpoint.as_bytes()) as Fingerprint
}
