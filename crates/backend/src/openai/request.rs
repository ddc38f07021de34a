//! The body of a request to a model engine.

use serde_json::Value;
use serde_json::json;
use wire::work::Chat;

use crate::engine::Error;

/// The status for a body that is not a JSON object.
const BAD_REQUEST: u16 = 400;

/// Returns the caller's body with model, priority and streaming overwritten, since
/// a caller may choose neither the model of its service nor its urgency.
pub(crate) fn build_body(chat: &Chat, priority: i32) -> Result<String, Error> {
    let Ok(Value::Object(mut body)) = serde_json::from_str(&chat.body) else {
        return Err(Error::Refused(BAD_REQUEST));
    };
    body.insert("model".to_owned(), json!(chat.model));
    body.insert("priority".to_owned(), json!(priority));
    body.insert("stream".to_owned(), json!(true));
    body.insert("stream_options".to_owned(), json!({ "include_usage": true }));
    Ok(Value::Object(body).to_string())
}
