//! `GET /v1/chat/completions/{handle}`: resumes a streamed answer.

use std::rc::Rc;

use config::service::Kind;
use ntex::http::HeaderMap;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::types::Path;
use ntex::web::types::State;
use wire::Problem;
use wire::Resume;
use wire::Work;
use wire::refusal::Reason;
use wire::work;

use crate::attempt;
use crate::attempt::Failure;
use crate::attempt::Until;
use crate::choice::Target;
use crate::handle::Handle;
use crate::meter::Meter;
use crate::meter::Outcome;
use crate::problems;
use crate::reply;
use crate::request::Request;
use crate::sse;
use crate::stream::Stream;
use crate::worker::Worker;

/// Request header with the number of the last event that came, as in server-sent events.
const LAST_EVENT_ID: &str = "last-event-id";

/// Streams the rest of an answer, whichever entry streamed its beginning.
pub(crate) async fn serve(
    worker: State<Rc<Worker>>,
    http_request: HttpRequest,
    handle: Path<String>,
) -> HttpResponse {
    let answer = answer(&worker, http_request.headers(), &handle).await;
    answer.unwrap_or_else(|problem| reply::refuse(&problem))
}

async fn answer(
    worker: &Rc<Worker>,
    headers: &HeaderMap,
    handle: &str,
) -> Result<HttpResponse, Problem> {
    let account = worker.admit(headers)?;
    let handle = Handle::open(handle, &worker.context.key, &account);
    let handle = handle.ok_or_else(problems::answer)?;
    let after = last_event_id(headers)?;
    let document = worker.board().document();
    let service = worker.service(&document, &handle.service, &account)?;
    let Kind::Chat(chat) = &service.kind else { return Err(problems::answer()) };
    let work = Work::Chat(work::Chat { model: chat.model.clone(), chat: 0, body: String::new() });
    let request = Request::new(worker, &document, service, account, work);
    let request = Request { cost: handle.cost, ..request };
    let mut meter = Meter::new(worker.board(), &document, &request);
    let target = Target::of(worker, &handle.engine).ok_or_else(problems::answer)?;
    let from = Resume { handle: handle.answer, after };
    let stream = Stream::resumed(worker, &request, &target, from);
    let buffered = attempt::buffer(stream, Until::FirstChunk, &mut meter).await;
    let buffered = buffered.map_err(|failure| to_problem(failure, &mut meter))?;
    Ok(sse::stream(worker, &request, buffered, handle.wants_usage, meter))
}

/// Returns the number of the last chunk that the caller has; `None` if it has none.
fn last_event_id(headers: &HeaderMap) -> Result<Option<u64>, Problem> {
    let Some(header) = headers.get(LAST_EVENT_ID) else { return Ok(None) };
    let number = header.to_str().ok().and_then(|text| text.parse().ok());
    number.map(Some).ok_or_else(problems::position)
}

fn to_problem(failure: Failure, meter: &mut Meter) -> Problem {
    let Failure { refusal, detail } = failure;
    meter.record_failure(Outcome::Cut, format!("not resumed: {}", refusal.reason));
    match refusal.reason {
        Reason::Missing | Reason::Moved => problems::answer(),
        _ => problems::refused(&refusal, &detail),
    }
}
