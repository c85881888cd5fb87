//! Unit tests of `src/frontend/response_buffer.rs`, which names this file as its module of tests.

use super::*;

#[test]
fn the_largest_holder_is_evicted_and_all_memory_is_released() {
    let budget = ResponseBudget::new(MemoryLimits {
        per_connection: 100,
        total: 120,
    });
    let (stalled, good) = (budget.new_holder(), budget.new_holder());
    let first = budget.reserve(stalled, 60);
    let second = budget.reserve(stalled, 40);
    let other = budget.reserve(good, 50);
    async_io::block_on(first.evicted());
    assert!(second.evicted.is_empty() && other.evicted.is_empty());
    assert_eq!(budget.ledger.borrow().used_bytes(), 90);
    drop((first, second, other));
    assert_eq!(
        (
            budget.ledger.borrow().used_bytes(),
            budget.evictions.borrow().len()
        ),
        (0, 0)
    );
}
