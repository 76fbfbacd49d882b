//! Positions in the history of the key-value service, and the fencing tokens of changes at them.

use cactuslane_types::Position;
use yare::parameterized;

#[parameterized(
    revision = { (1, 4), (1, 5) },
    later_era_at_a_lower_revision = { (1, 900), (2, 3) },
    era_after_answers_without_one = { (0, 900), (2, 3) },
    many_eras = { (4_095, 1 << 39), (4_096, 0) },
)]
fn fencing_tokens_grow_with_positions(earlier: (u64, u64), later: (u64, u64)) {
    let [earlier, later] = [earlier, later].map(|(era, revision)| Position::new(era, revision));
    assert!(earlier < later);
    assert!(earlier.fencing_token() < later.fencing_token());
}

#[parameterized(
    no_era = { (0, 77), Some(77) },
    first_era = { (1, 77), Some(77) },
    second_era = { (2, 77), Some((1 << 40) + 77) },
    highest = { (1 << 13, (1 << 40) - 1), Some((1 << 53) - 1) },
    era_too_high = { ((1 << 13) + 1, 1), None },
    revision_too_high = { (1, 1 << 40), None },
)]
fn a_fencing_token_is_exact_in_json_or_there_is_none(at: (u64, u64), token: Option<u64>) {
    assert_eq!(Position::new(at.0, at.1).fencing_token(), token);
}
