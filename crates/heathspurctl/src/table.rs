//! Tables on standard output.

use comfy_table::{presets, Table};

/// Returns an empty table without borders, which suits both terminals and pipes.
pub fn plain() -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table
}
