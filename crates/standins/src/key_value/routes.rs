//! The service's HTTP routes.

use std::sync::Arc;

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
use crate::key_value::calls;
use crate::key_value::fault::Fault;
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

type Shared = types::State<Arc<Service>>;

#[derive(Deserialize)]
struct Restore {
    revision: Revision,
}

pub(crate) fn add(config: &mut ServiceConfig, service: &Arc<Service>) {
    config
        .state(Arc::clone(service))
        .route("/kv-key", web::get().to(key))
        .route("/kv-range", web::get().to(range))
        .route("/kv-watch", web::get().to(watch))
        .route("/kv-txn", web::post().to(transaction))
        .route("/kv-lease", web::post().to(grant))
        .route("/kv-keep/{id}", web::post().to(keep))
        .route("/kv-lease-end/{id}", web::delete().to(end))
        .route("/standin/faults", web::post().to(set_faults))
        .route("/standin/restore", web::post().to(restore))
        .route("/standin/compact", web::post().to(compact))
        .route("/standin/counts", web::get().to(counts));
}

async fn key(service: Shared, query: types::Query<KeyQuery>) -> HttpResponse {
    let found = |state: &mut State| {
        let as_of = state.store.revision();
        let item = state.store.item(&query.key).cloned().ok_or(Fault::NoKey)?;
        Ok(Found { item, as_of })
    };
    read(&service, found).await
}

async fn range(service: Shared, query: types::Query<RangeQuery>) -> HttpResponse {
    read(&service, |state| Ok(state.store.page(&query.prefix, &query.after))).await
}

async fn watch(
    service: Shared,
    http: HttpRequest,
    query: types::Query<WatchQuery>,
) -> HttpResponse {
    if let Err(fault) = service.admit(Access::Read).await {
        return fault.response();
    }
    match Watch::open(&service, query.into_inner()).answer().await {
        Some(answer) => respond(answer),
        None => unanswered(&http),
    }
}

async fn transaction(service: Shared, http: HttpRequest, body: Bytes) -> HttpResponse {
    write(&service, &http, |state| calls::transaction(state, decode(&body)?)).await
}

async fn grant(service: Shared, http: HttpRequest, body: Bytes) -> HttpResponse {
    write(&service, &http, |state| calls::grant(state, decode(&body)?)).await
}

async fn keep(service: Shared, http: HttpRequest, id: types::Path<LeaseId>) -> HttpResponse {
    write(&service, &http, |state| calls::keep(state, *id)).await
}

async fn end(service: Shared, http: HttpRequest, id: types::Path<LeaseId>) -> HttpResponse {
    write(&service, &http, |state| calls::end(state, *id)).await
}

async fn read<A: Serialize>(
    service: &Service,
    call: impl FnOnce(&mut State) -> Result<A, Fault>,
) -> HttpResponse {
    match service.admit(Access::Read).await {
        Ok(()) => respond(call(&mut service.state.lock())),
        Err(fault) => fault.response(),
    }
}

async fn write<A: Serialize>(
    service: &Service,
    http: &HttpRequest,
    call: impl FnOnce(&mut State) -> Result<A, Fault>,
) -> HttpResponse {
    if let Err(fault) = service.admit(Access::Write).await {
        return fault.response();
    }
    let answer = call(&mut service.state.lock());
    service.changed.send_replace(());
    if service.loses_answer() { unanswered(http) } else { respond(answer) }
}

fn respond<A: Serialize>(answer: Result<A, Fault>) -> HttpResponse {
    match answer {
        Ok(answer) => json::ok(&answer),
        Err(fault) => fault.response(),
    }
}

/// Closes the connection in place of an answer.
fn unanswered(http: &HttpRequest) -> HttpResponse {
    if let Some(io) = http.io() {
        io.terminate();
    }
    HttpResponse::GatewayTimeout().finish()
}

async fn set_faults(service: Shared, body: Bytes) -> HttpResponse {
    match json::parse(&body) {
        Ok(faults) => {
            service.faults.send_replace(faults);
            HttpResponse::Ok().finish()
        }
        Err(response) => response,
    }
}

async fn restore(service: Shared, body: Bytes) -> HttpResponse {
    match json::parse::<Restore>(&body) {
        Ok(restore) => {
            service.state.lock().restore(restore.revision);
            service.changed.send_replace(());
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

fn decode<T: DeserializeOwned>(body: &Bytes) -> Result<T, Fault> {
    serde_json::from_slice(body).map_err(|error| Fault::Body(error.to_string()))
}
