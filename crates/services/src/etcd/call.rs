//! One call of the gateway, and what its failure says of a write.

use ntex::client::ClientResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::etcd::message::Fault;
use crate::failure::Failure;
use crate::http;
use crate::http::Http;
use crate::store::Error;

/// The status of a limited call.
const TOO_MANY_REQUESTS: u16 = 429;
/// The gRPC code of a limited call.
const RESOURCE_EXHAUSTED: i32 = 8;

/// Whether a call changes the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Read,
    Write,
}

impl Kind {
    /// What a failure means: only a write can be lost, and it is unless it
    /// surely wasn't sent.
    pub(crate) fn error(self, failure: Failure) -> Error {
        match (self, failure) {
            (_, Failure::Limited) => Error::Limited,
            (_, Failure::Unsent(cause)) | (Kind::Read, Failure::Cut(cause)) => Error::Down(cause),
            (Kind::Write, Failure::Cut(cause) | Failure::Malformed(cause)) => Error::Lost(cause),
            (Kind::Read, Failure::Malformed(cause)) => Error::Protocol(cause),
            (_, Failure::Status(status)) if status < 500 => {
                Error::Protocol(format!("status {status}"))
            }
            (Kind::Read, Failure::Status(status)) => Error::Down(format!("status {status}")),
            (Kind::Write, Failure::Status(status)) => Error::Lost(format!("status {status}")),
        }
    }
}

/// Asks and reads the whole answer.
pub(crate) async fn unary<T: DeserializeOwned>(
    http: &Http,
    kind: Kind,
    path: &str,
    question: &impl Serialize,
) -> Result<T, Error> {
    let call = async {
        let response = open(http, path, question).await?;
        let bytes = http::body(&response).await?;
        serde_json::from_slice(&bytes).map_err(|error| Failure::Malformed(error.to_string()))
    };
    http::within(call).await.map_err(|failure| kind.error(failure))
}

/// Asks and gives the answer's body unread, once its status is a success.
pub(crate) async fn open(
    http: &Http,
    path: &str,
    question: &impl Serialize,
) -> Result<ClientResponse, Failure> {
    let client = http.client().await?;
    let response = client.post(http.url(path)).send_json(question).await?;
    if response.status().is_success() {
        return Ok(response);
    }
    Err(refusal(&response).await)
}

async fn refusal(response: &ClientResponse) -> Failure {
    let status = response.status().as_u16();
    let body = http::body(response).await.unwrap_or_default();
    let fault: Fault = serde_json::from_slice(&body).unwrap_or_default();
    if status == TOO_MANY_REQUESTS || fault.code == RESOURCE_EXHAUSTED {
        return Failure::Limited;
    }
    Failure::Status(status)
}
