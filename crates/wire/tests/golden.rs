//! Golden tests of the bytes of every message between entries and agents.
//!
//! A change of these bytes changes the protocol, and during an upgrade processes of
//! two releases must understand each other.

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use expect_test::Expect;
use expect_test::expect;

use wire::Attempt;
use wire::Cancel;
use wire::Cost;
use wire::Frame;
use wire::Load;
use wire::Mean;
use wire::Notes;
use wire::Refusal;
use wire::Resume;
use wire::Stamp;
use wire::Work;
use wire::codec;
use wire::frame::Head;
use wire::frame::Payload;
use wire::frame::Report;
use wire::frame::Usage;
use wire::notes::Note;
use wire::refusal::Ran;
use wire::refusal::Reason;
use wire::work::Call;
use wire::work::Chat;

/// Compares a hex dump of the bytes with the expected one.
fn check(bytes: &[u8], expected: Expect) {
    let mut text = String::new();
    for line in bytes.chunks(16) {
        for byte in line {
            write!(text, "{byte:02x} ").expect("writing to a string never fails");
        }
        let printable = |byte: &u8| if byte.is_ascii_graphic() { char::from(*byte) } else { '.' };
        writeln!(text, "|{}", line.iter().map(printable).collect::<String>()).expect("as above");
    }
    expected.assert_eq(&text);
}

fn stamp() -> Stamp {
    Stamp { vm: "e1".to_owned(), incarnation: 1_700_000_000_000, revision: 7 }
}

fn attempt(work: Work) -> Attempt {
    Attempt {
        stamp: stamp(),
        request: 0x0102,
        attempt: 1,
        account: "school".to_owned(),
        service: "briefs".to_owned(),
        deadline: Duration::from_millis(370),
        cost: Cost { prompt: 300, output: 64 },
        mean: Some(Mean { per_slot: 0.5, weight: 2.0, age: Duration::from_secs(1) }),
        home: Some("a1".to_owned()),
        redirect: true,
        work,
        resume: Some(Resume { handle: "c-1".to_owned(), after: Some(9) }),
    }
}

fn frame(payload: Payload) -> Frame {
    Frame { request: 0x0102, attempt: 1, owner: 5, sequence: 2, payload }
}

fn report() -> Report {
    Report { stamp: stamp(), load: Load { running: 3, waiting: 1, slots: 8, tokens: 900 } }
}

#[test]
fn an_attempt_of_a_chat() {
    let chat = Chat { model: "m".to_owned(), chat: 77, body: "{}".to_owned() };
    let attempt = attempt(Work::Chat(chat));
    let bytes = codec::encode_attempt(&attempt);
    assert_eq!(codec::decode_attempt(&bytes), Ok(attempt));
    check(
        &bytes,
        expect![[r#"
            8c a5 73 74 61 6d 70 83 a2 76 6d a2 65 31 ab 69 |..stamp..vm.e1.i
            6e 63 61 72 6e 61 74 69 6f 6e cf 00 00 01 8b cf |ncarnation......
            e5 68 00 a8 72 65 76 69 73 69 6f 6e 07 a7 72 65 |.h..revision..re
            71 75 65 73 74 c4 10 00 00 00 00 00 00 00 00 00 |quest...........
            00 00 00 00 00 01 02 a7 61 74 74 65 6d 70 74 01 |........attempt.
            a7 61 63 63 6f 75 6e 74 a6 73 63 68 6f 6f 6c a7 |.account.school.
            73 65 72 76 69 63 65 a6 62 72 69 65 66 73 a8 64 |service.briefs.d
            65 61 64 6c 69 6e 65 82 a4 73 65 63 73 00 a5 6e |eadline..secs..n
            61 6e 6f 73 ce 16 0d c0 80 a4 63 6f 73 74 82 a6 |anos......cost..
            70 72 6f 6d 70 74 cd 01 2c a6 6f 75 74 70 75 74 |prompt..,.output
            40 a4 6d 65 61 6e 83 a8 70 65 72 5f 73 6c 6f 74 |@.mean..per_slot
            ca 3f 00 00 00 a6 77 65 69 67 68 74 ca 40 00 00 |.?....weight.@..
            00 a3 61 67 65 82 a4 73 65 63 73 01 a5 6e 61 6e |..age..secs..nan
            6f 73 00 a4 68 6f 6d 65 a2 61 31 a8 72 65 64 69 |os..home.a1.redi
            72 65 63 74 c3 a4 77 6f 72 6b 81 a4 43 68 61 74 |rect..work..Chat
            83 a5 6d 6f 64 65 6c a1 6d a4 63 68 61 74 4d a4 |..model.m.chatM.
            62 6f 64 79 a2 7b 7d a6 72 65 73 75 6d 65 82 a6 |body.{}.resume..
            68 61 6e 64 6c 65 a3 63 2d 31 a5 61 66 74 65 72 |handle.c-1.after
            09 |.
        "#]],
    );
}

#[test]
fn an_attempt_of_a_call() {
    let call = Call {
        pool: "registry".to_owned(),
        method: "POST".to_owned(),
        path: "/rounds".to_owned(),
        content_type: None,
        body: b"{}".to_vec(),
        key: Some("k".to_owned()),
    };
    let attempt = attempt(Work::Call(call));
    let bytes = codec::encode_attempt(&attempt);
    assert_eq!(codec::decode_attempt(&bytes), Ok(attempt));
    check(
        &bytes,
        expect![[r#"
            8c a5 73 74 61 6d 70 83 a2 76 6d a2 65 31 ab 69 |..stamp..vm.e1.i
            6e 63 61 72 6e 61 74 69 6f 6e cf 00 00 01 8b cf |ncarnation......
            e5 68 00 a8 72 65 76 69 73 69 6f 6e 07 a7 72 65 |.h..revision..re
            71 75 65 73 74 c4 10 00 00 00 00 00 00 00 00 00 |quest...........
            00 00 00 00 00 01 02 a7 61 74 74 65 6d 70 74 01 |........attempt.
            a7 61 63 63 6f 75 6e 74 a6 73 63 68 6f 6f 6c a7 |.account.school.
            73 65 72 76 69 63 65 a6 62 72 69 65 66 73 a8 64 |service.briefs.d
            65 61 64 6c 69 6e 65 82 a4 73 65 63 73 00 a5 6e |eadline..secs..n
            61 6e 6f 73 ce 16 0d c0 80 a4 63 6f 73 74 82 a6 |anos......cost..
            70 72 6f 6d 70 74 cd 01 2c a6 6f 75 74 70 75 74 |prompt..,.output
            40 a4 6d 65 61 6e 83 a8 70 65 72 5f 73 6c 6f 74 |@.mean..per_slot
            ca 3f 00 00 00 a6 77 65 69 67 68 74 ca 40 00 00 |.?....weight.@..
            00 a3 61 67 65 82 a4 73 65 63 73 01 a5 6e 61 6e |..age..secs..nan
            6f 73 00 a4 68 6f 6d 65 a2 61 31 a8 72 65 64 69 |os..home.a1.redi
            72 65 63 74 c3 a4 77 6f 72 6b 81 a4 43 61 6c 6c |rect..work..Call
            86 a4 70 6f 6f 6c a8 72 65 67 69 73 74 72 79 a6 |..pool.registry.
            6d 65 74 68 6f 64 a4 50 4f 53 54 a4 70 61 74 68 |method.POST.path
            a7 2f 72 6f 75 6e 64 73 ac 63 6f 6e 74 65 6e 74 |./rounds.content
            5f 74 79 70 65 c0 a4 62 6f 64 79 c4 02 7b 7d a3 |_type..body..{}.
            6b 65 79 a1 6b a6 72 65 73 75 6d 65 82 a6 68 61 |key.k.resume..ha
            6e 64 6c 65 a3 63 2d 31 a5 61 66 74 65 72 09 |ndle.c-1.after.
        "#]],
    );
}

#[test]
fn notes_and_a_cancel() {
    let note = Note { chat: 77, engine: "a2".to_owned() };
    let notes = Notes { stamp: stamp(), notes: vec![note] };
    let bytes = codec::encode_notes(&notes);
    assert_eq!(codec::decode_notes(&bytes), Ok(notes));
    check(
        &bytes,
        expect![[r#"
            82 a5 73 74 61 6d 70 83 a2 76 6d a2 65 31 ab 69 |..stamp..vm.e1.i
            6e 63 61 72 6e 61 74 69 6f 6e cf 00 00 01 8b cf |ncarnation......
            e5 68 00 a8 72 65 76 69 73 69 6f 6e 07 a5 6e 6f |.h..revision..no
            74 65 73 91 82 a4 63 68 61 74 4d a6 65 6e 67 69 |tes...chatM.engi
            6e 65 a2 61 32 |ne.a2
        "#]],
    );

    let cancel = Cancel { stamp: stamp(), request: 0x0102, attempt: 1 };
    let bytes = codec::encode_cancel(&cancel);
    assert_eq!(codec::decode_cancel(&bytes), Ok(cancel));
    check(
        &bytes,
        expect![[r#"
            83 a5 73 74 61 6d 70 83 a2 76 6d a2 65 31 ab 69 |..stamp..vm.e1.i
            6e 63 61 72 6e 61 74 69 6f 6e cf 00 00 01 8b cf |ncarnation......
            e5 68 00 a8 72 65 76 69 73 69 6f 6e 07 a7 72 65 |.h..revision..re
            71 75 65 73 74 c4 10 00 00 00 00 00 00 00 00 00 |quest...........
            00 00 00 00 00 01 02 a7 61 74 74 65 6d 70 74 01 |........attempt.
        "#]],
    );
}

#[test]
fn the_frames_of_an_answer() {
    let handle = Some("c-1".to_owned());
    let head = Head { status: 200, content_type: None, replayed: false, handle };
    let payloads = [
        Payload::Accepted(report()),
        Payload::Head(head),
        Payload::Data(Bytes::from_static(b"token")),
        Payload::End(Usage { prompt: 300, cached: 256, output: 64 }),
    ];
    let bytes: Vec<u8> =
        payloads.into_iter().flat_map(|payload| codec::encode_frame(&frame(payload))).collect();
    check(
        &bytes,
        expect![[r#"
            00 00 00 76 95 c4 10 00 00 00 00 00 00 00 00 00 |...v............
            00 00 00 00 00 01 02 01 05 02 81 a8 41 63 63 65 |............Acce
            70 74 65 64 82 a5 73 74 61 6d 70 83 a2 76 6d a2 |pted..stamp..vm.
            65 31 ab 69 6e 63 61 72 6e 61 74 69 6f 6e cf 00 |e1.incarnation..
            00 01 8b cf e5 68 00 a8 72 65 76 69 73 69 6f 6e |.....h..revision
            07 a4 6c 6f 61 64 84 a7 72 75 6e 6e 69 6e 67 03 |..load..running.
            a7 77 61 69 74 69 6e 67 01 a5 73 6c 6f 74 73 08 |.waiting..slots.
            a6 74 6f 6b 65 6e 73 cd 03 84 00 00 00 49 95 c4 |.tokens......I..
            10 00 00 00 00 00 00 00 00 00 00 00 00 00 00 01 |................
            02 01 05 02 81 a4 48 65 61 64 84 a6 73 74 61 74 |......Head..stat
            75 73 cc c8 ac 63 6f 6e 74 65 6e 74 5f 74 79 70 |us...content_typ
            65 c0 a8 72 65 70 6c 61 79 65 64 c2 a6 68 61 6e |e..replayed..han
            64 6c 65 a3 63 2d 31 00 00 00 23 95 c4 10 00 00 |dle.c-1...#.....
            00 00 00 00 00 00 00 00 00 00 00 00 01 02 01 05 |................
            02 81 a4 44 61 74 61 c4 05 74 6f 6b 65 6e 00 00 |...Data..token..
            00 38 95 c4 10 00 00 00 00 00 00 00 00 00 00 00 |.8..............
            00 00 00 01 02 01 05 02 81 a3 45 6e 64 83 a6 70 |..........End..p
            72 6f 6d 70 74 cd 01 2c a6 63 61 63 68 65 64 cd |rompt..,.cached.
            01 00 a6 6f 75 74 70 75 74 40 |...output@
        "#]],
    );
}

#[test]
fn a_refusal() {
    let refusal = Refusal {
        reason: Reason::Moved,
        ran: Ran::No,
        retry_after: Duration::from_millis(200),
        hint: Some("a2".to_owned()),
    };
    check(
        &codec::encode_frame(&frame(Payload::Refused(refusal, report()))),
        expect![[r#"
            00 00 00 b1 95 c4 10 00 00 00 00 00 00 00 00 00 |................
            00 00 00 00 00 01 02 01 05 02 81 a7 52 65 66 75 |............Refu
            73 65 64 92 84 a6 72 65 61 73 6f 6e a5 6d 6f 76 |sed...reason.mov
            65 64 a3 72 61 6e a2 6e 6f ab 72 65 74 72 79 5f |ed.ran.no.retry_
            61 66 74 65 72 82 a4 73 65 63 73 00 a5 6e 61 6e |after..secs..nan
            6f 73 ce 0b eb c2 00 a4 68 69 6e 74 a2 61 32 82 |os......hint.a2.
            a5 73 74 61 6d 70 83 a2 76 6d a2 65 31 ab 69 6e |.stamp..vm.e1.in
            63 61 72 6e 61 74 69 6f 6e cf 00 00 01 8b cf e5 |carnation.......
            68 00 a8 72 65 76 69 73 69 6f 6e 07 a4 6c 6f 61 |h..revision..loa
            64 84 a7 72 75 6e 6e 69 6e 67 03 a7 77 61 69 74 |d..running..wait
            69 6e 67 01 a5 73 6c 6f 74 73 08 a6 74 6f 6b 65 |ing..slots..toke
            6e 73 cd 03 84 |ns...
        "#]],
    );
}

#[test]
fn truncated_messages_are_errors() {
    let chat = Chat { model: "m".to_owned(), chat: 77, body: "{}".to_owned() };
    let bytes = codec::encode_attempt(&attempt(Work::Chat(chat)));
    for length in 0..bytes.len() {
        assert_eq!(codec::decode_attempt(&bytes[..length]), Err(codec::Error::Malformed));
    }
}
