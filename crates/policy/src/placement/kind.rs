//! The placement strategies by name, so that measurements can compare them.

use crate::placement::Bounded;
use crate::placement::LeastLoaded;
use crate::placement::Placement;
use crate::placement::Random;
use crate::placement::Rendezvous;
use crate::placement::TwoChoices;

/// A placement strategy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Kind {
    /// Rendezvous hashing with bounded loads; prefers the engine that holds the chat's context.
    #[default]
    Bounded,
    /// Rendezvous hashing without regard to load.
    Rendezvous,
    /// Power of two choices: the less loaded of two random engines.
    TwoChoices,
    /// The least loaded engine.
    LeastLoaded,
    /// A random engine, in proportion to slots.
    Random,
}

impl Kind {
    /// All strategies; the default one is first.
    pub const ALL: [Kind; 5] =
        [Kind::Bounded, Kind::Rendezvous, Kind::TwoChoices, Kind::LeastLoaded, Kind::Random];

    /// Parses a strategy's name; `None` if there is no such strategy.
    pub fn parse(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// Returns the name, as flags and reports write it.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Bounded => "bounded",
            Kind::Rendezvous => "rendezvous",
            Kind::TwoChoices => "pair",
            Kind::LeastLoaded => "least",
            Kind::Random => "random",
        }
    }

    /// Creates the strategy's implementation.
    pub fn placement(self) -> Box<dyn Placement> {
        match self {
            Kind::Bounded => Box::new(Bounded),
            Kind::Rendezvous => Box::new(Rendezvous),
            Kind::TwoChoices => Box::new(TwoChoices),
            Kind::LeastLoaded => Box::new(LeastLoaded),
            Kind::Random => Box::new(Random),
        }
    }
}
