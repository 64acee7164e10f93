//! Measures the time of an event with its decisions in a domain whose accelerators are 95% in use.

mod support {
    pub mod load;
}

use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use support::load::BusyDomain;

/// Numbers of workers: one domain at 1, 2 and 4 times the target size, then all domains as one.
const SIZES: [usize; 4] = [127, 254, 508, 890];

fn measure_events(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("event");
    group.sample_size(20).measurement_time(Duration::from_secs(5));
    for workers in SIZES {
        let mut domain = BusyDomain::new(workers, 42);
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| domain.step());
        });
        assert!(domain.load().0 > 0, "no task runs on {} accelerators", domain.accelerators());
        domain.times.clear();
    }
    group.finish();
}

criterion_group!(benches, measure_events);
criterion_main!(benches);
