//! Size and reading time of the settings tree by the number of customers.

use std::time::Instant;

use lacewingrail_settings::StoredTree;

use crate::capacity::CapacityResult;
use crate::harness::load::{domain_names, tree_text};
use crate::slope::MeasuredSeries;

/// Numbers of customers; the target has 180.
const CUSTOMERS: [u32; 6] = [20, 45, 90, 135, 180, 720];
/// Workers of each failure domain at the target.
const DOMAIN_WORKERS: u32 = 127;
/// Readings whose median counts.
const READINGS: usize = 9;

/// Measures encoded size and time to read.
pub fn measure() -> Result<CapacityResult, String> {
    let mut bytes = MeasuredSeries::new("settings: stored tree", "customers", "bytes");
    let mut time = MeasuredSeries::new("settings: time to read a tree", "customers", "ms");
    for customers in CUSTOMERS {
        let text = tree_text(&domain_names(7), DOMAIN_WORKERS, customers);
        let fail = |errors: lacewingrail_settings::SettingsErrors| errors.to_string();
        let tree =
            StoredTree::first(&text, "experiment", "experiment#1".to_owned()).map_err(fail)?;
        let encoded = tree.encode().map_err(fail)?;
        bytes.push(f64::from(customers), encoded.len() as f64);
        let mut readings = Vec::new();
        for _ in 0..READINGS {
            let start = Instant::now();
            let view = StoredTree::decode(&encoded).and_then(|tree| tree.view()).map_err(fail)?;
            readings.push(start.elapsed().as_secs_f64() * 1e3);
            if view.customers.len() != customers as usize {
                return Err(format!("{} of {customers} customers were read", view.customers.len()));
            }
        }
        readings.sort_by(f64::total_cmp);
        time.push(f64::from(customers), readings[READINGS / 2]);
    }
    Ok(CapacityResult { series: vec![bytes, time], figures: Vec::new() })
}
