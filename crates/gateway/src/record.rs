//! Log lines and metrics of requests, attempts and streams.
//!
//! `docs/METRICS.md` lists the metrics.

use std::time::Duration;

use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use policy::evacuation;
use policy::failure_rate;
use policy::origin::Custody;
use policy::origin::StreamId;
use policy::quarantine::Block;
use policy::slow_start::Turn;
use policy::speed;
use route::Endpoint;
use route::Reply;
use route::Version;
use services::version;

use crate::attempt::Outcome;
use crate::forward::Attempts;
use crate::framing::Framing;
use crate::origins::Stored;
use crate::refusal::Refusal;
use crate::request::Request;
use crate::response::Response;

/// Records a request that was refused before an endpoint was chosen.
pub(crate) fn refusal(id: Option<&str>, path: &str, version: Version, refusal: Refusal) {
    log::info!(id = id.unwrap_or("-"), path, version, status = refusal.status().as_u16(),
        outcome = refusal.name(); "request");
    count("-", "-", refusal.name());
}

/// Counts a body for which there was no room.
pub(crate) fn full(body: &'static str) {
    counter!("lycheeknot_gateway_memory_full_total", "body" => body).increment(1);
}

/// Records connections that were closed since their clients read nothing of their responses.
pub(crate) fn unread(connections: usize, after: Duration) {
    if connections == 0 {
        return;
    }
    log::warn!(connections, after:?; "closed: the clients read nothing of their responses");
    counter!("lycheeknot_gateway_unread_total").increment(connections as u64);
}

/// Guard that records a request as abandoned if it is dropped before the response starts,
/// which happens when the client disconnects.
pub(crate) struct Pending<'a> {
    request: &'a Request,
    has_response: bool,
}

impl<'a> Pending<'a> {
    /// Starts to watch a request.
    pub(crate) fn new(request: &'a Request) -> Pending<'a> {
        Pending { request, has_response: false }
    }

    /// Ends the watch of a request that has a response.
    pub(crate) fn finish(mut self) {
        self.has_response = true;
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if self.has_response {
            return;
        }
        let request = self.request;
        log::info!(id = request.id(), route = &*request.rule.name, service = &*request.service,
            outcome = "left", ms = request.start.elapsed().as_millis() as u64; "request");
        count(&request.service, request.account_name(), "left");
    }
}

/// Records a request whose response is complete or, if it is a stream, has started.
pub(crate) fn request(
    request: &Request,
    attempts: &Attempts,
    response: &Result<Response, Refusal>,
) {
    let (outcome, status) = match response {
        Ok(Response::Full(full)) if full.status.is_server_error() => {
            ("failed", full.status.as_u16())
        }
        Ok(Response::Full(full)) => ("answered", full.status.as_u16()),
        Ok(Response::Stream(relay)) => ("begun", relay.status().as_u16()),
        Err(refusal) => (refusal.name(), refusal.status().as_u16()),
    };
    let elapsed = request.start.elapsed();
    log::info!(id = request.id(), route = &*request.rule.name, service = &*request.service,
        account = request.account_name(), version = request.version, rank = request.rank(),
        endpoint = attempts.tried.last().map_or("-", |id| &**id), asked = attempts.tried.len(),
        sent = attempts.sent, status, outcome, ms = elapsed.as_millis() as u64; "request");
    count(&request.service, request.account_name(), outcome);
    if response.is_ok() {
        histogram!("lycheeknot_gateway_first_byte_seconds", "service" => request.service.to_string())
            .record(elapsed);
    }
}

/// Records an attempt. A successful one is only counted, since the log line of the request
/// covers it.
pub(crate) fn attempt(request: &Request, endpoint: &Endpoint, outcome: &Outcome) {
    let name = match outcome {
        Outcome::Full(full) if full.status.is_server_error() => "failed",
        Outcome::Full(_) => "answered",
        Outcome::Stream(_) => "begun",
        Outcome::Unsent => "unsent",
        Outcome::Absent => "absent",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
        Outcome::Silent => "silent",
        Outcome::TimedOut => "late",
    };
    counter!("lycheeknot_gateway_attempts_total",
        "service" => request.service.to_string(), "outcome" => name)
    .increment(1);
    if !matches!(name, "answered" | "begun") {
        log::info!(id = request.id(), endpoint = &*endpoint.id, address:% = endpoint.address,
            version = &*endpoint.version, born:? = endpoint.started_ms,
            left_ms = request.time_left().as_millis() as u64,
            outcome = name; "attempt");
    }
}

/// Records that an attempt was abandoned at an endpoint that has sent nothing for some time.
pub(crate) fn silence(request: &Request, endpoint: &Endpoint, waited: Duration, is_ejected: bool) {
    log::warn!(id = request.id(), endpoint = &*endpoint.id, address:% = endpoint.address,
        waited_ms = waited.as_millis() as u64, left_ms = request.time_left().as_millis() as u64,
        is_ejected; "the endpoint is silent, another one is asked");
}

/// Records from where the version that began a stream is known.
pub(crate) fn known_version(
    service: &str,
    stream: Option<StreamId>,
    version: &str,
    source: &'static str,
) {
    log::info!(service, stream:?, version, source; "the version of a stream is known");
    counter!("lycheeknot_gateway_known_versions_total",
        "service" => service.to_owned(), "source" => source)
    .increment(1);
}

/// Logs what is known of a new stream elsewhere, before its first event.
pub(crate) fn recorded(endpoint: &Endpoint, stream: StreamId, custody: Custody) {
    log::debug!(stream, version = &*endpoint.version, custody:?; "a new stream is recorded");
}

/// Logs what the version of a stream without a row was inferred from: how many processes have
/// journals, and the versions of each of them.
pub(crate) fn inference(service: &str, stream: Option<StreamId>, stored: &Stored) {
    let versions = stored.journals.iter().map(|journal| journal.versions(service).join("+"));
    let versions: Vec<String> = versions.collect();
    log::info!(service, stream:?, journals = stored.journals.len(), versions:?;
        "no row has the stream, so its version is inferred");
}

/// Records that a stream was cut before its first event, as neither the store nor another gateway could
/// record which endpoint began it.
pub(crate) fn unsecured(endpoint: &Endpoint) {
    log::warn!(endpoint = &*endpoint.id, version = &*endpoint.version;
        "the version of a new stream can't be recorded elsewhere");
    counter!("lycheeknot_gateway_unsecured_streams_total",
        "service" => endpoint.service.to_string())
    .increment(1);
}

/// Records that the version that began a stream isn't known, with what the store has of it.
pub(crate) fn unknown_version(service: &str, reason: &'static str, stored: &Stored) {
    let incomplete = stored.journals.iter().filter(|journal| !journal.is_complete).count();
    log::info!(service, reason, restores = stored.restores, journals = stored.journals.len(),
        incomplete; "the version of a stream is not known");
    counter!("lycheeknot_gateway_unknown_versions_total",
        "service" => service.to_owned(), "reason" => reason)
    .increment(1);
}

/// End of a stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamEnd<'a> {
    pub(crate) outcome: &'static str,
    /// Version of the latest endpoint.
    pub(crate) version: &'a str,
    /// Framing of the endpoint's latest response.
    pub(crate) framing: Framing,
    /// Id of the last event that was sent to the client.
    pub(crate) last: Option<u64>,
    /// Bytes that were received after the last whole event.
    pub(crate) rest: usize,
}

/// Records the end of a stream.
pub(crate) fn stream(request: &Request, attempts: &Attempts, end: &StreamEnd<'_>) {
    let StreamEnd { outcome, version, framing, last, rest } = *end;
    log::info!(id = request.id(), service = &*request.service,
        endpoint = attempts.tried.last().map_or("-", |id| &**id), sent = attempts.sent, last:?,
        version, resumes = request.metadata.resumes.as_deref().unwrap_or("-"),
        framing = framing.name(), rest, outcome, ms = request.start.elapsed().as_millis() as u64;
        "stream");
    counter!("lycheeknot_gateway_streams_total",
        "service" => request.service.to_string(), "outcome" => outcome)
    .increment(1);
}

/// Records the crash of an endpoint.
pub(crate) fn crash(endpoint: &Endpoint) {
    log::warn!(endpoint = &*endpoint.id, address:% = endpoint.address,
        born:? = endpoint.started_ms; "an endpoint has crashed");
    counter!("lycheeknot_gateway_crashes_total", "service" => endpoint.service.to_string())
        .increment(1);
}

/// Records that a start of an endpoint has ended, as nothing listens at its address.
pub(crate) fn ended(endpoint: &Endpoint) {
    log::warn!(endpoint = &*endpoint.id, address:% = endpoint.address,
        version = &*endpoint.version, born:? = endpoint.started_ms;
        "nothing listens at an endpoint's address; its next start has to be announced");
    counter!("lycheeknot_gateway_ended_endpoints_total", "service" => endpoint.service.to_string())
        .increment(1);
}

/// Records that something listens again at the address of an endpoint that had ended, whose start is
/// awaited if announcements can be read.
pub(crate) fn listening(endpoint: &Endpoint, is_awaited: bool) {
    log::info!(endpoint = &*endpoint.id, address:% = endpoint.address,
        born:? = endpoint.started_ms, is_awaited; "something listens at an endpoint's address again");
}

/// Records that an endpoint limits the requests of all gateways to another rate than before, in
/// requests per second, or no longer does. `source` tells from where that is known.
pub(crate) fn limit(endpoint: &Endpoint, max_rate: Option<f64>, source: &str) {
    log::info!(endpoint = &*endpoint.id, address:% = endpoint.address, max_rate:?, source;
        "endpoint limit");
    counter!("lycheeknot_gateway_limit_changes_total", "service" => endpoint.service.to_string())
        .increment(1);
}

/// Records that an endpoint is held back as it is cold, or no longer is. `gateways` is the number of
/// registered gateways.
pub(crate) fn cold(endpoint: &Endpoint, turn: &Turn, gateways: u32, now: Duration) {
    let Turn { is_held, known, rate, sent } = turn;
    let (left, age) = (known.until.saturating_sub(now), now.saturating_sub(known.at));
    log::info!(endpoint = &*endpoint.id, address:% = endpoint.address, is_held, gateways, rate, sent,
        source:? = known.source, left_ms = left.as_millis() as u64, age_ms = age.as_millis() as u64;
        "slow start");
    if *is_held {
        counter!("lycheeknot_gateway_slow_starts_total", "service" => endpoint.service.to_string())
            .increment(1);
    }
}

/// Records that an endpoint has said that it leaves, or that it wants no requests for a while.
pub(crate) fn notice(endpoint: &Endpoint, reply: &Reply) {
    log::info!(endpoint = &*endpoint.id, address:% = endpoint.address, leaving = reply.is_leaving,
        pause:? = reply.pause; "endpoint wants no requests");
    counter!("lycheeknot_gateway_notices_total", "service" => endpoint.service.to_string())
        .increment(1);
}

/// Records that an endpoint is taken for failing from now on, or no longer is. `age` is the time
/// since the counts of the other gateways came.
pub(crate) fn failing(endpoint: &Endpoint, change: &failure_rate::Change, age: Duration) {
    let failure_rate::Change { own, others, best, .. } = change;
    log::warn!(endpoint = &*endpoint.id, address:% = endpoint.address, service = &*endpoint.service,
        is_failing = change.is_failing, own_failures = own.failures, own_requests = own.requests,
        others_failures = others.failures, others_requests = others.requests,
        others_age_ms = age.as_millis() as u64, best_share = *best;
        "endpoint failures");
}

/// Records how many endpoints of a service are taken for failing.
pub(crate) fn failing_endpoints(service: &str, failing: usize) {
    gauge!("lycheeknot_gateway_failing_endpoints", "service" => service.to_owned())
        .set(failing as f64);
}

/// Records that a request is sent to an endpoint that is taken for failing.
pub(crate) fn trial(service: &str) {
    counter!("lycheeknot_gateway_trials_total", "service" => service.to_owned()).increment(1);
}

/// Records that an endpoint is taken for slower or faster than before, compared with the other
/// endpoints of its service. Ratios are its times as a multiple of theirs.
pub(crate) fn speed_change(endpoint: &Endpoint, change: &speed::Change) {
    let speed::Change { from, judgement, age, reporters, .. } = change;
    log::info!(endpoint = &*endpoint.id, address:% = endpoint.address,
        service = &*endpoint.service, from:% = format_args!("{from:.2}"),
        speed:% = format_args!("{:.2}", judgement.speed),
        ratio_short:% = format_args!("{:.2}", judgement.fast),
        ratio_long:% = format_args!("{:.2}", judgement.slow),
        observations:% = format_args!("{:.1}", judgement.weight), reporters,
        age_ms = age.as_millis() as u64; "endpoint speed");
    counter!("lycheeknot_gateway_speed_changes_total", "service" => endpoint.service.to_string())
        .increment(1);
}

/// Records the speed of an endpoint that differs or has differed.
pub(crate) fn speed(service: &str, endpoint: &str, speed: f64) {
    gauge!("lycheeknot_gateway_endpoint_speed", "service" => service.to_owned(),
        "endpoint" => endpoint.to_owned())
    .set(speed);
}

/// Records how many endpoints of a service are taken for slower or faster than the others.
pub(crate) fn unequal_endpoints(service: &str, endpoints: usize) {
    gauge!("lycheeknot_gateway_unequal_endpoints", "service" => service.to_owned())
        .set(endpoints as f64);
}

/// Records that requests with certain parts of prompts are refused from now on, or no longer are.
pub(crate) fn block(block: &Block, is_new: bool) {
    let names: Vec<String> = block.parts.iter().map(|part| format!("{part:x}")).collect();
    let message = if is_new { "quarantine begins" } else { "quarantine ends" };
    log::warn!(parts = names.join(","); "{message}");
}

/// Records how many blocks there are.
pub(crate) fn blocks(blocks: usize) {
    gauge!("lycheeknot_gateway_quarantines").set(blocks as f64);
}

/// Records that an evacuation begins or ends, determined by a version of the store that was told some
/// time ago. `lasted` is how long it was in force.
pub(crate) fn evacuation(
    change: &evacuation::Change,
    version: version::Version,
    age: Duration,
    lasted: Duration,
) {
    let (centre, age_ms) = (&*change.centre, age.as_millis() as u64);
    let cause = change.cause.name();
    if change.is_evacuated {
        log::warn!(centre, version, age_ms, cause; "evacuation begins");
    } else {
        let lasted_ms = lasted.as_millis() as u64;
        log::warn!(centre, version, age_ms, cause, lasted_ms; "evacuation ends");
        evacuation_progress(centre, Duration::ZERO, 0);
    }
}

/// Records how many data centres are evacuated.
pub(crate) fn evacuations(centres: usize) {
    gauge!("lycheeknot_gateway_evacuations").set(centres as f64);
}

/// Records for how long a data centre has been evacuated, and the requests of this gateway that are
/// still in flight there.
pub(crate) fn evacuation_progress(centre: &str, lasted: Duration, requests: u32) {
    gauge!("lycheeknot_gateway_evacuated_seconds", "centre" => centre.to_owned())
        .set(lasted.as_secs_f64());
    gauge!("lycheeknot_gateway_evacuated_requests", "centre" => centre.to_owned())
        .set(f64::from(requests));
}

/// Records the endpoints of an evacuated data centre, and the requests of this gateway there, once
/// the endpoints are known.
pub(crate) fn evacuated_endpoints(centre: &str, endpoints: usize, requests: u32) {
    match endpoints {
        0 => log::warn!(centre; "an evacuated data centre has no endpoint; check its name"),
        _ => log::info!(centre, endpoints, requests; "evacuated endpoints"),
    }
}

/// Records that all endpoints are in evacuated data centres from now on, or no longer are.
pub(crate) fn total_evacuation(is_total: bool, centres: usize, endpoints: usize) {
    match is_total {
        true => log::error!(centres, endpoints;
            "all endpoints are evacuated and all requests are refused; end an evacuation"),
        false => log::info!(centres, endpoints; "not all endpoints are evacuated any more"),
    }
}

/// Counts a call for changes of the store's keys.
pub(crate) fn changes(is_relayed: bool) {
    let source = if is_relayed { "relay" } else { "store" };
    counter!("lycheeknot_gateway_feed_calls_total", "source" => source).increment(1);
}

/// Records of how many other gateways the loads are known.
pub(crate) fn known_loads(gateways: u32) {
    gauge!("lycheeknot_gateway_loads_known").set(f64::from(gateways));
}

/// Increments the count of requests.
fn count(service: &str, account: &str, outcome: &'static str) {
    counter!("lycheeknot_gateway_requests_total", "service" => service.to_owned(),
        "account" => account.to_owned(), "outcome" => outcome)
    .increment(1);
}
