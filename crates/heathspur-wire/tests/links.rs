//! The interpreter's messages and the store's lines: shapes, limits, splits and nonsense.

use heathspur_wire::interpreter::{self, Command, End, Notice, Warmth};
use heathspur_wire::store::{self, Word};

fn written(command: Command<'_>) -> String {
    let mut out = Vec::new();
    interpreter::write(&mut out, command);
    String::from_utf8(out).unwrap()
}

#[test]
fn commands_are_written_as_the_page_has_them() {
    for (command, line) in [
        (Command::Connect(17), r#"{"verb":"CONNECT","index":17}"#),
        (
            Command::Apply {
                task: "9b1f",
                class: "look",
                body: b"\0\xff\n",
            },
            r#"{"verb":"APPLY","task":"9b1f","handler":"look","bytes":"AP8K"}"#,
        ),
        (Command::Break("9b1f"), r#"{"verb":"BREAK","task":"9b1f"}"#),
        (
            Command::Continue("9b1f"),
            r#"{"verb":"CONTINUE","task":"9b1f"}"#,
        ),
        (
            Command::Resolve {
                task: "9b1f",
                body: b"",
            },
            r#"{"verb":"RESOLVE","task":"9b1f","bytes":""}"#,
        ),
        (
            Command::Stub {
                task: "9b1f",
                index: 3,
            },
            r#"{"verb":"STUB","task":"9b1f","index":3}"#,
        ),
        (Command::Top(9), r#"{"verb":"TOP","nonce":"9"}"#),
        (
            Command::Apply {
                task: "a\"b",
                class: "c\\d",
                body: b"x",
            },
            r#"{"verb":"APPLY","task":"a\"b","handler":"c\\d","bytes":"eA=="}"#,
        ),
    ] {
        assert_eq!(written(command), format!("{line}\n"));
    }
}

#[test]
fn notices_are_read_as_the_page_has_them() {
    let read = |line: &'static str| interpreter::read(line.as_bytes()).unwrap();
    assert_eq!(
        read(r#"{"verb":"BANNER","outcome":"chilly","spent":12}"#),
        Notice::Banner {
            warmth: Warmth::Cold,
            ago_ms: 12.0
        }
    );
    assert_eq!(
        read(
            r#"{"verb":"VALUE","index":4,"task":"9b1f","outcome":"complete","spent":1.5,"bytes":"AP8K","new":[1]}"#
        ),
        Notice::Value {
            index: 4,
            task: "9b1f".into(),
            end: End::Complete,
            body: b"\0\xff\n".to_vec()
        }
    );
    for (word, end) in [
        ("error", End::Error),
        ("cancelled", End::Cancelled),
        ("unknown", End::Unknown),
    ] {
        let line =
            format!(r#"{{"verb":"VALUE","index":4,"task":"9","outcome":"{word}","spent":1}}"#);
        let expected = Notice::Value {
            index: 4,
            task: "9".into(),
            end,
            body: Vec::new(),
        };
        assert_eq!(interpreter::read(line.as_bytes()), Ok(expected));
    }
    assert_eq!(
        read(r#"{"verb":"AWAIT","index":5,"task":"9b1f","bytes":"eA=="}"#),
        Notice::Await {
            index: 5,
            task: "9b1f".into(),
            body: b"x".to_vec()
        }
    );
    assert_eq!(
        read(r#"{"verb":"TOPS","nonce":"7","readings":[0.5,3,0.25,40]}"#),
        Notice::Tops {
            nonce: "7".into(),
            readings: vec![0.5, 3.0, 0.25, 40.0]
        }
    );
    assert_eq!(
        read(r#"{"verb":"ERROR","outcome":"APPLY","task":"9b1f"}"#),
        Notice::Refused {
            command: "APPLY".into(),
            task: "9b1f".into()
        }
    );
    assert_eq!(
        read(r#"{"verb":"TRACE","index":6,"outcome":"\u00e4\n"}"#),
        Notice::Trace { index: 6 }
    );
}

#[test]
fn notices_that_make_no_sense_are_told_apart_from_those_that_do() {
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
        assert!(interpreter::read(line.as_bytes()).is_err(), "{line}");
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
        let _ = interpreter::read(&bytes);
        let _ = store::read(&bytes);
    }
}

const REPLIES: &[u8] =
    b"9b1f OK 4\r\n\r\n\0x\r\n77 BUSY\r\na ERR\r\nb LATE\r\nc VOID\r\nd OK 0\r\n\r\n";

#[test]
fn replies_come_out_alike_however_they_are_split() {
    for split in 0..=REPLIES.len() {
        let (mut held, mut found) = (Vec::new(), Vec::new());
        for part in [&REPLIES[..split], &REPLIES[split..]] {
            held.extend_from_slice(part);
            while let Some(r) = store::read(&held).unwrap() {
                found.push((
                    held[r.id.clone()].to_vec(),
                    r.word,
                    held[r.body.clone()].to_vec(),
                ));
                held.drain(..r.end);
            }
        }
        assert!(held.is_empty(), "split at {split}");
        let none = Vec::new;
        assert_eq!(
            found,
            vec![
                (b"9b1f".to_vec(), Word::Ok, b"\r\n\0x".to_vec()),
                (b"77".to_vec(), Word::Busy, none()),
                (b"a".to_vec(), Word::Failed, none()),
                (b"b".to_vec(), Word::Late, none()),
                (b"c".to_vec(), Word::Void, none()),
                (b"d".to_vec(), Word::Ok, none()),
            ]
        );
    }
}

#[test]
fn replies_that_make_no_sense_end_the_link() {
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
        assert!(store::read(bad.as_bytes()).is_err(), "{bad:?}");
    }
    assert_eq!(store::read(&[b'a'; store::LINE - 1]), Ok(None));
    assert!(store::read(&[b'a'; store::LINE]).is_err());
}

#[test]
fn calls_are_written_as_the_page_has_them() {
    let mut out = Vec::new();
    store::write_call(&mut out, "9b1f", 250, b"\r\n\0");
    store::write_drop(&mut out, "9b1f");
    assert_eq!(out, b"CALL 9b1f 250 3\r\n\r\n\0\r\nDROP 9b1f\r\n");
}
