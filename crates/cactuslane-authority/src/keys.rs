//! Names of the records in the key-value service.

/// The key of the configuration document.
pub const CONFIG: &str = "cactuslane/config";
/// Prefix of earlier configuration documents, by number.
pub const HISTORY: &str = "cactuslane/history/";
/// The key of the plan.
pub const PLAN: &str = "cactuslane/plan";
/// Prefix of the records of operators, by the hash of their token.
pub const OPERATORS: &str = "cactuslane/operators/";
/// Prefix of the records of owners.
pub const OWNERS: &str = "cactuslane/owner/";

/// Returns the key of a shard's owner.
#[must_use]
pub fn owner(shard: &str) -> String {
    format!("{OWNERS}{shard}")
}

/// Returns the key of the hold on a target that does not check fencing numbers.
#[must_use]
pub fn hold(target: &str) -> String {
    format!("cactuslane/hold/{target}")
}

/// Returns the key of the intent for a target.
#[must_use]
pub fn intent(target: &str) -> String {
    format!("cactuslane/intent/{target}")
}
