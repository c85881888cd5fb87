//! The operator's file, held against reader and schema.

use crate::error::Error;
use heathspur_config::{Operator, SCHEMA};
use std::path::Path;

/// Says what is wrong with a file; the reader's error comes first, since it names what was expected.
pub fn check(file: &Path, memory: Option<u64>) -> Result<(), Error> {
    let memory = memory.map(|mib| mib.saturating_mul(1 << 20));
    Operator::read(file, memory).map_err(Error::Config)?;
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
