//! An HTTP client of one thread, built when it is first used.

use std::time::Duration;

use ntex::client::Client;
use ntex::client::ClientResponse;
use ntex::util::Bytes;
use tokio::sync::OnceCell;
use tokio::time;

use crate::failure::Failure;

/// Time for a connection to be made and for a whole answer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes that an answer may have: several documents of a megabyte in base64.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The base address with its client.
pub(crate) struct Http {
    base: String,
    client: OnceCell<Client>,
}

impl Http {
    /// Takes the address without a slash at its end.
    pub(crate) fn new(base: &str) -> Http {
        Http { base: base.trim_end_matches('/').to_owned(), client: OnceCell::new() }
    }

    /// The address of a path.
    pub(crate) fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }

    /// The client, which is built by the thread that uses it.
    pub(crate) async fn client(&self) -> Result<&Client, Failure> {
        let client = self.client.get_or_try_init(build).await;
        client.map_err(|()| Failure::Unsent("the HTTP client can't be built".to_owned()))
    }
}

async fn build() -> Result<Client, ()> {
    let builder = Client::builder().disable_redirects().response_payload_limit(ANSWER_BYTES);
    builder.build(ntex::SharedCfg::default()).await.map_err(|_| ())
}

/// Waits for a call no longer than [`CALL_TIMEOUT`].
pub(crate) async fn within<T>(
    call: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    let Ok(answer) = time::timeout(CALL_TIMEOUT, call).await else {
        return Err(Failure::Cut(format!("no answer within {CALL_TIMEOUT:?}")));
    };
    answer
}

/// Reads a whole body.
pub(crate) async fn body(response: &ClientResponse) -> Result<Bytes, Failure> {
    response.body().limit(ANSWER_BYTES).await.map_err(|error| Failure::Cut(error.to_string()))
}
