//! Complete HTTP sessions of callers, compared as text.

mod support;

use entry::Fault;
use expect_test::expect;
use support::Entry;
use support::TOKEN;
use support::post;
use wire::refusal::Ran;
use wire::refusal::Reason;

const WHOLE: &str = r#"{"model":"briefs","messages":[{"role":"user","content":"Greet me"}]}"#;
const STREAM: &str = r#"{"model":"briefs","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"Greet me"}]}"#;

#[test]
fn whole_chat() {
    let entry = Entry::start(|_, _| support::whole());
    expect![[r#"
        > POST /v1/chat/completions HTTP/1.1
        < HTTP/1.1 200 OK
        < connection: close
        < content-length: 283
        < content-type: application/json
        {"id":"c1","object":"chat.completion","created":7,"model":"briefs","choices":[{"index":0,"message":{"content":"Good morning","role":"assistant"},"finish_reason":"stop"}],"usage":{"prompt_tokens":12,"completion_tokens":2,"total_tokens":14,"prompt_tokens_details":{"cached_tokens":8}}}
    "#]].assert_eq(&entry.chat(WHOLE));
}

#[test]
fn streamed_chat() {
    let entry = Entry::start(|_, _| support::whole());
    expect![[r#"
        > POST /v1/chat/completions HTTP/1.1
        < HTTP/1.1 200 OK
        < cache-control: no-cache
        < connection: close
        < content-type: text/event-stream
        < transfer-encoding: chunked
        data: {"id":"c1","object":"chat.completion.chunk","created":7,"model":"llama","choices":[{"index":0,"delta":{"role":"assistant","content":"Good "},"finish_reason":null}]}

        data: {"id":"c1","object":"chat.completion.chunk","created":7,"model":"llama","choices":[{"index":0,"delta":{"role":"assistant","content":"morning"},"finish_reason":null}]}

        data: {"id":"c1","object":"chat.completion.chunk","created":7,"model":"llama","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}

        data: {"id":"chatcmpl-ID","object":"chat.completion.chunk","created":0,"model":"briefs","choices":[],"usage":{"prompt_tokens":12,"completion_tokens":2,"total_tokens":14,"prompt_tokens_details":{"cached_tokens":8}}}

        data: [DONE]

    "#]].assert_eq(&entry.chat(STREAM));
}

#[test]
fn refusal_has_a_retry_after() {
    let entry = Entry::start(|_, _| vec![support::refused(Reason::Share, Ran::No, 7)]);
    expect![[r#"
        > POST /v1/chat/completions HTTP/1.1
        < HTTP/1.1 429 Too Many Requests
        < connection: close
        < content-length: 199
        < content-type: application/problem+json
        < retry-after: 7
        {"type":"urn:lycheeknot:problem:share","title":"The client account has used up its share","status":429,"detail":"Send less at once, or ask an operator for a larger share.","ran":"no","retry_after":7}
    "#]].assert_eq(&entry.chat(WHOLE));
    assert_eq!(entry.attempts().len(), 1);
}

#[test]
fn a_refused_request_is_retried_at_a_second_engine() {
    let entry = Entry::start(|_, attempt| match attempt.attempt {
        0 => vec![support::refused(Reason::Bound, Ran::No, 7)],
        _ => support::whole(),
    });
    expect![[r#"
        > POST /v1/chat/completions HTTP/1.1
        < HTTP/1.1 200 OK
        < connection: close
        < content-length: 283
        < content-type: application/json
        {"id":"c1","object":"chat.completion","created":7,"model":"briefs","choices":[{"index":0,"message":{"content":"Good morning","role":"assistant"},"finish_reason":"stop"}],"usage":{"prompt_tokens":12,"completion_tokens":2,"total_tokens":14,"prompt_tokens_details":{"cached_tokens":8}}}
    "#]].assert_eq(&entry.chat(WHOLE));
    assert_eq!(entry.attempts().len(), 2);
}

#[test]
fn a_request_that_the_engine_rejects_gets_the_engines_error_text() {
    let entry = Entry::start(|_, _| {
        let error_text = r#"{"error":"max_tokens must be positive"}"#;
        vec![
            support::accepted(),
            support::head(422, "application/json"),
            support::data(error_text),
            support::end(),
        ]
    });
    expect![[r#"
        > POST /v1/chat/completions HTTP/1.1
        < HTTP/1.1 400 Bad Request
        < connection: close
        < content-length: 221
        < content-type: application/problem+json
        {"type":"urn:lycheeknot:problem:rejected","title":"The engine rejected the request","status":400,"detail":"Correct the request; the engine answered with status 422: {\"error\":\"max_tokens must be positive\"}","ran":"no"}
    "#]].assert_eq(&entry.chat(WHOLE));
    assert!(entry.chat(STREAM).contains("422"));
}

#[test]
fn cut_stream_ends_with_an_error() {
    let cut = || Fault::Disconnected("connection reset".into());
    let entry = Entry::start(move |_, _| {
        vec![
            support::accepted(),
            support::head(200, "text/event-stream"),
            support::word("Good"),
            support::Step::Fault(cut()),
        ]
    });
    expect![[r#"
        > POST /v1/chat/completions HTTP/1.1
        < HTTP/1.1 200 OK
        < cache-control: no-cache
        < connection: close
        < content-type: text/event-stream
        < transfer-encoding: chunked
        data: {"id":"c1","object":"chat.completion.chunk","created":7,"model":"llama","choices":[{"index":0,"delta":{"role":"assistant","content":"Good"},"finish_reason":null}]}

        event: error
        data: {"type":"urn:lycheeknot:problem:cut","title":"The answer broke off","status":502,"detail":"What came before is not the whole answer; ask again: the connection to the agent broke (connection reset): check the agent's log for a stop or a crash.","ran":"unknown","retry_after":1}

    "#]].assert_eq(&entry.chat(STREAM));
    assert_eq!(entry.attempts().len(), 1);
}

#[test]
fn booking_without_key_is_refused() {
    let entry = Entry::start(|_, _| support::whole());
    expect![[r#"
        > POST /services/rounds/book HTTP/1.1
        < HTTP/1.1 400 Bad Request
        < connection: close
        < content-length: 239
        < content-type: application/problem+json
        {"type":"urn:lycheeknot:problem:key","title":"The call needs an Idempotency-Key","status":400,"detail":"Send `Idempotency-Key` with 1 to 255 visible ASCII characters, new for each new call and the same when a call is repeated.","ran":"no"}
    "#]].assert_eq(&entry.session(&post("/services/rounds/book", TOKEN, "", "{}")));
    assert!(entry.attempts().is_empty());
}

#[test]
fn booking_with_key() {
    let entry = Entry::start(|_, _| {
        vec![
            support::accepted(),
            support::head(201, "application/json"),
            support::data(r#"{"round":"#),
            support::data("4}"),
            support::end(),
        ]
    });
    let request = post("/services/rounds/book?hall=2", TOKEN, "idempotency-key: k1\r\n", "{}");
    expect![[r#"
        > POST /services/rounds/book?hall=2 HTTP/1.1
        < HTTP/1.1 201 Created
        < connection: close
        < content-length: 11
        < content-type: application/json
        {"round":4}
    "#]]
    .assert_eq(&entry.session(&request));
    expect![[r#"
        Call(
            Call {
                pool: "registry",
                method: "POST",
                path: "/book?hall=2",
                content_type: Some(
                    "application/json",
                ),
                body: [
                    123,
                    125,
                ],
                key: Some(
                    "k1",
                ),
            },
        )
    "#]]
    .assert_debug_eq(&entry.attempts()[0].work);
}

#[test]
fn a_path_that_can_be_read_as_another_is_refused() {
    let entry = Entry::start(|_, _| support::whole());
    for path in ["lookup/../book", "lookup/%2E%2e/book", "lookup/..%2Fbook", "lookup/%252e/book"] {
        let session = entry.session(&post(&format!("/services/rounds/{path}"), TOKEN, "", "{}"));
        assert!(session.contains("problem:path"), "{session}");
    }
    assert!(entry.attempts().is_empty());
}

#[test]
fn booking_whose_agent_disconnected_is_not_retried() {
    let cut = support::Step::Fault(Fault::Disconnected("connection reset".into()));
    let entry = Entry::start(move |_, _| vec![support::accepted(), cut.clone()]);
    let request = post("/services/rounds/book", TOKEN, "idempotency-key: k1\r\n", "{}");
    expect![[r#"
        > POST /services/rounds/book HTTP/1.1
        < HTTP/1.1 502 Bad Gateway
        < connection: close
        < content-length: 264
        < content-type: application/problem+json
        < retry-after: 1
        {"type":"urn:lycheeknot:problem:engine","title":"The engine can't be reached or broke off","status":502,"detail":"Ask again. Cause: the connection to the agent broke (connection reset): check the agent's log for a stop or a crash.","ran":"unknown","retry_after":1}
    "#]].assert_eq(&entry.session(&request));
    assert_eq!(entry.attempts().len(), 1);
}

#[test]
fn models_of_the_account() {
    let entry = Entry::start(|_, _| support::whole());
    expect![[r#"
        > GET /v1/models HTTP/1.1
        < HTTP/1.1 200 OK
        < connection: close
        < content-length: 95
        < content-type: application/json
        {"object":"list","data":[{"id":"briefs","object":"model","created":0,"owned_by":"lycheeknot"}]}
    "#]].assert_eq(&entry.session(&support::get("/v1/models", TOKEN)));
}

#[test]
fn bad_requests() {
    let entry = Entry::start(|_, _| support::whole());
    let chat = |token, body: &str| entry.session(&post("/v1/chat/completions", token, "", body));
    let mut sessions = vec![
        chat("wrong", WHOLE),
        chat(TOKEN, "{\"model\": \"briefs\",\n oops}"),
        chat(TOKEN, r#"{"messages":[]}"#),
        chat(TOKEN, &WHOLE.replace("briefs", "nothing")),
        chat(TOKEN, &WHOLE.replace("briefs", "drafts")),
        chat(TOKEN, &WHOLE.replace("briefs", "rounds")),
        chat(TOKEN, &"x".repeat(5000)),
    ];
    sessions.push(entry.session(&support::get("/nowhere", TOKEN)));
    let slow = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer \
                sofia-secret\r\ncontent-length: 100\r\n\r\n{";
    sessions.push(entry.session(slow));
    expect![[r#"
        > POST /v1/chat/completions HTTP/1.1
        < HTTP/1.1 401 Unauthorized
        < connection: close
        < content-length: 206
        < content-type: application/problem+json
        {"type":"urn:lycheeknot:problem:token","title":"The bearer token names no client account","status":401,"detail":"Send `Authorization: Bearer <token>` with a token of a confirmed client account.","ran":"no"}

        > POST /v1/chat/completions HTTP/1.1
        < HTTP/1.1 400 Bad Request
        < connection: close
        < content-length: 191
        < content-type: application/problem+json
        {"type":"urn:lycheeknot:problem:json","title":"The body can't be read as a chat completion request","status":400,"detail":"Mend the JSON: key must be a string at line 2 column 2.","ran":"no"}

        > POST /v1/chat/completions HTTP/1.1
        < HTTP/1.1 400 Bad Request
        < connection: close
        < content-length: 193
        < content-type: application/problem+json
        {"type":"urn:lycheeknot:problem:json","title":"The body can't be read as a chat completion request","status":400,"detail":"Mend the JSON: missing field `model` at line 1 column 15.","ran":"no"}

        > POST /v1/chat/completions HTTP/1.1
        < HTTP/1.1 404 Not Found
        < connection: close
        < content-length: 186
        < content-type: application/problem+json
        {"type":"urn:lycheeknot:problem:service","title":"There is no such service","status":404,"detail":"No confirmed service is named `nothing`: see GET /v1/models for the names.","ran":"no"}

        > POST /v1/chat/completions HTTP/1.1
        < HTTP/1.1 403 Forbidden
        < connection: close
        < content-length: 206
        < content-type: application/problem+json
        {"type":"urn:lycheeknot:problem:account","title":"The service does not serve this client account","status":403,"detail":"Ask an operator to confirm an intent that lets the account use `drafts`.","ran":"no"}

        > POST /v1/chat/completions HTTP/1.1
        < HTTP/1.1 400 Bad Request
        < connection: close
        < content-length: 172
        < content-type: application/problem+json
        {"type":"urn:lycheeknot:problem:kind","title":"The service does not take this kind of request","status":400,"detail":"Use /services/{service}/… for `rounds`.","ran":"no"}

        > POST /v1/chat/completions HTTP/1.1
        < HTTP/1.1 413 Payload Too Large
        < connection: close
        < content-length: 169
        < content-type: application/problem+json
        {"type":"urn:lycheeknot:problem:body","title":"The body is too large","status":413,"detail":"Send at most 4096 bytes, or ask an operator to raise the limit.","ran":"no"}

        > GET /nowhere HTTP/1.1
        < HTTP/1.1 404 Not Found
        < connection: close
        < content-length: 228
        < content-type: application/problem+json
        {"type":"urn:lycheeknot:problem:path","title":"There is nothing at this path","status":404,"detail":"Use POST /v1/chat/completions, GET /v1/models or /services/{service}/…, without dot segments or encoded slashes.","ran":"no"}

        > POST /v1/chat/completions HTTP/1.1
        < HTTP/1.1 408 Request Timeout
        < connection: close
        < content-length: 174
        < content-type: application/problem+json
        {"type":"urn:lycheeknot:problem:slow","title":"The request came too slowly","status":408,"detail":"Send the whole request without pauses; nothing of it was kept.","ran":"no"}
    "#]].assert_eq(&sessions.join("\n"));
    assert!(entry.attempts().is_empty());
}
