//! Serves requests in the role that the settings name, entry or agent.

use std::sync::Arc;

use settings::Settings;
use wire::Key;

use crate::Error;
use crate::process::Process;

/// Serves until the role is stopped and its running requests have ended.
///
/// # Errors
///
/// If the data address can't be listened on.
pub async fn serve(process: &Process) -> Result<(), Error> {
    let served = match &process.settings.engine {
        None => entry::serve(entry_context(process), process.stop_role.clone()).await,
        Some(engine) => {
            agent::serve(agent_context(process, engine), process.stop_role.clone()).await
        }
    };
    served.map_err(|error| Error::Listen("data", error))
}

fn entry_context(process: &Process) -> entry::Context {
    let settings = &process.settings;
    let stamps = process.stamps.clone();
    entry::Context {
        board: process.board.clone(),
        listen: settings.listen.data,
        workers: settings.limit.workers,
        body_bytes: settings.limit.body_bytes,
        header_timeout: settings.limit.header_timeout,
        connections: settings.limit.connections,
        stop_grace: settings.limit.stop_grace,
        on_stamp: Arc::new(move |stamp| control::record_stamp(&stamps, stamp)),
        key: key(settings),
        placement: process.placement,
    }
}

fn agent_context(process: &Process, engine: &settings::Engine) -> agent::Context {
    let settings = &process.settings;
    let stamps = process.stamps.clone();
    agent::Context {
        board: process.board.clone(),
        cluster: settings.cluster.clone(),
        listen: settings.listen.data,
        engine: backend(engine),
        workers: settings.limit.workers,
        body_bytes: settings.limit.body_bytes,
        stop_grace: settings.limit.stop_grace,
        resume_grace: settings.limit.resume_grace,
        key: key(settings),
        on_stamp: Arc::new(move |stamp| control::record_stamp(&stamps, stamp)),
        store: process.store.clone(),
    }
}

fn key(settings: &Settings) -> Key {
    let accepted = settings.peer.accepted_key.as_ref();
    Key::with_accepted(settings.peer.key.expose(), accepted.map(|key| key.expose()))
}

fn backend(engine: &settings::Engine) -> agent::Backend {
    agent::Backend {
        kind: match engine.kind {
            settings::Kind::Model => agent::Kind::Model,
            settings::Kind::Plain => {
                agent::Kind::Plain { pools: engine.pool.iter().cloned().collect() }
            }
        },
        address: engine.address.clone(),
        slots: engine.slots,
    }
}
