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

use crate::ask::Ask;
use crate::attempt::Opened;
use crate::attempt::Until;
use crate::body;
use crate::dispatch::dispatch;
use crate::join;
use crate::meter::Meter;
use crate::meter::Outcome;
use crate::order::Order;
use crate::problems;
use crate::reply;
use crate::sse;
use crate::worker::Worker;

/// Serves a chat completion, streamed or whole.
pub(crate) async fn serve(
    worker: State<Rc<Worker>>,
    request: HttpRequest,
    mut payload: Payload,
) -> HttpResponse {
    let answer = answer(&worker, request.headers(), &mut payload).await;
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
    let ask = Ask::parse(&text)?;
    let document = worker.board().document();
    let service = worker.service(&document, &ask.model, &account)?;
    let order = order(worker, &document, service, account, &ask, text)?;
    let mut meter = Meter::new(worker.board(), &document, &order);
    if ask.stream == Some(true) {
        let opened = dispatch(worker, &order, Until::Piece, &mut meter).await?;
        accept(&opened, &mut meter)?;
        return Ok(sse::stream(worker, &order, opened, ask.wants_usage(), meter));
    }
    let opened = dispatch(worker, &order, Until::End, &mut meter).await?;
    accept(&opened, &mut meter)?;
    whole(&order, &opened, &mut meter)
}

/// An engine that finds fault with the request says so in place of an answer.
fn accept(opened: &Opened, meter: &mut Meter) -> Result<(), Problem> {
    let status = opened.head.status;
    if status == StatusCode::OK.as_u16() {
        return Ok(());
    }
    let text: Vec<u8> = opened.pieces.iter().flatten().copied().collect();
    let problem = problems::rejected(status, &String::from_utf8_lossy(&text));
    meter.failed(Outcome::Rejected, &problem.detail);
    Err(problem)
}

fn whole(order: &Order, opened: &Opened, meter: &mut Meter) -> Result<HttpResponse, Problem> {
    let usage = opened.usage.unwrap_or_default();
    let joined = join::completion(&order.service, &opened.pieces, usage);
    match joined {
        Ok(whole) => {
            meter.served();
            Ok(reply::json(&whole))
        }
        Err(problem) => {
            meter.failed(Outcome::Cut, &problem.detail);
            Err(problem)
        }
    }
}

fn order(
    worker: &Worker,
    document: &Document,
    service: &Service,
    account: id::Account,
    ask: &Ask,
    body: String,
) -> Result<Order, Problem> {
    let Kind::Chat(chat) = &service.kind else {
        return Err(problems::kind(&service.name, "/services/{service}/…"));
    };
    let work = Work::Chat(work::Chat {
        model: chat.model.clone(),
        chat: hash::chat(&account, &service.name, &ask.key()),
        body,
    });
    let order = Order::new(worker, document, service, account, work);
    Ok(Order { cost: cost(ask, chat), is_first_turn: ask.is_first_turn(), ..order })
}

fn cost(ask: &Ask, chat: &Chat) -> Cost {
    Cost { prompt: ask.prompt_tokens(), output: ask.output_tokens(chat.output_tokens) }
}
