//! Weighted max-min fair shares.

/// Computes the shares of `capacity` for pairs of demand and weight. No share exceeds its
/// demand, and unused capacity is redistributed by weight. A weight of 0 yields a share of 0.
pub fn max_min_shares(capacity: f64, demands: &[(f64, f64)]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).filter(|i| demands[*i].1 > 0.0).collect();
    // Demands that are small relative to their weight are satisfied first.
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
