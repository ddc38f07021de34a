//! Apportions a number of engines in proportion to weights.

/// Returns the share of `engines` for each weight, in proportion to it but at least 1.
///
/// The shares are not rounded. There must be at least as many engines as weights.
pub(crate) fn quotas(weights: &[f64], engines: usize) -> Vec<f64> {
    let mut is_minimum = vec![false; weights.len()];
    loop {
        let minimum = is_minimum.iter().filter(|minimum| **minimum).count();
        let rest = engines.saturating_sub(minimum) as f64;
        let others = weights.iter().zip(&is_minimum).filter(|(_, minimum)| !**minimum);
        let total: f64 = others.map(|(weight, _)| weight).sum();
        let share = |weight: f64| if total > 0.0 { rest * weight / total } else { 1.0 };
        let below: Vec<bool> = weights.iter().map(|&weight| share(weight) < 1.0).collect();
        let is_settled = below.iter().zip(&is_minimum).all(|(below, minimum)| !below || *minimum);
        if is_settled {
            let shares = weights.iter().zip(&is_minimum);
            return shares
                .map(|(&weight, &minimum)| if minimum { 1.0 } else { share(weight) })
                .collect();
        }
        for (minimum, below) in is_minimum.iter_mut().zip(below) {
            *minimum |= below;
        }
    }
}
