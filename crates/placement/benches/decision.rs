//! Measures events with their decisions in a domain at 95% busy.

mod support {
    pub mod load;
}

use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use support::load::BusyDomain;

/// One domain at target size at 1x, 2x and 4x, then all workers of all domains.
const SIZES: [usize; 4] = [127, 254, 508, 890];

fn measure_events(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("event");
    group.sample_size(20).measurement_time(Duration::from_secs(5));
    for workers in SIZES {
        let mut domain = BusyDomain::new(workers, 42);
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| domain.step());
        });
        assert!(domain.load().0 > 0, "the domain of {} ran empty", domain.accelerators());
        domain.times.clear();
    }
    group.finish();
}

criterion_group!(benches, measure_events);
criterion_main!(benches);
