//! Scenes: mixes of load by callers of different ranks and accounts.

use std::time::Duration;

use fleet::load::Class;

use crate::measure::ranks::MODEL;
use crate::measure::ranks::OUTPUT_TOKENS;
use crate::measure::ranks::PROMPT_TOKENS;

/// Time for which most scenes last.
pub(crate) const SCENE_TIME: Duration = Duration::from_secs(12);

/// Time for which scenes of a surge last: their small account sends little, and
/// needs longer to send enough requests.
pub(crate) const SURGE_TIME: Duration = Duration::from_secs(40);

/// A mix of load by several kinds of callers.
#[derive(Debug, Clone)]
pub(crate) struct Scene {
    pub(crate) title: &'static str,
    pub(crate) parts: Vec<Part>,
    pub(crate) time: Duration,
    /// Whether the scene is also run in the variants without ranks.
    pub(crate) has_baseline: bool,
}

/// Load of one kind of callers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Part {
    pub(crate) caller: Caller,
    /// Requests a second in multiples of the capacity of all engines.
    pub(crate) load: f64,
}

/// Kind of callers: a rank and, within the standard rank, an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Caller {
    Interactive,
    Large,
    Small,
    Batch,
}

impl Caller {
    /// Returns the rank's first-token target in milliseconds, as in the intent of the
    /// measurements.
    pub(crate) fn first_token_ms(self) -> u64 {
        match self {
            Caller::Interactive => 370,
            Caller::Large | Caller::Small => 2_000,
            Caller::Batch => 20_000,
        }
    }

    fn class(self) -> Class {
        match self {
            Caller::Interactive => Class::new("interactive", "urgent", "classify", MODEL),
            Caller::Large => Class::new("standard, large account", "large", "outline", MODEL),
            Caller::Small => Class::new("standard, small account", "small", "outline", MODEL),
            Caller::Batch => Class::new("batch", "archive", "archive", MODEL),
        }
    }
}

impl Scene {
    /// Returns the load of all callers in multiples of the capacity of all engines.
    pub(crate) fn load(&self) -> f64 {
        self.parts.iter().map(|part| part.load).sum()
    }

    /// Returns the classes of the load, in the order of the parts.
    pub(crate) fn classes(&self) -> Vec<Class> {
        let class = |part: &Part| Class {
            weight: part.load,
            output_tokens: OUTPUT_TOKENS,
            chats: 20_000,
            exponent: 0.0,
            first_message_tokens: PROMPT_TOKENS,
            turns: 1,
            ..part.caller.class()
        };
        self.parts.iter().map(class).collect()
    }
}

/// Returns all scenes, in the order of the page.
pub(crate) fn all() -> Vec<Scene> {
    vec![
        mixed("0.7 times capacity", 0.7),
        mixed("1 times capacity", 1.0),
        Scene { has_baseline: true, ..mixed("2 times capacity", 2.0) },
        mixed("5 times capacity", 5.0),
        flood("Flood of the least urgent work", [0.2, 0.18, 0.02, 5.0]),
        flood("Flood of the most urgent work", [5.0, 0.18, 0.02, 0.2]),
        surge("Surge of one account", [0.2, 3.0, 0.04, 0.1]),
        surge("The same without that account", [0.2, 0.0, 0.04, 0.1]),
    ]
}

fn flood(title: &'static str, loads: [f64; 4]) -> Scene {
    Scene { has_baseline: true, ..scene(title, loads) }
}

fn surge(title: &'static str, loads: [f64; 4]) -> Scene {
    Scene { time: SURGE_TIME, ..scene(title, loads) }
}

/// Returns a scene with three parts of interactive, four of standard and three of
/// batch load; in the standard rank, the large account sends ten times as much as
/// the small one.
fn mixed(title: &'static str, load: f64) -> Scene {
    scene(title, [0.3 * load, 0.364 * load, 0.036 * load, 0.3 * load])
}

fn scene(title: &'static str, loads: [f64; 4]) -> Scene {
    let caller = [Caller::Interactive, Caller::Large, Caller::Small, Caller::Batch];
    let parts = caller.into_iter().zip(loads).map(|(caller, load)| Part { caller, load });
    let parts = parts.filter(|part| part.load > 0.0).collect();
    Scene { title, parts, time: SCENE_TIME, has_baseline: false }
}
