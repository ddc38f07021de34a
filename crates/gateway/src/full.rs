//! Bodies of whole responses, which are written piece by piece.

use std::error::Error;
use std::rc::Rc;

use bytes::Buf;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use ntex::http::body::Body;
use ntex::http::body::SizedStream;

use crate::attempt::FullResponse;
use crate::response_guard::ResponseGuard;

/// Length of a piece, in bytes. The server takes the next one once its own buffer of 16 KB for the
/// connection has room.
const PIECE_BYTES: usize = 16 * 1024;

/// A piece as the server takes it.
type Piece = Result<ntex::util::Bytes, Rc<dyn Error>>;

/// Returns the body of a response. A client that reads slowly holds one copy of it, which stays
/// counted until it is written.
pub(crate) fn body(full: FullResponse, guard: ResponseGuard) -> Body {
    if full.body.len() <= PIECE_BYTES {
        return Body::from(ntex::util::Bytes::copy_from_slice(&full.body));
    }
    let len = full.body.len() as u64;
    Body::from_message(SizedStream::new(len, Box::pin(pieces(full, guard))))
}

/// Returns the body in pieces.
fn pieces(full: FullResponse, guard: ResponseGuard) -> impl Stream<Item = Piece> {
    let FullResponse { body, held, .. } = full;
    stream::unfold((body, held, guard), |(mut rest, held, guard)| async move {
        let piece = next_piece(&mut rest);
        guard.set_waiting(piece.is_some());
        Some((Ok(piece?), (rest, held, guard)))
    })
}

/// Takes the next piece of a body; `None` after its end.
fn next_piece(rest: &mut Bytes) -> Option<ntex::util::Bytes> {
    if rest.is_empty() {
        return None;
    }
    let len = rest.len().min(PIECE_BYTES);
    let piece = ntex::util::Bytes::copy_from_slice(&rest[..len]);
    rest.advance(len);
    Some(piece)
}
