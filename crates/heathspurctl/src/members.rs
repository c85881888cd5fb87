//! The view that a running daemon has of its fleet.

use crate::error::Error;
use crate::table::plain;
use clap::Args;
use heathspur_members::wire::{
    self, Body, Envelope, ViewRequest, ViewResponse, ViewRow, MAX_DATAGRAM_BYTES,
};
use heathspur_members::MemberId;
use serde_json::json;
use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

/// One question is asked so often before the daemon counts as silent.
const TRIES: u32 = 5;

/// Whom to ask.
#[derive(Debug, Args)]
pub struct Options {
    /// Where the daemon listens for its peers (`members@listen` in its operator's file).
    address: SocketAddrV4,
    /// An object of JSON instead of a table.
    #[arg(long)]
    json: bool,
    /// Wait so long for each answer, in milliseconds; each question is asked five times at most.
    #[arg(long, value_name = "MS", default_value_t = 500, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    wait: u64,
}

/// A whole view, put together from its parts.
struct Whole {
    from: MemberId,
    head: ViewResponse,
    rows: Vec<ViewRow>,
}

/// Asks for the view and prints it.
pub fn run(options: &Options) -> Result<(), Error> {
    let wait = Duration::from_millis(options.wait);
    let whole = ask(options.address, wait).map_err(|source| Error::MembershipView {
        address: options.address,
        source,
    })?;
    if options.json {
        print_json(&whole);
    } else {
        print_table(&whole);
    }
    Ok(())
}

fn ask(address: SocketAddrV4, wait: Duration) -> io::Result<Whole> {
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.connect(address)?;
    let mut rows: Vec<ViewRow> = Vec::new();
    let mut sequence = 0;
    loop {
        sequence += 1;
        let after = rows.last().map(|row| row.member.id.clone());
        let (from, seen) = part(&socket, sequence, after, wait)?;
        // A view that shrinks or grows meanwhile still ends: ids only rise.
        let more = seen.more && !seen.rows.is_empty();
        let mut head = seen.clone();
        head.rows.clear();
        rows.extend(seen.rows);
        if !more {
            return Ok(Whole { from, head, rows });
        }
    }
}

/// One part of the view, as long as a datagram may be.
fn part(
    socket: &UdpSocket,
    sequence: u32,
    after: Option<MemberId>,
    wait: Duration,
) -> io::Result<(MemberId, ViewResponse)> {
    let mut ask = Envelope {
        from: MemberId("heathspurctl".into()),
        body: Body::ViewRequest(ViewRequest {
            sequence,
            after: after.clone(),
            padding: Vec::new(),
        }),
        updates: Vec::new(),
    };
    // The padding's own length takes two bytes instead of one.
    let padding = vec![0; MAX_DATAGRAM_BYTES - wire::encoded_len(&ask) - 1];
    ask.body = Body::ViewRequest(ViewRequest {
        sequence,
        after,
        padding,
    });
    let question =
        wire::encode(&ask).ok_or_else(|| io::Error::other("the question is too long"))?;
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    let mut last = io::Error::new(io::ErrorKind::TimedOut, "no answer");
    for _ in 0..TRIES {
        socket.send(&question)?;
        let until = Instant::now() + wait;
        while let Some(left) = until
            .checked_duration_since(Instant::now())
            .filter(|left| !left.is_zero())
        {
            socket.set_read_timeout(Some(left))?;
            match socket.recv(&mut buffer) {
                Ok(len) => match wire::decode(&buffer[..len]) {
                    Ok(Envelope {
                        from,
                        body: Body::ViewResponse(seen),
                        ..
                    }) if seen.sequence == sequence => {
                        return Ok((from, seen));
                    }
                    Err(wire::DecodeError::UnsupportedVersion { .. }) => {
                        return Err(io::Error::other(
                            "it speaks another version of the protocol",
                        ));
                    }
                    _ => {}
                },
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(e) => {
                    // Nobody listens there, as far as is told; it may be starting.
                    last = e;
                    std::thread::sleep(left.min(wait));
                }
            }
        }
    }
    Err(last)
}

fn print_json(whole: &Whole) {
    let rows: Vec<_> = whole
        .rows
        .iter()
        .map(|row| {
            let (m, load) = (&row.member, row.member.load);
            json!({
                "id": m.id.0, "state": row.state.as_str(), "incarnation": row.incarnation, "for_ms": row.in_state_ms,
                "address": m.address, "zone": m.zone, "region": m.region, "version": m.version,
                "in_flight": load.in_flight, "cap": load.concurrency_limit, "refusals_per_s": load.rejections_per_second, "lag_ms": m.usual_round_trip_ms, "epoch": m.decision_epoch, "near": m.local_traffic_tenths, "wants": m.preferred_tenths,
            })
        })
        .collect();
    let head = &whole.head;
    let all = json!({
        "member": whole.from.0, "view": head.version, "awareness": head.local_health, "refused": head.rejected,
        "members": rows,
    });
    println!("{all:#}");
}

fn print_table(whole: &Whole) {
    let head = &whole.head;
    println!(
        "view {} of {}: {} members, local health {} (0 is healthy), {} datagrams or updates refused",
        head.version, whole.from, head.members, head.local_health, head.rejected
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
    for row in &whole.rows {
        let (m, load) = (&row.member, row.member.load);
        let since = match row.in_state_ms {
            0 => "-".to_string(),
            ms => format!("{:.1} s", ms as f64 / 1e3),
        };
        let numbers = [
            load.in_flight,
            load.concurrency_limit,
            load.rejections_per_second,
        ]
        .map(|n| n.to_string());
        let [in_flight, cap, refusals] = numbers;
        table.add_row([
            m.id.to_string(),
            row.state.as_str().to_string(),
            since,
            row.incarnation.to_string(),
            m.address.to_string(),
            m.zone.clone(),
            m.region.clone(),
            m.version.to_string(),
            in_flight,
            cap,
            refusals,
            format!("{} ms", m.usual_round_trip_ms),
            m.decision_epoch.to_string(),
            format!(
                "{}/10, wants {}",
                m.local_traffic_tenths, m.preferred_tenths
            ),
        ]);
    }
    println!("{table}");
}
