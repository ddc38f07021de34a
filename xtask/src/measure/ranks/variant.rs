//! The product's placement and ranks, and the baselines to compare them with.

use std::path::PathBuf;

use crate::measure;
use crate::measure::ranks::scene::Scene;

/// How entries choose engines, and whether work is ordered by ranks.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Variant {
    /// Appended to the titles of scenes.
    pub(crate) suffix: &'static str,
    /// Placement setting of the entries; the product's default if empty.
    pub(crate) placement: &'static str,
    has_ranks: bool,
}

/// The product and the baselines.
pub(crate) const ALL: &[Variant] = &[
    Variant { suffix: "", placement: "", has_ranks: true },
    Variant { suffix: ", one rank, at random", placement: "random", has_ranks: false },
    Variant { suffix: ", one rank, least loaded", placement: "least", has_ranks: false },
];

impl Variant {
    /// Returns whether a scene is run in this variant.
    pub(crate) fn includes(&self, scene: &Scene) -> bool {
        self.has_ranks || scene.has_baseline
    }

    /// Returns the path of the intent, with or without ranks.
    pub(crate) fn intent(&self) -> PathBuf {
        if self.has_ranks { measure::intent() } else { measure::flat_intent() }
    }
}
