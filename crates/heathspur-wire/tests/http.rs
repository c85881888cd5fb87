//! Tests of HTTP/1.1 messages: split at every position, at their limits, and invalid.

use heathspur_wire::http::*;

const LIMITS: Limits = Limits {
    head: 512,
    body: 64,
};

fn read(bytes: &[u8]) -> Result<Option<Message>, Error> {
    Reader::new(LIMITS).read(bytes)
}

fn error(bytes: &[u8]) -> Error {
    read(bytes).unwrap_err()
}

const TWO_REQUESTS: &[u8] =
    b"POST /svc/look HTTP/1.1\r\nHost: x\r\ncontent-LENGTH: 5\r\nX-Txn:  a b \r\n\r\nab\r\nc\
    GET /status/live HTTP/1.1\r\n\r\n";

#[test]
fn pipelined_requests_split_anywhere_are_read_completely() {
    for split in 1..TWO_REQUESTS.len() {
        let (mut reader, mut buffer, mut found) = (Reader::new(LIMITS), Vec::new(), Vec::new());
        for part in [&TWO_REQUESTS[..split], &TWO_REQUESTS[split..]] {
            buffer.extend_from_slice(part);
            while let Some(message) = reader.read(&buffer).unwrap() {
                let fields: Vec<_> = Fields::over(&buffer[message.fields.clone()])
                    .map(|field| {
                        field
                            .map(|(name, value)| (name.to_ascii_lowercase(), value.to_vec()))
                            .unwrap()
                    })
                    .collect();
                found.push((
                    buffer[message.start_line.clone()].to_vec(),
                    fields,
                    buffer[message.body.clone()].to_vec(),
                ));
                buffer.drain(..message.body.end);
            }
        }
        assert!(buffer.is_empty(), "split at {split}");
        assert_eq!(found.len(), 2, "split at {split}");
        assert_eq!(
            request_line(&found[0].0),
            Ok((&b"POST"[..], &b"/svc/look"[..]))
        );
        assert_eq!(found[0].1[1], (b"content-length".to_vec(), b"5".to_vec()));
        assert_eq!(found[0].1[2], (b"x-txn".to_vec(), b"a b".to_vec()));
        assert_eq!(found[0].2, b"ab\r\nc");
        assert_eq!(
            request_line(&found[1].0),
            Ok((&b"GET"[..], &b"/status/live"[..]))
        );
        assert!(found[1].2.is_empty());
    }
}

#[test]
fn pipelined_requests_fed_byte_by_byte_are_read_completely() {
    let (mut reader, mut buffer, mut count) = (Reader::new(LIMITS), Vec::new(), 0);
    for &byte in TWO_REQUESTS {
        buffer.push(byte);
        if let Some(message) = reader.read(&buffer).unwrap() {
            buffer.drain(..message.body.end);
            count += 1;
        }
    }
    assert_eq!((count, buffer.len()), (2, 0));
}

#[test]
fn head_at_limit_is_accepted_and_larger_head_is_rejected() {
    let head = |size: usize| {
        let start = "GET / HTTP/1.1\r\nA: ";
        format!("{start}{}\r\n\r\n", "x".repeat(size - start.len() - 4)).into_bytes()
    };
    assert!(read(&head(512)).unwrap().is_some());
    assert_eq!(error(&head(513)), Error::HeadTooLarge);
    assert_eq!(error(&[b'a'; 512]), Error::HeadTooLarge);
    assert_eq!(read(&[b'a'; 511]), Ok(None));
    assert_eq!(Error::HeadTooLarge.status(), 431);
}

#[test]
fn body_at_limit_is_accepted_and_larger_body_is_rejected() {
    let request_with_body = |length: usize| {
        format!(
            "POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{}",
            "b".repeat(length)
        )
        .into_bytes()
    };
    let at_limit = read(&request_with_body(64)).unwrap().unwrap();
    assert_eq!(at_limit.body.len(), 64);
    assert_eq!(error(&request_with_body(65)), Error::BodyTooLarge);
    assert_eq!(Error::BodyTooLarge.status(), 413);
}

#[test]
fn invalid_or_repeated_content_length_is_rejected() {
    for bad in [
        "x",
        "-1",
        "+1",
        "1 1",
        "",
        "0x1",
        "99999999999999999999999",
        "1,1",
    ] {
        let text = format!("POST / HTTP/1.1\r\nContent-Length: {bad}\r\n\r\n");
        assert_eq!(error(text.as_bytes()), Error::InvalidLength, "{bad:?}");
    }
    let twice = b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-length: 1\r\n\r\nx";
    assert_eq!(error(twice), Error::InvalidLength);
}

#[test]
fn transfer_codings_and_malformed_fields_are_rejected() {
    assert_eq!(
        error(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        Error::UnsupportedTransferCoding
    );
    for bad in [
        "no colon",
        " folded: x",
        ": empty",
        "sp ace: x",
        "a: b\u{1}c",
        "a: bare\nb: x",
    ] {
        let text = format!("GET / HTTP/1.1\r\n{bad}\r\n\r\n");
        assert_eq!(error(text.as_bytes()), Error::Malformed, "{bad:?}");
    }
}

#[test]
fn malformed_start_lines_are_rejected() {
    for bad in [
        "GET / HTTP/1.0",
        "GET  / HTTP/1.1",
        "GET /",
        "",
        "G@T / HTTP/1.1",
        "GET /\u{e4} HTTP/1.1",
        "GET / HTTP/1.1 ",
    ] {
        assert_eq!(
            request_line(bad.as_bytes()),
            Err(Error::Malformed),
            "{bad:?}"
        );
    }
    assert_eq!(status_line(b"HTTP/1.1 204 No Content"), Ok(204));
    assert_eq!(status_line(b"HTTP/1.1 204"), Ok(204));
    for bad in [
        "HTTP/1.0 204 x",
        "HTTP/1.1 2",
        "HTTP/1.1 2045",
        "HTTP/1.1 abc",
        "",
    ] {
        assert_eq!(
            status_line(bad.as_bytes()),
            Err(Error::Malformed),
            "{bad:?}"
        );
    }
}

#[test]
fn close_option_is_found_among_other_options() {
    assert!(has_close_option(Fields::over(
        b"connection: Keep-Alive , CLOSE\r\n"
    )));
    assert!(!has_close_option(Fields::over(
        b"connection: keep-alive\r\nx-close: close\r\n"
    )));
}

#[test]
fn written_messages_are_read_back() {
    let mut out = Vec::new();
    write_response(
        &mut out,
        503,
        &[("X-Throttle-Ms", 250.0), ("X-Capacity", 0.125)],
        ConnectionOption::Close,
        b"\0\xff",
    );
    let response = read(&out).unwrap().unwrap();
    assert_eq!(status_line(&out[response.start_line.clone()]), Ok(503));
    let fields = Fields::over(&out[response.fields.clone()]);
    assert!(has_close_option(fields.clone()));
    assert!(fields
        .clone()
        .any(|field| field == Ok((b"X-Throttle-Ms", b"250"))));
    assert!(fields
        .clone()
        .any(|field| field == Ok((b"X-Capacity", b"0.125"))));
    assert_eq!(
        (&out[response.body.clone()], response.body.end),
        (&b"\0\xff"[..], out.len())
    );
    out.clear();
    write_request(
        &mut out,
        "PUT",
        "/announce/n3",
        "host",
        br#"{"accepting":"true"}"#,
    );
    let request = read(&out).unwrap().unwrap();
    assert_eq!(
        request_line(&out[request.start_line]),
        Ok((&b"PUT"[..], &b"/announce/n3"[..]))
    );
    assert_eq!(request.body.len(), 20);
}

#[test]
fn random_bytes_never_panic_or_exceed_limits() {
    let tokens: [&[u8]; 12] = [
        b"POST ",
        b"/svc/x ",
        b"HTTP/1.1",
        b"\r\n",
        b"\r\n\r\n",
        b"Content-Length:",
        b"5",
        b" ",
        b":",
        b"\n",
        b"\xff",
        b"a",
    ];
    let mut state = 7u64;
    let mut next_random = move || {
        state = state
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (state >> 33) as usize
    };
    for _ in 0..20_000 {
        let (mut reader, mut buffer) = (Reader::new(LIMITS), Vec::new());
        for _ in 0..next_random() % 40 {
            buffer.extend_from_slice(tokens[next_random() % tokens.len()]);
            match reader.read(&buffer) {
                Err(_) => break,
                Ok(None) => assert!(buffer.len() < LIMITS.head + LIMITS.body),
                Ok(Some(message)) => {
                    assert!(message.body.end <= buffer.len());
                    let _ = request_line(&buffer[message.start_line.clone()]);
                    let mut fields = Fields::over(&buffer[message.fields.clone()]);
                    assert!(fields.all(|field| field.is_ok()));
                    buffer.drain(..message.body.end);
                }
            }
        }
    }
}
