//! Reads and parses files; errors have a location.

use crate::locations::{xml_reason, Location, Locations};
use crate::{Error, InvalidValue};
use serde::Deserialize;
use std::path::Path;

/// The largest file that is read, in bytes.
pub const MAX_FILE_BYTES: u64 = 256 * 1024;

/// Parses the text of a file whose single root element is `root`, and validates it with `check`.
///
/// # Errors
/// Returns the first error found, with its location.
pub fn parse<T: for<'de> Deserialize<'de>>(
    text: &str,
    file: &Path,
    root: &'static str,
    check: impl FnOnce(&T) -> Result<(), InvalidValue>,
) -> Result<T, Error> {
    let invalid = |location: Location, reason: String| Error::Invalid {
        file: file.to_path_buf(),
        line: location.line,
        element: location.element,
        reason,
    };
    let locations =
        Locations::scan(text, root).map_err(|error| invalid(error.location, error.reason))?;
    let mut deserializer = quick_xml::de::Deserializer::from_str(text);
    let value: T = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let reason = error.inner().to_string();
        let location = locations.find_error(&error.path().to_string(), &reason);
        invalid(location, xml_reason(&reason))
    })?;
    check(&value).map_err(|error| invalid(locations.find(&error.path), error.reason))?;
    Ok(value)
}

/// Reads the text of a file of at most [`MAX_FILE_BYTES`].
///
/// # Errors
/// Returns an error if the file can't be read or is too large.
pub fn read_text(file: &Path, root: &'static str) -> Result<String, Error> {
    let read_error = |source| Error::Read {
        file: file.to_path_buf(),
        source,
    };
    let length = std::fs::metadata(file).map_err(read_error)?.len();
    if length > MAX_FILE_BYTES {
        return Err(Error::Invalid {
            file: file.to_path_buf(),
            line: 1,
            element: root.into(),
            reason: format!("{length} bytes, where {MAX_FILE_BYTES} at most are expected"),
        });
    }
    std::fs::read_to_string(file).map_err(read_error)
}
