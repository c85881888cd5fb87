//! Messages to the interpreter.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use std::fmt;

/// A message to the interpreter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command<'a> {
    /// Opens a link. The number is the index of the last notice that was processed.
    Connect(u64),
    /// Runs a request.
    Run {
        /// The request.
        request_id: &'a str,
        /// Its class.
        class: &'a str,
        /// Its body.
        body: &'a [u8],
    },
    /// Stops a run.
    Stop(&'a str),
    /// Resumes a paused run.
    Resume(&'a str),
    /// Resumes a run with the reply to the call that it waits for.
    CompleteCall {
        /// The request.
        request_id: &'a str,
        /// The reply.
        body: &'a [u8],
    },
    /// Resumes a run without the call that it waits for.
    SkipCall {
        /// The request.
        request_id: &'a str,
        /// The index of the [`Notice::CallNeeded`](super::Notice::CallNeeded).
        index: u64,
    },
    /// Queries the gauges, with a nonce.
    QueryGauges(u64),
}

/// Appends a command, including its line end.
pub fn write_command(out: &mut Vec<u8>, command: Command<'_>) {
    match command {
        Command::Connect(index) => {
            write_format(out, format_args!(r#"{{"verb":"CONNECT","index":{index}}}"#));
        }
        Command::Run {
            request_id,
            class,
            body,
        } => {
            out.extend_from_slice(br#"{"verb":"APPLY","task":"#);
            write_string(out, request_id);
            out.extend_from_slice(br#","handler":"#);
            write_string(out, class);
            write_body_and_end(out, body);
        }
        Command::Stop(request_id) => write_request_command(out, "BREAK", request_id),
        Command::Resume(request_id) => write_request_command(out, "CONTINUE", request_id),
        Command::CompleteCall { request_id, body } => {
            out.extend_from_slice(br#"{"verb":"RESOLVE","task":"#);
            write_string(out, request_id);
            write_body_and_end(out, body);
        }
        Command::SkipCall { request_id, index } => {
            out.extend_from_slice(br#"{"verb":"STUB","task":"#);
            write_string(out, request_id);
            write_format(out, format_args!(r#","index":{index}}}"#));
        }
        Command::QueryGauges(nonce) => {
            write_format(out, format_args!(r#"{{"verb":"TOP","nonce":"{nonce}"}}"#));
        }
    }
    out.push(b'\n');
}

fn write_format(out: &mut Vec<u8>, text: fmt::Arguments<'_>) {
    out.extend_from_slice(text.to_string().as_bytes());
}

/// Appends a command whose only argument is a request.
fn write_request_command(out: &mut Vec<u8>, verb: &str, request_id: &str) {
    write_format(out, format_args!(r#"{{"verb":"{verb}","task":"#));
    write_string(out, request_id);
    out.push(b'}');
}

/// Appends a JSON string.
fn write_string(out: &mut Vec<u8>, text: &str) {
    serde_json::to_writer(out, text).expect("a string always serializes into memory");
}

/// Appends the body as the last field, and the end of the object.
fn write_body_and_end(out: &mut Vec<u8>, body: &[u8]) {
    out.extend_from_slice(br#","bytes":""#);
    out.extend_from_slice(STANDARD.encode(body).as_bytes());
    out.extend_from_slice(br#""}"#);
}
