//! `POST /v1/chat/completions`.

use std::rc::Rc;

use config::Document;
use config::Service;
use config::service::Chat;
use config::service::Kind;
use ntex::http::HeaderMap;
use ntex::http::StatusCode;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::types::Payload;
use ntex::web::types::State;
use wire::Cost;
use wire::Problem;
use wire::Work;
use wire::hash;
use wire::id;
use wire::work;

use crate::attempt::Buffered;
use crate::attempt::Until;
use crate::body;
use crate::completion;
use crate::dispatch::dispatch;
use crate::meter::Meter;
use crate::meter::Outcome;
use crate::parameters::Parameters;
use crate::problems;
use crate::reply;
use crate::request::Request;
use crate::sse;
use crate::worker::Worker;

/// Serves a chat completion, streamed or whole.
pub(crate) async fn serve(
    worker: State<Rc<Worker>>,
    http_request: HttpRequest,
    mut payload: Payload,
) -> HttpResponse {
    let answer = answer(&worker, http_request.headers(), &mut payload).await;
    body::finish(answer, payload).await
}

async fn answer(
    worker: &Rc<Worker>,
    headers: &HeaderMap,
    payload: &mut Payload,
) -> Result<HttpResponse, Problem> {
    let account = worker.admit(headers)?;
    let bytes = body::read(&worker.context, headers, payload).await?;
    let text = String::from_utf8(bytes).map_err(|_| problems::broken("it is no UTF-8"))?;
    let parameters = Parameters::parse(&text)?;
    let document = worker.board().document();
    let service = worker.service(&document, &parameters.model, &account)?;
    let request = build_request(worker, &document, service, account, &parameters, text)?;
    let mut meter = Meter::new(worker.board(), &document, &request);
    if parameters.stream == Some(true) {
        let buffered = dispatch(worker, &request, Until::FirstChunk, &mut meter).await?;
        check_status(&buffered, &mut meter)?;
        return Ok(sse::stream(worker, &request, buffered, parameters.wants_usage(), meter));
    }
    let buffered = dispatch(worker, &request, Until::End, &mut meter).await?;
    check_status(&buffered, &mut meter)?;
    respond_whole(&request, &buffered, &mut meter)
}

/// Checks the status of an answer: an engine that rejects a request sends an error in
/// place of a completion.
fn check_status(buffered: &Buffered, meter: &mut Meter) -> Result<(), Problem> {
    let status = buffered.head.status;
    if status == StatusCode::OK.as_u16() {
        return Ok(());
    }
    let text: Vec<u8> = buffered.chunks.iter().flatten().copied().collect();
    let problem = problems::rejected(status, &String::from_utf8_lossy(&text));
    meter.record_failure(Outcome::Rejected, &problem.detail);
    Err(problem)
}

fn respond_whole(
    request: &Request,
    buffered: &Buffered,
    meter: &mut Meter,
) -> Result<HttpResponse, Problem> {
    let usage = buffered.usage.unwrap_or_default();
    let joined = completion::join_chunks(&request.service, &buffered.chunks, usage);
    match joined {
        Ok(whole) => {
            meter.record_served();
            Ok(reply::json(&whole))
        }
        Err(problem) => {
            meter.record_failure(Outcome::Cut, &problem.detail);
            Err(problem)
        }
    }
}

fn build_request(
    worker: &Worker,
    document: &Document,
    service: &Service,
    account: id::Account,
    parameters: &Parameters,
    body: String,
) -> Result<Request, Problem> {
    let Kind::Chat(chat) = &service.kind else {
        return Err(problems::kind(&service.name, "/services/{service}/…"));
    };
    let work = Work::Chat(work::Chat {
        model: chat.model.clone(),
        chat: hash::chat(&account, &service.name, &parameters.key()),
        body,
    });
    let request = Request::new(worker, document, service, account, work);
    Ok(Request {
        cost: cost(parameters, chat),
        is_first_turn: parameters.is_first_turn(),
        ..request
    })
}

fn cost(parameters: &Parameters, chat: &Chat) -> Cost {
    Cost {
        prompt: parameters.prompt_tokens(),
        output: parameters.output_tokens(chat.output_tokens),
    }
}
