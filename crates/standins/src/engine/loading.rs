//! The models that the engine has loaded or is loading.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::http::header;
use tokio::time::sleep;

use crate::engine::core::Core;
use crate::table::Table;

/// Time after which a failed fetch is tried again.
const RETRY: Duration = Duration::from_secs(1);

/// The models that the engine has loaded or is loading, and the orders about
/// them.
#[derive(Debug, Default)]
pub(crate) struct Models {
    /// By model, whether it is loaded; else it is being loaded.
    models: Table<String, bool>,
    /// The highest fence seen.
    fence: u64,
    pub(crate) obeyed: u64,
    pub(crate) stale: u64,
}

impl Models {
    pub(crate) fn new(loaded: &[String]) -> Self {
        let mut models = Self::default();
        for model in loaded {
            models.models.insert(model.clone(), true);
        }
        models
    }

    pub(crate) fn has(&self, model: &String) -> bool {
        self.models.value(model) == Some(&true)
    }

    pub(crate) fn loaded(&self) -> impl Iterator<Item = &String> {
        self.models.entries().iter().filter(|(_, loaded)| *loaded).map(|(model, _)| model)
    }

    /// Takes an order's fence; answers the highest one if that is higher.
    pub(crate) fn check(&mut self, fence: u64) -> Result<(), u64> {
        if fence < self.fence {
            self.stale += 1;
            return Err(self.fence);
        }
        self.fence = fence;
        Ok(())
    }

    /// Marks a model as being loaded; false if it is loaded or being loaded.
    pub(crate) fn begin(&mut self, model: &String) -> bool {
        if self.models.value(model).is_some() {
            return false;
        }
        self.models.insert(model.clone(), false);
        true
    }

    pub(crate) fn remove(&mut self, model: &String) {
        self.models.remove(model);
    }

    /// Marks a model as loaded, unless it was unloaded meanwhile.
    fn finish(&mut self, model: &String) {
        if let Some(loaded) = self.models.value_mut(model) {
            *loaded = true;
        }
    }
}

/// Fetches a model's weights, if there is a store, and adds it to the list.
pub(crate) async fn load(core: Arc<Core>, model: String) {
    if let Some(store) = &core.options.weights_url {
        let url = format!("{store}/weights/{model}");
        while let Err(wait) = fetch(&url).await {
            sleep(wait).await;
        }
    }
    core.thaw().await;
    core.models.lock().finish(&model);
}

/// Fetches once; answers how long to wait if that fails.
async fn fetch(url: &str) -> Result<(), Duration> {
    let request = Client::new().await.get(url).send().await;
    let mut response = request.map_err(|_| RETRY)?;
    if response.status() != StatusCode::OK {
        return Err(retry_after(response.headers()).unwrap_or(RETRY));
    }
    while let Some(part) = response.next().await {
        part.map_err(|_| RETRY)?;
    }
    Ok(())
}

fn retry_after(headers: &ntex::http::HeaderMap) -> Option<Duration> {
    let seconds = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    seconds.parse().ok().map(Duration::from_secs)
}
