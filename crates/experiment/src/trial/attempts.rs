//! Derives attempts and their accelerator-time from the workers' allocation records.

use std::collections::BTreeMap;

use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use lacewingrail_standins::{AllocationRecord, EndReason};

/// One attempt to run a gang.
pub struct Attempt<'a> {
    /// The allocation records of the members; incomplete if not all members were reserved.
    pub members: Vec<&'a AllocationRecord>,
    /// The time until which members that still run are counted.
    end_ms: u64,
}

/// Groups records by job id and attempt; members that still run are counted until `end_ms`.
pub fn group_attempts(
    records: &[AllocationRecord],
    end_ms: u64,
) -> BTreeMap<&str, Vec<Attempt<'_>>> {
    let mut attempts: BTreeMap<(&str, u32), Vec<&AllocationRecord>> = BTreeMap::new();
    for record in records {
        let key = (record.member.job.as_str(), record.member.attempt);
        attempts.entry(key).or_default().push(record);
    }
    let mut jobs: BTreeMap<&str, Vec<Attempt<'_>>> = BTreeMap::new();
    for ((job, _), members) in attempts {
        jobs.entry(job).or_default().push(Attempt { members, end_ms });
    }
    jobs
}

impl Attempt<'_> {
    /// Returns when the last member started, in milliseconds; `None` unless all members started.
    pub fn started_ms(&self) -> Option<u64> {
        let gang_size = self.members.first()?.gang_members as usize;
        let started: Option<Vec<u64>> =
            self.members.iter().map(|record| record.started_ms).collect();
        started.filter(|started| started.len() == gang_size)?.into_iter().max()
    }

    /// Returns whether every member of the gang finished its work.
    pub fn is_finished(&self) -> bool {
        let has_finished = |record: &&AllocationRecord| record.reason == Some(EndReason::Finished);
        let gang_size = self.members.first().map_or(0, |record| record.gang_members as usize);
        self.members.len() == gang_size && self.members.iter().all(has_finished)
    }

    /// Returns whether the members satisfy the adjacency of the shape.
    pub fn meets_adjacency(&self, shape: &GangShape) -> bool {
        let Some(first) = self.members.first() else {
            return true;
        };
        self.members.iter().all(|record| match shape.adjacency {
            AdjacencyLevel::Worker => record.worker == first.worker,
            AdjacencyLevel::Rack => record.domain == first.domain && record.rack == first.rack,
            AdjacencyLevel::Domain => record.domain == first.domain,
        })
    }

    /// Returns the useful part of each member's run as accelerators, start and end in milliseconds.
    ///
    /// A finished attempt is useful as a whole, any other up to the latest checkpoint common to all
    /// members.
    pub fn useful_spans(&self) -> Vec<(u32, u64, u64)> {
        let finished = self.is_finished();
        let common_checkpoint_ms =
            self.members.iter().map(|record| record.checkpoint_ms).min().unwrap_or(0);
        let span_of = |record: &&AllocationRecord| {
            let (start, end) = record.run_interval(self.end_ms)?;
            let run_ms = end.saturating_sub(start);
            let share = match record.progress_ms {
                _ if finished => 1.0,
                0 => 0.0,
                progress => (common_checkpoint_ms as f64 / progress as f64).min(1.0),
            };
            Some((record.accelerators, start, start + (run_ms as f64 * share) as u64))
        };
        self.members.iter().filter_map(span_of).collect()
    }

    /// Returns the accelerator-milliseconds that all members ran.
    pub fn run_accelerator_ms(&self) -> f64 {
        let runs = self.members.iter().filter_map(|record| {
            let (start, end) = record.run_interval(self.end_ms)?;
            Some(f64::from(record.accelerators) * end.saturating_sub(start) as f64)
        });
        runs.sum()
    }
}

/// Returns the accelerator-milliseconds of the spans within `from_ms..to_ms`.
pub fn accelerator_ms_between(spans: &[(u32, u64, u64)], from_ms: u64, to_ms: u64) -> f64 {
    let accelerator_ms = |(accelerators, start, end): &(u32, u64, u64)| {
        let (start, end) = ((*start).max(from_ms), (*end).min(to_ms));
        f64::from(*accelerators) * end.saturating_sub(start) as f64
    };
    spans.iter().map(accelerator_ms).sum()
}

/// Returns the accelerator-milliseconds during which two attempts of one job ran at the same time.
///
/// Each overlap counts the accelerators of the later attempt.
pub fn overlapping_accelerator_ms(attempts: &[Attempt<'_>], end_ms: u64) -> f64 {
    let mut overlapping_ms = 0.0;
    for (index, first) in attempts.iter().enumerate() {
        for second in &attempts[index + 1..] {
            let span = |attempt: &Attempt<'_>| {
                let runs: Vec<(u64, u64)> = attempt
                    .members
                    .iter()
                    .filter_map(|record| record.run_interval(end_ms))
                    .collect();
                let start = runs.iter().map(|run| run.0).min()?;
                Some((start, runs.iter().map(|run| run.1).max()?))
            };
            if let (Some(first_span), Some(second_span)) = (span(first), span(second)) {
                let overlap =
                    first_span.1.min(second_span.1) as f64 - first_span.0.max(second_span.0) as f64;
                let accelerators: u32 =
                    second.members.iter().map(|record| record.accelerators).sum();
                overlapping_ms += overlap.max(0.0) * f64::from(accelerators);
            }
        }
    }
    overlapping_ms
}
