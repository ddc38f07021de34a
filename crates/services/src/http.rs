//! An HTTP client for one service, local to a thread.

use std::time::Duration;

use ntex::client::Client;
use ntex::client::ClientResponse;
use ntex::util::Bytes;
use tokio::sync::OnceCell;
use tokio::time;

use crate::failure::Failure;

/// Time limit of one call, from connecting to the end of the answer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest answer that is read. It holds several documents of a megabyte in base64.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// A base address and its HTTP client, which is built at first use.
pub(crate) struct Http {
    base: String,
    client: OnceCell<Client>,
}

impl Http {
    /// Returns a client of a base address; slashes at its end are dropped.
    pub(crate) fn new(base: &str) -> Http {
        Http { base: base.trim_end_matches('/').to_owned(), client: OnceCell::new() }
    }

    /// Returns the URL of a path, which starts with a slash.
    pub(crate) fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    /// Returns the client, built on first use by the thread that uses it.
    pub(crate) async fn client(&self) -> Result<&Client, Failure> {
        let client = self.client.get_or_try_init(build_client).await;
        client.map_err(|()| Failure::Unsent("the HTTP client can't be built".to_owned()))
    }
}

async fn build_client() -> Result<Client, ()> {
    let builder = Client::builder().disable_redirects().response_payload_limit(ANSWER_MAX_BYTES);
    builder.build(ntex::SharedCfg::default()).await.map_err(|_| ())
}

/// Runs a call; one that exceeds [`CALL_TIMEOUT`] fails as [`Failure::Cut`].
pub(crate) async fn with_timeout<T>(
    call: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    let Ok(answer) = time::timeout(CALL_TIMEOUT, call).await else {
        return Err(Failure::Cut(format!("no answer within {CALL_TIMEOUT:?}")));
    };
    answer
}

/// Reads the whole body of a response, up to [`ANSWER_MAX_BYTES`].
pub(crate) async fn read_body(response: &ClientResponse) -> Result<Bytes, Failure> {
    response.body().limit(ANSWER_MAX_BYTES).await.map_err(|error| Failure::Cut(error.to_string()))
}
