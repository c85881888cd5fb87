//! Errors contain the invalid value and the bound that it violates.

use heathspur_members::wire::{self, DecodeError, MAX_DATAGRAM_BYTES, VERSION};
use heathspur_members::{Settings, SettingsError};

#[test]
fn setting_out_of_range_is_reported_with_value_and_bounds() {
    let settings = Settings {
        protocol_period_ms: 49,
        ..Settings::default()
    };
    let error = settings.check().unwrap_err();
    assert_eq!(error.name(), "period");
    assert_eq!(
        error.to_string(),
        "membership setting \"period\" is 49, but must be from 50 to 60000"
    );
}

#[test]
fn probe_timeout_not_below_period_is_rejected() {
    let settings = Settings {
        probe_timeout_ms: 1_000,
        ..Settings::default()
    };
    let expected = SettingsError::OutOfRange {
        name: "probe-timeout",
        value: 1_000,
        minimum: 10,
        maximum: 999,
    };
    assert_eq!(settings.check(), Err(expected));
    assert_eq!(Settings::default().check(), Ok(()));
}

#[test]
fn unsupported_version_is_reported_with_its_number() {
    let error = wire::decode(b"hm\x63").unwrap_err();
    assert_eq!(error, DecodeError::UnsupportedVersion { version: 0x63 });
    let expected = format!("the datagram has protocol version 99, but {VERSION} is expected");
    assert_eq!(error.to_string(), expected);
}

#[test]
fn oversized_datagram_is_reported_with_its_length() {
    let length = MAX_DATAGRAM_BYTES + 1;
    let error = wire::decode(&vec![0; length]).unwrap_err();
    assert_eq!(error, DecodeError::Oversized { length });
}
