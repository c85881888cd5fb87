//! Unit tests of `src/frontend/response_budget.rs`, which includes this file as its test module.

use super::*;

#[test]
fn response_of_largest_connection_is_evicted_and_memory_is_released() {
    let budget = ResponseBudget::new(MemoryLimits {
        per_connection: 100,
        total: 120,
    });
    let (stalled, reading) = (budget.new_connection_key(), budget.new_connection_key());
    let first = budget.reserve(stalled, 60);
    let second = budget.reserve(stalled, 40);
    let other = budget.reserve(reading, 50);
    async_io::block_on(first.evicted());
    assert!(second.evicted.is_empty() && other.evicted.is_empty());
    assert_eq!(budget.memory.borrow().used_bytes(), 90);
    drop((first, second, other));
    assert_eq!(
        (
            budget.memory.borrow().used_bytes(),
            budget.evictions.borrow().len()
        ),
        (0, 0)
    );
}
