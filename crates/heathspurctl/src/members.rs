//! `members`: prints the membership view of a running daemon.

use crate::error::Error;
use crate::table::plain;
use clap::Args;
use heathspur_members::wire::{
    self, Envelope, Message, ViewRequest, ViewResponse, ViewRow, MAX_DATAGRAM_BYTES,
};
use heathspur_members::MemberId;
use serde_json::json;
use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

/// Attempts at each request before the command fails.
const MAX_ATTEMPTS: u32 = 5;

/// Options of the command.
#[derive(Debug, Args)]
pub struct Options {
    /// Address on which the daemon listens for its peers (`members@listen` in its operator's file)
    address: SocketAddrV4,
    /// Print JSON instead of a table
    #[arg(long)]
    json: bool,
    /// Timeout of each request, in milliseconds; a request is sent at most five times
    #[arg(long, value_name = "MS", default_value_t = 500, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    wait: u64,
}

/// A complete view, assembled from its parts.
struct View {
    from: MemberId,
    head: ViewResponse,
    rows: Vec<ViewRow>,
}

/// Requests the view and prints it.
pub fn run(options: &Options) -> Result<(), Error> {
    let timeout = Duration::from_millis(options.wait);
    let view = request_view(options.address, timeout).map_err(|source| Error::MembershipView {
        address: options.address,
        source,
    })?;
    if options.json {
        print_json(&view);
    } else {
        print_table(&view);
    }
    Ok(())
}

fn request_view(address: SocketAddrV4, timeout: Duration) -> io::Result<View> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.connect(address)?;
    let mut rows: Vec<ViewRow> = Vec::new();
    let mut sequence = 0;
    loop {
        sequence += 1;
        let after = rows.last().map(|row| row.member.id.clone());
        let (from, part) = request_part(&socket, sequence, after, timeout)?;
        // Terminates even if the view changes meanwhile, because IDs only increase.
        let more = part.more && !part.rows.is_empty();
        let mut head = part.clone();
        head.rows.clear();
        rows.extend(part.rows);
        if !more {
            return Ok(View { from, head, rows });
        }
    }
}

/// Requests one part of the view, which fits into a datagram. Repeats the request until it is answered.
fn request_part(
    socket: &UdpSocket,
    sequence: u32,
    after: Option<MemberId>,
    timeout: Duration,
) -> io::Result<(MemberId, ViewResponse)> {
    let request = encode_request(sequence, after)?;
    let mut last_error = io::Error::new(io::ErrorKind::TimedOut, "no response");
    for _ in 0..MAX_ATTEMPTS {
        socket.send(&request)?;
        match receive_part(socket, sequence, Instant::now() + timeout)? {
            Attempt::Answered(from, part) => return Ok((from, part)),
            Attempt::Unanswered(Some(error)) => last_error = error,
            Attempt::Unanswered(None) => {}
        }
    }
    Err(last_error)
}

/// Encodes a request and pads it to the largest datagram, so that the response is not larger than the request.
fn encode_request(sequence: u32, after: Option<MemberId>) -> io::Result<Vec<u8>> {
    let mut envelope = Envelope {
        from: MemberId("heathspurctl".into()),
        body: Message::ViewRequest(ViewRequest {
            sequence,
            after: after.clone(),
            padding: Vec::new(),
        }),
        updates: Vec::new(),
    };
    // The encoded length of the padding takes two bytes instead of one.
    let padding = vec![0; MAX_DATAGRAM_BYTES - wire::encoded_len(&envelope) - 1];
    envelope.body = Message::ViewRequest(ViewRequest {
        sequence,
        after,
        padding,
    });
    wire::encode(&envelope)
        .ok_or_else(|| io::Error::other("the request is too large for a datagram"))
}

/// How an attempt to request a part ended.
enum Attempt {
    /// The daemon answered.
    Answered(MemberId, ViewResponse),
    /// It did not answer in time; the last error of the socket, if any.
    Unanswered(Option<io::Error>),
}

/// Waits for the response to a request.
fn receive_part(socket: &UdpSocket, sequence: u32, deadline: Instant) -> io::Result<Attempt> {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    let mut last_error = None;
    while let Some(remaining) = remaining_until(deadline) {
        socket.set_read_timeout(Some(remaining))?;
        match socket.recv(&mut buffer) {
            Ok(length) => {
                if let Some((from, part)) = decode_part(&buffer[..length], sequence)? {
                    return Ok(Attempt::Answered(from, part));
                }
            }
            Err(error) if is_timeout(&error) => {}
            Err(error) => {
                // Usually an ICMP error because nothing listens on the port; the daemon may still be starting.
                last_error = Some(error);
                std::thread::sleep(remaining);
            }
        }
    }
    Ok(Attempt::Unanswered(last_error))
}

/// Decodes a datagram; `None` if it is not the response to this request.
fn decode_part(datagram: &[u8], sequence: u32) -> io::Result<Option<(MemberId, ViewResponse)>> {
    match wire::decode(datagram) {
        Ok(Envelope {
            from,
            body: Message::ViewResponse(part),
            ..
        }) if part.sequence == sequence => Ok(Some((from, part))),
        Err(wire::DecodeError::UnsupportedVersion { .. }) => Err(io::Error::other(
            "the daemon uses another version of the protocol",
        )),
        _ => Ok(None),
    }
}

fn remaining_until(deadline: Instant) -> Option<Duration> {
    let remaining = deadline.checked_duration_since(Instant::now());
    remaining.filter(|remaining| !remaining.is_zero())
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

fn print_json(view: &View) {
    let rows: Vec<_> = view
        .rows
        .iter()
        .map(|row| {
            let (member, load) = (&row.member, row.member.load);
            json!({
                "id": member.id.0, "state": row.state.as_str(), "incarnation": row.incarnation, "for_ms": row.in_state_ms,
                "address": member.address, "zone": member.zone, "region": member.region, "version": member.version,
                "in_flight": load.in_flight, "cap": load.concurrency_limit, "refusals_per_s": load.rejections_per_second, "lag_ms": member.average_round_trip_ms, "epoch": member.decision_epoch, "near": member.local_traffic_tenths, "wants": member.preferred_local_traffic_tenths,
            })
        })
        .collect();
    let head = &view.head;
    let all = json!({
        "member": view.from.0, "view": head.version, "awareness": head.local_health, "refused": head.rejected,
        "members": rows,
    });
    println!("{all:#}");
}

fn print_table(view: &View) {
    let head = &view.head;
    println!(
        "view {} of {}: {} members, local health {} (0 is healthy), {} datagrams or updates refused",
        head.version, view.from, head.members, head.local_health, head.rejected
    );
    let mut table = plain();
    let names = [
        "member",
        "state",
        "for",
        "incarnation",
        "address",
        "zone",
        "region",
        "version",
        "in flight",
        "cap",
        "refusals/s",
        "lag",
        "epoch",
        "near",
    ];
    table.set_header(names);
    for row in &view.rows {
        let (member, load) = (&row.member, row.member.load);
        let in_state = match row.in_state_ms {
            0 => "-".to_string(),
            ms => format!("{:.1} s", ms as f64 / 1e3),
        };
        let numbers = [
            load.in_flight,
            load.concurrency_limit,
            load.rejections_per_second,
        ]
        .map(|number| number.to_string());
        let [in_flight, cap, refusals] = numbers;
        table.add_row([
            member.id.to_string(),
            row.state.as_str().to_string(),
            in_state,
            row.incarnation.to_string(),
            member.address.to_string(),
            member.zone.clone(),
            member.region.clone(),
            member.version.to_string(),
            in_flight,
            cap,
            refusals,
            format!("{} ms", member.average_round_trip_ms),
            member.decision_epoch.to_string(),
            format!(
                "{}/10, wants {}",
                member.local_traffic_tenths, member.preferred_local_traffic_tenths
            ),
        ]);
    }
    println!("{table}");
}
