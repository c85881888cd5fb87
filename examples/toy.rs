//! Runs the example peers of one server: `toy CONFIG`. See `heathspur_testkit::example_peers`.
#![forbid(unsafe_code)]

use std::path::Path;

fn main() -> heathspur_testkit::example_peers::PeerResult {
    let file = std::env::args().nth(1).ok_or("usage: toy CONFIG")?;
    heathspur_testkit::example_peers::run(Path::new(&file))
}
