//! Which copy of the configuration document an instance has in force.

use std::fmt;
use std::str::FromStr;

use cactuslane_types::{FIRST_ERA, Position};

/// Which copy of the configuration document an instance has in force, by the order of the store and
/// by that of the operators.
///
/// Within one era of the store both orders agree. After a return from an older copy neither suffices
/// alone: a version that was lost may be written again with another content, and an instance that
/// began afterwards may know only the version before the one that others keep in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigPosition {
    /// Position of the document in the history of the store.
    pub position: Position,
    /// Version number that the operator gave it.
    pub version: u64,
}

/// Error of a text that does not name a copy of the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigPositionError;

impl ConfigPosition {
    /// Creates the position of a document; a store that states no era is in its first one.
    #[must_use]
    pub fn new(position: Position, version: u64) -> Self {
        let era = position.era.max(FIRST_ERA);
        Self {
            position: Position::new(era, position.revision),
            version,
        }
    }

    /// Returns whether an instance that has this copy in force may decide on a request of one that
    /// has the other copy in force: it is behind it in neither order.
    #[must_use]
    pub fn covers(self, other: Self) -> bool {
        self.position >= other.position && self.version >= other.version
    }
}

impl fmt::Display for ConfigPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.position, self.version)
    }
}

impl FromStr for ConfigPosition {
    type Err = ConfigPositionError;

    /// Parses the form that is displayed: era, revision and version, separated by points.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut numbers = text.split('.').map(|number| number.parse().ok());
        let mut next = || numbers.next().flatten().ok_or(ConfigPositionError);
        let position = Position::new(next()?, next()?);
        let parsed = Self::new(position, next()?);
        match numbers.next() {
            None => Ok(parsed),
            Some(_) => Err(ConfigPositionError),
        }
    }
}

impl fmt::Display for ConfigPositionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not era, revision and version, separated by points")
    }
}
