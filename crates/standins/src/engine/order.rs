//! Orders to load and unload models.

use std::sync::Arc;

use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::HttpResponse;
use ntex::web::types::State;
use serde::Deserialize;

use crate::engine::core::Core;
use crate::engine::loading;
use crate::json;

#[derive(Deserialize)]
struct Order {
    fence: u64,
    order: Kind,
    model: String,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Load,
    Unload,
}

/// Obeys an order; the list of models shows when loading has ended.
pub(crate) async fn obey(core: State<Arc<Core>>, body: Bytes) -> HttpResponse {
    core.thaw().await;
    let order: Order = match json::parse(&body) {
        Ok(order) => order,
        Err(response) => return response,
    };
    let mut models = core.models.lock();
    if core.options.check_fence
        && let Err(highest) = models.check(order.fence)
    {
        let message = format!("the fence {} is lower than {highest}", order.fence);
        return json::problem(StatusCode::CONFLICT, &message);
    }
    models.obeyed += 1;
    match order.order {
        Kind::Load if models.begin(&order.model) => {
            ntex::rt::spawn(loading::load(Arc::clone(&core), order.model));
        }
        Kind::Load => {}
        Kind::Unload => models.remove(&order.model),
    }
    HttpResponse::Accepted().finish()
}
