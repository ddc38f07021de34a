//! The HTTP server for metrics and health checks.

use std::net::SocketAddr;

use ntex::server::Server;
use ntex::web;
use ntex::web::App;
use telemetry::admin;
use telemetry::admin::Source;

use crate::Error;

/// Starts the server on `address`.
///
/// # Errors
///
/// If its address can't be listened on.
pub fn start(address: SocketAddr, source: Source) -> Result<Server, Error> {
    let app = async move || {
        let source = source.clone();
        App::new().configure(move |config| admin::configure(config, source.clone()))
    };
    let server = web::HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .bind(address)
        .map_err(|error| Error::Listen("admin", error))?;
    Ok(server.run())
}
