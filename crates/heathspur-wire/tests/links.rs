//! Tests of the interpreter's messages and the store's lines: format, limits, partial reads and invalid input.

use heathspur_wire::interpreter::{self, Command, Notice, RejectedCommand, RunOutcome, Warmth};
use heathspur_wire::store::{self, CallStatus};

fn command_line(command: Command<'_>) -> String {
    let mut out = Vec::new();
    interpreter::write_command(&mut out, command);
    String::from_utf8(out).unwrap()
}

#[test]
fn commands_are_written_in_protocol_format() {
    for (command, line) in [
        (Command::Connect(17), r#"{"verb":"CONNECT","index":17}"#),
        (
            Command::Run {
                request_id: "9b1f",
                class: "look",
                body: b"\0\xff\n",
            },
            r#"{"verb":"APPLY","task":"9b1f","handler":"look","bytes":"AP8K"}"#,
        ),
        (Command::Stop("9b1f"), r#"{"verb":"BREAK","task":"9b1f"}"#),
        (
            Command::Resume("9b1f"),
            r#"{"verb":"CONTINUE","task":"9b1f"}"#,
        ),
        (
            Command::CompleteCall {
                request_id: "9b1f",
                body: b"",
            },
            r#"{"verb":"RESOLVE","task":"9b1f","bytes":""}"#,
        ),
        (
            Command::SkipCall {
                request_id: "9b1f",
                index: 3,
            },
            r#"{"verb":"STUB","task":"9b1f","index":3}"#,
        ),
        (Command::QueryGauges(9), r#"{"verb":"TOP","nonce":"9"}"#),
        (
            Command::Run {
                request_id: "a\"b",
                class: "c\\d",
                body: b"x",
            },
            r#"{"verb":"APPLY","task":"a\"b","handler":"c\\d","bytes":"eA=="}"#,
        ),
    ] {
        assert_eq!(command_line(command), format!("{line}\n"));
    }
}

#[test]
fn notices_are_parsed_from_protocol_format() {
    let read = |line: &'static str| interpreter::parse_notice(line.as_bytes()).unwrap();
    assert_eq!(
        read(r#"{"verb":"BANNER","outcome":"chilly","spent":12}"#),
        Notice::Connected {
            warmth: Warmth::Cold,
            uptime_ms: 12.0
        }
    );
    assert_eq!(
        read(
            r#"{"verb":"VALUE","index":4,"task":"9b1f","outcome":"complete","spent":1.5,"bytes":"AP8K","new":[1]}"#
        ),
        Notice::RunCompleted {
            index: 4,
            request_id: "9b1f".into(),
            outcome: RunOutcome::Succeeded,
            body: b"\0\xff\n".to_vec()
        }
    );
    for (word, outcome) in [
        ("error", RunOutcome::Failed),
        ("cancelled", RunOutcome::Cancelled),
        ("unknown", RunOutcome::NotStarted),
    ] {
        let line =
            format!(r#"{{"verb":"VALUE","index":4,"task":"9","outcome":"{word}","spent":1}}"#);
        let expected = Notice::RunCompleted {
            index: 4,
            request_id: "9".into(),
            outcome,
            body: Vec::new(),
        };
        assert_eq!(
            interpreter::parse_notice(line.as_bytes()).unwrap(),
            expected
        );
    }
    assert_eq!(
        read(r#"{"verb":"AWAIT","index":5,"task":"9b1f","bytes":"eA=="}"#),
        Notice::CallNeeded {
            index: 5,
            request_id: "9b1f".into(),
            body: b"x".to_vec()
        }
    );
    assert_eq!(
        read(r#"{"verb":"TOPS","nonce":"7","readings":[0.5,3,0.25,40]}"#),
        Notice::Gauges {
            nonce: "7".into(),
            readings: vec![0.5, 3.0, 0.25, 40.0]
        }
    );
    for (line, command) in [
        (
            r#"{"verb":"ERROR","outcome":"APPLY","task":"9b1f"}"#,
            RejectedCommand::Run,
        ),
        (
            r#"{"verb":"ERROR","outcome":"TOP","task":"9b1f"}"#,
            RejectedCommand::QueryGauges,
        ),
        (
            r#"{"verb":"ERROR","outcome":"BREAK","task":"9b1f"}"#,
            RejectedCommand::Other("BREAK".into()),
        ),
    ] {
        assert!(line.contains(command.verb()));
        assert_eq!(
            read(line),
            Notice::CommandRejected {
                command,
                request_id: "9b1f".into()
            }
        );
    }
    assert_eq!(
        read(r#"{"verb":"TRACE","index":6,"outcome":"\u00e4\n"}"#),
        Notice::Log { index: 6 }
    );
}

#[test]
fn invalid_notices_are_rejected() {
    for line in [
        "",
        "nonsense",
        "[]",
        "{}",
        r#"{"verb":"VALUE"}"#,
        r#"{"verb":"VALUE","index":-1,"task":"9","outcome":"complete"}"#,
        r#"{"verb":"VALUE","index":1,"task":"9","outcome":"done"}"#,
        r#"{"verb":"VALUE","index":1,"task":"9","outcome":"complete","bytes":"*"}"#,
        r#"{"verb":"AWAIT","index":1}"#,
        r#"{"verb":"BANNER","outcome":"lukewarm"}"#,
        r#"{"verb":"TOPS","readings":[]}"#,
        r#"{"verb":"OTHER","index":1}"#,
        r#"{"verb":"TRACE"}"#,
    ] {
        assert!(
            interpreter::parse_notice(line.as_bytes()).is_err(),
            "{line}"
        );
    }
}

#[test]
fn random_lines_never_panic() {
    let line = br#"{"verb":"VALUE","index":4,"task":"9b1f","outcome":"complete","spent":1.5,"bytes":"AP8K"}"#;
    let mut state = 11u64;
    for _ in 0..50_000 {
        let mut bytes = line.to_vec();
        for _ in 0..3 {
            state = state
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let at = (state >> 33) as usize % bytes.len();
            bytes[at] = (state >> 20) as u8;
        }
        let _ = interpreter::parse_notice(&bytes);
        let _ = store::parse_reply(&bytes);
    }
}

const REPLIES: &[u8] =
    b"9b1f OK 4\r\n\r\n\0x\r\n77 BUSY\r\na ERR\r\nb LATE\r\nc VOID\r\nd OK 0\r\n\r\n";

#[test]
fn replies_split_anywhere_are_parsed_completely() {
    for split in 0..=REPLIES.len() {
        let (mut buffer, mut found) = (Vec::new(), Vec::new());
        for part in [&REPLIES[..split], &REPLIES[split..]] {
            buffer.extend_from_slice(part);
            while let Some(reply) = store::parse_reply(&buffer).unwrap() {
                found.push((
                    buffer[reply.request_id.clone()].to_vec(),
                    reply.status,
                    buffer[reply.body.clone()].to_vec(),
                ));
                buffer.drain(..reply.end);
            }
        }
        assert!(buffer.is_empty(), "split at {split}");
        let no_body = Vec::new;
        assert_eq!(
            found,
            vec![
                (b"9b1f".to_vec(), CallStatus::Ok, b"\r\n\0x".to_vec()),
                (b"77".to_vec(), CallStatus::Rejected, no_body()),
                (b"a".to_vec(), CallStatus::Failed, no_body()),
                (b"b".to_vec(), CallStatus::TimedOut, no_body()),
                (b"c".to_vec(), CallStatus::NoRun, no_body()),
                (b"d".to_vec(), CallStatus::Ok, no_body()),
            ]
        );
    }
}

#[test]
fn invalid_replies_are_rejected() {
    for bad in [
        "\r\n",
        "a\r\n",
        "a YES\r\n",
        "a OK\r\n",
        "a BUSY 3\r\n",
        "a OK x\r\n",
        "a OK 4 5\r\n",
        "a OK 1\r\nxyz",
        "a OK 99999999\r\n",
        " OK 1\r\n",
    ] {
        assert!(store::parse_reply(bad.as_bytes()).is_err(), "{bad:?}");
    }
    assert_eq!(
        store::parse_reply(&[b'a'; store::MAX_LINE_BYTES - 1]),
        Ok(None)
    );
    assert!(store::parse_reply(&[b'a'; store::MAX_LINE_BYTES]).is_err());
}

#[test]
fn calls_are_written_in_protocol_format() {
    let mut out = Vec::new();
    store::write_call(&mut out, "9b1f", 250, b"\r\n\0");
    store::write_cancel(&mut out, "9b1f");
    assert_eq!(out, b"CALL 9b1f 250 3\r\n\r\n\0\r\nDROP 9b1f\r\n");
}
