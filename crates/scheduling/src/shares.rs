//! Weighted max-min fair shares.

/// Shares of `capacity` for demands with a weight each: nobody gets more than it demands,
/// and what one leaves goes to the others by their weights. A weight of 0 gets nothing.
pub fn max_min_shares(capacity: f64, demands: &[(f64, f64)]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).filter(|i| demands[*i].1 > 0.0).collect();
    // The demands that are met first are the smallest for their weight.
    let per_weight = |index: &usize| demands[*index].0 / demands[*index].1;
    order.sort_by(|a, b| per_weight(a).total_cmp(&per_weight(b)));
    let mut remaining = capacity;
    let mut weights: f64 = order.iter().map(|index| demands[*index].1).sum();
    for index in order {
        let (demand, weight) = demands[index];
        shares[index] = demand.min(remaining * weight / weights);
        remaining -= shares[index];
        weights -= weight;
    }
    shares
}
