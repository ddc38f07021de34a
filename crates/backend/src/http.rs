//! The HTTP client of both kinds of engine, and the classification of its errors.

use ntex::SharedCfg;
use ntex::client::Client;
use ntex::client::ClientResponse;
use ntex::client::Connector;
use ntex::client::error::ClientError;
use ntex::client::error::ConnectError;
use ntex::http::StatusCode;
use ntex::http::Version;
use ntex::http::header::CONTENT_LENGTH;
use ntex::http::header::TRANSFER_ENCODING;
use ntex::time::Millis;
use ntex::time::Seconds;

use crate::engine::Error;

/// Time limit of a control call, such as a probe, a cancel or an order.
pub(crate) const CONTROL_TIMEOUT: Millis = Millis(2_000);

/// Time for which an idle connection is kept. It is shorter than engines keep
/// theirs, since a request on a connection that is about to close may be lost with
/// its outcome unknown.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(3);

/// The longest control answer that is read.
pub(crate) const CONTROL_ANSWER_MAX_BYTES: usize = 1024 * 1024;

/// Concurrent connections: no limit. The connector also takes 0 for that, but then
/// never wakes a request that waits while another connection is being made.
const MAX_CONNECTIONS: usize = usize::MAX;

/// Builds a client without limits on connections or time: the gate bounds the
/// number of requests and deadlines bound their time. It follows no redirects,
/// since each hop might run the work.
pub(crate) async fn build_client() -> Result<Client, Error> {
    Client::builder()
        .connector::<()>(Connector::default().limit(MAX_CONNECTIONS).keep_alive(KEEP_ALIVE_TIMEOUT))
        .disable_timeout()
        .disable_redirects()
        .build(SharedCfg::default())
        .await
        .map_err(|error| Error::Down(error.to_string()))
}

/// Classifies an error before the answer's head by whether the work may have started.
///
/// Only a connection that was never made proves that nothing ran. The client
/// reports a connection lost after sending as `Disconnected(None)`, which is
/// therefore [`Error::Cut`].
pub(crate) fn classify_error(error: &ClientError) -> Error {
    let text = error.to_string();
    match error {
        ClientError::Url(_) | ClientError::Http(_) => Error::Down(text),
        ClientError::Connect(ConnectError::Disconnected(None)) => Error::Cut(text),
        ClientError::Connect(_) => Error::Down(text),
        _ => Error::Cut(text),
    }
}

/// Checks that the end of an answer's body is marked, by a length or by chunks.
///
/// The HTTP client takes any other body of HTTP/1.1 for an empty one, so that an answer without
/// its body would be passed on as whole.
///
/// # Errors
///
/// [`Error::Cut`] if only the end of the connection would mark it.
pub(crate) fn check_framing(response: &ClientResponse) -> Result<(), Error> {
    let is_bodiless =
        matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let headers = response.headers();
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    if is_framed || is_bodiless || response.version() < Version::HTTP_11 {
        return Ok(());
    }
    Err(Error::Cut("the answer has neither a length nor chunks, so its end is unknown".to_owned()))
}

/// Reads the whole body of a control answer, up to [`CONTROL_ANSWER_MAX_BYTES`].
pub(crate) async fn read_control_body(response: &ClientResponse) -> Result<Vec<u8>, Error> {
    check_framing(response)?;
    let body = response.body().limit(CONTROL_ANSWER_MAX_BYTES).timeout(CONTROL_TIMEOUT).await;
    body.map(|bytes| bytes.to_vec()).map_err(|error| Error::Cut(error.to_string()))
}

/// Returns an address without slashes at its end, so that paths can be appended.
pub(crate) fn base_url(address: &str) -> String {
    address.trim_end_matches('/').to_owned()
}
