//! Headers between the server's types and the client's.

use http::HeaderMap;
use http::HeaderValue;
use http::header::CONTENT_LENGTH;

/// The headers of a client's request.
pub(crate) fn from_client(headers: &ntex::http::HeaderMap) -> HeaderMap {
    let mut converted = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        match HeaderValue::from_bytes(value.as_bytes()) {
            Ok(value) => {
                converted.append(name.clone(), value);
            }
            Err(error) => log::warn!(header = name.as_str(); "a header is left out: {error}"),
        }
    }
    converted
}

/// Sets an endpoint's headers on the answer to a client; the server sets the length itself.
pub(crate) fn to_client(headers: &HeaderMap, response: &mut ntex::web::HttpResponseBuilder) {
    for (name, value) in headers {
        if name != CONTENT_LENGTH {
            response.header(name.clone(), value.as_bytes());
        }
    }
}
