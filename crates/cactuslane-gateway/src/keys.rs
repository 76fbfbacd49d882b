//! Prefixes of keys in the store that are read apart from all others.

/// Prefix of the keys of all records, followed by the name of the instance, the start of its process
/// and the number of the segment. Builds before the segments wrote one key without a number.
pub const RECORDS_PREFIX: &str = "cactuslane/streams/";
/// Prefix of the keys of the stored contents of usage reports; the number of the window follows.
pub const USAGE_PREFIX: &str = "cactuslane/usage/";
