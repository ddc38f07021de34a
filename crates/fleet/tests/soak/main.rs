//! Runs gateways as real processes under random faults of their environment.
//!
//! `SOAK_SEEDS=1..51 cargo test -p fleet --test soak -- --nocapture` runs other
//! seeds than the short run of CI. Each seed that ever violated a guarantee stays
//! in [`REGRESSIONS`] with its cause.

mod behaviour;
mod client;
mod cluster;
mod endpoint;
mod kind;
mod ledger;
mod plan;
mod proxy;
mod store_partition;

use std::ops::Range;

use crate::proxy::Mode;

/// The seeds of CI: one with planned operations only, and three with faults.
const SHORT: Range<u64> = 0..4;

/// Seeds that once violated a guarantee, and why.
///
/// - 0: a stopping gateway still started a request that arrived while it waited for its
///   server to stop; the request was cut off when the process ended.
/// - 4: a stopping gateway waited up to 1.7 s for its server to stop; connections that
///   arrived meanwhile were never accepted and were reset when the process ended.
const REGRESSIONS: [u64; 1] = [4];

/// Environment variable with the seeds to run instead of the short ones, as in `1..51`.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";

#[tokio::test]
async fn no_promise_is_broken_under_faults() {
    let chosen = std::env::var(SEEDS_VARIABLE).ok().map(|text| parse_seeds(&text));
    let seeds = chosen.unwrap_or_else(|| SHORT.chain(REGRESSIONS).collect());
    let mut broken = Vec::new();
    for seed in seeds {
        let (violations, counts) = cluster::run(seed).await;
        println!("seed {seed}: {} broken, {counts}", violations.len());
        broken.extend(violations.into_iter().map(|what| format!("seed {seed}: {what}")));
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[tokio::test]
async fn no_promise_is_broken_while_the_store_turns_a_gateway_away() {
    for mode in [Mode::Reset, Mode::Blackhole] {
        let broken = store_partition::run(mode).await;
        assert!(broken.is_empty(), "{mode:?}: {}", broken.join("\n"));
    }
}

/// Parses a range of seeds without its end, as in `1..51`, or a single seed.
fn parse_seeds(text: &str) -> Vec<u64> {
    let (from, to) = text.split_once("..").unwrap_or((text, text));
    let from: u64 = from.parse().expect("a first seed");
    let to: u64 = to.parse().unwrap_or(from + 1);
    (from..to.max(from + 1)).collect()
}
