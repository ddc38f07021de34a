//! Tests of calls with an idempotency key, which must not run twice, with an engine that
//! counts its calls and a store that fails as scripted.

use std::rc::Rc;
use std::time::Duration;

use agent::worker::Worker;
use agent::writer::Writer;
use backend::engine::Error;
use wire::Attempt;
use wire::Frame;
use wire::Work;
use wire::frame::Payload;
use wire::refusal::Ran;
use wire::refusal::Reason;
use wire::work::Call;

use crate::fakes::Fake;
use crate::fakes::STALL_TIMEOUT;
use crate::fakes::Script;
use crate::fakes::attempt;
use crate::fakes::data;
use crate::fakes::end;
use crate::fakes::frames;
use crate::fakes::worker_with;
use crate::store::Fault;
use crate::store::Memory;

fn call(request: u128, body: &str) -> Attempt {
    let call = Call {
        pool: "pool".to_owned(),
        method: "POST".to_owned(),
        path: "/rounds".to_owned(),
        content_type: None,
        body: body.as_bytes().to_vec(),
        key: Some("round-7".to_owned()),
    };
    Attempt { work: Work::Call(call), ..attempt(request) }
}

fn complete_answer() -> Script {
    Script::Answer(vec![data(0), data(1), end()])
}

/// Returns two agents that share one engine and one store.
fn agents(scripts: Vec<Script>) -> (Rc<Fake>, Rc<Memory>, [Rc<Worker>; 2]) {
    let engine = Fake::new(scripts);
    let store = Rc::new(Memory::default());
    let worker = |vm| worker_with(vm, Rc::clone(&engine), Rc::clone(&store) as _, 4);
    let workers = [worker("engine-1"), worker("engine-2")];
    (engine, store, workers)
}

/// Returns the answer's text and whether it was replayed, or the refusal.
fn outcome(frames: &[Frame]) -> Result<(String, bool), (Reason, Ran)> {
    let mut text = String::new();
    let mut replayed = false;
    for frame in frames {
        match &frame.payload {
            Payload::Head(head) => replayed = head.replayed,
            Payload::Data(bytes) => text.push_str(&String::from_utf8_lossy(bytes)),
            Payload::Refused(refusal, _) => return Err((refusal.reason, refusal.ran)),
            Payload::Accepted(_) | Payload::End(_) => {}
        }
    }
    Ok((text, replayed))
}

#[ntex::test]
async fn the_same_key_gets_the_same_answer_from_any_agent_and_another_body_none() {
    let (engine, store, [one, other]) = agents(vec![complete_answer()]);
    let text = "piece 0piece 1".to_owned();
    assert_eq!(outcome(&frames(&one, call(1, "hall 3")).await), Ok((text.clone(), false)));
    assert_eq!((store.grants.get(), store.commits.get()), (1, 2), "two writes a call");
    assert_eq!(outcome(&frames(&other, call(2, "hall 3")).await), Ok((text, true)));
    let conflict = outcome(&frames(&other, call(3, "hall 4")).await);
    assert_eq!(conflict, Err((Reason::Conflict, Ran::No)));
    assert_eq!(engine.started.get(), 1);
}

#[ntex::test]
async fn a_claim_whose_write_was_lost_is_read_back_and_the_call_runs_once() {
    for fault in [Fault::Lost, Fault::Dropped] {
        let (engine, store, [one, other]) = agents(vec![complete_answer()]);
        store.faults.borrow_mut().push_back(Some(fault));
        assert!(outcome(&frames(&one, call(1, "hall 3")).await).is_ok());
        assert!(matches!(outcome(&frames(&other, call(2, "hall 3")).await), Ok((_, true))));
        assert_eq!(engine.started.get(), 1);
    }
}

#[ntex::test]
async fn nothing_runs_while_the_store_is_down() {
    let (engine, store, [one, _]) = agents(vec![complete_answer()]);
    store.faults.borrow_mut().push_back(Some(Fault::Down));
    let refused = outcome(&frames(&one, call(1, "hall 3")).await);
    assert_eq!(refused, Err((Reason::Store, Ran::Unknown)));
    assert_eq!(engine.started.get(), 0);
    assert!(outcome(&frames(&one, call(2, "hall 3")).await).is_ok());
    assert_eq!(store.grants.get(), 2, "the store may have lost the first lease");
}

#[ntex::test]
async fn a_call_that_broke_off_is_refused_as_unknown_and_never_runs_again() {
    let cut = || Err(Error::Cut("reset".to_owned()));
    for script in
        [Script::Fail(Error::Cut("reset".to_owned())), Script::Answer(vec![data(0), cut()])]
    {
        let (engine, _, [one, other]) = agents(vec![script]);
        let first = outcome(&frames(&one, call(1, "hall 3")).await);
        assert_eq!(first, Err((Reason::Engine, Ran::Unknown)));
        let second = outcome(&frames(&other, call(2, "hall 3")).await);
        assert_eq!(second, Err((Reason::Started, Ran::Unknown)));
        assert_eq!(engine.started.get(), 1);
    }
}

#[ntex::test]
async fn a_call_that_did_not_reach_the_service_may_run_elsewhere() {
    let down = Script::Fail(Error::Down("refused".to_owned()));
    let (engine, _, [one, other]) = agents(vec![down, complete_answer()]);
    let first = outcome(&frames(&one, call(1, "hall 3")).await);
    assert_eq!(first, Err((Reason::Engine, Ran::No)));
    assert!(matches!(outcome(&frames(&other, call(2, "hall 3")).await), Ok((_, false))));
    assert_eq!(engine.started.get(), 2);
}

#[ntex::test]
async fn two_agents_at_once_run_the_call_once() {
    let (engine, _, [one, other]) = agents(vec![complete_answer()]);
    let (first, second) =
        tokio::join!(frames(&one, call(1, "hall 3")), frames(&other, call(2, "hall 3")));
    let outcomes = [outcome(&first), outcome(&second)];
    assert_eq!(engine.started.get(), 1, "{outcomes:?}");
    assert!(outcomes.iter().any(Result::is_ok));
    let is_allowed = |outcome: &Result<_, _>| *outcome != Err((Reason::Started, Ran::No));
    assert!(outcomes.iter().all(is_allowed));
}

#[ntex::test]
async fn a_call_finishes_without_its_caller_and_its_answer_is_stored() {
    let chunks = vec![data(0), data(1), end()];
    let (engine, _, [one, other]) =
        agents(vec![Script::Delayed(Duration::from_millis(20), chunks)]);
    let (writer, mut out) = Writer::new(&call(1, "hall 3"), STALL_TIMEOUT);
    let run = ntex::rt::spawn(agent::run::run(Rc::clone(&one), call(1, "hall 3"), writer));
    out.recv().await.expect("the call is accepted");
    out.recv().await.expect("the call has begun");
    drop(out);
    run.await.expect("no panic");
    assert!(matches!(outcome(&frames(&other, call(2, "hall 3")).await), Ok((_, true))));
    assert_eq!((engine.started.get(), engine.cancelled.lock().len()), (1, 0));
}
