//! The token of a client account and the key of an operator give access to nothing
//! beyond the interface that they are for.

use std::net::SocketAddr;

use fleet::OPERATOR_KEY;
use fleet::caller;
use fleet::http::Client;
use ntex::http::Method;

use crate::fixture::Fixture;

/// The status for a missing or invalid key.
const UNAUTHORIZED: u16 = 401;
/// The status for a path that does not exist.
const NOT_FOUND: u16 = 404;

#[ntex::test]
async fn callers_and_operators_reach_no_interface_of_peers() {
    let fixture = Fixture::start().await;
    let token = caller::token("clerks");
    for node in fixture.fleet.nodes() {
        let control = node.vm.control;
        assert_eq!(
            handshake(&fixture, control, Some(&token)).await,
            UNAUTHORIZED,
            "{}",
            node.vm.vm
        );
        assert_eq!(handshake(&fixture, control, None).await, UNAUTHORIZED, "{}", node.vm.vm);
        assert_ne!(handshake(&fixture, control, Some(OPERATOR_KEY)).await, UNAUTHORIZED);
    }
    for endpoint in &fixture.fleet.endpoints {
        let url = endpoint.agent.data_url("/attempt");
        for key in [token.as_str(), OPERATOR_KEY] {
            assert_eq!(post(&url, key).await, UNAUTHORIZED, "{url}");
        }
    }
    let entry = &fixture.fleet.entries[0];
    for path in ["/attempt", "/control", "/metrics"] {
        let url = entry.data_url(path);
        assert_eq!(post(&url, &token).await, NOT_FOUND, "{url}");
    }
}

/// Returns the status of the response to a WebSocket handshake with a key.
async fn handshake(fixture: &Fixture, control: SocketAddr, key: Option<&str>) -> u16 {
    let mut request = fixture
        .client
        .request(Method::GET, &format!("http://{control}/"))
        .set_header("connection", "Upgrade")
        .set_header("upgrade", "websocket")
        .set_header("sec-websocket-version", "13")
        .set_header("sec-websocket-key", "dGhlIHNhbXBsZSBub25jZQ==");
    if let Some(key) = key {
        request = request.set_header("authorization", format!("Bearer {key}"));
    }
    request.send().await.expect("an answer").status().as_u16()
}

/// Posts a body with a key over a new connection and returns the status of the
/// response.
async fn post(url: &str, key: &str) -> u16 {
    let client = Client::new().await.expect("a client");
    let request = client.request(Method::POST, url);
    let request = request.set_header("authorization", format!("Bearer {key}"));
    request.send_body("{}").await.expect("an answer").status().as_u16()
}
