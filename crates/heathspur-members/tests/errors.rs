//! Errors name the value that is wrong and the bound that it breaks.

use heathspur_members::wire::{self, DecodeError, MAX_DATAGRAM_BYTES, VERSION};
use heathspur_members::{Settings, SettingsError};

#[test]
fn a_setting_out_of_its_range_is_reported_with_its_value_and_bounds() {
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
fn a_probe_timeout_has_to_be_shorter_than_the_period() {
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
fn a_datagram_of_another_version_is_reported_with_its_version() {
    let error = wire::decode(b"hm\x63").unwrap_err();
    assert_eq!(error, DecodeError::UnsupportedVersion { version: 0x63 });
    let expected = format!("the datagram has protocol version 99, but {VERSION} is expected");
    assert_eq!(error.to_string(), expected);
}

#[test]
fn an_oversized_datagram_is_reported_with_its_length() {
    let length = MAX_DATAGRAM_BYTES + 1;
    let error = wire::decode(&vec![0; length]).unwrap_err();
    assert_eq!(error, DecodeError::Oversized { length });
}
