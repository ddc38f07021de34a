//! Runs one attempt, from its arrival to its last frame.

use std::rc::Rc;

use backend::engine::Job;
use config::Document;
use config::layout;
use policy::gate::Ticket;
use wire::Attempt;
use wire::Refusal;
use wire::Resume;
use wire::Work;
use wire::frame::Payload;
use wire::frame::Report;
use wire::frame::Usage;
use wire::member::State;
use wire::refusal::Reason;

use crate::answers::Registration;
use crate::answers::Takeover;
use crate::failure;
use crate::gate::Pass;
use crate::homes;
use crate::meter;
use crate::meter::Meter;
use crate::once;
use crate::relay;
use crate::rules;
use crate::stop::Stop;
use crate::worker::Worker;
use crate::writer::Writer;

/// Runs an attempt and writes its answer, which ends in an end or a refusal.
pub async fn run(worker: Rc<Worker>, attempt: Attempt, mut out: Writer) {
    let _guard = worker.shared.flight.guard();
    let mut meter = Meter::new(&attempt, worker.board.revision());
    let last = match answer(&worker, attempt, &mut out).await {
        Ok(usage) => {
            meter.record_served();
            Payload::End(usage)
        }
        Err(Stop::Refused(refusal)) => {
            meter.record_refused(&refusal);
            Payload::Refused(refusal, report(&worker))
        }
        Err(Stop::Closed) => return,
    };
    // A failed write of the last frame means that the reader is gone, so it is ignored.
    let _ = out.write(last).await;
}

async fn answer(worker: &Rc<Worker>, attempt: Attempt, out: &mut Writer) -> Result<Usage, Stop> {
    let document = worker.board.document();
    let registration =
        worker.shared.answers.register((attempt.request, attempt.attempt), &attempt.account);
    if let Some(resume) = &attempt.resume {
        return resume_answer(worker, &document, &attempt, resume, &registration, out).await;
    }
    check_ready(worker, &document, &attempt)?;
    if let Some(refusal) = homes::redirect(worker, &attempt) {
        return Err(refusal.into());
    }
    worker.shared.gate.configure(document.revision, || rules::rules(&document, worker.slots));
    let ticket = build_ticket(worker, &document, &attempt)?;
    let rank = ticket.rank;
    let arrived = worker.board.now();
    merge_mean(worker, &attempt);
    let mut pass = worker.shared.gate.offer(ticket, worker.board.mean());
    if let Some(refusal) = pass.refused() {
        return Err(refusal.into());
    }
    out.write(Payload::Accepted(report(worker))).await?;
    wait_for_start(&mut pass, &registration, out).await?;
    out.on_first_token(pass.first_token());
    registration.hold(pass);
    meter::record_wait(rank, worker.board.now().saturating_sub(arrived));
    homes::record_start(worker, &attempt);
    let usage = serve(worker, attempt, i32::from(rank), &registration, out).await?;
    registration.complete();
    Ok(usage)
}

async fn serve(
    worker: &Rc<Worker>,
    attempt: Attempt,
    priority: i32,
    registration: &Registration,
    out: &mut Writer,
) -> Result<Usage, Stop> {
    let job = Job { work: attempt.work.clone(), priority };
    if let Work::Call(call) = &attempt.work
        && let Some(key) = &call.key
    {
        let key = layout::claim(&worker.cluster, &attempt.account, &attempt.service, key);
        return once::serve(worker, key, call, job, out).await;
    }
    relay::serve(worker, job, registration, out).await
}

/// Resumes an answer that an earlier attempt began, here or at an agent that
/// this one replaced. The engine already runs it, so it keeps its gate pass or
/// is counted at the gate without admission.
async fn resume_answer(
    worker: &Rc<Worker>,
    document: &Document,
    attempt: &Attempt,
    resume: &Resume,
    registration: &Registration,
    out: &mut Writer,
) -> Result<Usage, Stop> {
    if document.revision == 0 {
        return Err(failure::unknown(Reason::Starting).into());
    }
    worker.shared.gate.configure(document.revision, || rules::rules(document, worker.slots));
    let unknown = |_| failure::unknown(Reason::Missing);
    let ticket = build_ticket(worker, document, attempt).map_err(unknown)?;
    let takeover = worker.shared.answers.take_over(&resume.handle, &attempt.account);
    // The engine's speed is learnt only from work that was seen from its start.
    let is_seen_from_start = matches!(takeover, Takeover::Pass(_));
    let pass = match takeover {
        Takeover::Pass(pass) => pass,
        Takeover::Unknown => worker.shared.gate.adopt(ticket),
        Takeover::Refused => return Err(failure::unknown(Reason::Missing).into()),
    };
    registration.hold(pass);
    // A write error is ignored here: the relay below cancels the engine's work if
    // the reader is gone, also for an answer that was taken over.
    let _ = out.write(Payload::Accepted(report(worker))).await;
    let usage = relay::resume_answer(worker, resume, registration, out).await?;
    if is_seen_from_start {
        registration.complete();
    }
    Ok(usage)
}

fn report(worker: &Worker) -> Report {
    Report { stamp: worker.board.stamp(), load: worker.shared.gate.load() }
}

/// Merges the entry's estimate of the mean load, which the gate's load bound uses.
fn merge_mean(worker: &Worker, attempt: &Attempt) {
    let Some(mean) = attempt.mean else { return };
    let now = worker.board.now();
    worker.board.update_mean(|estimate| estimate.merge(&attempt.stamp.vm, mean, now));
}

/// Refuses work that this agent can't do, before the gate counts it.
fn check_ready(worker: &Worker, document: &Document, attempt: &Attempt) -> Result<(), Refusal> {
    let needs = attempt.work.needs();
    let reason = worker.board.with_roster(|roster| {
        let own = roster.own()?;
        match own.state {
            State::Leaving => Some(Reason::Leaving),
            State::Starting => Some(Reason::Starting),
            State::Live if !own.holds.iter().any(|held| held == needs) => Some(Reason::Missing),
            State::Live => None,
        }
    });
    if let Some(reason) = reason {
        return Err(failure::not_run(reason));
    }
    if document.revision == 0 {
        return Err(failure::not_run(Reason::Starting));
    }
    Ok(())
}

/// Builds the gate ticket. Rank and weight come from the configuration, not from
/// the sender.
fn build_ticket(
    worker: &Worker,
    document: &Document,
    attempt: &Attempt,
) -> Result<Ticket, Refusal> {
    let service = document.service(&attempt.service);
    let service = service.ok_or_else(|| failure::not_run(Reason::Missing))?;
    let rank = document.rank(service.rank);
    let rank = rank.ok_or_else(|| failure::not_run(Reason::Missing))?;
    let now = worker.board.now();
    // The entry sets a request's deadline to the rank's patience plus its first-token time.
    let elapsed = (rank.patience + rank.first_token).saturating_sub(attempt.deadline);
    let due = rank.first_token.saturating_sub(elapsed);
    let wait = rank.patience.saturating_sub(elapsed);
    Ok(Ticket {
        id: 0,
        request: attempt.request,
        rank: service.rank,
        account: attempt.account.clone(),
        weight: document.account(&attempt.account).map_or(1, |account| account.weight),
        cost: attempt.cost,
        due: now.saturating_add(due),
        deadline: now.saturating_add(wait),
    })
}

async fn wait_for_start(
    pass: &mut Pass,
    registration: &Registration,
    out: &Writer,
) -> Result<(), Stop> {
    tokio::select! {
        started = pass.started() => Ok(started?),
        () = out.closed() => Err(Stop::Closed),
        interrupt = registration.interrupted() => Err(interrupt.into()),
    }
}
