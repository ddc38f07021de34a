//! Body of a response.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::allowance::Allowance;

/// The body of a response, which is read as it arrives.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    allowance: Arc<Allowance>,
}

impl Body {
    pub(crate) fn new(incoming: Incoming, allowance: Arc<Allowance>) -> Body {
        Body { incoming, allowance }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && frame.data_ref().is_some_and(|data| !data.is_empty())
        {
            self.allowance.renew();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
