//! `config check`: validates an operator's file with the parser and against the schema.

use crate::error::Error;
use heathspur_config::{Operator, SCHEMA};
use std::path::Path;

const BYTES_PER_MIB: u64 = 1 << 20;

/// Checks a file and returns the first error. `memory_mib` is the memory of the process, which limits the budgets in
/// the file. The parser runs before the schema, because its errors name the expected values.
pub fn check(file: &Path, memory_mib: Option<u64>) -> Result<(), Error> {
    let memory_bytes = memory_mib.map(|mib| mib.saturating_mul(BYTES_PER_MIB));
    Operator::read(file, memory_bytes).map_err(Error::Config)?;
    let violation = |reason: String| Error::SchemaViolation {
        path: file.to_path_buf(),
        reason,
    };
    let text = std::fs::read_to_string(file).map_err(|source| Error::File {
        path: file.to_path_buf(),
        source,
    })?;
    let schema = uppsala::parse(SCHEMA).map_err(|e| violation(e.to_string()))?;
    let schema =
        uppsala::XsdValidator::from_schema(&schema).map_err(|e| violation(e.to_string()))?;
    let document = uppsala::parse(&text).map_err(|e| violation(e.to_string()))?;
    if let Some(error) = schema.validate(&document).first() {
        return Err(violation(format!(
            "line {}: {}",
            error.line.unwrap_or(1),
            error.message
        )));
    }
    println!("{}: valid", file.display());
    Ok(())
}
