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

/// The body of an order.
#[derive(Deserialize)]
struct Order {
    /// Fencing token of the sender.
    fence: u64,
    order: Kind,
    model: String,
}

/// The action that an order asks for.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Load,
    Unload,
}

/// Executes an order. Loading goes on after the answer; the model is listed once
/// it has ended.
pub(crate) async fn execute(core: State<Arc<Core>>, body: Bytes) -> HttpResponse {
    core.wait_while_frozen().await;
    let order: Order = match json::parse(&body) {
        Ok(order) => order,
        Err(response) => return response,
    };
    let mut models = core.models.lock();
    if core.options.check_fence
        && let Err(highest) = models.check_fence(order.fence)
    {
        let message = format!("the fence {} is lower than {highest}", order.fence);
        return json::problem(StatusCode::CONFLICT, &message);
    }
    models.executed_orders += 1;
    match order.order {
        Kind::Load if models.start_loading(&order.model) => {
            ntex::rt::spawn(loading::load(Arc::clone(&core), order.model));
        }
        Kind::Load => {}
        Kind::Unload => models.remove(&order.model),
    }
    HttpResponse::Accepted().finish()
}
