//! Writers of requests and responses.

/// Whether the connection stays open after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOption {
    /// The connection stays open.
    KeepAlive,
    /// The response is the last on its connection and has the field `Connection: close`.
    Close,
}

/// Appends a response with these header fields, each a name and a number, and a `Content-Length`.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    fields: &[(&str, f64)],
    connection: ConnectionOption,
    body: &[u8],
) {
    let reason = reason_phrase(status);
    out.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
    for (name, value) in fields {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    if connection == ConnectionOption::Close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
}

/// Appends a request with the header fields `Host` and `Content-Length`.
pub fn write_request(out: &mut Vec<u8>, method: &str, target: &str, host: &str, body: &[u8]) {
    let length = body.len();
    let head =
        format!("{method} {target} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {length}\r\n\r\n");
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(body);
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
