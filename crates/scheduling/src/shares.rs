//! Weighted max-min fair shares.

/// Shares of `capacity` for demands with a weight each: nobody gets more than it demands,
/// and what one leaves goes to the others by their weights. A weight of 0 gets nothing.
pub fn max_min_shares(capacity: f64, demands: &[(f64, f64)]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut open: Vec<usize> = (0..demands.len()).filter(|i| demands[*i].1 > 0.0).collect();
    // The demands that are met first are the smallest for their weight.
    let per_weight = |index: &usize| demands[*index].0 / demands[*index].1;
    open.sort_by(|a, b| per_weight(a).total_cmp(&per_weight(b)));
    let mut left = capacity;
    let mut weights: f64 = open.iter().map(|index| demands[*index].1).sum();
    for index in open {
        let (demand, weight) = demands[index];
        shares[index] = demand.min(left * weight / weights);
        left -= shares[index];
        weights -= weight;
    }
    shares
}
