//! Load of attempts that are sent to an agent directly, without an entry.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use fleet::Chat;
use fleet::Node;
use fleet::Outcome;
use fleet::http::Client;
use fleet::load::Tally;
use fleet::outcome::Answer;
use futures_util::StreamExt;
use futures_util::future::join_all;
use ntex::client::ClientResponse;
use ntex::http::Method;
use serde::Deserialize;
use standins::engine::Message;
use wire::Attempt;
use wire::Cost;
use wire::Key;
use wire::Stamp;
use wire::Work;
use wire::codec;
use wire::frame::Payload;
use wire::key;
use wire::work;

use crate::measure::hop::MODEL;

/// Estimated tokens of a prompt.
const PROMPT_TOKENS: u32 = 50;
/// Deadline that each attempt carries.
const DEADLINE: Duration = Duration::from_secs(5);

/// Concurrent callers that send attempts to one agent.
#[derive(Debug)]
pub(crate) struct Attempts {
    client: Client,
    url: String,
    callers: usize,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

impl Attempts {
    pub(crate) fn new(client: &Client, agent: &Node, callers: usize) -> Attempts {
        let url = agent.data_url(wire::attempt::PATH);
        Attempts { client: client.clone(), url, callers }
    }

    /// Sends attempts for some time, one after another from each caller, and returns
    /// the counts of their outcomes.
    pub(crate) async fn run(&self, time: Duration) -> Tally {
        let tally = Rc::new(RefCell::new(Tally::default()));
        let end = Instant::now() + time;
        let callers = (0..self.callers).map(|caller| self.run_caller(caller, end, &tally));
        join_all(callers).await;
        tally.take()
    }

    async fn run_caller(&self, caller: usize, end: Instant, tally: &Rc<RefCell<Tally>>) {
        let mut count = 0;
        while Instant::now() < end {
            let text = format!("{caller}-{count}: {}", "word".repeat(PROMPT_TOKENS as usize));
            let chat = Chat::whole(MODEL, vec![Message::new("user", &text)], 1);
            tally.borrow_mut().sent += 1;
            let outcome = self.send(&attempt(&chat, (caller as u128) << 64 | count)).await;
            tally.borrow_mut().count(&outcome, &chat.expected(MODEL));
            count += 1;
        }
    }

    async fn send(&self, attempt: &Attempt) -> Outcome {
        let start = Instant::now();
        let request = self.client.request(Method::POST, &self.url);
        let request = request
            .header(key::HEADER, Key::new(fleet::PEER_KEY).bearer())
            .content_type(codec::CONTENT_TYPE);
        match request.send_body(codec::encode_attempt(attempt)).await {
            Ok(response) => read_answer(&response, start).await,
            Err(error) => Outcome::Failed(error.to_string()),
        }
    }
}

/// Reads the frames of an answer up to the last one.
async fn read_answer(response: &ClientResponse, start: Instant) -> Outcome {
    let mut payload = response.take_payload();
    let mut reader = codec::Reader::default();
    let mut answer = Answer::default();
    while let Some(bytes) = payload.next().await {
        match bytes {
            Ok(bytes) => reader.push(&bytes),
            Err(error) => return Outcome::Failed(error.to_string()),
        }
        while let Ok(Some(frame)) = reader.next_frame() {
            match frame.payload {
                Payload::Data(chunk) => answer.text.push_str(&chunk_text(&chunk)),
                Payload::End(_) => {
                    answer.total = start.elapsed();
                    return Outcome::Answer(answer);
                }
                Payload::Refused(refusal, _) => return Outcome::Failed(format!("{refusal:?}")),
                Payload::Accepted(_) | Payload::Head(_) => {}
            }
        }
    }
    Outcome::Failed("no last frame".to_owned())
}

/// Returns the text of a chunk, empty if it can't be parsed.
fn chunk_text(chunk: &[u8]) -> String {
    let Ok(chunk) = serde_json::from_slice::<Chunk>(chunk) else {
        return String::new();
    };
    chunk.choices.into_iter().filter_map(|choice| choice.delta.content).collect()
}

fn attempt(chat: &Chat, request: u128) -> Attempt {
    Attempt {
        stamp: Stamp { vm: "measure".to_owned(), incarnation: 1, revision: 1 },
        request,
        attempt: 0,
        account: "urgent".to_owned(),
        service: "classify".to_owned(),
        deadline: DEADLINE,
        cost: Cost { prompt: PROMPT_TOKENS, output: 1 },
        mean: None,
        home: None,
        redirect: false,
        work: Work::Chat(work::Chat {
            model: MODEL.to_owned(),
            chat: 1,
            body: serde_json::to_string(chat).unwrap_or_default(),
        }),
        resume: None,
    }
}
