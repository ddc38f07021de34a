//! Evacuations of data centres: which ones are in force at a gateway.
//!
//! Handles a data centre that is emptied at the peak while the store or its links fail. An
//! evacuation is in force as long as its key is in the store; what isn't known for sure errs on the
//! side of the evacuation:
//!
//! - While the store is away, nothing changes.
//! - An evacuation that is missing after an outage, or after the store came back from a copy, stays
//!   for a grace time, in which operators write again what the copy lacks.
//! - One that was cancelled lately and is in the copy again begins only after the grace time, in
//!   which operators remove it again. If they don't, the store's word counts.
//!
//! See `docs/design/evacuation.md`.

use std::sync::Arc;

mod cause;
mod change;
mod register;
mod request;

pub use cause::Cause;
pub use change::Change;
pub use register::Register;
pub use request::Request;

/// The name of a data centre.
pub type Centre = Arc<str>;
