//! Unit tests of `src/peers/interpreter/notice_sequence.rs`, which names this file as its module of tests.

use super::*;

/// How these numbers are classified on a connection of their own.
fn connection(sequence: &mut NoticeSequence, numbers: &[u64]) -> Vec<SequencePosition> {
    sequence.begin_connection();
    numbers.iter().map(|&n| sequence.accept(n)).collect()
}

#[test]
fn each_number_is_accepted_once() {
    let mut sequence = NoticeSequence::default();
    assert_eq!(
        connection(&mut sequence, &[1, 2, 1, 2, 3]),
        [
            SequencePosition::Next,
            SequencePosition::Next,
            SequencePosition::Duplicate,
            SequencePosition::Duplicate,
            SequencePosition::Next
        ]
    );
    assert_eq!(
        connection(&mut sequence, &[3, 4]),
        [SequencePosition::Duplicate, SequencePosition::Next]
    );
    assert_eq!(sequence.last(), 4);
}

#[test]
fn a_number_damaged_upwards_is_rejected_and_sent_again() {
    let mut sequence = NoticeSequence::default();
    assert_eq!(
        connection(&mut sequence, &[1, 902]),
        [SequencePosition::Next, SequencePosition::OutOfSequence]
    );
    assert_eq!(sequence.last(), 1);
    assert_eq!(
        connection(&mut sequence, &[2, 3]),
        [SequencePosition::Next, SequencePosition::Next]
    );
    // The rejection is forgotten: the next gap counts as the first one.
    assert_eq!(
        connection(&mut sequence, &[904]),
        [SequencePosition::OutOfSequence]
    );
}

#[test]
fn a_gap_is_accepted_once_two_connections_begin_after_it() {
    let mut sequence = NoticeSequence::default();
    connection(&mut sequence, &[1]);
    assert_eq!(
        connection(&mut sequence, &[7]),
        [SequencePosition::OutOfSequence]
    );
    // Two more notices were made meanwhile, and two are retained no longer.
    assert_eq!(
        connection(&mut sequence, &[9, 10]),
        [SequencePosition::NextAfterGap, SequencePosition::Next]
    );
    assert_eq!(
        connection(&mut sequence, &[11, 40]),
        [SequencePosition::Next, SequencePosition::OutOfSequence]
    );
}

#[test]
fn a_peer_that_skips_numbers_is_accepted_after_one_rejected_connection() {
    let mut sequence = NoticeSequence::default();
    assert_eq!(
        connection(&mut sequence, &[1, 3]),
        [SequencePosition::Next, SequencePosition::OutOfSequence]
    );
    assert_eq!(
        connection(&mut sequence, &[3, 5, 8]),
        [SequencePosition::Next; 3]
    );
}

#[test]
fn a_gap_after_catching_up_does_not_count_as_missed_notices() {
    let mut sequence = NoticeSequence::default();
    sequence.begin_connection();
    sequence.caught_up();
    assert_eq!(sequence.accept(9), SequencePosition::OutOfSequence);
    assert_eq!(
        connection(&mut sequence, &[9, 19]),
        [SequencePosition::Next, SequencePosition::Next]
    );
}

#[test]
fn numbers_that_never_fit_end_a_bounded_number_of_connections() {
    let mut sequence = NoticeSequence::default();
    for index in [90_000, 80_000, 70_000] {
        assert_eq!(
            connection(&mut sequence, &[index]),
            [SequencePosition::OutOfSequence]
        );
    }
    assert_eq!(
        connection(&mut sequence, &[60_000]),
        [SequencePosition::Next]
    );
    assert_eq!(sequence.last(), 60_000);
}
