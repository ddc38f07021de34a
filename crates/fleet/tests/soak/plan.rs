//! Which faults come when, drawn from a seed.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::mood::Mood;
use crate::proxy::Mode;
use crate::world::ENDPOINTS;
use crate::world::GATEWAYS;

/// A fault with its time.
#[derive(Debug, Clone)]
pub struct Step {
    pub at: Duration,
    pub time: Duration,
    pub fault: Fault,
}

#[derive(Debug, Clone)]
pub enum Fault {
    KillGateway(usize),
    FreezeGateway(usize),
    StopGateway(usize),
    CutStore(usize, Mode),
    StoreAway,
    StoreSlow,
    StoreForgets,
    StoreLosesAnswers,
    CutEndpoint(usize, Mode),
    Spoil(usize, Mood),
    /// Another endpoint takes over the address.
    Replace(usize),
    /// The endpoint says that it leaves, goes, and comes back under another name.
    Drain(usize),
    Configure,
}

impl Fault {
    /// Whether operators asked for it, so that it must cost no request.
    pub fn is_planned(&self) -> bool {
        matches!(self, Fault::StopGateway(_) | Fault::Configure | Fault::Drain(_))
    }
}

/// How long faults are begun.
pub const FAULTS: Duration = Duration::from_secs(8);

/// The faults of a seed, in series and overlapping. Every fourth seed has planned work alone.
pub fn draw(seed: u64) -> Vec<Step> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < FAULTS {
        let fault = match seed % 4 {
            0 => planned(&mut random),
            _ => any(&mut random),
        };
        let time = Duration::from_millis(random.random_range(300..2_500));
        steps.push(Step { at, time, fault });
        at += Duration::from_millis(random.random_range(100..1_500));
    }
    steps
}

fn planned(random: &mut impl Rng) -> Fault {
    match random.random_range(0..3) {
        0 => Fault::StopGateway(random.random_range(0..GATEWAYS)),
        1 => Fault::Drain(random.random_range(0..ENDPOINTS)),
        _ => Fault::Configure,
    }
}

fn any(random: &mut impl Rng) -> Fault {
    let gateway = random.random_range(0..GATEWAYS);
    let endpoint = random.random_range(0..ENDPOINTS);
    let modes = [Mode::Silent, Mode::OneWay, Mode::Reset, Mode::Delay];
    let mode = modes[random.random_range(0..modes.len())];
    let mood = Mood::ALL[random.random_range(0..Mood::ALL.len())];
    match random.random_range(0..14) {
        0 => Fault::KillGateway(gateway),
        1 => Fault::FreezeGateway(gateway),
        2 => Fault::StopGateway(gateway),
        3 => Fault::CutStore(gateway, mode),
        4 => Fault::StoreAway,
        5 => Fault::StoreSlow,
        6 => Fault::StoreForgets,
        7 => Fault::StoreLosesAnswers,
        8 => Fault::CutEndpoint(endpoint, mode),
        9 | 10 => Fault::Spoil(endpoint, mood),
        11 => Fault::Replace(endpoint),
        12 => Fault::Drain(endpoint),
        _ => Fault::Configure,
    }
}
