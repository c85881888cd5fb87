//! Feeds arbitrary bytes in chunks to the capture pipeline (file reader, TCP reassembly and HTTP messages) with small
//! limits, and checks that the buffered bytes stay bounded. The first byte of the input sets the chunk size.
//!
//! The seeded property tests in `crates/heathspur-capture/tests/any.rs` do the same in CI.
#![no_main]

use heathspur_capture::{exchange, reassembly, Options, Pipeline};
use libfuzzer_sys::fuzz_target;

fuzz_target!(|data: &[u8]| {
    let Some((&piece, file)) = data.split_first() else {
        return;
    };
    let options = Options {
        checksums: false,
        reassembly: reassembly::Limits {
            connections: 8,
            memory: 4000,
            gap_bytes: 1500,
            ..Default::default()
        },
        exchange: exchange::Limits {
            head: 600,
            message: 2000,
            memory: 5000,
            open: 4,
        },
    };
    let mut pipeline = Pipeline::new(options);
    for part in file.chunks(usize::from(piece) + 1) {
        if !pipeline.feed(part, |_| {}) {
            break;
        }
        assert!(pipeline.buffered_bytes() <= 300_000, "{} bytes buffered", pipeline.buffered_bytes());
    }
    pipeline.finish(|_| {});
});
