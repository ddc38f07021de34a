//! Conversion of headers between the types of the HTTP server and of the HTTP client.

use http::HeaderMap;
use http::HeaderValue;
use http::header::CONTENT_LENGTH;

/// Returns the headers of a client's request; values that aren't valid are left out.
pub(crate) fn from_client(headers: &ntex::http::HeaderMap) -> HeaderMap {
    let mut converted = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        match HeaderValue::from_bytes(value.as_bytes()) {
            Ok(value) => {
                converted.append(name.clone(), value);
            }
            Err(error) => log::warn!(header = name.as_str(); "header left out: {error}"),
        }
    }
    converted
}

/// Copies an endpoint's headers to the response to the client. The server sets the content
/// length itself.
pub(crate) fn to_client(headers: &HeaderMap, response: &mut ntex::web::HttpResponseBuilder) {
    for (name, value) in headers {
        if name != CONTENT_LENGTH {
            response.header(name.clone(), value.as_bytes());
        }
    }
}
