//! The service's HTTP routes.

use std::sync::Arc;

use ntex::http::header::HeaderName;
use ntex::http::header::HeaderValue;
use ntex::util::Bytes;
use ntex::web;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::json;
use crate::key_value::Faults;
use crate::key_value::calls;
use crate::key_value::error::Error;
use crate::key_value::message::Found;
use crate::key_value::message::KeyQuery;
use crate::key_value::message::LeaseId;
use crate::key_value::message::RangeQuery;
use crate::key_value::message::Revision;
use crate::key_value::message::WatchQuery;
use crate::key_value::service::Access;
use crate::key_value::service::Service;
use crate::key_value::service::State;
use crate::key_value::watch::Watch;

/// Header with the number of restores so far.
const ERA: &str = "store-era";

/// The service, as the routes receive it.
type Shared = types::State<Arc<Service>>;

/// The body of a call that restores an old revision.
#[derive(Deserialize)]
struct Restore {
    revision: Revision,
}

/// Adds the routes of the key-value service and of its controls under `/standin`.
pub(crate) fn configure(config: &mut ServiceConfig, service: &Arc<Service>) {
    config
        .state(Arc::clone(service))
        .route("/kv-key", web::get().to(key))
        .route("/kv-range", web::get().to(range))
        .route("/kv-watch", web::get().to(watch))
        .route("/kv-txn", web::post().to(commit))
        .route("/kv-lease", web::post().to(grant))
        .route("/kv-keep/{id}", web::post().to(renew))
        .route("/kv-lease-end/{id}", web::delete().to(revoke))
        .route("/standin/faults", web::post().to(set_faults))
        .route("/standin/restore", web::post().to(restore))
        .route("/standin/compact", web::post().to(compact))
        .route("/standin/counts", web::get().to(counts));
}

async fn key(service: Shared, query: types::Query<KeyQuery>) -> HttpResponse {
    let lookup = |state: &mut State| {
        let as_of = state.store.revision();
        let item = state.store.item(&query.key).cloned().ok_or(Error::NoKey)?;
        Ok(Found { item, as_of })
    };
    read(&service, lookup).await
}

async fn range(service: Shared, query: types::Query<RangeQuery>) -> HttpResponse {
    read(&service, |state| Ok(state.store.page(&query.prefix, &query.after))).await
}

async fn watch(
    service: Shared,
    request: HttpRequest,
    query: types::Query<WatchQuery>,
) -> HttpResponse {
    if let Err(error) = service.admit(Access::Read).await {
        return error.into_response();
    }
    match Watch::open(&service, query.into_inner()).wait().await {
        Some(answer) => tag(&service, respond(answer)),
        None => close_connection(&request),
    }
}

/// Adds the number of restores so far, as the store does with each answer.
fn tag(service: &Service, mut response: HttpResponse) -> HttpResponse {
    let restores = HeaderValue::from(service.state.lock().restores);
    response.headers_mut().insert(HeaderName::from_static(ERA), restores);
    response
}

async fn commit(service: Shared, request: HttpRequest, body: Bytes) -> HttpResponse {
    write(&service, &request, |state| calls::commit(state, decode(&body)?)).await
}

async fn grant(service: Shared, request: HttpRequest, body: Bytes) -> HttpResponse {
    write(&service, &request, |state| calls::grant(state, decode(&body)?)).await
}

async fn renew(service: Shared, request: HttpRequest, id: types::Path<LeaseId>) -> HttpResponse {
    write(&service, &request, |state| calls::renew(state, *id)).await
}

async fn revoke(service: Shared, request: HttpRequest, id: types::Path<LeaseId>) -> HttpResponse {
    write(&service, &request, |state| calls::revoke(state, *id)).await
}

/// Admits a read and answers with the result of `call`.
async fn read<A: Serialize>(
    service: &Service,
    call: impl FnOnce(&mut State) -> Result<A, Error>,
) -> HttpResponse {
    let response = match service.admit(Access::Read).await {
        Ok(()) => respond(call(&mut service.state.lock())),
        Err(error) => error.into_response(),
    };
    tag(service, response)
}

/// Admits a write and answers with the result of `call`, or with a closed
/// connection if the answer is to be lost.
async fn write<A: Serialize>(
    service: &Service,
    request: &HttpRequest,
    call: impl FnOnce(&mut State) -> Result<A, Error>,
) -> HttpResponse {
    if let Err(error) = service.admit(Access::Write).await {
        return error.into_response();
    }
    let answer = call(&mut service.state.lock());
    service.changes.send_replace(());
    if service.take_lost_answer() {
        close_connection(request)
    } else {
        tag(service, respond(answer))
    }
}

fn respond<A: Serialize>(answer: Result<A, Error>) -> HttpResponse {
    match answer {
        Ok(answer) => json::ok(&answer),
        Err(error) => error.into_response(),
    }
}

/// Closes the connection without an answer. The returned response isn't sent.
fn close_connection(request: &HttpRequest) -> HttpResponse {
    if let Some(io) = request.io() {
        io.terminate();
    }
    HttpResponse::GatewayTimeout().finish()
}

async fn set_faults(service: Shared, body: Bytes) -> HttpResponse {
    match json::parse::<Faults>(&body) {
        Ok(faults) => {
            let end_leases = faults.end_leases;
            service.faults.send_replace(faults);
            if end_leases {
                service.end_leases();
            }
            HttpResponse::Ok().finish()
        }
        Err(response) => response,
    }
}

async fn restore(service: Shared, body: Bytes) -> HttpResponse {
    match json::parse::<Restore>(&body) {
        Ok(restore) => {
            service.state.lock().restore(restore.revision);
            service.changes.send_replace(());
            HttpResponse::Ok().finish()
        }
        Err(response) => response,
    }
}

async fn compact(service: Shared) -> HttpResponse {
    service.state.lock().store.compact();
    HttpResponse::Ok().finish()
}

async fn counts(service: Shared) -> HttpResponse {
    json::ok(&service.state.lock().counts)
}

fn decode<T: DeserializeOwned>(body: &Bytes) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Malformed(error.to_string()))
}
