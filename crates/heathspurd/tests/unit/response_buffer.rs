//! Unit tests of `src/room.rs`, which names this file as its module of tests.

use super::*;

#[test]
fn who_holds_most_is_told_and_all_is_given_back() {
    let room = ResponseBudget::new(Bounds {
        connection: 100,
        all: 120,
    });
    let (stalled, good) = (room.holder(), room.holder());
    let first = room.hold(stalled, 60);
    let second = room.hold(stalled, 40);
    let other = room.hold(good, 50);
    async_io::block_on(first.crowded());
    assert!(second.told.is_empty() && other.told.is_empty());
    assert_eq!(room.ledger.borrow().held(), 90);
    drop((first, second, other));
    assert_eq!(
        (room.ledger.borrow().held(), room.told.borrow().len()),
        (0, 0)
    );
}
