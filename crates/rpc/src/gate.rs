//! HTTP middleware that authenticates connections by their key.
//!
//! A request without a valid key is answered at once. Else the kind of its key is
//! added to the extensions of the request, for the checks of each call.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use jsonrpsee::core::BoxError;
use jsonrpsee::server::HttpBody;
use jsonrpsee::server::HttpRequest;
use jsonrpsee::server::HttpResponse;
use tower::Layer;
use tower::Service;

use crate::Keys;

/// HTTP status of the answer to a request without a valid key.
const UNAUTHORIZED: u16 = 401;

/// A layer that wraps a service in a [`Gate`].
#[derive(Debug, Clone)]
pub(crate) struct GateLayer {
    pub(crate) keys: Keys,
}

/// A service that passes on only requests with a valid key.
#[derive(Debug, Clone)]
pub(crate) struct Gate<S> {
    keys: Keys,
    inner: S,
}

impl<S> Layer<S> for GateLayer {
    type Service = Gate<S>;

    fn layer(&self, inner: S) -> Gate<S> {
        Gate { keys: self.keys.clone(), inner }
    }
}

/// The response of the service.
type Answer = Result<HttpResponse, BoxError>;

impl<S, B> Service<HttpRequest<B>> for Gate<S>
where
    S: Service<HttpRequest<B>, Response = HttpResponse, Error = BoxError>,
    S::Future: Send + 'static,
{
    type Response = HttpResponse;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Answer> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, mut request: HttpRequest<B>) -> Self::Future {
        let Some(caller) = self.keys.caller(request.headers()) else {
            return Box::pin(async { unauthorized() });
        };
        request.extensions_mut().insert(caller);
        Box::pin(self.inner.call(request))
    }
}

fn unauthorized() -> Answer {
    log::warn!("a control connection without a valid key was refused");
    let answer = HttpResponse::builder().status(UNAUTHORIZED);
    Ok(answer.body(HttpBody::from("the key is missing or wrong"))?)
}
