//! Choice among targets whose load the other instances change unseen.

/// Returns the index of the chosen target, or `None` if there is none.
///
/// `costs` holds the cost of each target by the last updates, and `unseen` the cost that the
/// requests placed by other instances since then add, over all targets together. The targets with
/// the lowest costs are filled up to a common level by `unseen`, and each is chosen with the
/// probability of its share: then the requests of all instances together level the costs. Without
/// unseen cost, the target with the lowest cost is chosen. `draw` is a random number in `0.0..1.0`.
pub(super) fn choose(costs: &[f64], unseen: f64, draw: f64) -> Option<usize> {
    let mut order: Vec<usize> = (0..costs.len()).collect();
    order.sort_by(|a, b| costs[*a].total_cmp(&costs[*b]));
    let first = *order.first()?;
    if unseen <= 0.0 {
        return Some(first);
    }
    let mut sum = 0.0;
    let mut level = f64::INFINITY;
    let mut filled = 0;
    for index in &order {
        if costs[*index] >= level {
            break;
        }
        sum += costs[*index];
        filled += 1;
        level = (sum + unseen) / f64::from(filled);
    }
    let mut left = draw * unseen;
    for index in &order {
        left -= (level - costs[*index]).max(0.0);
        if left < 0.0 {
            return Some(*index);
        }
    }
    Some(first)
}
