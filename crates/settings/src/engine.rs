//! Settings of an agent's engine.

use crate::fault;
use crate::fault::Fault;
use crate::key;
use crate::kind::Kind;
use crate::section::Section;

/// Most requests that an engine may run at the same time.
const MAX_SLOTS: u64 = 4096;

/// Settings of the engine that an agent forwards requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// The kind of engine.
    pub kind: Kind,
    /// The pool of a plain engine; `None` for a model engine, whose models come from
    /// the configuration.
    pub pool: Option<String>,
    /// The engine's HTTP address without a path.
    pub address: String,
    /// Requests that the engine runs at the same time.
    pub slots: u32,
    /// Whether the engine refuses orders with an outdated fencing token. If it does
    /// not, the agent checks the token itself.
    pub checks_fence: bool,
}

impl Engine {
    /// Reads the section, and returns `None` if a key is missing or has a fault.
    pub(crate) fn read(section: &Section<'_>, faults: &mut Vec<Fault>) -> Option<Engine> {
        section.check_keys(&[key::ENGINE], faults);
        let kind = kind(section, faults);
        let pool = pool(section, kind, faults);
        let address = section.address("address", faults);
        let slots = section.required_number("slots", 1, MAX_SLOTS, faults);
        let checks_fence = section.flag("checks_fence", faults);
        Some(Engine {
            kind: kind?,
            pool,
            address: address?,
            slots: u32::try_from(slots?).ok()?,
            checks_fence: checks_fence?,
        })
    }
}

fn kind(section: &Section<'_>, faults: &mut Vec<Fault>) -> Option<Kind> {
    let text = section.string("kind", Kind::CHOICES, faults)?;
    let kind = Kind::parse(text);
    if kind.is_none() {
        section.push("kind", fault::Kind::Choice(Kind::CHOICES), faults);
    }
    kind
}

fn pool(section: &Section<'_>, kind: Option<Kind>, faults: &mut Vec<Fault>) -> Option<String> {
    match kind {
        Some(Kind::Plain) => section.identifier("pool", faults),
        Some(Kind::Model) if section.has("pool") => {
            section.push("pool", fault::Kind::PlainOnly, faults);
            None
        }
        None if section.has("pool") => section.identifier("pool", faults),
        Some(Kind::Model) | None => None,
    }
}
