//! The server of control calls.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use jsonrpsee::server::BatchRequestConfig;
use jsonrpsee::server::PingConfig;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use tokio::time;
use tokio_util::sync::CancellationToken;
use tower::ServiceBuilder;
use tower::layer::util::Identity;

use crate::Error;
use crate::Handler;
use crate::Keys;
use crate::control::ControlServer;
use crate::gate::GateLayer;
use crate::limit;
use crate::methods::Methods;

/// Listens on an address and answers control calls until cancelled.
///
/// # Errors
///
/// [`Error::Listen`] if the address can't be listened on.
pub async fn serve(
    listen: SocketAddr,
    keys: Keys,
    handler: Arc<dyn Handler>,
    cancel: CancellationToken,
) -> Result<(), Error> {
    let listener = TcpListener::bind(listen).map_err(|error| listen_error(listen, &error))?;
    serve_on(listener, keys, handler, cancel).await
}

/// Answers control calls on a socket that already listens, until cancelled.
///
/// # Errors
///
/// [`Error::Listen`] if the socket can't be used.
pub async fn serve_on(
    listener: TcpListener,
    keys: Keys,
    handler: Arc<dyn Handler>,
    cancel: CancellationToken,
) -> Result<(), Error> {
    let listen = listener.local_addr().map_err(|error| listen_error(unknown_address(), &error))?;
    listener.set_nonblocking(true).map_err(|error| listen_error(listen, &error))?;
    let server = Server::builder()
        .set_config(config())
        .set_http_middleware(ServiceBuilder::new().layer(GateLayer { keys }))
        .build_from_tcp(listener)
        .map_err(|error| listen_error(listen, &error))?;
    run(server.start(Methods { handler }.into_rpc()), cancel).await;
    Ok(())
}

/// Returns a server that listens on an address, for calls that need no key.
pub(crate) fn bind(listen: SocketAddr) -> Result<Server<Identity, Identity>, Error> {
    let listener = TcpListener::bind(listen).map_err(|error| listen_error(listen, &error))?;
    listener.set_nonblocking(true).map_err(|error| listen_error(listen, &error))?;
    let server = Server::builder().set_config(config()).build_from_tcp(listener);
    server.map_err(|error| listen_error(listen, &error))
}

/// Waits until cancelled, then stops the server and waits for its connections to close.
pub(crate) async fn run(server: ServerHandle, cancel: CancellationToken) {
    cancel.cancelled().await;
    // The only error is that the server has stopped already.
    let _ = server.stop();
    if time::timeout(limit::STOP_TIMEOUT, server.stopped()).await.is_err() {
        log::debug!("control connections were still open when the server stopped");
    }
}

fn config() -> ServerConfig {
    ServerConfig::builder()
        .ws_only()
        .max_request_body_size(limit::CALL_MAX_BYTES)
        .max_response_body_size(limit::ANSWER_MAX_BYTES)
        .max_connections(limit::MAX_CONNECTIONS)
        .max_subscriptions_per_connection(0)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .set_first_request_timeout(Some(limit::CONNECT_TIMEOUT))
        .enable_ws_ping(PingConfig::new().ping_interval(limit::PING_INTERVAL))
        .set_tcp_no_delay(true)
        .build()
}

fn listen_error(listen: SocketAddr, error: &std::io::Error) -> Error {
    Error::Listen(listen, error.to_string())
}

/// Returns a placeholder for the address of a socket that doesn't tell it.
fn unknown_address() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}
