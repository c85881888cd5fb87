//! Reads captures as streams, and extracts what the commands show of a message.

use crate::capture_options::CaptureOptions;
use crate::error::Error;
use heathspur_capture::exchange::Message;
use heathspur_capture::{reassembly, Item, Options, Pipeline, Tally};
use indicatif::{ProgressBar, ProgressStyle};
use std::fs::File;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{IsTerminal, Read};
use std::path::Path;

/// Bytes read per call.
const READ_BUFFER_BYTES: usize = 256 * 1024;

/// Reads a file in pieces and shows the progress on a terminal. The callback returns `false` to stop.
pub fn pieces(file: &Path, mut piece: impl FnMut(&[u8]) -> bool) -> Result<(), Error> {
    let file_error = |source| Error::File {
        path: file.to_path_buf(),
        source,
    };
    let mut input = File::open(file).map_err(file_error)?;
    let length = input.metadata().map_err(file_error)?.len();
    let progress = if std::io::stderr().is_terminal() {
        ProgressBar::new(length)
    } else {
        ProgressBar::hidden()
    };
    if let Ok(style) =
        ProgressStyle::with_template("{bar:40} {bytes}/{total_bytes} {bytes_per_sec}")
    {
        progress.set_style(style);
    }
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        let read = input.read(&mut buffer).map_err(file_error)?;
        if read == 0 || !piece(&buffer[..read]) {
            break;
        }
        progress.inc(read as u64);
    }
    progress.finish_and_clear();
    Ok(())
}

/// Converts command-line options to those of the reader.
pub fn options(source: &CaptureOptions) -> Options {
    let reassembly = reassembly::Limits {
        servers: source.server_ports.clone(),
        ..Default::default()
    };
    Options {
        checksums: source.checksums,
        reassembly,
        ..Options::default()
    }
}

/// Reads a capture and passes each item in it to the callback.
pub fn read(source: &CaptureOptions, mut found: impl FnMut(Item)) -> Result<Tally, Error> {
    let mut pipeline = Pipeline::new(options(source));
    pieces(&source.file, |bytes| pipeline.feed(bytes, &mut found))?;
    pipeline.finish(&mut found);
    Ok(pipeline.tally())
}

/// Returns the damage of a capture, if there is any. Commands report it after everything else.
pub fn damaged(source: &CaptureOptions, tally: &Tally) -> Result<(), Error> {
    match tally.damage {
        Some(damage) => Err(Error::DamagedCapture {
            path: source.file.clone(),
            damage,
        }),
        None => Ok(()),
    }
}

/// Returns the class of a request: the name in `/svc/NAME`, or else the whole path.
pub fn class(message: &Message) -> String {
    let Some((_, target)) = message.request_line() else {
        return "?".into();
    };
    let path = target.split(|&b| b == b'?').next().unwrap_or(target);
    let class = path.strip_prefix(b"/svc/").unwrap_or(path);
    String::from_utf8_lossy(class).into_owned()
}

/// Returns the value of a header field.
pub fn field(message: &Message, name: &str) -> Option<String> {
    message
        .field(name)
        .map(|value| String::from_utf8_lossy(value).into_owned())
}

/// Returns a digest that is the same for the same bytes in every run.
pub fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}
