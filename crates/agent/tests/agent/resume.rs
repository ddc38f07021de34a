//! Tests of answers whose reader disconnects: they run on for the grace period
//! and can be taken over.

use std::rc::Rc;
use std::time::Duration;

use agent::worker::Worker;
use agent::writer::Writer;
use backend::engine::Error;
use bytes::Bytes;
use tokio::sync::mpsc;
use wire::Attempt;
use wire::Frame;
use wire::Resume;
use wire::codec;
use wire::frame::Payload;
use wire::refusal::Ran;
use wire::refusal::Reason;

use crate::fakes::Fake;
use crate::fakes::STALL_TIMEOUT;
use crate::fakes::Script;
use crate::fakes::attempt;
use crate::fakes::data;
use crate::fakes::end;
use crate::fakes::frames;
use crate::fakes::worker;

/// Time in which spawned tasks react to an event.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Starts an attempt and reads its frames up to the first chunk.
async fn run_to_first_chunk(worker: &Rc<Worker>, attempt: Attempt) -> mpsc::Receiver<Bytes> {
    let (writer, mut out) = Writer::new(&attempt, STALL_TIMEOUT);
    ntex::rt::spawn(agent::run::run(Rc::clone(worker), attempt, writer));
    for _ in 0..3 {
        out.recv().await.expect("accepted, head and one chunk come");
    }
    out
}

/// Returns an attempt that resumes the answer after its first chunk.
fn resuming_attempt(request: u128) -> Attempt {
    let resume = Resume { handle: "work-1".to_owned(), after: Some(0) };
    Attempt { resume: Some(resume), ..attempt(request) }
}

fn refusal(frames: &[Frame]) -> Option<(Reason, Ran)> {
    match &frames.last()?.payload {
        Payload::Refused(refusal, _) => Some((refusal.reason, refusal.ran)),
        _ => None,
    }
}

fn chunk_texts(frames: &[Frame]) -> Vec<&[u8]> {
    let texts = frames.iter().filter_map(|frame| match &frame.payload {
        Payload::Data(bytes) => Some(bytes.as_ref()),
        _ => None,
    });
    texts.collect()
}

#[ntex::test]
async fn an_answer_whose_entry_broke_off_is_resumed_with_the_same_gate_pass() {
    let engine = Fake::new(vec![Script::Resumable(vec![data(0)])]);
    engine.resumes.borrow_mut().push_back(Script::Resumable(vec![data(1), data(2), end()]));
    let worker = worker(Rc::clone(&engine), 1);
    drop(run_to_first_chunk(&worker, attempt(1)).await);
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(worker.shared.gate.load().running, 1, "the unread answer keeps its slot");

    let frames = frames(&worker, resuming_attempt(2)).await;
    assert_eq!(chunk_texts(&frames), [b"piece 1", b"piece 2"]);
    assert!(matches!(frames.last().map(|frame| &frame.payload), Some(Payload::End(_))));
    assert_eq!(*engine.resumed.borrow(), [Some(0)]);
    assert!(engine.cancelled.lock().is_empty(), "the work is not cancelled in between");
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(worker.shared.gate.load().requests(), 0);
}

#[ntex::test]
async fn a_reader_whose_answer_was_taken_over_is_told_so() {
    let engine = Fake::new(vec![Script::Resumable(vec![data(0)])]);
    engine.resumes.borrow_mut().push_back(Script::Resumable(vec![data(1), end()]));
    let worker = worker(Rc::clone(&engine), 1);
    let mut first = run_to_first_chunk(&worker, attempt(1)).await;
    let second = frames(&worker, resuming_attempt(2)).await;
    assert_eq!(chunk_texts(&second), [b"piece 1"]);
    let mut reader = codec::Reader::default();
    reader.push(&first.recv().await.expect("a last frame"));
    let last = reader.next_frame().expect("a whole frame").expect("a frame");
    assert_eq!(refusal(&[last]), Some((Reason::Moved, Ran::Unknown)));
    assert!(engine.cancelled.lock().is_empty());
}

#[ntex::test]
async fn another_account_can_neither_read_nor_end_an_answer() {
    let engine = Fake::new(vec![Script::Resumable(vec![data(0)])]);
    let worker = worker(Rc::clone(&engine), 1);
    let _reader = run_to_first_chunk(&worker, attempt(1)).await;
    let other = Attempt { account: "other".to_owned(), ..resuming_attempt(2) };
    let frames = frames(&worker, other).await;
    assert_eq!(refusal(&frames), Some((Reason::Missing, Ran::Unknown)));
    assert_eq!(chunk_texts(&frames), [b""; 0]);
    assert!(engine.resumed.borrow().is_empty(), "the engine is not called");
    assert_eq!(worker.shared.gate.load().running, 1);
}

#[ntex::test]
async fn a_replacement_agent_counts_resumed_work_without_admission() {
    let engine = Fake::new(vec![Script::Resumable(vec![data(0)])]);
    engine.resumes.borrow_mut().push_back(Script::Resumable(vec![data(1)]));
    let worker = worker(Rc::clone(&engine), 1);
    let _first = run_to_first_chunk(&worker, attempt(1)).await;
    let unknown = Resume { handle: "work-2".to_owned(), after: Some(0) };
    let _second =
        run_to_first_chunk(&worker, Attempt { resume: Some(unknown), ..attempt(2) }).await;
    assert_eq!(worker.shared.gate.load().running, 2);
}

#[ntex::test]
async fn an_answer_that_the_engine_can_not_resume_is_refused_as_unknown() {
    for (error, reason) in
        [(Error::Refused(404), Reason::Missing), (Error::Cut("reset".to_owned()), Reason::Engine)]
    {
        let engine = Fake::new(Vec::new());
        engine.resumes.borrow_mut().push_back(Script::Fail(error));
        let worker = worker(engine, 1);
        let frames = frames(&worker, resuming_attempt(1)).await;
        assert_eq!(refusal(&frames), Some((reason, Ran::Unknown)));
        assert_eq!(worker.shared.gate.load().requests(), 0);
    }
}

#[ntex::test]
async fn a_resumed_answer_with_a_gap_is_not_forwarded() {
    let engine = Fake::new(Vec::new());
    for _ in 0..4 {
        engine.resumes.borrow_mut().push_back(Script::Resumable(vec![data(2), end()]));
    }
    let frames = frames(&worker(engine, 1), resuming_attempt(1)).await;
    assert_eq!(chunk_texts(&frames), [b""; 0]);
    assert_eq!(refusal(&frames), Some((Reason::Engine, Ran::Unknown)));
}

#[ntex::test]
async fn a_cancel_ends_the_work_at_once_whether_it_comes_before_or_after_the_attempt() {
    let engine = Fake::new(vec![Script::Resumable(vec![data(0)])]);
    let worker = worker(Rc::clone(&engine), 1);
    let reader = run_to_first_chunk(&worker, attempt(1)).await;
    drop(reader);
    worker.shared.answers.cancel((1, 0));
    tokio::time::sleep(SETTLE_TIME).await;
    assert_eq!(*engine.cancelled.lock(), ["work-1"]);
    assert_eq!(worker.shared.gate.load().requests(), 0);

    worker.shared.answers.cancel((2, 0));
    frames(&worker, attempt(2)).await;
    assert_eq!(engine.started.get(), 1, "cancelled work is not started");
    assert_eq!(worker.shared.gate.load().requests(), 0);
}

#[ntex::test]
async fn an_answer_that_nobody_takes_over_is_cancelled_after_the_grace_period() {
    let engine = Fake::new(vec![Script::Resumable(vec![data(0)])]);
    let mut worker = worker(Rc::clone(&engine), 1);
    Rc::get_mut(&mut worker).expect("one owner").resume_grace = SETTLE_TIME;
    drop(run_to_first_chunk(&worker, attempt(1)).await);
    tokio::time::sleep(SETTLE_TIME * 4).await;
    assert_eq!(*engine.cancelled.lock(), ["work-1"]);
    assert_eq!(worker.shared.gate.load().requests(), 0);
}

#[ntex::test]
async fn an_unread_answer_that_ends_frees_its_slot() {
    let engine = Fake::new(vec![Script::Resumable(vec![data(0), data(1), end()])]);
    let worker = worker(Rc::clone(&engine), 1);
    drop(run_to_first_chunk(&worker, attempt(1)).await);
    tokio::time::sleep(SETTLE_TIME).await;
    assert!(engine.cancelled.lock().is_empty());
    assert_eq!(worker.shared.gate.load().requests(), 0);
}

/// Chunks that an agent may read ahead of its reader.
const MAX_CHUNKS_AHEAD: usize = 64;

#[ntex::test]
async fn a_slow_reader_slows_down_reading_from_the_engine() {
    let chunks = (0..1000).map(data).collect();
    let engine = Fake::new(vec![Script::Resumable(chunks)]);
    let worker = worker(Rc::clone(&engine), 1);
    let mut reader = run_to_first_chunk(&worker, attempt(1)).await;
    for read in 2..20 {
        reader.recv().await.expect("a chunk comes");
        tokio::task::yield_now().await;
        assert!(
            engine.chunks_read.get() <= read + MAX_CHUNKS_AHEAD,
            "{} chunks",
            engine.chunks_read.get()
        );
    }
    tokio::time::sleep(SETTLE_TIME).await;
    assert!(
        engine.chunks_read.get() <= 20 + MAX_CHUNKS_AHEAD,
        "{} chunks",
        engine.chunks_read.get()
    );
}
