//! Unit tests of `src/peers/interpreter/notice_sequence.rs`, which includes this file as its test module.

use super::*;

/// Classifies numbers that arrive on a new connection.
fn classify_on_new_connection(
    sequence: &mut NoticeSequence,
    numbers: &[u64],
) -> Vec<SequencePosition> {
    sequence.begin_connection();
    numbers.iter().map(|&n| sequence.accept(n)).collect()
}

#[test]
fn repeated_number_is_duplicate() {
    let mut sequence = NoticeSequence::default();
    assert_eq!(
        classify_on_new_connection(&mut sequence, &[1, 2, 1, 2, 3]),
        [
            SequencePosition::Next,
            SequencePosition::Next,
            SequencePosition::Duplicate,
            SequencePosition::Duplicate,
            SequencePosition::Next
        ]
    );
    assert_eq!(
        classify_on_new_connection(&mut sequence, &[3, 4]),
        [SequencePosition::Duplicate, SequencePosition::Next]
    );
    assert_eq!(sequence.last(), 4);
}

#[test]
fn number_too_high_is_rejected_and_correct_one_accepted_on_next_connection() {
    let mut sequence = NoticeSequence::default();
    assert_eq!(
        classify_on_new_connection(&mut sequence, &[1, 902]),
        [SequencePosition::Next, SequencePosition::OutOfSequence]
    );
    assert_eq!(sequence.last(), 1);
    assert_eq!(
        classify_on_new_connection(&mut sequence, &[2, 3]),
        [SequencePosition::Next, SequencePosition::Next]
    );
    // An accepted number resets the rejection, so the next gap is rejected again.
    assert_eq!(
        classify_on_new_connection(&mut sequence, &[904]),
        [SequencePosition::OutOfSequence]
    );
}

#[test]
fn gap_is_accepted_after_two_connections_start_with_it() {
    let mut sequence = NoticeSequence::default();
    classify_on_new_connection(&mut sequence, &[1]);
    assert_eq!(
        classify_on_new_connection(&mut sequence, &[7]),
        [SequencePosition::OutOfSequence]
    );
    // In the meantime two notices were added, which evicted the two oldest ones (7 and 8).
    assert_eq!(
        classify_on_new_connection(&mut sequence, &[9, 10]),
        [SequencePosition::NextAfterGap, SequencePosition::Next]
    );
    assert_eq!(
        classify_on_new_connection(&mut sequence, &[11, 40]),
        [SequencePosition::Next, SequencePosition::OutOfSequence]
    );
}

#[test]
fn interpreter_that_skips_numbers_is_accepted_after_one_rejected_connection() {
    let mut sequence = NoticeSequence::default();
    assert_eq!(
        classify_on_new_connection(&mut sequence, &[1, 3]),
        [SequencePosition::Next, SequencePosition::OutOfSequence]
    );
    assert_eq!(
        classify_on_new_connection(&mut sequence, &[3, 5, 8]),
        [SequencePosition::Next; 3]
    );
}

#[test]
fn gap_after_catching_up_is_not_reported_as_missed_notices() {
    let mut sequence = NoticeSequence::default();
    sequence.begin_connection();
    sequence.mark_caught_up();
    assert_eq!(sequence.accept(9), SequencePosition::OutOfSequence);
    assert_eq!(
        classify_on_new_connection(&mut sequence, &[9, 19]),
        [SequencePosition::Next, SequencePosition::Next]
    );
}

#[test]
fn out_of_sequence_numbers_end_bounded_number_of_connections() {
    let mut sequence = NoticeSequence::default();
    for index in [90_000, 80_000, 70_000] {
        assert_eq!(
            classify_on_new_connection(&mut sequence, &[index]),
            [SequencePosition::OutOfSequence]
        );
    }
    assert_eq!(
        classify_on_new_connection(&mut sequence, &[60_000]),
        [SequencePosition::Next]
    );
    assert_eq!(sequence.last(), 60_000);
}
