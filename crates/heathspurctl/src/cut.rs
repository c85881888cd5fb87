//! `pcap cut`: copies a part of a capture into a new one. The packets themselves are unchanged.

use crate::capture_options::CaptureOptions;
use crate::error::Error;
use crate::source;
use clap::Args;
use heathspur_capture::exchange::{Found, Message};
use heathspur_capture::file::{LinkType, Packet, Reader};
use heathspur_capture::frame::{Frames, SkipReason};
use heathspur_capture::reassembly::Event;
use heathspur_capture::write;
use heathspur_capture::{ConnectionId, Item, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Debug, Args)]
pub struct Options {
    #[command(flatten)]
    capture: CaptureOptions,
    /// Path of the new capture; an existing file is not overwritten
    #[arg(long, short, value_name = "FILE")]
    output: PathBuf,
    /// Copy only packets from this time on, in seconds from the first packet
    #[arg(long, value_name = "SECONDS")]
    from: Option<f64>,
    /// Copy only packets before this time, in seconds from the first packet
    #[arg(long, value_name = "SECONDS")]
    to: Option<f64>,
    /// Copy only connections with a request of this class; can be repeated
    #[arg(long, value_name = "NAME")]
    class: Vec<String>,
    /// Copy only connections with a request of this tenant; can be repeated
    #[arg(long, value_name = "NAME")]
    tenant: Vec<String>,
    /// Copy only the connection with this number, as printed by `pcap requests`; can be repeated
    #[arg(long, value_name = "NUMBER")]
    connection: Vec<u64>,
}

/// First and last time of each selected connection, by sender and receiver address. Both directions have entries.
type Spans = HashMap<(SocketAddr, SocketAddr), Vec<(Timestamp, Timestamp)>>;

/// Packets up to this long after the end of a connection belong to it, such as retransmissions; in nanoseconds.
const LATE_PACKET_NANOS: u64 = 1_000_000_000;
/// Name of the interfaces in the written capture.
const INTERFACE_NAME: &str = "cut";

/// Finds the selected connections in a first pass over the capture.
#[derive(Default)]
struct ConnectionSearch {
    /// Client, server and start of each open connection.
    open: BTreeMap<ConnectionId, (SocketAddr, SocketAddr, Timestamp)>,
    selected: BTreeSet<ConnectionId>,
    spans: Spans,
}

impl ConnectionSearch {
    fn add(&mut self, item: Item, options: &Options) {
        match item {
            Item::Connection(Event::Opened {
                connection,
                client,
                server,
                time,
                ..
            }) => {
                self.open.insert(connection, (client, server, time));
                if options.connection.contains(&connection.0) {
                    self.selected.insert(connection);
                }
            }
            Item::Connection(Event::Closed {
                connection, time, ..
            }) => self.close(connection, time),
            Item::Message(Found::Request {
                connection,
                message,
                ..
            }) if options.selects(&message) => {
                self.selected.insert(connection);
            }
            Item::Connection(_) | Item::Message(_) => {}
        }
    }

    fn close(&mut self, connection: ConnectionId, closed_at: Timestamp) {
        let opened = self.open.remove(&connection);
        let is_selected = self.selected.remove(&connection);
        let Some((client, server, from)) = opened.filter(|_| is_selected) else {
            return;
        };
        let until = Timestamp(closed_at.0.saturating_add(LATE_PACKET_NANOS));
        for direction in [(client, server), (server, client)] {
            let spans = self.spans.entry(direction).or_default();
            spans.push((from, until));
        }
    }
}

impl Options {
    /// Returns whether a request selects its connection.
    fn selects(&self, message: &Message) -> bool {
        let tenant = source::field(message, &self.capture.tenant_field);
        self.class.contains(&source::class(message))
            || tenant.is_some_and(|name| self.tenant.contains(&name))
    }

    /// Returns whether packets are selected by their connection.
    fn selects_connections(&self) -> bool {
        !(self.class.is_empty() && self.tenant.is_empty() && self.connection.is_empty())
    }
}

/// Decides which packets are written.
struct PacketFilter {
    from: Option<Timestamp>,
    to: Option<Timestamp>,
    /// The selected connections; `None` if packets are selected by time only.
    spans: Option<Spans>,
    frames: Frames,
}

impl PacketFilter {
    fn new(options: &Options, capture_start: Timestamp, spans: Spans) -> PacketFilter {
        let time = |seconds: Option<f64>| {
            seconds.map(|seconds| {
                let offset = (seconds.max(0.0) * 1e9) as u64;
                Timestamp(capture_start.0.saturating_add(offset))
            })
        };
        PacketFilter {
            from: time(options.from),
            to: time(options.to),
            spans: options.selects_connections().then_some(spans),
            frames: Frames::new(options.capture.checksums),
        }
    }

    fn accepts(&mut self, packet: &Packet<'_>) -> bool {
        let is_before = self.from.is_some_and(|from| packet.time < from);
        let is_after = self.to.is_some_and(|to| packet.time >= to);
        if is_before || is_after {
            return false;
        }
        let Some(spans) = &self.spans else {
            return true;
        };
        match self.frames.segment(packet) {
            Ok(segment) => spans
                .get(&(segment.from, segment.to))
                .is_some_and(|spans| contains(spans, segment.time)),
            // The connection of a fragment is known only after reassembly. All fragments are copied, because an
            // additional packet does less harm than a missing one.
            Err(SkipReason::Fragment) => true,
            Err(_) => false,
        }
    }
}

fn contains(spans: &[(Timestamp, Timestamp)], time: Timestamp) -> bool {
    spans
        .iter()
        .any(|(from, until)| (*from..=*until).contains(&time))
}

/// Writes a pcapng file with an interface for each link type.
struct CaptureWriter {
    output: BufWriter<File>,
    links: Vec<LinkType>,
    packets: u64,
}

impl CaptureWriter {
    fn new(file: File) -> io::Result<CaptureWriter> {
        let mut output = BufWriter::new(file);
        output.write_all(&write::pcapng_section())?;
        Ok(CaptureWriter {
            output,
            links: Vec::new(),
            packets: 0,
        })
    }

    fn write(&mut self, packet: &Packet<'_>) -> io::Result<()> {
        let interface = self.interface(packet.link)?;
        let block = write::pcapng_packet(interface, packet.time, packet.data, packet.wire_len, "");
        self.output.write_all(&block)?;
        self.packets += 1;
        Ok(())
    }

    /// Returns the number of the interface of a link type, and writes its block if it is new.
    fn interface(&mut self, link: LinkType) -> io::Result<u32> {
        if let Some(interface) = self.links.iter().position(|existing| *existing == link) {
            return Ok(interface as u32);
        }
        let block = write::pcapng_interface(link.number(), INTERFACE_NAME);
        self.output.write_all(&block)?;
        self.links.push(link);
        Ok(self.links.len() as u32 - 1)
    }
}

/// Writes the selected part of a capture.
pub fn run(options: &Options) -> Result<(), Error> {
    let mut search = ConnectionSearch::default();
    let tally = source::read(&options.capture, |item| search.add(item, options))?;
    let capture_start = tally.first.unwrap_or_default();
    let mut filter = PacketFilter::new(options, capture_start, search.spans);
    let file_error = |source| Error::File {
        path: options.output.clone(),
        source,
    };
    let file = File::create_new(&options.output).map_err(file_error)?;
    let mut writer = CaptureWriter::new(file).map_err(file_error)?;
    let mut reader = Reader::new();
    let mut write_result = Ok(());
    source::read_chunks(&options.capture.file, |bytes| {
        reader.feed(bytes);
        while let Ok(Some(packet)) = reader.next_packet() {
            if write_result.is_ok() && filter.accepts(&packet) {
                write_result = writer.write(&packet);
            }
        }
        write_result.is_ok()
    })?;
    write_result
        .and_then(|()| writer.output.flush())
        .map_err(file_error)?;
    println!("{}: {} packets", options.output.display(), writer.packets);
    source::check_damage(&options.capture, &tally)
}
