//! The operator's file, held against reader and schema.

use crate::given::Fault;
use heathspur_config::{Operator, SCHEMA};
use std::path::Path;

/// Says what is wrong with a file; the reader's error comes first, since it names what was expected.
pub fn check(file: &Path, memory: Option<u64>) -> Result<(), Fault> {
    let memory = memory.map(|mib| mib.saturating_mul(1 << 20));
    Operator::read(file, memory).map_err(|fault| Fault::Other(1, fault.to_string()))?;
    let wrong = |what: String| Fault::Other(1, format!("{}: {what}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|e| Fault::File(file.to_path_buf(), e))?;
    let schema = uppsala::parse(SCHEMA).map_err(|e| wrong(e.to_string()))?;
    let schema = uppsala::XsdValidator::from_schema(&schema).map_err(|e| wrong(e.to_string()))?;
    let document = uppsala::parse(&text).map_err(|e| wrong(e.to_string()))?;
    if let Some(error) = schema.validate(&document).first() {
        return Err(wrong(format!(
            "line {}: {}",
            error.line.unwrap_or(1),
            error.message
        )));
    }
    println!("{}: valid", file.display());
    Ok(())
}
