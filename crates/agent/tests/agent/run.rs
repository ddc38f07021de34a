//! Tests of one attempt with a scripted engine.

use std::rc::Rc;
use std::time::Duration;

use agent::writer::Writer;
use backend::engine::Error;
use wire::frame::Payload;
use wire::member::State;
use wire::refusal::Ran;
use wire::refusal::Reason;

use crate::fakes::FIRST_TOKEN;
use crate::fakes::Fake;
use crate::fakes::PATIENCE;
use crate::fakes::STALL_TIMEOUT;
use crate::fakes::Script;
use crate::fakes::attempt;
use crate::fakes::data;
use crate::fakes::end;
use crate::fakes::frames;
use crate::fakes::worker;

fn refusal(payload: &Payload) -> Option<(Reason, Ran)> {
    match payload {
        Payload::Refused(refusal, _) => Some((refusal.reason, refusal.ran)),
        _ => None,
    }
}

#[ntex::test]
async fn the_frames_of_an_answer_carry_its_request_and_are_numbered() {
    let engine = Fake::new(vec![Script::Answer(vec![data(0), data(1), end()])]);
    let frames = frames(&worker(engine, 1), attempt(7)).await;
    let sequence: Vec<u64> = frames.iter().map(|frame| frame.sequence).collect();
    assert_eq!(sequence, [0, 1, 2, 3, 4]);
    assert!(frames.iter().all(|frame| frame.request == 7));
    assert!(frames.iter().all(|frame| frame.owner == wire::hash::owner("school")));
    assert!(matches!(frames[0].payload, Payload::Accepted(_)));
    assert!(matches!(frames[1].payload, Payload::Head(_)));
    assert!(matches!(frames[4].payload, Payload::End(usage) if usage.cached == 1));
}

#[ntex::test]
async fn only_an_engine_that_refused_or_was_not_reached_proves_that_nothing_ran() {
    let cases = [
        (Error::Refused(404), (Reason::Missing, Ran::No)),
        (Error::Refused(503), (Reason::Engine, Ran::No)),
        (Error::Down("refused".to_owned()), (Reason::Engine, Ran::No)),
        (Error::Cut("reset".to_owned()), (Reason::Engine, Ran::Unknown)),
        (Error::Protocol("garbage".to_owned()), (Reason::Engine, Ran::Unknown)),
    ];
    for (error, expected) in cases {
        let engine = Fake::new(vec![Script::Fail(error)]);
        let frames = frames(&worker(engine, 1), attempt(1)).await;
        assert_eq!(refusal(&frames[1].payload), Some(expected));
    }
}

#[ntex::test]
async fn a_leaving_agent_refuses_before_the_engine_is_asked() {
    let engine = Fake::new(Vec::new());
    let worker = worker(Rc::clone(&engine), 1);
    worker.board.update_roster(|roster| roster.update_own(|own| own.state = State::Leaving));
    let frames = frames(&worker, attempt(1)).await;
    assert_eq!(refusal(&frames[0].payload), Some((Reason::Leaving, Ran::No)));
    assert_eq!(engine.started.get(), 0);
}

#[ntex::test]
async fn queued_work_is_refused_when_its_deadline_passes() {
    let engine = Fake::new(vec![Script::Silent]);
    let worker = worker(Rc::clone(&engine), 1);
    let (writer, _first) = Writer::new(&attempt(1), STALL_TIMEOUT);
    ntex::rt::spawn(agent::run::run(Rc::clone(&worker), attempt(1), writer));
    let mut second = attempt(2);
    second.deadline = PATIENCE + FIRST_TOKEN - Duration::from_millis(50);
    let frames = frames(&worker, second).await;
    assert!(matches!(frames[0].payload, Payload::Accepted(_)), "it waited");
    let last = frames.last().expect("there is a last frame");
    assert_eq!(refusal(&last.payload), Some((Reason::Deadline, Ran::No)));
    assert_eq!(engine.started.get(), 1);
}

#[ntex::test]
async fn work_whose_first_token_is_late_starts_at_a_free_slot_only() {
    let engine = Fake::new(vec![Script::Silent]);
    let worker = worker(Rc::clone(&engine), 1);
    let mut late = attempt(1);
    late.deadline = PATIENCE - Duration::from_millis(50);
    let (writer, _first) = Writer::new(&late, STALL_TIMEOUT);
    ntex::rt::spawn(agent::run::run(Rc::clone(&worker), late.clone(), writer));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(engine.started.get(), 1);
    late.request = 2;
    let frames = frames(&worker, late).await;
    assert_eq!(refusal(&frames[0].payload), Some((Reason::Deadline, Ran::No)), "never held");
    assert_eq!(engine.started.get(), 1);
}

#[ntex::test]
async fn work_beyond_its_patience_is_refused() {
    let engine = Fake::new(Vec::new());
    let mut late = attempt(1);
    late.deadline = FIRST_TOKEN;
    let frames = frames(&worker(Rc::clone(&engine), 1), late).await;
    assert_eq!(refusal(&frames[0].payload), Some((Reason::Deadline, Ran::No)));
    assert_eq!(engine.started.get(), 0);
}

#[ntex::test]
async fn a_caller_that_disconnects_cancels_the_work_at_the_engine() {
    let engine = Fake::new(vec![Script::Answer(vec![data(0)])]);
    let worker = worker(Rc::clone(&engine), 1);
    let (writer, mut out) = Writer::new(&attempt(1), STALL_TIMEOUT);
    ntex::rt::spawn(agent::run::run(Rc::clone(&worker), attempt(1), writer));
    for _ in 0..3 {
        out.recv().await.expect("accepted, head and one chunk come");
    }
    drop(out);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(*engine.cancelled.lock(), ["work-1"]);
    assert_eq!(worker.shared.gate.load().requests(), 0);
}

#[ntex::test]
async fn a_cut_answer_is_resumed_after_its_last_chunk() {
    let cut = Err(Error::Cut("reset".to_owned()));
    let engine = Fake::new(vec![Script::Answer(vec![data(0), data(1), cut])]);
    let down = Script::Fail(Error::Down("refused".to_owned()));
    let rest = Script::Answer(vec![data(1), data(2), end()]);
    engine.resumes.borrow_mut().extend([down, rest]);
    let frames = frames(&worker(Rc::clone(&engine), 1), attempt(1)).await;
    let texts: Vec<&[u8]> = frames
        .iter()
        .filter_map(|frame| match &frame.payload {
            Payload::Data(bytes) => Some(bytes.as_ref()),
            _ => None,
        })
        .collect();
    assert_eq!(texts, [b"piece 0", b"piece 1", b"piece 2"]);
    assert!(matches!(frames.last().map(|frame| &frame.payload), Some(Payload::End(_))));
    assert_eq!(*engine.resumed.borrow(), [Some(1), Some(1)]);
}

#[ntex::test]
async fn an_answer_with_a_gap_or_without_an_end_is_refused_as_unknown() {
    let cut = || Err(Error::Cut("reset".to_owned()));
    let engine = Fake::new(vec![Script::Answer(vec![data(0), cut()])]);
    for _ in 0..3 {
        engine.resumes.borrow_mut().push_back(Script::Answer(vec![data(2), end()]));
    }
    let frames = frames(&worker(Rc::clone(&engine), 1), attempt(1)).await;
    let last = frames.last().expect("there is a last frame");
    assert_eq!(refusal(&last.payload), Some((Reason::Engine, Ran::Unknown)));
    assert_eq!(engine.resumed.borrow().len(), 3, "tries are bounded");
    assert_eq!(*engine.cancelled.lock(), ["work-1"], "the engine is freed");
}

#[ntex::test]
async fn a_chat_whose_context_moved_is_redirected_if_the_entry_follows_redirects() {
    let engine = Fake::new(vec![Script::Answer(vec![data(0), end()])]);
    let worker = worker(Rc::clone(&engine), 1);
    let now = worker.board.now();
    worker.shared.homes.lock().record(1, "engine-2", now);
    let mut first = attempt(1);
    first.home = Some("engine-1".to_owned());
    first.redirect = true;
    let mut other = worker.board.with_roster(|roster| roster.own().cloned()).expect("itself");
    other.vm = "engine-2".to_owned();
    worker.board.update_roster(|roster| roster.merge(other));
    let refused = frames(&worker, first.clone()).await;
    let Payload::Refused(refusal, _) = &refused[0].payload else { panic!("not refused") };
    assert_eq!((refusal.reason, refusal.ran), (Reason::Moved, Ran::No));
    assert_eq!(refusal.hint.as_deref(), Some("engine-2"));

    first.redirect = false;
    let served = frames(&worker, first).await;
    assert!(matches!(served.last().map(|frame| &frame.payload), Some(Payload::End(_))));
    assert_eq!(worker.shared.homes.lock().engine(1, now), None, "its context lies at home now");
}

#[ntex::test]
async fn a_reader_that_stalls_frees_the_engine() {
    let chunks = (0..100).map(data).collect();
    let engine = Fake::new(vec![Script::Answer(chunks)]);
    let worker = worker(Rc::clone(&engine), 1);
    let (writer, _unread) = Writer::new(&attempt(1), Duration::from_millis(20));
    agent::run::run(Rc::clone(&worker), attempt(1), writer).await;
    assert_eq!(*engine.cancelled.lock(), ["work-1"]);
    assert_eq!(worker.shared.gate.load().requests(), 0);
}
