//! Configuration of traffic recording.

use crate::units::{Size, Span, GIB, KIB, MIB};
use crate::InvalidValue;
use serde::Deserialize;
use std::path::PathBuf;
use std::time::Duration;

const MAX_FILE_AGE_S: u64 = 24 * 60 * 60;
/// The budget is at most the process's memory divided by this number.
const MEMORY_TO_BUDGET_RATIO: u64 = 4;

/// Recording of traffic to capture files. Off if the element is missing.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The directory of the files. It must exist, and no other program should write to it.
    #[serde(rename = "@directory")]
    pub directory: PathBuf,
    /// The part of a message that is recorded.
    #[serde(rename = "@contents", default)]
    pub contents: Contents,
    /// Whether the traffic with the interpreter and the store is recorded as well. Requires [`Contents::Full`].
    #[serde(rename = "@links", default)]
    pub links: bool,
    /// The limits on files.
    #[serde(default)]
    pub files: Files,
    /// The resources that recording may use.
    #[serde(default)]
    pub budget: Budget,
    /// The header fields whose values are redacted.
    #[serde(default)]
    pub mask: Vec<Mask>,
}

/// The part of a message that is recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Contents {
    /// Heads. Bodies are redacted to the same length.
    #[default]
    Headers,
    /// Heads and bodies. Bodies may contain card data.
    Full,
}

/// The limits on the size, age and number of a recording's files.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Files {
    /// The size at which a file is rotated; 64 KiB to 16 GiB.
    #[serde(rename = "@size")]
    pub size: Size,
    /// The age at which a file is rotated; 1 s to 24 h.
    #[serde(rename = "@age")]
    pub age: Span,
    /// The number of files that are retained, the newest ones; 1 to 10,000.
    #[serde(rename = "@keep")]
    pub keep: u32,
}

impl Default for Files {
    fn default() -> Files {
        Files {
            size: Size(64 * MIB),
            age: Span(Duration::from_secs(600)),
            keep: 16,
        }
    }
}

/// The resources that recording may use.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    /// The bytes that may wait to be written; 64 KiB to 1 GiB, and at most a quarter of the process's memory.
    #[serde(rename = "@memory")]
    pub memory: Size,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            memory: Size(2 * MIB),
        }
    }
}

/// A header field whose value is redacted in recordings.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mask {
    /// The name of the field; not case-sensitive.
    #[serde(rename = "@header")]
    pub header: String,
}

impl Record {
    pub(crate) fn check(&self, memory: Option<u64>) -> Result<(), InvalidValue> {
        if self.directory.as_os_str().is_empty() {
            return Err(InvalidValue::new(
                "record.@directory",
                "a directory is expected",
            ));
        }
        if self.links && self.contents != Contents::Full {
            // The interpreter's messages contain bodies in base64, which can't be redacted in place.
            return Err(InvalidValue::new(
                "record.@links",
                "contents=\"full\" is expected with it, because links carry bodies",
            ));
        }
        self.files.check()?;
        self.budget.check(memory)?;
        for (index, mask) in self.mask.iter().enumerate() {
            mask.check(index)?;
        }
        Ok(())
    }
}

impl Files {
    fn check(&self) -> Result<(), InvalidValue> {
        let size = self.size;
        if !(64 * KIB..=16 * GIB).contains(&size.0) {
            return Err(InvalidValue::new(
                "record.files.@size",
                format!("{size} where 64 KiB to 16 GiB is expected"),
            ));
        }
        if !(1..=MAX_FILE_AGE_S).contains(&self.age.0.as_secs()) {
            return Err(InvalidValue::new(
                "record.files.@age",
                "1 s to 24 h is expected",
            ));
        }
        if !(1..=10_000).contains(&self.keep) {
            return Err(InvalidValue::new(
                "record.files.@keep",
                "1 to 10000 is expected",
            ));
        }
        Ok(())
    }
}

impl Budget {
    fn check(&self, process_memory: Option<u64>) -> Result<(), InvalidValue> {
        const PATH: &str = "record.budget.@memory";
        let budget = self.memory;
        if !(64 * KIB..=GIB).contains(&budget.0) {
            let reason = format!("{budget} where 64 KiB to 1 GiB is expected");
            return Err(InvalidValue::new(PATH, reason));
        }
        let Some(process_memory) = process_memory else {
            return Ok(());
        };
        let max_budget = Size(process_memory / MEMORY_TO_BUDGET_RATIO);
        if budget > max_budget {
            let reason = format!(
                "{budget} where at most {max_budget} is expected, a quarter of the process's memory"
            );
            return Err(InvalidValue::new(PATH, reason));
        }
        Ok(())
    }
}

impl Mask {
    fn check(&self, index: usize) -> Result<(), InvalidValue> {
        let is_token_byte =
            |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
        if !self.header.is_empty() && self.header.bytes().all(is_token_byte) {
            return Ok(());
        }
        Err(InvalidValue::new(
            format!("record.mask[{index}].@header"),
            "the name of a header field is expected",
        ))
    }
}
