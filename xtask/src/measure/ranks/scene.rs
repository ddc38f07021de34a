//! Who asks for how much.

use std::time::Duration;

use fleet::load::Class;

use crate::measure::ranks::MODEL;
use crate::measure::ranks::OUTPUT;
use crate::measure::ranks::PROMPT;

/// How long most scenes last.
pub(crate) const TIME: Duration = Duration::from_secs(12);

/// How long scenes last whose smallest account sends little.
pub(crate) const LONG: Duration = Duration::from_secs(40);

/// Who asks for how much.
#[derive(Debug, Clone)]
pub(crate) struct Scene {
    pub(crate) title: &'static str,
    pub(crate) parts: Vec<Part>,
    pub(crate) time: Duration,
    /// Whether it is played without ranks as well.
    pub(crate) has_baseline: bool,
}

/// What one kind of callers asks for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Part {
    pub(crate) who: Who,
    /// In multiples of what all engines can do.
    pub(crate) load: f64,
}

/// A rank, and within the second one an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Who {
    Interactive,
    Large,
    Small,
    Batch,
}

impl Who {
    /// The rank's target, as in the intent.
    pub(crate) fn first_token_ms(self) -> u64 {
        match self {
            Who::Interactive => 370,
            Who::Large | Who::Small => 2_000,
            Who::Batch => 20_000,
        }
    }

    fn class(self) -> Class {
        match self {
            Who::Interactive => Class::new("interactive", "urgent", "classify", MODEL),
            Who::Large => Class::new("standard, large account", "large", "outline", MODEL),
            Who::Small => Class::new("standard, small account", "small", "outline", MODEL),
            Who::Batch => Class::new("batch", "archive", "archive", MODEL),
        }
    }
}

impl Scene {
    /// All callers together, in multiples of what all engines can do.
    pub(crate) fn load(&self) -> f64 {
        self.parts.iter().map(|part| part.load).sum()
    }

    /// The classes of the load, in the order of the parts.
    pub(crate) fn classes(&self) -> Vec<Class> {
        let class = |part: &Part| Class {
            weight: part.load,
            output_tokens: OUTPUT,
            chats: 20_000,
            exponent: 0.0,
            first_message_tokens: PROMPT,
            turns: 1,
            ..part.who.class()
        };
        self.parts.iter().map(class).collect()
    }
}

/// All scenes, in the order of the page.
pub(crate) fn all() -> Vec<Scene> {
    vec![
        mixed("0.7 times capacity", 0.7),
        mixed("1 times capacity", 1.0),
        Scene { has_baseline: true, ..mixed("2 times capacity", 2.0) },
        mixed("5 times capacity", 5.0),
        flood("Flood of the least urgent work", [0.2, 0.18, 0.02, 5.0]),
        flood("Flood of the most urgent work", [5.0, 0.18, 0.02, 0.2]),
        long("Surge of one account", [0.2, 3.0, 0.04, 0.1]),
        long("The same without that account", [0.2, 0.0, 0.04, 0.1]),
    ]
}

fn flood(title: &'static str, loads: [f64; 4]) -> Scene {
    Scene { has_baseline: true, ..scene(title, loads) }
}

fn long(title: &'static str, loads: [f64; 4]) -> Scene {
    Scene { time: LONG, ..scene(title, loads) }
}

/// Three parts interactive, four standard and three batch; of the standard
/// work, the large account asks for ten times what the small one does.
fn mixed(title: &'static str, load: f64) -> Scene {
    scene(title, [0.3 * load, 0.364 * load, 0.036 * load, 0.3 * load])
}

fn scene(title: &'static str, loads: [f64; 4]) -> Scene {
    let who = [Who::Interactive, Who::Large, Who::Small, Who::Batch];
    let parts = who.into_iter().zip(loads).map(|(who, load)| Part { who, load });
    let parts = parts.filter(|part| part.load > 0.0).collect();
    Scene { title, parts, time: TIME, has_baseline: false }
}
