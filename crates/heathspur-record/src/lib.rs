//! Recording of traffic, without I/O and clocks: what connections said becomes blocks of pcapng ([`recorder`]),
//! with bodies and named fields overwritten where that is asked for ([`veil`]); and which file they go to,
//! which files are kept, what happens when the disk fails ([`files`]).
#![forbid(unsafe_code)]

pub mod files;
pub mod recorder;
pub mod veil;
