//! Measures the encoded size and decoding time of the settings tree by the number of customers.

use std::time::Instant;

use lacewingrail_settings::StoredTree;

use crate::capacity::CapacityResult;
use crate::harness::fixtures::{domain_names, settings_tree_yaml};
use crate::linear_fit::MeasuredSeries;

/// Numbers of customers; the target size has 180.
const CUSTOMER_COUNTS: [u32; 6] = [20, 45, 90, 135, 180, 720];
/// Workers of each failure domain at the target size.
const WORKERS_PER_DOMAIN: u32 = 127;
/// Decodings timed at each size; their median is reported.
const DECODE_SAMPLES: usize = 9;

/// Measures the encoded size in bytes and the decoding time in milliseconds.
///
/// Fails if a generated tree is invalid or its decoded form lacks customers.
pub fn measure() -> Result<CapacityResult, String> {
    let mut tree_bytes = MeasuredSeries::new("settings: stored tree", "customers", "bytes");
    let mut decode_ms = MeasuredSeries::new("settings: time to read a tree", "customers", "ms");
    for customers in CUSTOMER_COUNTS {
        let text = settings_tree_yaml(&domain_names(7), WORKERS_PER_DOMAIN, customers);
        let to_error = |errors: lacewingrail_settings::SettingsErrors| errors.to_string();
        let tree =
            StoredTree::first(&text, "experiment", "experiment#1".to_owned()).map_err(to_error)?;
        let encoded = tree.encode().map_err(to_error)?;
        tree_bytes.push(f64::from(customers), encoded.len() as f64);
        let mut durations_ms = Vec::new();
        for _ in 0..DECODE_SAMPLES {
            let start = Instant::now();
            let view =
                StoredTree::decode(&encoded).and_then(|tree| tree.view()).map_err(to_error)?;
            durations_ms.push(start.elapsed().as_secs_f64() * 1e3);
            if view.customers.len() != customers as usize {
                return Err(format!(
                    "only {} of {customers} customers were decoded",
                    view.customers.len()
                ));
            }
        }
        durations_ms.sort_by(f64::total_cmp);
        decode_ms.push(f64::from(customers), durations_ms[DECODE_SAMPLES / 2]);
    }
    Ok(CapacityResult { series: vec![tree_bytes, decode_ms], figures: Vec::new() })
}
