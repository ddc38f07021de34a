//! The sample session: each answer is compared with the only right one.

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

/// The chat that returns.
const RETURNING: &str = "the chat that returns";
/// The streamed answer.
const STREAMED: &str = "the streamed answer";
/// The call that is retried.
const BOOKING: &str = "the booking retried with its key";

/// Runs the whole session.
///
/// # Errors
///
/// [`Error::Wrong`] with the first answer that isn't right.
pub(crate) async fn run(fleet: &Fleet, sample: &Sample, client: &Client) -> Result<(), Error> {
    let entries: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.vm.data).collect();
    let [first, .., last] = entries[..] else {
        return Err(wrong("the deployment", "it has less than two entries"));
    };
    returning(first, last, &sample.returning, client).await?;
    streamed(first, &sample.streamed, client).await?;
    booking(first, last, &sample.booking, client).await?;
    once(fleet, &sample.booking, client).await
}

/// Both turns go through different entries, so that only placement can bring
/// the second one to where the first one is cached.
async fn returning(
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
        let answer = check(RETURNING, caller.chat(entry, &chat).await, &chat, script)?;
        messages.push(Message::new("assistant", &answer.text));
        cached = answer.cached_tokens;
    }
    if cached == 0 {
        return Err(wrong(RETURNING, "the second turn found nothing cached"));
    }
    println!("demo: {RETURNING}: right, {cached} tokens cached");
    Ok(())
}

async fn streamed(entry: SocketAddr, script: &Script, client: &Client) -> Result<(), Error> {
    let messages = script.turns.iter().map(|turn| Message::new("user", turn)).collect();
    let chat = Chat::streamed(script.service, messages, script.tokens);
    let outcome = Caller::new(client, script.account).chat(entry, &chat).await;
    let answer = check(STREAMED, outcome, &chat, script)?;
    println!("demo: {STREAMED}: right, {} pieces", answer.gaps.len() + 1);
    Ok(())
}

async fn booking(
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
    let receipt = whole(BOOKING, caller.call(first, &call).await)?;
    let again = whole(BOOKING, caller.call(last, &call).await)?;
    if receipt.text != again.text {
        let seen = format!("first {}, then {}", receipt.text, again.text);
        return Err(wrong(BOOKING, &seen));
    }
    Ok(())
}

/// Asks the engines themselves how often the booking ran.
async fn once(fleet: &Fleet, booking: &Booking, client: &Client) -> Result<(), Error> {
    let mut runs = 0;
    for endpoint in fleet.endpoints_of(Kind::Plain) {
        let counts: Counts = client.json(&endpoint.engine.url("/standin/counts")).await?;
        runs += counts.runs.value(&booking.run.to_owned()).copied().unwrap_or_default();
    }
    if runs != 1 {
        return Err(wrong(BOOKING, &format!("it ran {runs} times")));
    }
    println!("demo: {BOOKING}: the same receipt, it ran once");
    Ok(())
}

fn check(
    step: &'static str,
    outcome: Outcome,
    chat: &Chat,
    script: &Script,
) -> Result<Answer, Error> {
    let answer = whole(step, outcome)?;
    let expected = chat.expected(script.model);
    if answer.text != expected {
        let seen = format!("{:?} in place of {expected:?}", answer.text);
        return Err(wrong(step, &seen));
    }
    Ok(answer)
}

fn whole(step: &'static str, outcome: Outcome) -> Result<Answer, Error> {
    match outcome {
        Outcome::Answer(answer) => Ok(answer),
        Outcome::Refused(refusal) => Err(wrong(step, &format!("{refusal:?}"))),
        Outcome::Failed(reason) => Err(wrong(step, &reason)),
    }
}

fn wrong(step: &'static str, seen: &str) -> Error {
    Error::Wrong { step, seen: seen.to_owned() }
}
