//! The schedule of faults, drawn from a seed.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::behaviour::Behaviour;
use crate::cluster::ENDPOINTS;
use crate::cluster::GATEWAYS;
use crate::proxy::Mode;

/// A fault with its start and duration.
#[derive(Debug, Clone)]
pub struct Step {
    /// Start, from the beginning of the run.
    pub at: Duration,
    /// Duration of the fault.
    pub duration: Duration,
    pub fault: Fault,
}

/// A fault or a planned operation.
#[derive(Debug, Clone)]
pub enum Fault {
    KillGateway(usize),
    FreezeGateway(usize),
    StopGateway(usize),
    StoreLink(usize, Mode),
    StoreOutage,
    SlowStore,
    StoreCompaction,
    LostStoreAnswers,
    EndpointLink(usize, Mode),
    Misbehaviour(usize, Behaviour),
    /// Another instance takes over the endpoint's address.
    ReplaceEndpoint(usize),
    /// The endpoint drains, is removed, and returns under another name.
    DrainEndpoint(usize),
    Configure,
}

impl Fault {
    /// Returns whether it is a planned operation, during which no request may be lost.
    pub fn is_planned(&self) -> bool {
        matches!(self, Fault::StopGateway(_) | Fault::Configure | Fault::DrainEndpoint(_))
    }
}

/// Time during which faults start.
pub const FAULT_PERIOD: Duration = Duration::from_secs(8);

/// Draws the steps of a seed, which may overlap. Every fourth seed has planned operations only.
pub fn draw_steps(seed: u64) -> Vec<Step> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < FAULT_PERIOD {
        let fault = match seed % 4 {
            0 => draw_planned(&mut random),
            _ => draw_any(&mut random),
        };
        let duration = Duration::from_millis(random.random_range(300..2_500));
        steps.push(Step { at, duration, fault });
        at += Duration::from_millis(random.random_range(100..1_500));
    }
    steps
}

fn draw_planned(random: &mut impl Rng) -> Fault {
    match random.random_range(0..3) {
        0 => Fault::StopGateway(random.random_range(0..GATEWAYS)),
        1 => Fault::DrainEndpoint(random.random_range(0..ENDPOINTS)),
        _ => Fault::Configure,
    }
}

fn draw_any(random: &mut impl Rng) -> Fault {
    let gateway = random.random_range(0..GATEWAYS);
    let endpoint = random.random_range(0..ENDPOINTS);
    let modes = [Mode::Blackhole, Mode::OneWay, Mode::Reset, Mode::Delay];
    let mode = modes[random.random_range(0..modes.len())];
    let behaviour = Behaviour::ALL[random.random_range(0..Behaviour::ALL.len())];
    match random.random_range(0..14) {
        0 => Fault::KillGateway(gateway),
        1 => Fault::FreezeGateway(gateway),
        2 => Fault::StopGateway(gateway),
        3 => Fault::StoreLink(gateway, mode),
        4 => Fault::StoreOutage,
        5 => Fault::SlowStore,
        6 => Fault::StoreCompaction,
        7 => Fault::LostStoreAnswers,
        8 => Fault::EndpointLink(endpoint, mode),
        9 | 10 => Fault::Misbehaviour(endpoint, behaviour),
        11 => Fault::ReplaceEndpoint(endpoint),
        12 => Fault::DrainEndpoint(endpoint),
        _ => Fault::Configure,
    }
}
