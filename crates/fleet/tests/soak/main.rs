//! Gateways as real processes under random faults from outside.
//!
//! `SOAK_SEEDS=1..51 cargo test -p fleet --test soak -- --nocapture` plays other
//! seeds than the short run of CI. Each seed that ever broke a promise stays in
//! [`REGRESSIONS`] with its cause.

mod client;
mod endpoint;
mod kind;
mod ledger;
mod mood;
mod plan;
mod proxy;
mod turned_away;
mod world;

use std::ops::Range;

use crate::proxy::Mode;

/// The seeds of CI: one of planned work alone, and three with faults.
const SHORT: Range<u64> = 0..4;

/// Seeds that broke a promise once.
///
/// - 0: a request that came while a stopping gateway waited for its server's own stop was
///   begun, and cut as the process ended.
/// - 4: a stopping gateway waited up to 1.7 s for its server's own stop; connections
///   that came meanwhile were taken by nobody and reset at its end.
const REGRESSIONS: [u64; 1] = [4];

/// Names seeds to play in place of the short ones, as in `1..51`.
const VARIABLE: &str = "SOAK_SEEDS";

#[tokio::test]
async fn no_promise_is_broken_under_faults() {
    let chosen = std::env::var(VARIABLE).ok().map(|text| seeds(&text));
    let seeds = chosen.unwrap_or_else(|| SHORT.chain(REGRESSIONS).collect());
    let mut broken = Vec::new();
    for seed in seeds {
        let (verdict, counts) = world::play(seed).await;
        println!("seed {seed}: {} broken, {counts}", verdict.len());
        broken.extend(verdict.into_iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[tokio::test]
async fn a_gateway_that_the_store_turns_away_follows_its_peers() {
    for mode in [Mode::Reset, Mode::Silent] {
        let broken = turned_away::play(mode).await;
        assert!(broken.is_empty(), "{mode:?}: {}", broken.join("\n"));
    }
}

fn seeds(text: &str) -> Vec<u64> {
    let (from, to) = text.split_once("..").unwrap_or((text, text));
    let from: u64 = from.parse().expect("a first seed");
    let to: u64 = to.parse().unwrap_or(from + 1);
    (from..to.max(from + 1)).collect()
}
