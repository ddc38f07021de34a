//! `GET /v1/models`: the services that a client account may use as chat models.

use std::rc::Rc;

use config::service::Kind;
use ntex::http::HeaderMap;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::types::State;
use serde::Serialize;
use wire::Problem;
use wire::id;

use crate::reply;
use crate::worker::Worker;

#[derive(Serialize)]
struct List {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: id::Service,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

/// Lists the chat services of the caller's client account.
pub(crate) async fn serve(worker: State<Rc<Worker>>, request: HttpRequest) -> HttpResponse {
    match list(&worker, request.headers()) {
        Ok(list) => reply::json(&list),
        Err(problem) => reply::refuse(&problem),
    }
}

fn list(worker: &Worker, headers: &HeaderMap) -> Result<List, Problem> {
    let account = worker.admit(headers)?;
    let document = worker.board().document();
    let data = document
        .services
        .iter()
        .filter(|service| matches!(service.kind, Kind::Chat(_)) && service.serves(&account))
        .map(|service| Model {
            id: service.name.clone(),
            object: "model",
            created: 0,
            owned_by: "lycheeknot",
        })
        .collect();
    Ok(List { object: "list", data })
}
