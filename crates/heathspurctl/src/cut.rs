//! `pcap cut`: a capture of a part of another. Packets are copied as they stand.

use crate::capture_options::CaptureOptions;
use crate::error::Error;
use crate::source;
use clap::Args;
use heathspur_capture::exchange::{Found, Message};
use heathspur_capture::file::{Link, Reader};
use heathspur_capture::frame::{Frames, Passed};
use heathspur_capture::reassembly::Event;
use heathspur_capture::write;
use heathspur_capture::{ConnId, Item, Stamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Debug, Args)]
pub struct Options {
    #[command(flatten)]
    source: CaptureOptions,
    /// The capture to write. One that is there is not overwritten.
    #[arg(long, short, value_name = "FILE")]
    output: PathBuf,
    /// Packets from this time on, in seconds from the first packet.
    #[arg(long, value_name = "SECONDS")]
    from: Option<f64>,
    /// Packets before this time.
    #[arg(long, value_name = "SECONDS")]
    to: Option<f64>,
    /// Connections that carry a request of this class, whole. May be given more than once.
    #[arg(long, value_name = "NAME")]
    class: Vec<String>,
    /// Connections that carry a request of this tenant, whole. May be given more than once.
    #[arg(long, value_name = "NAME")]
    tenant: Vec<String>,
    /// This connection, by the number that `pcap requests` prints. May be given more than once.
    #[arg(long, value_name = "NUMBER")]
    connection: Vec<u64>,
}

/// When connections of one pair of addresses began that are to be kept, and when they ended.
type Kept = HashMap<(SocketAddr, SocketAddr), Vec<(Stamp, Stamp)>>;

/// Finds the connections that are kept.
#[derive(Default)]
struct Search {
    open: BTreeMap<ConnId, (SocketAddr, SocketAddr, Stamp)>,
    wanted: BTreeSet<ConnId>,
    kept: Kept,
}

impl Search {
    fn take(&mut self, item: Item, options: &Options) {
        match item {
            Item::Connection(Event::Opened {
                conn,
                client,
                server,
                time,
                ..
            }) => {
                self.open.insert(conn, (client, server, time));
                if options.connection.contains(&conn.0) {
                    self.wanted.insert(conn);
                }
            }
            Item::Connection(Event::Closed { conn, time, .. }) => {
                let ends = self.open.remove(&conn);
                if let (Some((client, server, from)), true) = (ends, self.wanted.remove(&conn)) {
                    // Copies of its last packets come a little later.
                    let until = Stamp(time.0.saturating_add(1_000_000_000));
                    for pair in [(client, server), (server, client)] {
                        self.kept.entry(pair).or_default().push((from, until));
                    }
                }
            }
            Item::Message(Found::Request { conn, message, .. }) if options.wants(&message) => {
                self.wanted.insert(conn);
            }
            Item::Connection(_) | Item::Message(_) => {}
        }
    }
}

impl Options {
    fn wants(&self, message: &Message) -> bool {
        let tenant = source::field(message, &self.source.tenant_field);
        self.class.contains(&source::class(message))
            || tenant.is_some_and(|name| self.tenant.contains(&name))
    }

    fn by_connection(&self) -> bool {
        !(self.class.is_empty() && self.tenant.is_empty() && self.connection.is_empty())
    }
}

/// Writes the part.
pub fn run(options: &Options) -> Result<(), Error> {
    let mut search = Search::default();
    let tally = source::read(&options.source, |item| search.take(item, options))?;
    let start = tally.first.unwrap_or_default();
    let point = |seconds: Option<f64>| {
        seconds.map(|s| Stamp(start.0.saturating_add((s.max(0.0) * 1e9) as u64)))
    };
    let (from, to) = (point(options.from), point(options.to));
    let file_error = |source| Error::File {
        path: options.output.clone(),
        source,
    };
    let mut output = BufWriter::new(File::create_new(&options.output).map_err(file_error)?);
    // Packets of one link type are written as they come; a file of several types needs an interface for each.
    let (mut reader, mut frames) = (Reader::new(), Frames::new(options.source.checksums));
    let (mut links, mut packets): (Vec<Link>, u64) = (Vec::new(), 0);
    let mut written = output.write_all(&write::ng_section());
    source::pieces(&options.source.file, |bytes| {
        reader.feed(bytes);
        while let Ok(Some(packet)) = reader.next_packet() {
            if from.is_some_and(|from| packet.time < from) || to.is_some_and(|to| packet.time >= to)
            {
                continue;
            }
            let keep = !options.by_connection()
                || match frames.segment(&packet) {
                    Ok(segment) => {
                        search
                            .kept
                            .get(&(segment.from, segment.to))
                            .is_some_and(|spans| {
                                spans
                                    .iter()
                                    .any(|(from, until)| (*from..=*until).contains(&segment.time))
                            })
                    }
                    // Pieces are told apart only once they are whole; better too many than a hole.
                    Err(Passed::Piece) => true,
                    Err(_) => false,
                };
            if !keep || written.is_err() {
                continue;
            }
            packets += 1;
            let interface = links
                .iter()
                .position(|link| *link == packet.link)
                .unwrap_or_else(|| {
                    links.push(packet.link);
                    written = output.write_all(&write::ng_interface(packet.link.number(), "cut"));
                    links.len() - 1
                });
            let block = write::ng_packet(
                interface as u32,
                packet.time,
                packet.data,
                packet.wire_len,
                "",
            );
            written =
                std::mem::replace(&mut written, Ok(())).and_then(|()| output.write_all(&block));
        }
        written.is_ok()
    })?;
    written.and_then(|()| output.flush()).map_err(file_error)?;
    println!("{}: {packets} packets", options.output.display());
    source::damaged(&options.source, &tally)
}
