//! The sample session of the demo, which compares each answer with the expected one.

use std::net::SocketAddr;

use fleet::Caller;
use fleet::Chat;
use fleet::Fleet;
use fleet::Outcome;
use fleet::caller::Call;
use fleet::endpoint::Kind;
use fleet::http::Client;
use fleet::outcome::Answer;
use standins::engine::Message;
use standins::registry::Counts;

use crate::demo::sample::Booking;
use crate::demo::sample::Sample;
use crate::demo::sample::Script;
use crate::error::Error;

/// Printed name of the step with a chat of two turns.
const RETURNING: &str = "the chat that returns";
/// Printed name of the step with a streamed answer.
const STREAMED: &str = "the streamed answer";
/// Printed name of the step with a retried call.
const BOOKING: &str = "the booking retried with its key";

/// Runs all steps of the session.
///
/// # Errors
///
/// [`Error::Unexpected`] with the first unexpected answer, [`Error::Fleet`] if the
/// stand-ins can't be asked.
pub(crate) async fn run(fleet: &Fleet, sample: &Sample, client: &Client) -> Result<(), Error> {
    let entries: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.vm.data).collect();
    let [first, .., last] = entries[..] else {
        return Err(unexpected("the deployment", "it has less than two entries"));
    };
    check_returning(first, last, &sample.returning, client).await?;
    check_streamed(first, &sample.streamed, client).await?;
    check_booking(first, last, &sample.booking, client).await?;
    check_single_run(fleet, &sample.booking, client).await
}

/// Sends two turns of a chat and expects that the second one finds cached tokens.
/// The turns go through different entries, so that only placement can bring the
/// second one to the engine that cached the first one.
async fn check_returning(
    first: SocketAddr,
    last: SocketAddr,
    script: &Script,
    client: &Client,
) -> Result<(), Error> {
    let caller = Caller::new(client, script.account);
    let mut messages = Vec::new();
    let mut cached = 0;
    for (turn, entry) in script.turns.iter().zip([first, last]) {
        messages.push(Message::new("user", turn));
        let chat = Chat::whole(script.service, messages.clone(), script.tokens).keyed("demo-chat");
        let answer = expect_text(RETURNING, caller.chat(entry, &chat).await, &chat, script)?;
        messages.push(Message::new("assistant", &answer.text));
        cached = answer.cached_tokens;
    }
    if cached == 0 {
        return Err(unexpected(RETURNING, "the second turn found nothing cached"));
    }
    println!("demo: {RETURNING}: right, {cached} tokens cached");
    Ok(())
}

async fn check_streamed(entry: SocketAddr, script: &Script, client: &Client) -> Result<(), Error> {
    let messages = script.turns.iter().map(|turn| Message::new("user", turn)).collect();
    let chat = Chat::streamed(script.service, messages, script.tokens);
    let outcome = Caller::new(client, script.account).chat(entry, &chat).await;
    let answer = expect_text(STREAMED, outcome, &chat, script)?;
    println!("demo: {STREAMED}: right, {} chunks", answer.gaps.len() + 1);
    Ok(())
}

async fn check_booking(
    first: SocketAddr,
    last: SocketAddr,
    booking: &Booking,
    client: &Client,
) -> Result<(), Error> {
    let caller = Caller::new(client, booking.account);
    let call = Call {
        service: booking.service,
        path: booking.path,
        body: booking.body.to_owned(),
        key: Some(booking.key),
    };
    let receipt = expect_answer(BOOKING, caller.call(first, &call).await)?;
    let retried = expect_answer(BOOKING, caller.call(last, &call).await)?;
    if receipt.text != retried.text {
        let actual = format!("first {}, then {}", receipt.text, retried.text);
        return Err(unexpected(BOOKING, &actual));
    }
    Ok(())
}

/// Asks the plain engines' stand-ins how often the booking ran and expects one run.
async fn check_single_run(fleet: &Fleet, booking: &Booking, client: &Client) -> Result<(), Error> {
    let mut runs = 0;
    for endpoint in fleet.endpoints_of(Kind::Plain) {
        let counts: Counts = client.json(&endpoint.engine.url("/standin/counts")).await?;
        runs += counts.runs.value(&booking.run.to_owned()).copied().unwrap_or_default();
    }
    if runs != 1 {
        return Err(unexpected(BOOKING, &format!("it ran {runs} times")));
    }
    println!("demo: {BOOKING}: the same receipt, it ran once");
    Ok(())
}

/// Returns the answer if its text is the one that the model's stand-in generates.
fn expect_text(
    step: &'static str,
    outcome: Outcome,
    chat: &Chat,
    script: &Script,
) -> Result<Answer, Error> {
    let answer = expect_answer(step, outcome)?;
    let expected = chat.expected(script.model);
    if answer.text != expected {
        let actual = format!("{:?} in place of {expected:?}", answer.text);
        return Err(unexpected(step, &actual));
    }
    Ok(answer)
}

/// Returns the answer of a request that was neither refused nor cut.
fn expect_answer(step: &'static str, outcome: Outcome) -> Result<Answer, Error> {
    match outcome {
        Outcome::Answer(answer) => Ok(answer),
        Outcome::Refused(refusal) => Err(unexpected(step, &format!("{refusal:?}"))),
        Outcome::Failed(reason) => Err(unexpected(step, &reason)),
    }
}

fn unexpected(step: &'static str, actual: &str) -> Error {
    Error::Unexpected { step, actual: actual.to_owned() }
}
