//! Unit tests of `src/count.rs`, which names this file as its module of tests.

use super::*;

/// What these numbers say on a link of their own.
fn link(count: &mut Count, numbers: &[u64]) -> Vec<Sight> {
    count.begin_link();
    numbers.iter().map(|&n| count.see(n)).collect()
}

#[test]
fn each_number_is_taken_once() {
    let mut count = Count::default();
    assert_eq!(
        link(&mut count, &[1, 2, 1, 2, 3]),
        [
            Sight::Next,
            Sight::Next,
            Sight::Old,
            Sight::Old,
            Sight::Next
        ]
    );
    assert_eq!(link(&mut count, &[3, 4]), [Sight::Old, Sight::Next]);
    assert_eq!(count.last(), 4);
}

#[test]
fn a_number_spoilt_upwards_is_not_taken_and_comes_again() {
    let mut count = Count::default();
    assert_eq!(link(&mut count, &[1, 902]), [Sight::Next, Sight::Spoilt]);
    assert_eq!(count.last(), 1);
    assert_eq!(link(&mut count, &[2, 3]), [Sight::Next, Sight::Next]);
    // Its refusal is forgotten: the next jump is not the second one.
    assert_eq!(link(&mut count, &[904]), [Sight::Spoilt]);
}

#[test]
fn what_is_kept_no_longer_is_left_out_once_two_links_begin_behind_it() {
    let mut count = Count::default();
    link(&mut count, &[1]);
    assert_eq!(link(&mut count, &[7]), [Sight::Spoilt]);
    // Two more were made meanwhile, and as many left.
    assert_eq!(link(&mut count, &[9, 10]), [Sight::NextKept, Sight::Next]);
    assert_eq!(link(&mut count, &[11, 40]), [Sight::Next, Sight::Spoilt]);
}

#[test]
fn a_peer_that_leaves_numbers_out_is_taken_at_its_word_after_one_link() {
    let mut count = Count::default();
    assert_eq!(link(&mut count, &[1, 3]), [Sight::Next, Sight::Spoilt]);
    assert_eq!(link(&mut count, &[3, 5, 8]), [Sight::Next; 3]);
}

#[test]
fn a_jump_behind_all_that_was_missed_is_none_of_it() {
    let mut count = Count::default();
    count.begin_link();
    count.caught_up();
    assert_eq!(count.see(9), Sight::Spoilt);
    assert_eq!(link(&mut count, &[9, 19]), [Sight::Next, Sight::Next]);
}

#[test]
fn numbers_that_are_never_right_end_so_many_links_and_no_more() {
    let mut count = Count::default();
    for index in [90_000, 80_000, 70_000] {
        assert_eq!(link(&mut count, &[index]), [Sight::Spoilt]);
    }
    assert_eq!(link(&mut count, &[60_000]), [Sight::Next]);
    assert_eq!(count.last(), 60_000);
}
