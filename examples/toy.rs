//! A toy of all that one server talks to: `toy CONFIG`. See `heathspur_rig::toy`.
#![forbid(unsafe_code)]

use std::path::Path;

fn main() -> heathspur_rig::toy::Outcome {
    let file = std::env::args().nth(1).ok_or("usage: toy CONFIG")?;
    heathspur_rig::toy::run(Path::new(&file))
}
