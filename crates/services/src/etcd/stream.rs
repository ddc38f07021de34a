//! The lines of a watch.

use futures_util::StreamExt;
use ntex::client::ClientResponse;
use ntex::util::BytesMut;

use crate::etcd::message::Streamed;
use crate::etcd::message::Watched;
use crate::failure::Failure;

/// Bytes that one line may have: a value of a megabyte in base64, and the rest.
const LINE_BYTES: usize = 2 * 1024 * 1024;

/// Takes the news of a watch out of its answer, one JSON document a line.
pub(crate) struct Lines {
    response: ClientResponse,
    buffer: BytesMut,
}

impl Lines {
    /// Reads from an open answer.
    pub(crate) fn new(response: ClientResponse) -> Lines {
        Lines { response, buffer: BytesMut::new() }
    }

    /// Waits for the next news.
    pub(crate) async fn next(&mut self) -> Result<Watched, Failure> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return parse(&line);
            }
            if self.buffer.len() > LINE_BYTES {
                return Err(Failure::Malformed("a line of a watch has no end".to_owned()));
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Result<(), Failure> {
        match self.response.next().await {
            Some(Ok(bytes)) => {
                self.buffer.extend_from_slice(&bytes);
                Ok(())
            }
            Some(Err(error)) => Err(Failure::Cut(error.to_string())),
            None => Err(Failure::Cut("the watch ended".to_owned())),
        }
    }
}

fn parse(line: &[u8]) -> Result<Watched, Failure> {
    let news: Result<Streamed<Watched>, _> = serde_json::from_slice(line);
    news.map(|news| news.result).map_err(|error| Failure::Malformed(error.to_string()))
}
