//! Unit tests of `src/logging.rs`, which includes this file as its test module.

use super::*;

#[test]
fn lines_above_rate_limit_are_counted_by_call_site() {
    let (start, noisy, quiet) = (Instant::now(), ("a.rs", 1), ("b.rs", 2));
    let mut limiter = RateLimiter::new(20);
    let admitted = (0..1000).filter(|_| limiter.admits(start, noisy)).count();
    assert_eq!(admitted, 20);
    assert!(!limiter.admits(start + RATE_LIMIT_WINDOW / 2, quiet));
    assert!(limiter.admits(start + RATE_LIMIT_WINDOW, quiet));
    assert_eq!(
        limiter.take_suppressed(),
        BTreeMap::from([(noisy, 980), (quiet, 1)])
    );
    assert_eq!(limiter.take_suppressed(), BTreeMap::new());
}
