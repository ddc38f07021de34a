//! `cargo xtask demo`: starts a whole deployment to try out.

mod guide;
mod sample;
mod session;
mod signals;

use std::future;
use std::time::Duration;

use fleet::Binaries;
use fleet::Fleet;
use fleet::http;
use fleet::http::Client;

use crate::build;
use crate::demo::sample::Sample;
use crate::demo::signals::Signals;
use crate::error::Error;
use crate::flags::Demo;

/// Time within which all daemons have to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Starts the deployment, confirms its intent and then either runs the sample
/// session or keeps running until SIGINT or SIGTERM.
///
/// # Errors
///
/// The error of the build, of a process that didn't start or of a command that
/// failed, or the first unexpected answer of the session.
pub fn run(flags: &Demo) -> Result<(), Error> {
    let binaries = build::run(flags.release)?;
    let sample = if flags.tallinn { Sample::tallinn() } else { Sample::sofia() };
    http::block_on(serve(sample, binaries, flags.once))
}

async fn serve(sample: Sample, binaries: Binaries, once: bool) -> Result<(), Error> {
    let mut signals = Signals::new()?;
    let fleet = Fleet::start(&sample.deployment, &binaries)?;
    let outcome = tokio::select! {
        biased;
        () = signals.received() => Ok(()),
        outcome = confirm_and_run(&fleet, &sample, once) => outcome,
    };
    println!("demo: stopping");
    for late in fleet.stop() {
        println!("demo: {late}");
    }
    outcome
}

async fn confirm_and_run(fleet: &Fleet, sample: &Sample, once: bool) -> Result<(), Error> {
    let client = Client::new().await?;
    fleet.wait_until_seen(READY_TIMEOUT).await?;
    let plan = fleet.operator.apply(&sample.intent())?;
    println!("demo: plan {plan} is in force");
    fleet.wait_until_ready(&client, READY_TIMEOUT).await?;
    if once {
        return session::run(fleet, sample, &client).await;
    }
    guide::print(fleet, sample);
    future::pending().await
}
