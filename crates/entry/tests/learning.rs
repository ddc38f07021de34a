//! Checks what an entry learns from answers and how that affects later requests.

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use entry::Fault;
use support::Entry;
use support::Step;
use wire::Attempt;
use wire::member::State;
use wire::refusal::Ran;
use wire::refusal::Reason;

/// The engine that a script treats differently, by its port; 0 before it is known.
#[derive(Clone, Default)]
struct Marked(Arc<AtomicU16>);

impl Marked {
    fn is_marked(&self, agent: SocketAddr) -> bool {
        self.0.load(Ordering::SeqCst) == agent.port()
    }

    fn mark(&self, engine: &str) {
        let port = engine.rsplit('-').next().and_then(|port| port.parse().ok());
        self.0.store(port.unwrap_or_default(), Ordering::SeqCst);
    }
}

fn chat(key: usize) -> String {
    format!(r#"{{"model":"briefs","prompt_cache_key":"{key}","messages":[]}}"#)
}

/// Returns a request of a chat that had a turn before, so that its home is asked first,
/// however busy it is.
fn later_turn(key: usize) -> String {
    let messages = r#"[{"role":"user","content":"1"},{"role":"assistant","content":"2"}]"#;
    chat(key).replace("[]", messages)
}

fn home(attempt: &Attempt) -> String {
    attempt.home.clone().unwrap_or_default()
}

#[test]
fn a_leaving_engine_is_not_chosen_until_its_description_changes() {
    let marked = Marked::default();
    let (script, seen) = (marked.clone(), Arc::new(AtomicU16::new(0)));
    let asked = Arc::clone(&seen);
    let entry = Entry::start(move |agent, _| {
        if !script.is_marked(agent) {
            return support::whole();
        }
        asked.fetch_add(1, Ordering::SeqCst);
        vec![support::refused(Reason::Leaving, Ran::No, 1)]
    });
    entry.chat(&later_turn(1));
    let leaving = home(&entry.attempts()[0]);
    marked.mark(&leaving);
    entry.chat(&later_turn(1));
    assert_eq!(seen.load(Ordering::SeqCst), 1);
    // These are other chats; the leaving engine is the home of about a third of them.
    (100..130).for_each(|key| assert!(entry.chat(&later_turn(key)).contains("200 OK")));
    assert_eq!(seen.load(Ordering::SeqCst), 1);

    let mut member = entry.board.with_roster(|roster| roster.member(&leaving).cloned()).unwrap();
    member.version += 1;
    entry.board.update_roster(|roster| roster.merge(member));
    (200..230).for_each(|key| assert!(entry.chat(&later_turn(key)).contains("200 OK")));
    assert_eq!(seen.load(Ordering::SeqCst), 2);
}

#[test]
fn a_spilled_chat_is_tried_at_its_home_again() {
    let marked = Marked::default();
    let script = marked.clone();
    let entry = Entry::start(move |agent, _| match script.is_marked(agent) {
        true => vec![support::refused(Reason::Bound, Ran::No, 1)],
        false => support::whole(),
    });
    entry.chat(&chat(1));
    marked.mark(&home(&entry.attempts()[0]));
    entry.chat(&chat(1));
    marked.mark("nothing");
    entry.chat(&chat(1));
    // The attempts are: the home serves; the home refuses and the second choice serves;
    // the home is asked again and may redirect.
    let attempts = entry.attempts();
    assert_eq!(attempts.len(), 4);
    assert!(attempts[3].redirect);
    assert_eq!(entry.notes(1)[0].1.chat, chat_of(&attempts[3]));
}

#[test]
fn a_spilled_chat_returns_to_its_last_engine_if_its_home_leaves() {
    let asked = AtomicU16::new(0);
    let entry = Entry::start(move |_, _| match asked.fetch_add(1, Ordering::SeqCst) {
        0 | 1 => vec![support::refused(Reason::Bound, Ran::No, 1)],
        _ => support::whole(),
    });
    entry.chat(&chat(1));
    // The second request would replace a note of the same chat that was not sent yet.
    entry.notes(1);
    let home = home(&entry.attempts()[0]);
    let mut member = entry.board.with_roster(|roster| roster.member(&home).cloned()).unwrap();
    member.version += 1;
    member.state = State::Leaving;
    entry.board.update_roster(|roster| roster.merge(member));
    entry.chat(&chat(1));
    // The first request tried three engines. The third one has the chat and is not its
    // next home.
    let attempts = entry.attempts();
    assert!(!attempts[3].redirect);
    let notes = entry.notes(2);
    let place = |index: usize| notes[index].1.engine.clone();
    assert_eq!(place(0), place(1));
    assert_ne!(support::engine_at(notes[0].0), support::engine_at(notes[1].0));
}

#[test]
fn a_home_gets_one_note_of_a_new_chat_placed_elsewhere() {
    let entry = Entry::start(|agent, attempt| {
        match attempt.home.as_ref().is_some_and(|home| *home == support::engine_at(agent)) {
            true => vec![support::refused(Reason::Bound, Ran::No, 1)],
            false => support::whole(),
        }
    });
    entry.chat(&later_turn(2));
    // One note is sent, though the chat is served there three times.
    (0..3).for_each(|_| drop(entry.chat(&chat(1))));
    let notes = entry.notes(1);
    let attempt = &entry.attempts()[2];
    assert_eq!(notes.len(), 1);
    assert_eq!(support::engine_at(notes[0].0), home(attempt));
    assert_eq!(notes[0].1.chat, chat_of(attempt));
    assert_ne!(notes[0].1.engine, home(attempt));
}

#[test]
fn a_redirect_is_followed_without_using_the_retry_budget() {
    let entry = Entry::start(|agent, attempt| {
        let is_home = attempt.home.as_ref().is_some_and(|home| *home == support::engine_at(agent));
        if is_home && attempt.redirect {
            let other = if agent.port() == 3 { "engine-2" } else { "engine-3" };
            return vec![support::hinted(Reason::Moved, Ran::No, 1, Some(other))];
        }
        support::whole()
    });
    // These are more than the retry budget would allow if each counted as a retry.
    for key in 0..40 {
        assert!(entry.chat(&later_turn(key)).contains("200 OK"));
    }
    assert_eq!(entry.attempts().len(), 80);
}

#[test]
fn a_redirected_chat_returns_home_if_the_other_engine_refuses() {
    let entry = Entry::start(|agent, attempt| {
        let is_home = attempt.home.as_ref().is_some_and(|home| *home == support::engine_at(agent));
        let other = if agent.port() == 3 { "engine-2" } else { "engine-3" };
        match (is_home, attempt.redirect) {
            (true, true) => vec![support::hinted(Reason::Moved, Ran::No, 1, Some(other))],
            (true, false) => support::whole(),
            _ => vec![support::refused(Reason::Bound, Ran::No, 1)],
        }
    });
    assert!(entry.chat(&later_turn(1)).contains("200 OK"));
    assert_eq!(entry.attempts().len(), 3);
}

#[test]
fn a_hint_determines_the_next_engine() {
    let entry = Entry::start(|agent, attempt| match attempt.attempt {
        0 => {
            let other = if agent.port() == 3 { "engine-2" } else { "engine-3" };
            vec![support::hinted(Reason::Bound, Ran::No, 1, Some(other))]
        }
        _ if agent.port() == 1 => vec![support::refused(Reason::Share, Ran::No, 1)],
        _ => support::whole(),
    });
    for key in 0..10 {
        assert!(entry.chat(&chat(key)).contains("200 OK"));
    }
}

#[test]
fn an_unreachable_engine_is_ejected() {
    let entry = Entry::start(|agent, _| match agent.port() {
        1 => vec![Step::Fault(Fault::Connect("refused".into()))],
        _ => support::whole(),
    });
    for key in 0..60 {
        assert!(entry.chat(&chat(key)).contains("200 OK"));
    }
    // Three failures eject the engine. Later attempts are probes, the first of them after
    // a second.
    assert!(entry.attempts().len() < 60 + 10, "{}", entry.attempts().len());
}

#[test]
fn an_engine_that_fails_behind_its_agent_is_ejected() {
    let entry = Entry::start(|agent, _| match agent.port() {
        1 => vec![support::accepted(), support::refused(Reason::Engine, Ran::No, 1)],
        _ => support::whole(),
    });
    for key in 0..60 {
        assert!(entry.chat(&chat(key)).contains("200 OK"));
    }
    assert!(entry.attempts().len() < 60 + 10, "{}", entry.attempts().len());
}

#[test]
fn retries_do_not_multiply_a_mass_refusal() {
    let requests = 100;
    let entry = Entry::start(|_, _| vec![support::refused(Reason::Queue, Ran::No, 3)]);
    for key in 0..requests {
        let session = entry.chat(&chat(key));
        assert!(session.contains("problem:queue"), "{session}");
    }
    // A fifth of the requests, as `retry_percent` allows, and the ten that the budget
    // starts with.
    assert!(entry.attempts().len() <= requests + requests / 5 + 10);
}

#[test]
fn chats_without_a_key_are_distinguished_by_their_leading_messages() {
    let entry = Entry::start(|_, _| support::whole());
    let send = |messages: &str| {
        entry.chat(&format!(r#"{{"model":"briefs","messages":[{messages}]}}"#));
    };
    let first = r#"{"role":"system","content":"Be brief"},{"role":"user","content":"One"}"#;
    send(first);
    send(&format!(
        r#"{first},{{"role":"assistant","content":"1"}},{{"role":"user","content":"2"}}"#
    ));
    send(r#"{"role":"system","content":"Be brief"},{"role":"user","content":"Two"}"#);
    let chats: Vec<u64> = entry.attempts().iter().map(chat_of).collect();
    assert_eq!(chats[0], chats[1]);
    assert_eq!(chats.iter().collect::<BTreeSet<_>>().len(), 2);
}

fn chat_of(attempt: &Attempt) -> u64 {
    match &attempt.work {
        wire::Work::Chat(chat) => chat.chat,
        wire::Work::Call(_) => 0,
    }
}

#[test]
fn a_stream_cut_before_its_first_token_is_retried() {
    let cut = Step::Fault(Fault::Disconnected("reset".into()));
    let entry = Entry::start(move |_, attempt| match attempt.attempt {
        0 => vec![support::accepted(), support::head(200, ""), cut.clone()],
        _ => support::whole(),
    });
    let session = entry.chat(&chat(1).replace("\"messages\"", "\"stream\":true,\"messages\""));
    assert!(session.ends_with("data: [DONE]\n\n"), "{session}");
    assert_eq!(entry.attempts().len(), 2);
}

#[test]
fn an_answer_with_frames_out_of_sequence_is_not_relayed() {
    let entry = Entry::start(|_, attempt| match attempt.attempt {
        // The data frame in place of the head breaks the sequence.
        0 => vec![support::accepted(), support::word("crossed")],
        _ => support::whole(),
    });
    let session = entry.chat(&chat(1));
    assert!(session.contains("Good morning") && !session.contains("crossed"), "{session}");
}
