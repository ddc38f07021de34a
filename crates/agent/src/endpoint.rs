//! The agent's engine and how to connect to it.

use std::rc::Rc;
use std::sync::Arc;

use backend::Engine;
use backend::engine::Error;
use backend::openai;
use backend::plain;
use futures_util::FutureExt;

use crate::EngineFactory;

/// The engine's protocol, address and capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// The engine's protocol.
    pub kind: Kind,
    /// The engine's URL, such as `http://10.0.0.7:8000`.
    pub address: String,
    /// The number of requests that the engine runs at once.
    pub slots: u32,
}

/// The protocol of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// The OpenAI chat protocol; the engine itself lists the models that it holds.
    Model,
    /// Plain HTTP.
    Plain {
        /// The pools whose calls the engine takes.
        pools: Vec<String>,
    },
}

impl Backend {
    /// Returns a factory for clients of this engine.
    pub fn factory(&self) -> EngineFactory {
        let backend = self.clone();
        Arc::new(move || connect(backend.clone()).boxed_local())
    }
}

async fn connect(backend: Backend) -> Result<Rc<dyn Engine>, Error> {
    let engine: Rc<dyn Engine> = match backend.kind {
        Kind::Model => Rc::new(openai::Client::new(&backend.address).await?),
        Kind::Plain { pools } => Rc::new(plain::Client::new(&backend.address, pools).await?),
    };
    Ok(engine)
}
