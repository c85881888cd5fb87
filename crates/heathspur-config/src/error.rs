//! Errors of configuration files.

use std::io;
use std::path::PathBuf;

/// The reason why a file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// The reason.
        source: io::Error,
    },
    /// The file's content is invalid.
    #[error("{}:{line}: {element}: {reason}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// The element, or its attribute as `element@attribute`.
        element: String,
        /// What is wrong, and the expected value.
        reason: String,
    },
}

/// An invalid value of an element or attribute, before its line is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// The path of the element or attribute, such as `record.mask[1].@header`; empty for the root.
    pub path: String,
    /// What is wrong, and the expected value.
    pub reason: String,
}

impl InvalidValue {
    /// Creates an error at a path.
    pub fn new(path: impl Into<String>, reason: impl Into<String>) -> InvalidValue {
        InvalidValue {
            path: path.into(),
            reason: reason.into(),
        }
    }
}
