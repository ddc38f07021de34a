//! Loading of models.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::http::header;
use tokio::time::sleep;

use crate::engine::core::Core;
use crate::table::Table;

/// Wait before a failed fetch is retried, unless the store sets another.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The models that are loaded or being loaded, and the counters of orders.
#[derive(Debug, Default)]
pub(crate) struct Models {
    /// For each model, true if it is loaded and false while it is being loaded.
    models: Table<String, bool>,
    /// The highest fencing token seen.
    highest_fence: u64,
    pub(crate) executed_orders: u64,
    pub(crate) stale_orders: u64,
}

impl Models {
    /// Creates the state in which the models `loaded` are loaded.
    pub(crate) fn new(loaded: &[String]) -> Self {
        let mut models = Self::default();
        for model in loaded {
            models.models.insert(model.clone(), true);
        }
        models
    }

    /// Returns true if a model is loaded.
    pub(crate) fn is_loaded(&self, model: &String) -> bool {
        self.models.value(model) == Some(&true)
    }

    /// Returns the loaded models, sorted by name.
    pub(crate) fn loaded(&self) -> impl Iterator<Item = &String> {
        self.models.entries().iter().filter(|(_, loaded)| *loaded).map(|(model, _)| model)
    }

    /// Checks and records the fencing token of an order. Fails with the highest
    /// token seen if that is higher.
    pub(crate) fn check_fence(&mut self, fence: u64) -> Result<(), u64> {
        if fence < self.highest_fence {
            self.stale_orders += 1;
            return Err(self.highest_fence);
        }
        self.highest_fence = fence;
        Ok(())
    }

    /// Marks a model as being loaded; returns false if it already is listed.
    pub(crate) fn start_loading(&mut self, model: &String) -> bool {
        if self.models.value(model).is_some() {
            return false;
        }
        self.models.insert(model.clone(), false);
        true
    }

    /// Unloads a model, or cancels its loading.
    pub(crate) fn remove(&mut self, model: &String) {
        self.models.remove(model);
    }

    /// Marks a model as loaded, unless it has been unloaded meanwhile.
    fn finish_loading(&mut self, model: &String) {
        if let Some(loaded) = self.models.value_mut(model) {
            *loaded = true;
        }
    }
}

/// Fetches a model's weights, if there is a weight store, and marks the model as
/// loaded. Retries a failed fetch until it succeeds.
pub(crate) async fn load(core: Arc<Core>, model: String) {
    if let Some(store) = &core.options.weights_url {
        let url = format!("{store}/weights/{model}");
        while let Err(wait) = fetch(&url).await {
            sleep(wait).await;
        }
    }
    core.wait_while_frozen().await;
    core.models.lock().finish_loading(&model);
}

/// Tries to fetch weights once. Fails with the time to wait before a retry.
async fn fetch(url: &str) -> Result<(), Duration> {
    let request = Client::new().await.get(url).send().await;
    let mut response = request.map_err(|_| RETRY_INTERVAL)?;
    if response.status() != StatusCode::OK {
        return Err(retry_after(response.headers()).unwrap_or(RETRY_INTERVAL));
    }
    while let Some(chunk) = response.next().await {
        chunk.map_err(|_| RETRY_INTERVAL)?;
    }
    Ok(())
}

/// Returns the value of a `Retry-After` header in seconds.
fn retry_after(headers: &ntex::http::HeaderMap) -> Option<Duration> {
    let seconds = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    seconds.parse().ok().map(Duration::from_secs)
}
