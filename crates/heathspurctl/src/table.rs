//! Tables on the terminal.

use comfy_table::{presets, Table};

/// A table without lines, as terminals and pipes both take.
pub fn plain() -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table
}
