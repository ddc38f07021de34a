//! Joins the chunks of a streamed chat completion into one response.

use std::collections::VecDeque;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use wire::Problem;
use wire::frame::Usage;
use wire::id;

use crate::problems;

/// A chat completion in the OpenAI chat protocol.
#[derive(Debug, Serialize)]
pub(crate) struct Completion {
    id: String,
    object: &'static str,
    created: u64,
    model: id::Service,
    choices: Vec<Choice>,
    usage: Tokens,
}

/// Token usage in the OpenAI chat protocol.
#[derive(Debug, Serialize)]
pub(crate) struct Tokens {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: Details,
}

#[derive(Debug, Serialize)]
struct Details {
    cached_tokens: u32,
}

#[derive(Debug, Default, Serialize)]
struct Choice {
    index: u32,
    message: Map<String, Value>,
    finish_reason: Value,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    id: String,
    #[serde(default)]
    created: u64,
    #[serde(default)]
    choices: Vec<ChunkChoice>,
}

#[derive(Debug, Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    index: u32,
    #[serde(default)]
    delta: Map<String, Value>,
    #[serde(default)]
    finish_reason: Value,
}

impl From<Usage> for Tokens {
    fn from(usage: Usage) -> Tokens {
        Tokens {
            prompt_tokens: usage.prompt,
            completion_tokens: usage.output,
            total_tokens: usage.prompt.saturating_add(usage.output),
            prompt_tokens_details: Details { cached_tokens: usage.cached },
        }
    }
}

/// Joins all chunks of an answer.
///
/// # Errors
///
/// A chunk can't be decoded, which makes the whole answer unusable.
pub(crate) fn join_chunks(
    service: &str,
    chunks: &VecDeque<Bytes>,
    usage: Usage,
) -> Result<Completion, Problem> {
    let mut whole = Completion {
        id: String::new(),
        object: "chat.completion",
        created: 0,
        model: service.to_owned(),
        choices: Vec::new(),
        usage: usage.into(),
    };
    for chunk in chunks {
        let chunk: Chunk = serde_json::from_slice(chunk)
            .map_err(|error| problems::cut(&format!("the engine sent no JSON: {error}")))?;
        add_chunk(&mut whole, chunk);
    }
    Ok(whole)
}

/// Returns whether a chunk carries only the token usage.
pub(crate) fn is_usage_only(chunk: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct Shape {
        choices: Vec<serde::de::IgnoredAny>,
    }
    serde_json::from_slice::<Shape>(chunk).is_ok_and(|shape| shape.choices.is_empty())
}

fn add_chunk(whole: &mut Completion, chunk: Chunk) {
    if whole.id.is_empty() {
        whole.id = chunk.id;
        whole.created = chunk.created;
    }
    for part in chunk.choices {
        let index = match whole.choices.binary_search_by_key(&part.index, |choice| choice.index) {
            Ok(index) => index,
            Err(index) => {
                whole.choices.insert(index, Choice { index: part.index, ..Choice::default() });
                index
            }
        };
        let choice = &mut whole.choices[index];
        merge_delta(&mut choice.message, part.delta);
        if !part.finish_reason.is_null() {
            choice.finish_reason = part.finish_reason;
        }
    }
}

/// Merges a delta into a message: strings and lists are appended, other values are set
/// once.
fn merge_delta(into: &mut Map<String, Value>, delta: Map<String, Value>) {
    for (name, value) in delta {
        match into.get_mut(&name) {
            Some(known) => append_value(&name, known, value),
            None => {
                into.insert(name, value);
            }
        }
    }
}

fn append_value(name: &str, known: &mut Value, value: Value) {
    match (known, value) {
        (Value::String(known), Value::String(text)) if !is_set_once(name) => known.push_str(&text),
        (Value::Array(known), Value::Array(items)) => {
            items.into_iter().for_each(|item| append_item(known, item));
        }
        (Value::Object(known), Value::Object(fields)) => merge_delta(known, fields),
        (known @ Value::Null, value) => *known = value,
        _ => {}
    }
}

/// Appends an item to a list. Items such as tool calls name by `index` the earlier item
/// that they continue.
fn append_item(known: &mut Vec<Value>, item: Value) {
    let index = item.get("index");
    let same = known.iter_mut().find(|known| index.is_some() && known.get("index") == index);
    match (same, item) {
        (Some(Value::Object(known)), Value::Object(fields)) => merge_delta(known, fields),
        (_, item) => known.push(item),
    }
}

/// Returns whether a string field is set once, not appended to.
fn is_set_once(name: &str) -> bool {
    matches!(name, "role" | "id" | "type" | "name")
}
