//! Keys of the records about configuration, operators, ownership, orders and plan in the key-value
//! service.

/// The key of the configuration document.
pub const CONFIG: &str = "cactuslane/config";
/// Prefix of the keys of the configuration's edits, each of which stores the text of one section
/// before and after; the number of the edit follows.
pub const HISTORY: &str = "cactuslane/history/";
/// The key of the plan, which the owner of the planner shard writes.
pub const PLAN: &str = "cactuslane/plan";
/// Prefix of the keys of operators; the hex SHA-256 hash of the operator's token follows.
pub const OPERATORS: &str = "cactuslane/operators/";
/// Prefix of the keys of shard owners; the name of the shard follows.
pub const OWNERS: &str = "cactuslane/owner/";

/// Returns the key of the owner of a shard, which expires with the owner's lease.
#[must_use]
pub fn owner(shard: &str) -> String {
    format!("{OWNERS}{shard}")
}

/// Returns the key of the hold on a target, written only if the target ignores fencing tokens.
#[must_use]
pub fn hold(target: &str) -> String {
    format!("cactuslane/hold/{target}")
}

/// Returns the key of the latest intent for a target.
#[must_use]
pub fn intent(target: &str) -> String {
    format!("cactuslane/intent/{target}")
}
