//! A toy of all that one server talks to: `toy CONFIG`. See `heathspur_testkit::toy`.
#![forbid(unsafe_code)]

use std::path::Path;

fn main() -> heathspur_testkit::toy::Outcome {
    let file = std::env::args().nth(1).ok_or("usage: toy CONFIG")?;
    heathspur_testkit::toy::run(Path::new(&file))
}
