//! Unit tests of `src/log.rs`, which names this file as its module of tests.

use super::*;

#[test]
fn a_flood_of_lines_is_cut_and_counted_by_its_place() {
    let (start, noisy, quiet) = (Instant::now(), ("a.rs", 1), ("b.rs", 2));
    let mut limiter = Limiter::new(20);
    let admitted = (0..1000).filter(|_| limiter.admits(start, noisy)).count();
    assert_eq!(admitted, 20);
    assert!(!limiter.admits(start + SECOND / 2, quiet));
    assert!(limiter.admits(start + SECOND, quiet));
    assert_eq!(limiter.tell(), BTreeMap::from([(noisy, 980), (quiet, 1)]));
    assert_eq!(limiter.tell(), BTreeMap::new());
}
