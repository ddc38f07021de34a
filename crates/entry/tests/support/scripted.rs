//! Agents that follow a script.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;

use entry::Factory;
use entry::Fault;
use entry::Transport;
use entry::transport::Frames;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream;
use wire::Attempt;
use wire::Cancel;
use wire::Frame;
use wire::Notes;
use wire::name;
use wire::notes::Note;

use super::Script;
use super::Step;

/// Agents that follow a script and record what they are sent.
#[derive(Clone)]
pub struct Scripted {
    pub script: Script,
    pub seen: Arc<Mutex<Vec<Attempt>>>,
    pub dropped: Arc<Mutex<usize>>,
    pub notes: Arc<Mutex<Vec<(SocketAddr, Note)>>>,
    pub cancels: Arc<Mutex<Vec<(SocketAddr, Cancel)>>>,
}

impl Factory for Scripted {
    fn create(&self) -> LocalBoxFuture<'static, io::Result<Rc<dyn Transport>>> {
        let agents = Rc::new(self.clone()) as Rc<dyn Transport>;
        async { Ok(agents) }.boxed_local()
    }
}

impl Transport for Scripted {
    fn send(
        &self,
        agent: SocketAddr,
        sent: Attempt,
    ) -> LocalBoxFuture<'static, Result<Frames, Fault>> {
        let steps = (self.script)(agent, &sent);
        self.seen.lock().unwrap().push(sent.clone());
        let guard = DropCounter(Arc::clone(&self.dropped));
        async move {
            if let Some(Step::Fault(fault @ Fault::Connect(_))) = steps.first() {
                return Err(fault.clone());
            }
            let state = (steps.into_iter(), 0, sent, guard);
            Ok(stream::unfold(state, next_frame).boxed_local())
        }
        .boxed_local()
    }

    fn note(&self, agent: SocketAddr, notes: Notes) -> LocalBoxFuture<'static, Result<(), Fault>> {
        let received = notes.notes.into_iter().map(|note| (agent, note));
        self.notes.lock().unwrap().extend(received);
        async { Ok(()) }.boxed_local()
    }

    fn cancel(
        &self,
        agent: SocketAddr,
        cancel: Cancel,
    ) -> LocalBoxFuture<'static, Result<(), Fault>> {
        self.cancels.lock().unwrap().push((agent, cancel));
        async { Ok(()) }.boxed_local()
    }
}

type State = (std::vec::IntoIter<Step>, u64, Attempt, DropCounter);

async fn next_frame(mut state: State) -> Option<(Result<Frame, Fault>, State)> {
    loop {
        match state.0.next()? {
            Step::Wait(time) => tokio::time::sleep(time).await,
            Step::Fault(fault) => return Some((Err(fault), state)),
            Step::Send(payload) => {
                let frame = Frame {
                    request: state.2.request,
                    attempt: state.2.attempt,
                    owner: name::owner(&state.2.account),
                    sequence: state.1,
                    payload,
                };
                state.1 += 1;
                return Some((Ok(frame), state));
            }
        }
    }
}

struct DropCounter(Arc<Mutex<usize>>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        *self.0.lock().unwrap() += 1;
    }
}
