//! Reads captures as streams, and extracts the properties of messages that the commands print.

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

/// Reads a file in chunks and shows the progress if standard error is a terminal. The callback returns `false` to stop.
pub fn read_chunks(file: &Path, mut on_chunk: impl FnMut(&[u8]) -> bool) -> Result<(), Error> {
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
        if read == 0 || !on_chunk(&buffer[..read]) {
            break;
        }
        progress.inc(read as u64);
    }
    progress.finish_and_clear();
    Ok(())
}

/// Converts command-line options to pipeline options.
fn pipeline_options(options: &CaptureOptions) -> Options {
    let reassembly = reassembly::Limits {
        servers: options.server_ports.clone(),
        ..Default::default()
    };
    Options {
        checksums: options.checksums,
        reassembly,
        ..Options::default()
    }
}

/// Reads a capture and passes each item in it to the callback.
pub fn read(options: &CaptureOptions, mut on_item: impl FnMut(Item)) -> Result<Tally, Error> {
    let mut pipeline = Pipeline::new(pipeline_options(options));
    read_chunks(&options.file, |bytes| pipeline.feed(bytes, &mut on_item))?;
    pipeline.finish(&mut on_item);
    Ok(pipeline.tally())
}

/// Returns an error if a capture is damaged. Commands call this last, after printing what they read.
pub fn check_damage(options: &CaptureOptions, tally: &Tally) -> Result<(), Error> {
    match tally.error {
        Some(damage) => Err(Error::DamagedCapture {
            path: options.file.clone(),
            damage,
        }),
        None => Ok(()),
    }
}

/// Returns the class of a request: NAME of `/svc/NAME`, or the full path if it has another form.
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

/// Returns a digest of the bytes that is the same in every run of the program.
pub fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}
