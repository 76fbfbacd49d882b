//! The order of copies of the configuration document.

use cactuslane_flight::{ConfigPosition, ConfigPositionError};
use cactuslane_types::Position;
use yare::parameterized;

/// Returns the copy at a revision of an era, with a version.
fn copy((era, revision, version): (u64, u64, u64)) -> ConfigPosition {
    ConfigPosition::new(Position::new(era, revision), version)
}

/// Guards against a decision by an older document, also where the order of the store and that of the
/// operators differ after a return from an older copy.
#[parameterized(
    same = { (1, 100, 9), (1, 100, 9), true },
    later = { (1, 120, 10), (1, 100, 9), true },
    earlier = { (1, 100, 9), (1, 120, 10), false },
    same_document_read_again = { (2, 100, 9), (1, 100, 9), true },
    same_document_of_the_era_before = { (1, 100, 9), (2, 100, 9), false },
    // An instance that began after the return, beside one that keeps the version that was lost.
    version_before_the_lost_one = { (2, 80, 8), (1, 100, 9), false },
    lost_version = { (1, 100, 9), (2, 80, 8), false },
    // The operator has written the number of the lost version again.
    version_written_again = { (2, 91, 9), (1, 100, 9), true },
    lost_version_of_the_same_number = { (1, 100, 9), (2, 91, 9), false },
    next_version_of_the_new_era = { (2, 95, 10), (1, 100, 9), true },
    no_era_is_the_first_one = { (0, 100, 9), (1, 100, 9), true },
    no_era_beside_the_second_one = { (0, 100, 9), (2, 50, 9), false },
)]
fn a_copy_covers_those_that_it_is_not_behind(
    own: (u64, u64, u64),
    theirs: (u64, u64, u64),
    covers: bool,
) {
    assert_eq!(copy(own).covers(copy(theirs)), covers);
}

#[test]
fn a_copy_is_read_as_it_is_written() {
    let written = copy((2, 91, 9));
    assert_eq!(written.to_string(), "2.91.9");
    assert_eq!("2.91.9".parse(), Ok(written));
    assert_eq!("0.91.9".parse(), Ok(copy((1, 91, 9))));
}

#[parameterized(
    empty = { "" },
    too_short = { "1.2" },
    too_long = { "1.2.3.4" },
    no_number = { "1.x.3" },
    negative = { "1.-2.3" },
    too_large = { "1.2.99999999999999999999" },
)]
fn other_texts_name_no_copy(text: &str) {
    let read: Result<ConfigPosition, _> = text.parse();
    assert_eq!(read, Err(ConfigPositionError));
}
