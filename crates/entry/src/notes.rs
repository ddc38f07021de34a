//! Sends notes that tell chats' homes which other engines serve their chats.

use std::rc::Rc;
use std::time::Duration;

use policy::placement::Batch;
use tokio::time::sleep;
use wire::Notes;
use wire::codec;

use crate::counts;
use crate::worker::Worker;

/// Time between two sends of notes of one entry, over all its workers.
const SEND_INTERVAL: Duration = Duration::from_secs(1);

/// Sends notes until the entry is stopped. Each worker waits the interval times the
/// number of workers, so that the entry keeps the interval.
pub(crate) async fn send(worker: Rc<Worker>) {
    let interval = SEND_INTERVAL * worker.context.workers.max(1) as u32;
    loop {
        tokio::select! {
            () = worker.cancel.cancelled() => return,
            () = sleep(interval) => {}
        }
        let batches = worker.tables.spills.lock().take();
        for batch in batches {
            send_batch(&worker, batch).await;
        }
    }
}

/// Sends one batch. A lost note only costs a recomputed prompt, so it isn't sent again.
async fn send_batch(worker: &Worker, batch: Batch) {
    let board = worker.board();
    let address = board.with_roster(|roster| roster.member(&batch.home).map(|home| home.data));
    let Some(address) = address else { return };
    let notes = Notes { stamp: board.stamp(), notes: batch.notes };
    let (chats, bytes) = (notes.notes.len(), codec::encode_notes(&notes).len());
    let sent = worker.transport.note(address, notes).await;
    counts::record_notes(chats, bytes, sent.is_ok());
    if let Err(fault) = sent {
        log::debug!(engine = batch.home; "the agent did not accept notes: {fault}");
    }
}
