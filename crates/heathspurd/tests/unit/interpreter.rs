//! Unit tests of `src/interpreter.rs`, which names this file as its module of tests.

use super::*;

#[test]
fn a_notice_is_taken_once_by_its_number() {
    let mut last = 0;
    let line = br#"{"verb":"VALUE","index":3,"task":"9b1f03aa5c7e2d41","outcome":"error","spent":1}"#;
    assert!(understand(wire::read(line).unwrap(), &mut last).is_some());
    assert!(understand(wire::read(line).unwrap(), &mut last).is_none());
    assert!(
        understand(wire::read(br#"{"verb":"TRACE","index":9,"outcome":"x"}"#).unwrap(), &mut last).is_none()
    );
    assert_eq!(last, 9);
}
